//! Reactions to time, lost VMs and lost endpoints: deadlines, idle ends, lost dispatches, releases
//! and retention.

use std::collections::HashMap;

use bytes::Bytes;

use super::holder::EndedHolder;
use super::interface::Effect;
use super::sequencer::Sequencer;
use super::settings::Settings;
use super::state::{Attempt, Call, Phase, Program, ProgramKey, State};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::entry::Body;
use crate::wire::program::{EndReason, Refusal};

impl Sequencer {
    /// Handles everything that is due at `now`.
    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(lead) = self.leader_state else { return };
        let now_ms = self.now_ms(now);
        for waiter in self.parked.take_expired(now_ms) {
            let detail = "the caller's deadline passed while the request waited for its turn";
            let reply = self.final_reply(&waiter, Refusal::DeadlinePassed, detail);
            out.push(Effect::Reply { token: waiter.token, reply });
        }
        self.withdraw_expired(now, out);
        if now_ms < self.scanned_ms.saturating_add(self.settings.scan_ms) {
            return;
        }
        self.scanned_ms = now_ms;
        if !lead.ready {
            return self.renew_barrier(now, out);
        }
        if self.maintenance.is_empty() {
            self.propose_due(now, out);
        }
        self.close_escrows(now, out);
        self.release_ended(now, out);
    }

    /// Proposes every dispatch of an ended process as lost and refuses its waiting requests.
    ///
    /// Such a grant would block its program until it expires.
    pub(super) fn holder_ended(&mut self, now: Time, ended: EndedHolder, out: &mut Vec<Effect>) {
        for waiter in self.parked.take_from(ended) {
            let detail = "the process that sent the request has ended";
            let reply = self.final_reply(&waiter, Refusal::DeadlinePassed, detail);
            out.push(Effect::Reply { token: waiter.token, reply });
        }
        self.withdraw_from(ended, out);
        self.mark_early_lost(ended);
        match self.leader_state {
            Some(lead) if lead.ready => self.propose_holder_lost(now, ended, out),
            Some(_) => self.ended_holders.push(ended),
            None => {}
        }
    }

    pub(super) fn propose_holder_lost(
        &mut self,
        now: Time,
        ended: EndedHolder,
        out: &mut Vec<Effect>,
    ) {
        self.propose_lost(now, |attempt| ended.matches(attempt.holder, attempt.boot_id), out);
    }

    /// Proposes to remove an endpoint that holds no memory of any program any more.
    pub(super) fn endpoint_gone(
        &mut self,
        now: Time,
        endpoint: EndpointName,
        out: &mut Vec<Effect>,
    ) {
        let held = self.state.programs.values().any(|p| p.endpoints.contains(&endpoint));
        if self.leader_state.is_some() && held {
            let freed = wire::Freed { program: None, endpoint: endpoint.to_string() };
            self.propose_maintenance(now, Body::Freed(freed), out);
        }
    }

    /// Adopts a bundle revision and proposes the quarantines that it lifts.
    pub(super) fn configure(
        &mut self,
        now: Time,
        revision: RevisionNumber,
        lifted: Vec<Bytes>,
        out: &mut Vec<Effect>,
    ) {
        self.revision = self.revision.max(revision);
        self.lifted_digests = lifted;
        if self.leader_state.is_some_and(|lead| lead.ready) {
            self.propose_lift(now, out);
        }
    }

    /// Proposes the quarantines that the current revision lifts, once for each revision.
    pub(super) fn propose_lift(&mut self, now: Time, out: &mut Vec<Effect>) {
        let revision = self.revision.0;
        if revision > self.state.lifted_revision && !self.lifted_digests.is_empty() {
            let entry = wire::Lifted { revision, digests: self.lifted_digests.clone() };
            self.propose_maintenance(now, Body::Lifted(entry), out);
        }
    }

    /// Proposes the scores of other groups, except for digests that the current bundle lifts.
    pub(super) fn import_scores(
        &mut self,
        now: Time,
        mut scores: Vec<wire::Score>,
        out: &mut Vec<Effect>,
    ) {
        scores.retain(|score| {
            !self.lifted_digests.contains(&score.digest) && self.state.raises_score(score)
        });
        if self.leader_state.is_some() && !scores.is_empty() {
            self.propose_maintenance(now, Body::Scores(wire::Scores { scores }), out);
        }
    }

    fn propose_due(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now_ms = self.now_ms(now);
        self.propose_lost(now, |attempt| attempt.expires_ms <= now_ms, out);
        for (key, reason) in self.state.due_programs(now_ms, self.settings.idle_ms) {
            let program = Some(self.state.programs[key].name.to_wire());
            let end = wire::End { program, reason: reason.into() };
            self.propose_maintenance(now, Body::End(end), out);
        }
        let ended_ms = now_ms.saturating_sub(self.settings.retain_ms);
        let removable = self.state.programs.values().any(|p| p.is_removable(ended_ms));
        let stale = now_ms >= self.state.clock_ms().saturating_add(self.settings.clock_ms);
        let alive = self.state.programs.values().any(|p| p.ended.is_none());
        if removable || (stale && alive) {
            let scored_ms = now_ms.saturating_sub(self.settings.suspect_ms);
            self.propose_maintenance(now, Body::Sweep(wire::Sweep { ended_ms, scored_ms }), out);
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
                program: Some(self.state.programs[call.program].name.to_wire()),
                dispatch: call.dispatch.to_string(),
            })
            .collect();
        if dispatches.is_empty() {
            return;
        }
        dispatches.sort_by(|a, b| a.dispatch.cmp(&b.dispatch));
        self.propose_maintenance(now, Body::Lost(wire::Lost { dispatches }), out);
    }

    /// Sends the releases and cancellations of ended programs that are due.
    ///
    /// Messages can be lost, so each release is repeated until its confirmation is committed or
    /// the endpoint is gone; otherwise an engine might keep the memory for ever. None is sent
    /// while a dispatch runs, because the engine could fill the memory again after freeing it.
    pub(super) fn release_ended(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now_ms = self.now_ms(now);
        let mut running: Vec<ProgramKey> = self.state.cancelling.iter().copied().collect();
        running.sort();
        let mut idle: Vec<ProgramKey> = self.state.releasing.iter().copied().collect();
        idle.retain(|key| self.state.programs[*key].running.is_empty());
        idle.sort();
        for key in self.cancel_timers.due(&running, now_ms, &self.settings) {
            self.emit_cancels(key, out);
        }
        for key in self.release_timers.due(&idle, now_ms, &self.settings) {
            self.state.programs[key].emit_releases(out);
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

/// Group time of the last message sent for each program, for repeating unconfirmed messages.
#[derive(Debug, Default)]
pub(super) struct ResendTimers {
    sent: HashMap<ProgramKey, u64>,
}

impl ResendTimers {
    /// Returns the programs in `wanted` that are due for a message and marks it as sent.
    ///
    /// `wanted` must be sorted; programs that are not in it are removed.
    fn due(&mut self, wanted: &[ProgramKey], now_ms: u64, settings: &Settings) -> Vec<ProgramKey> {
        self.sent.retain(|key, _| wanted.binary_search(key).is_ok());
        let is_due = |sent: Option<&u64>| match sent {
            Some(sent) if settings.safeguards.repeat_release => {
                now_ms >= sent.saturating_add(settings.release_ms)
            }
            Some(_) => false,
            None => true,
        };
        let due = wanted.iter().copied().filter(|key| is_due(self.sent.get(key)));
        let due: Vec<ProgramKey> = due.collect();
        self.sent.extend(due.iter().map(|key| (*key, now_ms)));
        due
    }

    pub(super) fn clear(&mut self) {
        self.sent.clear();
    }
}

impl Program {
    fn emit_releases(&self, out: &mut Vec<Effect>) {
        for endpoint in &self.endpoints {
            let program = Some(self.name.to_wire());
            let release = wire::Release { program, endpoint: endpoint.to_string() };
            out.push(Effect::Release { release });
        }
    }
}

impl State {
    /// Returns all running calls with their attempts.
    pub(super) fn running_attempts(&self) -> impl Iterator<Item = (&Call, &Attempt)> {
        let running = self.programs.values().flat_map(|program| program.running.iter());
        running.filter_map(|key| match &self.calls[*key] {
            call @ Call { phase: Phase::Running(attempt), .. } => Some((call, &**attempt)),
            _ => None,
        })
    }

    /// Returns the live programs to end because of their time limit or their idle time.
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

    /// Returns whether another group's score would raise the one in this state.
    fn raises_score(&self, score: &wire::Score) -> bool {
        let Some(digest) = super::quarantine::read_digest(&score.digest) else { return false };
        let known = self.scores.get(&digest);
        score.blame > known.blame
            || score.deaths > known.deaths
            || (score.quarantined && !known.quarantined)
    }
}
