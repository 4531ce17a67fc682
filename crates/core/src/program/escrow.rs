//! Escrow: budget reserved ahead, out of which the leader grants turns without waiting.
//!
//! The first turn of a program waits for its commit and reserves more than it needs. Later turns
//! are granted out of that at once, while their begin is still on its way through the log. See
//! docs/design/budget.md for what becomes of the escrow when the leader changes.

use super::budget::Amounts;
use super::state::{Applied, Attempt, CallKey, Phase, Program, ProgramKey, QualifiedName, State};
use crate::wire::program as wire;

/// Share of what is left in an account that an escrow may hold: one part in this many.
const ESCROW_DIVISOR: u64 = 8;

/// Budget reserved ahead for one program; it counts as held in every ancestor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Escrow {
    /// Term of the leader that may grant out of it.
    pub(super) term: u64,
    pub(super) amounts: Amounts,
}

impl State {
    /// Records a turn that its leader granted out of the escrow before this entry was committed.
    ///
    /// It is running whatever happened meanwhile, also if the program ended, so it is recorded
    /// all the same: only then can it be settled, cancelled and counted. But if its turn is taken,
    /// it would put a second answer into the history. Then it only counts as spent, and its settle
    /// is refused. The leader grants nothing early while that can happen; this makes sure of it.
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

    /// Tells whether a lost attempt may yet be settled as the given turn.
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

    /// Reserves ahead for later turns, as far as every ancestor can spare it.
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

    /// Closes the escrow that a waiting begin finds.
    ///
    /// The leader of an earlier term may have granted a turn out of it whose begin never reached
    /// the log. Given back, the same budget would be granted twice; so it counts as spent.
    pub(super) fn close_previous_escrow(&mut self, program: ProgramKey) {
        let escrow = self.programs[program].escrow;
        let old = escrow.is_some_and(|escrow| escrow.term != self.term);
        self.remove_escrow(program, old && self.safeguards.spend_escrow);
    }

    /// Applies the closing that a leader asks for.
    pub(super) fn close_escrow(&mut self, close: &wire::CloseEscrow) -> Applied {
        let name = QualifiedName::from_wire(close.program.as_ref());
        let Some(program) = self.names.get(&name).copied() else { return Applied::Done };
        let found = &self.programs[program];
        let old = found.escrow.is_some_and(|escrow| escrow.term != self.term);
        // A call under way shows that nothing else was granted; its settle closes the escrow.
        if old && !found.running.is_empty() {
            return Applied::Done;
        }
        self.remove_escrow(program, close.spent || (old && self.safeguards.spend_escrow));
        self.end_if_exhausted(program);
        Applied::Done
    }

    /// Gives back what an attempt did not use: to the escrow that it came from, if its leader
    /// still leads.
    ///
    /// After a leader change the escrow is closed, and nothing of it is lost: the attempt was
    /// under way from its begin until now, so its leader granted nothing else meanwhile. That
    /// does not hold of an attempt that was lost in between.
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

    /// Counts amounts as held in the program and its ancestors.
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
    /// Tells whether the leader of a term may grant the begin out of the escrow.
    pub(super) fn escrow_covers(&self, term: u64, begin: &wire::Begin) -> bool {
        let covers =
            |escrow: Escrow| escrow.term == term && escrow.amounts.covers(full_reservation(begin));
        self.escrow.is_some_and(covers)
    }
}

/// Returns what a begin reserves when nothing of it is cut.
pub(super) fn full_reservation(begin: &wire::Begin) -> Amounts {
    let tokens = begin.prompt_tokens.saturating_add(begin.max_output);
    Amounts { tokens, calls: 1, micros: begin.max_micros }
}
