//! Escrow: budget reserved in advance, from which the leader grants turns without waiting.
//!
//! The first turn of a program waits for its commit and reserves more than it needs. Later turns
//! are granted from that reserve at once, before their begin is committed. See
//! docs/design/budget.md for what happens to the escrow when the leader changes.

use super::budget::Amounts;
use super::state::{Applied, Attempt, CallKey, Phase, Program, ProgramKey, QualifiedName, State};
use crate::wire::program as wire;

/// Divisor of an account's remaining budget; the quotient bounds what one escrow may hold.
const ESCROW_DIVISOR: u64 = 8;

/// Budget reserved in advance for one program; counts as reserved in every ancestor too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Escrow {
    /// Term of the leader that may grant turns from the escrow.
    pub(super) term: u64,
    /// Amounts that are reserved and not granted yet.
    pub(super) amounts: Amounts,
}

impl State {
    /// Records a turn that its leader granted from the escrow before this entry was committed.
    ///
    /// The dispatch may already run, so it is recorded even if the program has ended; otherwise it
    /// could not be settled, cancelled or charged. If its turn is already taken, it must not add a
    /// second answer to the history: its reservation is charged and its settle will be refused.
    /// The leader avoids that case; this is the replicated check.
    pub(super) fn begin_escrowed(&mut self, begin: &wire::Begin) -> Applied {
        let name = QualifiedName::from_wire(begin.program.as_ref());
        let Some(program) = self.names.get(&name).copied() else { return Applied::Done };
        let reserved = full_reservation(begin);
        let term = self.term;
        match &mut self.programs[program].escrow {
            Some(escrow) if escrow.term == term && escrow.amounts.covers(reserved) => {
                escrow.amounts.sub(reserved);
            }
            _ => self.add_reserved(program, reserved),
        }
        if self.is_turn_taken(program, begin) {
            self.spend_reserved(program, reserved);
            return Applied::Done;
        }
        let call = self.insert_attempt(program, begin, reserved);
        if self.programs[program].ended.is_some() {
            self.cancelling.insert(program);
        }
        Applied::Granted(call)
    }

    /// Returns whether an attempt in doubt may still be settled as the given turn.
    pub(super) fn has_turn_in_doubt(&self, program: ProgramKey, turn: u64) -> bool {
        let mut calls = self.programs[program].calls.values().map(|call| &self.calls[*call]);
        calls.any(|call| call.turn == turn && matches!(call.phase, Phase::InDoubt(_)))
    }

    fn is_turn_taken(&self, program: ProgramKey, begin: &wire::Begin) -> bool {
        let found = &self.programs[program];
        let call = found.calls.get(begin.key.as_str()).map(|call| &self.calls[*call].phase);
        let answered = matches!(call, Some(Phase::Ran { .. } | Phase::Running(_)));
        answered || begin.turn != found.history.turns() + 1
    }

    /// Reserves budget for later turns, limited by the remaining budget of every ancestor.
    pub(super) fn open_escrow(&mut self, program: ProgramKey, begin: &wire::Begin) {
        let Some(ahead) = begin.ahead else { return };
        let mut amounts = Amounts::from_record(ahead);
        for key in self.charged_programs(program) {
            let left = self.programs[key].account.left();
            amounts.limit(left.divided(ESCROW_DIVISOR));
        }
        if amounts.calls == 0 {
            return;
        }
        self.add_reserved(program, amounts);
        self.programs[program].escrow = Some(Escrow { term: self.term, amounts });
    }

    /// Closes the escrow that exists when a begin is applied.
    ///
    /// A leader of an earlier term may have granted a turn from the escrow whose begin never
    /// reached the log. Its escrow is charged as spent, so that no budget is granted twice.
    pub(super) fn close_previous_escrow(&mut self, program: ProgramKey) {
        let escrow = self.programs[program].escrow;
        let old = escrow.is_some_and(|escrow| escrow.term != self.term);
        self.remove_escrow(program, old && self.safeguards.spend_escrow);
    }

    /// Applies the closing of an escrow that a leader proposed.
    pub(super) fn close_escrow(&mut self, close: &wire::CloseEscrow) -> Applied {
        let name = QualifiedName::from_wire(close.program.as_ref());
        let Some(program) = self.names.get(&name).copied() else { return Applied::Done };
        let found = &self.programs[program];
        let old = found.escrow.is_some_and(|escrow| escrow.term != self.term);
        // While a call runs, nothing else was granted; its settle closes the escrow.
        if old && !found.running.is_empty() {
            return Applied::Done;
        }
        self.remove_escrow(program, close.spent || (old && self.safeguards.spend_escrow));
        self.end_if_exhausted(program);
        Applied::Done
    }

    /// Returns the unused part of an attempt's reservation to the escrow it was taken from.
    ///
    /// After a leader change the escrow is closed and its rest becomes available again: while the
    /// attempt ran, its leader granted nothing else. That does not hold for an attempt in doubt.
    pub(super) fn return_unused(&mut self, call: CallKey, attempt: &Attempt, used: Amounts) {
        let program = self.calls[call].program;
        let Some(escrow) = self.programs[program].escrow else { return };
        let running = matches!(self.calls[call].phase, Phase::Running(_));
        if escrow.term != attempt.term || !running {
            return;
        }
        if escrow.term != self.term {
            return self.remove_escrow(program, false);
        }
        if attempt.escrowed {
            let mut unused = attempt.reserved;
            unused.sub(used);
            self.add_reserved(program, unused);
            let amounts = &mut self.programs[program].escrow;
            amounts.iter_mut().for_each(|escrow| escrow.amounts.add(unused));
        }
    }

    /// Adds to the reserved amounts of the program and its ancestors.
    pub(super) fn add_reserved(&mut self, program: ProgramKey, amounts: Amounts) {
        for key in self.charged_programs(program) {
            self.programs[key].account.reserved.add(amounts);
        }
    }

    fn remove_escrow(&mut self, program: ProgramKey, spent: bool) {
        let Some(escrow) = self.programs[program].escrow.take() else { return };
        if spent {
            return self.spend_reserved(program, escrow.amounts);
        }
        for key in self.charged_programs(program) {
            self.programs[key].account.reserved.sub(escrow.amounts);
        }
    }

    fn spend_reserved(&mut self, program: ProgramKey, amounts: Amounts) {
        for key in self.charged_programs(program) {
            let account = &mut self.programs[key].account;
            account.reserved.sub(amounts);
            account.spent.add(amounts);
        }
    }
}

impl Program {
    /// Returns whether the leader of `term` may grant the begin from the escrow.
    pub(super) fn escrow_covers(&self, term: u64, begin: &wire::Begin) -> bool {
        let covers =
            |escrow: Escrow| escrow.term == term && escrow.amounts.covers(full_reservation(begin));
        self.escrow.is_some_and(covers)
    }
}

/// Returns the reservation of a begin before its output bound is reduced.
pub(super) fn full_reservation(begin: &wire::Begin) -> Amounts {
    let tokens = begin.prompt_tokens.saturating_add(begin.max_output);
    Amounts { tokens, calls: 1, micros: begin.max_micros }
}
