//! Applies the entries that close attempts and end programs.
//!
//! See docs/design/journal.md for who may report an outcome, and docs/design/budget.md for what
//! happens to a reservation.

use bytes::Bytes;

use super::budget::Amounts;
use super::messages::HASH_LEN;
use super::replies::refused;
use super::state::{Applied, Attempt, CallKey, Ended, Phase, ProgramKey, QualifiedName, State};
use crate::prelude::*;
use crate::wire::common::Outcome;
use crate::wire::program as wire;
use crate::wire::program::{EndReason, Refusal};

impl State {
    /// Records the outcome of a dispatch. A settle of a call that is already closed is confirmed
    /// without changing the recorded outcome.
    pub(super) fn settle(&mut self, settled: &wire::Settled) -> Applied {
        let name = QualifiedName::from_wire(settled.program.as_ref());
        let Some(call) = self.find_dispatch(&name, &settled.dispatch) else {
            return unknown_dispatch();
        };
        let program = self.calls[call].program;
        self.add_endpoint(program, &settled.endpoint);
        let attempt = match &self.calls[call].phase {
            Phase::Running(attempt) | Phase::InDoubt(attempt) => attempt.clone(),
            Phase::Ran { .. } | Phase::NotRun => return Applied::Settled(vec![]),
        };
        let confirmed = self.is_confirmed_by_service(call, settled);
        if self.safeguards.holder_only && !confirmed && attempt.holder != VmId(settled.holder) {
            let detail = format!("the dispatch was granted to {}", attempt.holder);
            return Applied::Refused(refused(Refusal::NotHolder, detail));
        }
        if self.is_superseded(call) {
            return unknown_dispatch();
        }
        let scores = self.score(settled, &attempt);
        self.close(call, settled, *attempt);
        self.mark_active(program);
        self.end_if_exhausted(program);
        Applied::Settled(scores)
    }

    /// Marks dispatches as lost, which puts their calls in doubt.
    pub(super) fn mark_lost(&mut self, lost: &wire::Lost) -> Applied {
        for lost in &lost.dispatches {
            let name = QualifiedName::from_wire(lost.program.as_ref());
            if let Some(call) = self.find_dispatch(&name, &lost.dispatch) {
                self.mark_in_doubt(call, None);
            }
        }
        Applied::Done
    }

    /// Ends the program that an end entry names.
    pub(super) fn end_named(&mut self, end: &wire::End) -> Applied {
        let name = QualifiedName::from_wire(end.program.as_ref());
        let Some(key) = self.names.get(&name).copied() else {
            return Applied::Refused(refused(Refusal::ProgramNotFound, "no such program"));
        };
        self.end(key, end.reason());
        Applied::Done
    }

    /// Ends a program and its descendants. A program that has ended keeps its first reason.
    pub(super) fn end(&mut self, key: ProgramKey, reason: EndReason) {
        let at_ms = self.clock_ms;
        let program = &mut self.programs[key];
        if program.ended.is_none() {
            program.ended = Some(Ended { reason, at_ms });
            if !program.running.is_empty() {
                self.cancelling.insert(key);
            }
            if !program.endpoints.is_empty() {
                self.releasing.insert(key);
            }
        }
        for child in self.programs[key].children.clone() {
            self.end(child, EndReason::Parent);
        }
    }

    /// Returns whether the service itself confirmed that a call in doubt was done.
    ///
    /// If the service does not know the call, that proves nothing: a paused holder may still send
    /// the request.
    fn is_confirmed_by_service(&self, call: CallKey, settled: &wire::Settled) -> bool {
        let in_doubt = matches!(self.calls[call].phase, Phase::InDoubt(_));
        in_doubt && settled.inquired && settled.outcome() == Outcome::Done
    }

    /// Returns whether a turn in doubt can no longer be settled: another attempt has answered it,
    /// or another call of the program is running.
    fn is_superseded(&self, call: CallKey) -> bool {
        let found = &self.calls[call];
        let program = &self.programs[found.program];
        let in_doubt = matches!(found.phase, Phase::InDoubt(_));
        let next = program.history.turns() + 1;
        in_doubt && found.turn > 0 && (found.turn != next || !program.running.is_empty())
    }

    /// Moves a call out of its open phase according to the reported outcome.
    fn close(&mut self, call: CallKey, settled: &wire::Settled, attempt: Attempt) {
        match settled.outcome() {
            Outcome::Done => self.close_ran(call, settled, attempt),
            Outcome::NotRun => self.close_not_run(call),
            Outcome::Unknown => self.mark_in_doubt(call, settled.usage.as_ref()),
        }
    }

    fn close_ran(&mut self, call: CallKey, settled: &wire::Settled, attempt: Attempt) {
        let usage = settled.usage.unwrap_or_default();
        self.release_reservation(call, &attempt);
        let used = Amounts::from_usage(&usage);
        self.charge(call, used);
        self.return_unused(call, &attempt, used);
        let found = &mut self.calls[call];
        // Copied, since a slice would keep the whole log entry in memory.
        let answer = Bytes::copy_from_slice(&settled.answer);
        found.phase = Phase::Ran { answer, status: settled.status };
        let turn = found.turn;
        let program = found.program;
        if turn == 0 || settled.message.is_empty() {
            return;
        }
        let messages = super::messages::join(&[attempt.messages, settled.message.clone()]);
        let mut hashes = attempt.hashes.to_vec();
        hashes.extend_from_slice(&settled.hash[..settled.hash.len().min(HASH_LEN)]);
        self.programs[program].history.append(messages, &hashes);
    }

    fn close_not_run(&mut self, call: CallKey) {
        let attempt = match &self.calls[call].phase {
            Phase::Running(attempt) | Phase::InDoubt(attempt) => attempt.clone(),
            _ => return,
        };
        self.release_reservation(call, &attempt);
        self.return_unused(call, &attempt, Amounts::default());
        self.calls[call].phase = Phase::NotRun;
    }

    /// Puts a running call in doubt and charges it: the usage that the holder reported, or else
    /// the whole reservation, since the call may have run.
    fn mark_in_doubt(&mut self, call: CallKey, usage: Option<&wire::Usage>) {
        let Phase::Running(attempt) = self.calls[call].phase.clone() else { return };
        self.release_reservation(call, &attempt);
        self.return_unused(call, &attempt, attempt.reserved);
        let mut kept = *attempt;
        if self.safeguards.keep_doubtful {
            let reported = usage.filter(|usage| usage.prompt_tokens > 0);
            kept.reserved = reported.map_or(kept.reserved, Amounts::from_usage);
            self.charge(call, kept.reserved);
        }
        self.calls[call].phase = Phase::InDoubt(Box::new(kept));
    }

    /// Removes an attempt's reservation: from the reserved amounts while the call runs, and from
    /// the spent amounts once it is in doubt. Also ends the tracking of a running call.
    fn release_reservation(&mut self, call: CallKey, attempt: &Attempt) {
        let in_doubt = matches!(self.calls[call].phase, Phase::InDoubt(_));
        let program = self.calls[call].program;
        for key in self.charged_programs(program) {
            let account = &mut self.programs[key].account;
            let side = if in_doubt { &mut account.spent } else { &mut account.reserved };
            side.sub(attempt.reserved);
        }
        if in_doubt {
            return;
        }
        self.isolated -= usize::from(attempt.isolate);
        let running = &mut self.programs[program].running;
        running.retain(|key| *key != call);
        if running.is_empty() {
            self.cancelling.remove(&program);
        }
        if let Some(digest) = attempt.digest
            && let Some(in_flight) = self.in_flight.get_mut(&digest)
        {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.in_flight.remove(&digest);
            }
        }
    }

    fn charge(&mut self, call: CallKey, amounts: Amounts) {
        for key in self.charged_programs(self.calls[call].program) {
            self.programs[key].account.spent.add(amounts);
        }
    }

    pub(super) fn charged_programs(&self, program: ProgramKey) -> Vec<ProgramKey> {
        let mut lineage = self.lineage(program);
        if !self.safeguards.charge_ancestors {
            lineage.truncate(1);
        }
        lineage
    }

    /// Ends the program and each ancestor whose budget is exhausted and has nothing reserved.
    pub(super) fn end_if_exhausted(&mut self, program: ProgramKey) {
        for key in self.lineage(program) {
            let found = &self.programs[key];
            if found.account.is_exhausted() && found.account.reserved == Amounts::default() {
                self.end(key, EndReason::Budget);
            }
        }
    }

    /// Restarts the idle time of a program and its ancestors.
    pub(super) fn mark_active(&mut self, program: ProgramKey) {
        for key in self.lineage(program) {
            self.programs[key].active_ms = self.clock_ms;
        }
    }

    /// Updates crash scores: clears the request after an answer, and blames those that crashed.
    ///
    /// Returns the scores that changed by blame.
    fn score(&mut self, settled: &wire::Settled, attempt: &Attempt) -> Vec<wire::Score> {
        if settled.outcome() == Outcome::Done
            && let Some(digest) = attempt.digest
        {
            self.scores.clear(&digest);
        }
        let now_ms = self.clock_ms;
        settled.crashed.iter().filter_map(|share| self.scores.blame(share, now_ms)).collect()
    }
}

fn unknown_dispatch() -> Applied {
    let detail = "the dispatch was never granted here, or a newer attempt replaced it";
    Applied::Refused(refused(Refusal::DispatchUnknown, detail))
}
