//! What time and departures bring about: deadlines, idle ends, lost grants, releases, retention.

use bytes::Bytes;

use super::sequencer::{Effect, Sequencer};
use super::state::{Attempt, Call, Phase, Program, ProgramKey, State};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::entry::Body;
use crate::wire::program::{EndReason, Refusal};

impl Sequencer {
    /// Does what is due by now.
    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(lead) = self.lead else { return };
        let now_ms = self.now_ms(now);
        for ticket in self.parking.take_due(now_ms) {
            let detail = "the caller's deadline passed while the request waited for its turn";
            let reply = self.give_up(&ticket, Refusal::DeadlinePassed, detail);
            out.push(Effect::Reply { token: ticket.token, reply });
        }
        if now_ms < self.scanned_ms.saturating_add(self.settings.scan_ms) {
            return;
        }
        self.scanned_ms = now_ms;
        if !lead.ready {
            return self.renew_barrier(now, out);
        }
        if self.chores.is_empty() {
            self.propose_due(now, out);
        }
        self.release_ended(now, out);
    }

    /// Takes every dispatch of a dead entry VM for lost.
    pub(super) fn vm_gone(&mut self, now: Time, vm: VmId, out: &mut Vec<Effect>) {
        match self.lead {
            Some(lead) if lead.ready => self.lose_held(now, vm, out),
            Some(_) => self.gone.push(vm),
            None => {}
        }
    }

    pub(super) fn lose_held(&mut self, now: Time, vm: VmId, out: &mut Vec<Effect>) {
        self.propose_lost(now, |attempt| attempt.holder == vm, out);
    }

    /// Forgets an endpoint that holds nothing any more.
    pub(super) fn endpoint_gone(
        &mut self,
        now: Time,
        endpoint: EndpointName,
        out: &mut Vec<Effect>,
    ) {
        let held = self.state.programs.values().any(|p| p.endpoints.contains(&endpoint));
        if self.lead.is_some() && held {
            let freed = wire::Freed { program: None, endpoint: endpoint.to_string() };
            self.propose_chore(now, Body::Freed(freed), out);
        }
    }

    /// Takes a bundle revision into force and lifts what it lifts.
    pub(super) fn configure(
        &mut self,
        now: Time,
        revision: RevisionNumber,
        lifted: Vec<Bytes>,
        out: &mut Vec<Effect>,
    ) {
        self.revision = self.revision.max(revision);
        if self.lead.is_some() && revision.0 > self.state.lifted && !lifted.is_empty() {
            let entry = wire::Lifted { revision: revision.0, digests: lifted.clone() };
            self.propose_chore(now, Body::Lifted(entry), out);
        }
        self.lifted = lifted;
    }

    /// Takes over what other groups found, but for digests that the bundle in force lifts.
    pub(super) fn import_scores(
        &mut self,
        now: Time,
        mut scores: Vec<wire::Score>,
        out: &mut Vec<Effect>,
    ) {
        scores.retain(|score| !self.lifted.contains(&score.digest) && self.state.is_news(score));
        if self.lead.is_some() && !scores.is_empty() {
            self.propose_chore(now, Body::Scores(wire::Scores { scores }), out);
        }
    }

    fn propose_due(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now_ms = self.now_ms(now);
        self.propose_lost(now, |attempt| attempt.expires_ms <= now_ms, out);
        for (key, reason) in self.state.due_programs(now_ms, self.settings.idle_ms) {
            let program = Some(self.state.programs[key].name.to_ref());
            let end = wire::End { program, reason: reason.into() };
            self.propose_chore(now, Body::End(end), out);
        }
        let ended_ms = now_ms.saturating_sub(self.settings.retain_ms);
        let forgettable = self.state.programs.values().any(|p| p.is_forgettable(ended_ms));
        let stale = now_ms >= self.state.clock_ms().saturating_add(self.settings.clock_ms);
        let alive = self.state.programs.values().any(|p| p.ended.is_none());
        if forgettable || (stale && alive) {
            let scored_ms = now_ms.saturating_sub(self.settings.suspect_ms);
            self.propose_chore(now, Body::Sweep(wire::Sweep { ended_ms, scored_ms }), out);
        }
    }

    fn propose_lost(
        &mut self,
        now: Time,
        is_lost: impl Fn(&Attempt) -> bool,
        out: &mut Vec<Effect>,
    ) {
        let lost = self.state.running_attempts().filter(|(_, attempt)| is_lost(attempt));
        let mut dispatches: Vec<wire::DispatchRef> = lost
            .map(|(call, _)| wire::DispatchRef {
                program: Some(self.state.programs[call.program].name.to_ref()),
                dispatch: call.dispatch.to_string(),
            })
            .collect();
        if dispatches.is_empty() {
            return;
        }
        dispatches.sort_by(|a, b| a.dispatch.cmp(&b.dispatch));
        self.propose_chore(now, Body::Lost(wire::Lost { dispatches }), out);
    }

    /// Sends the releases and cancels of ended programs that are due.
    ///
    /// A release is fire and forget on a link that loses messages: one that is sent once and lost
    /// leaves an engine holding memory for good. So each is repeated until its confirmation is
    /// committed or the endpoint is gone.
    pub(super) fn release_ended(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now_ms = self.now_ms(now);
        let mut due: Vec<ProgramKey> = self.state.releasing.iter().copied().collect();
        due.extend(self.state.ended_running());
        due.sort();
        due.dedup();
        self.sent.retain(|key, _| due.binary_search(key).is_ok());
        due.retain(|key| self.is_release_due(*key, now_ms));
        for key in due {
            self.sent.insert(key, now_ms);
            self.state.programs[key].emit_releases(out);
            self.emit_cancels(key, out);
        }
    }

    fn is_release_due(&self, key: ProgramKey, now_ms: u64) -> bool {
        match self.sent.get(&key) {
            Some(sent) if self.settings.safeguards.repeat_release => {
                now_ms >= sent.saturating_add(self.settings.release_ms)
            }
            Some(_) => false,
            None => true,
        }
    }

    fn emit_cancels(&self, key: ProgramKey, out: &mut Vec<Effect>) {
        for call in &self.state.programs[key].running {
            let call = &self.state.calls[*call];
            if let Phase::Running(attempt) = &call.phase {
                let dispatch = call.dispatch.clone();
                out.push(Effect::Cancel { dispatch, vm: attempt.holder });
            }
        }
    }
}

impl Program {
    fn emit_releases(&self, out: &mut Vec<Effect>) {
        for endpoint in &self.endpoints {
            let program = Some(self.name.to_ref());
            let release = wire::Release { program, endpoint: endpoint.to_string() };
            out.push(Effect::Release { release });
        }
    }
}

impl State {
    /// Returns the open attempts that may be running.
    pub(super) fn running_attempts(&self) -> impl Iterator<Item = (&Call, &Attempt)> {
        let running = self.programs.values().flat_map(|program| program.running.iter());
        running.filter_map(|key| match &self.calls[*key] {
            call @ Call { phase: Phase::Running(attempt), .. } => Some((call, &**attempt)),
            _ => None,
        })
    }

    /// Returns ended programs that still have a dispatch under way.
    fn ended_running(&self) -> impl Iterator<Item = ProgramKey> {
        let ended = self.programs.iter().filter(|(_, program)| program.ended.is_some());
        ended.filter(|(_, program)| !program.running.is_empty()).map(|(key, _)| key)
    }

    /// Returns live programs that ran into their time limit or have been idle for too long.
    fn due_programs(&self, now_ms: u64, idle_ms: u64) -> Vec<(ProgramKey, EndReason)> {
        let live = self.programs.iter().filter(|(_, program)| program.ended.is_none());
        let due = live.filter_map(|(key, program)| {
            if self.deadline_ms(key).is_some_and(|due| due <= now_ms) {
                return Some((key, EndReason::Deadline));
            }
            let limit = match program.idle_ms {
                0 => idle_ms,
                limit => limit,
            };
            let idle = program.running.is_empty()
                && program.children.iter().all(|child| self.programs[*child].ended.is_some())
                && now_ms >= program.active_ms.saturating_add(limit);
            idle.then_some((key, EndReason::Idle))
        });
        due.collect()
    }

    /// Tells whether another group's score adds to what is known here.
    fn is_news(&self, score: &wire::Score) -> bool {
        let Some(digest) = super::quarantine::read_digest(&score.digest) else { return false };
        let known = self.scores.get(&digest);
        score.blame > known.blame
            || score.deaths > known.deaths
            || (score.quarantined && !known.quarantined)
    }
}
