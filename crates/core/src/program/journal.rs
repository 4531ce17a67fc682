//! Applies begin entries: creates programs, reserves budget and opens attempts.
//!
//! The log decides the order of calls. If the state has changed since a begin was proposed, so that
//! it no longer fits, no attempt is opened and the request is decided again. See
//! docs/design/journal.md.

use bytes::Bytes;

use super::budget::{Account, Amounts, BudgetExceeded};
use super::escrow::full_reservation;
use super::history::History;
use super::quarantine::read_digest;
use super::replies::refused;
use super::state::{
    Applied, Attempt, Call, CallKey, Phase, Program, ProgramKey, QualifiedName, State,
};
use super::{CHILD_SEPARATOR, root_of};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::{EndReason, Refusal};

impl State {
    /// Records the intent to run a call and reserves its budget, or returns why it cannot run.
    pub(super) fn begin(&mut self, begin: &wire::Begin) -> Applied {
        if begin.escrowed {
            return self.begin_escrowed(begin);
        }
        let program = match self.open_program(begin) {
            Ok(program) => program,
            Err(refusal) => return Applied::Refused(refusal),
        };
        if let Err(answer) = self.check_begin(program, begin) {
            return answer;
        }
        self.close_previous_escrow(program);
        let reserved = match self.reserve(program, begin) {
            Ok(reserved) => reserved,
            Err(exceeded) => return Applied::Refused(self.refuse_budget(program, exceeded)),
        };
        self.open_escrow(program, begin);
        Applied::Granted(self.insert_attempt(program, begin, reserved))
    }

    /// Returns the program of a begin, creating it for its first call.
    fn open_program(&mut self, begin: &wire::Begin) -> Result<ProgramKey, wire::Refused> {
        let name = QualifiedName::from_wire(begin.program.as_ref());
        if let Some(key) = self.names.get(&name) {
            return Ok(*key);
        }
        let parent = self.parent_of(&name, &begin.parent)?;
        let account = Account { limits: begin.budget.unwrap_or_default(), ..Account::default() };
        let key = self.programs.insert(Program {
            name: name.clone(),
            parent,
            children: vec![],
            account,
            started_ms: self.clock_ms,
            active_ms: self.clock_ms,
            idle_ms: begin.idle_ms,
            history: History::default(),
            calls: Default::default(),
            running: vec![],
            endpoints: vec![],
            ended: None,
            escrow: None,
        });
        self.names.insert(name, key);
        if let Some(parent) = parent {
            self.programs[parent].children.push(key);
        }
        Ok(key)
    }

    /// Returns the parent of a new program.
    ///
    /// A child's id must start with the root's id, so that both are in one group and one log orders
    /// their reservations. An id with a separator must name a parent, so that a sub-agent cannot
    /// get a budget of its own.
    fn parent_of(
        &self,
        name: &QualifiedName,
        parent: &str,
    ) -> Result<Option<ProgramKey>, wire::Refused> {
        let is_child = name.program.contains(CHILD_SEPARATOR);
        if parent.is_empty() && !is_child {
            return Ok(None);
        }
        if parent.is_empty() {
            return Err(refused(Refusal::Invalid, "a program id with `/` needs its parent's id"));
        }
        if !is_child || root_of(parent) != root_of(&name.program) {
            let detail = format!("a child's id must begin with `{}/`", root_of(parent));
            return Err(refused(Refusal::Invalid, detail));
        }
        let parent = QualifiedName { org: name.org.clone(), program: parent.into() };
        let Some(key) = self.names.get(&parent).copied() else {
            return Err(refused(Refusal::ProgramNotFound, "no such parent program"));
        };
        if self.programs[key].ended.is_some() {
            return Err(refused(Refusal::ProgramEnded, "the parent program has ended"));
        }
        Ok(Some(key))
    }

    /// Checks a begin against its key, the program's state, the turn order and the crash scores.
    ///
    /// Ends the program if its deadline has passed.
    fn check_begin(&mut self, program: ProgramKey, begin: &wire::Begin) -> Result<(), Applied> {
        if let Some(call) = self.programs[program].calls.get(begin.key.as_str()).copied() {
            self.check_key(call, begin)?;
        }
        if self.deadline_ms(program).is_some_and(|due| due <= self.clock_ms) {
            self.end(program, EndReason::Deadline);
        }
        let found = &self.programs[program];
        if found.ended.is_some() {
            return Err(Applied::Refused(refused(Refusal::ProgramEnded, "the program has ended")));
        }
        if self.safeguards.serial_calls && !found.running.is_empty() {
            return Err(Applied::Retry);
        }
        if begin.turn > 0 && begin.turn != found.history.turns() + 1 {
            return Err(Applied::Retry);
        }
        self.check_crashes(begin)
    }

    /// Checks that the call of a known key may be granted another attempt.
    fn check_key(&self, call: CallKey, begin: &wire::Begin) -> Result<(), Applied> {
        let found = &self.calls[call];
        if self.safeguards.bind_content && found.content[..] != begin.content[..] {
            return Err(Applied::Retry);
        }
        match &found.phase {
            Phase::InDoubt(_) if found.repeatable || !self.safeguards.doubt_final => Ok(()),
            Phase::NotRun => Ok(()),
            _ => Err(Applied::Retry),
        }
    }

    /// Refuses quarantined requests, and postpones a suspect while another copy of it runs.
    fn check_crashes(&self, begin: &wire::Begin) -> Result<(), Applied> {
        let Some(digest) = read_digest(&begin.digest) else { return Ok(()) };
        if self.scores.get(&digest).quarantined {
            return Err(Applied::Refused(refused(
                Refusal::Quarantined,
                "this request crashed the endpoints that ran it",
            )));
        }
        let duplicate = self.in_flight.get(&digest).is_some_and(|n| *n > 0);
        if self.safeguards.isolate_suspects && self.scores.is_suspect(&digest) && duplicate {
            return Err(Applied::Retry);
        }
        Ok(())
    }

    /// Reserves the most that the call may consume, in the program and in every ancestor.
    ///
    /// The output bound is reduced to the smallest remaining token budget, but not below one token.
    fn reserve(&mut self, key: ProgramKey, begin: &wire::Begin) -> Result<Amounts, BudgetExceeded> {
        let lineage = self.charged_programs(key);
        let mut reserved = full_reservation(begin);
        let reducible = begin.max_output.saturating_sub(1);
        for ancestor in &lineage {
            self.programs[*ancestor].account.check(reserved, reducible)?;
        }
        for ancestor in &lineage {
            reserved.tokens = reserved.tokens.min(self.programs[*ancestor].account.left().tokens);
        }
        self.add_reserved(key, reserved);
        Ok(reserved)
    }

    /// Builds the refusal for a missing budget and ends programs whose budget is exhausted.
    fn refuse_budget(&mut self, program: ProgramKey, exceeded: BudgetExceeded) -> wire::Refused {
        self.end_if_exhausted(program);
        refused(Refusal::BudgetExceeded, exceeded)
    }

    pub(super) fn insert_attempt(
        &mut self,
        program: ProgramKey,
        begin: &wire::Begin,
        reserved: Amounts,
    ) -> CallKey {
        let digest = read_digest(&begin.digest);
        let isolate = self.safeguards.isolate_suspects
            && digest.is_some_and(|digest| self.scores.is_suspect(&digest));
        let attempt = Box::new(Attempt {
            holder: VmId(begin.holder),
            boot_id: begin.boot_id,
            nonce: (&begin.nonce).into(),
            messages: Bytes::copy_from_slice(&begin.messages),
            hashes: Bytes::copy_from_slice(&begin.hashes),
            reserved,
            max_output: reserved.tokens.saturating_sub(begin.prompt_tokens),
            expires_ms: begin.expires_ms,
            digest,
            isolate,
            term: self.term,
            escrowed: begin.escrowed,
        });
        self.isolated += usize::from(isolate);
        if let Some(digest) = digest {
            *self.in_flight.entry(digest).or_default() += 1;
        }
        let call = self.upsert_call(program, begin, attempt);
        self.programs[program].running.push(call);
        self.mark_active(program);
        call
    }

    fn upsert_call(
        &mut self,
        program: ProgramKey,
        begin: &wire::Begin,
        attempt: Box<Attempt>,
    ) -> CallKey {
        let key = CompactString::from(&begin.key);
        let known = self.programs[program].calls.get(&key).copied();
        let attempts = known.map_or(0, |call| self.calls[call].attempt);
        let fresh = Call {
            program,
            key: key.clone(),
            content: begin.content.as_ref().try_into().unwrap_or_default(),
            dispatch: (&begin.dispatch).into(),
            turn: begin.turn,
            attempt: attempts + 1,
            repeatable: begin.repeatable,
            phase: Phase::Running(attempt),
        };
        if let Some(call) = known {
            self.calls[call] = fresh;
            return call;
        }
        let call = self.calls.insert(fresh);
        self.programs[program].calls.insert(key, call);
        call
    }
}
