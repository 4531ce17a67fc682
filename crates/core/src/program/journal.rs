//! Begin, settle, lose and end: the entries that make the call journal.
//!
//! The order of these entries in the log is the only order there is. A begin that finds the state
//! other than its proposer saw it changes nothing and is looked at again. See
//! docs/design/journal.md.

use bytes::Bytes;

use super::budget::{Account, Amounts, Shortage};
use super::history::History;
use super::messages::HASH_LEN;
use super::quarantine::read_digest;
use super::replies::refused;
use super::state::{
    Applied, Attempt, Call, CallKey, Ended, Name, Phase, Program, ProgramKey, State,
};
use super::{CHILD_SEPARATOR, root_of};
use crate::prelude::*;
use crate::wire::common::Outcome;
use crate::wire::program as wire;
use crate::wire::program::{EndReason, Refusal};

impl State {
    /// Records the intent to run a call and reserves its budget, or tells why not.
    pub(super) fn begin(&mut self, begin: &wire::Begin) -> Applied {
        let program = match self.open_program(begin) {
            Ok(program) => program,
            Err(refusal) => return Applied::Refused(refusal),
        };
        if let Err(answer) = self.check_begin(program, begin) {
            return answer;
        }
        let reserved = match self.reserve(program, begin) {
            Ok(reserved) => reserved,
            Err(shortage) => return Applied::Refused(self.refuse_budget(program, shortage)),
        };
        Applied::Granted(self.insert_attempt(program, begin, reserved))
    }

    /// Records the outcome of a dispatch. A settle that was applied before is confirmed again.
    pub(super) fn settle(&mut self, settled: &wire::Settled) -> Applied {
        let name = Name::of(settled.program.as_ref());
        let Some(call) = self.find_dispatch(&name, &settled.dispatch) else {
            return unknown_dispatch();
        };
        let program = self.calls[call].program;
        self.add_endpoint(program, &settled.endpoint);
        let attempt = match &self.calls[call].phase {
            Phase::Running(attempt) | Phase::InDoubt(attempt) => attempt.clone(),
            Phase::Ran { .. } | Phase::NotRun => return Applied::Settled(vec![]),
        };
        if self.safeguards.holder_only && attempt.holder != VmId(settled.holder) {
            let detail = format!("the dispatch was granted to {}", attempt.holder);
            return Applied::Refused(refused(Refusal::NotHolder, detail));
        }
        if self.is_overtaken(call) {
            return unknown_dispatch();
        }
        let scores = self.score(settled, &attempt);
        self.close(call, settled, *attempt);
        self.mark_active(program);
        self.end_if_spent(program);
        Applied::Settled(scores)
    }

    /// Takes dispatches for lost: their outcome is in doubt from now on.
    pub(super) fn lose(&mut self, lost: &wire::Lost) -> Applied {
        for lost in &lost.dispatches {
            let name = Name::of(lost.program.as_ref());
            if let Some(call) = self.find_dispatch(&name, &lost.dispatch) {
                self.doubt(call, None);
            }
        }
        Applied::Done
    }

    /// Ends a program by its name.
    pub(super) fn end_named(&mut self, end: &wire::End) -> Applied {
        let name = Name::of(end.program.as_ref());
        let Some(key) = self.names.get(&name).copied() else {
            return Applied::Refused(refused(Refusal::ProgramNotFound, "no such program"));
        };
        self.end(key, end.reason());
        Applied::Done
    }

    /// Ends a program and its descendants; the first reason stays.
    fn end(&mut self, key: ProgramKey, reason: EndReason) {
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

    /// Returns the program of a begin, and creates it if this is its first call.
    fn open_program(&mut self, begin: &wire::Begin) -> Result<ProgramKey, wire::Refused> {
        let name = Name::of(begin.program.as_ref());
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
        });
        self.names.insert(name, key);
        if let Some(parent) = parent {
            self.programs[parent].children.push(key);
        }
        Ok(key)
    }

    /// Returns the parent of a new program.
    ///
    /// A child's id must carry its root's, else the two could live in different groups and no
    /// single log would see both reservations; and an id with a separator must have a parent,
    /// else a sub-agent could begin with a budget of its own.
    fn parent_of(&self, name: &Name, parent: &str) -> Result<Option<ProgramKey>, wire::Refused> {
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
        let parent = Name { org: name.org.clone(), program: parent.into() };
        let Some(key) = self.names.get(&parent).copied() else {
            return Err(refused(Refusal::ProgramNotFound, "no such parent program"));
        };
        if self.programs[key].ended.is_some() {
            return Err(refused(Refusal::ProgramEnded, "the parent program has ended"));
        }
        Ok(Some(key))
    }

    /// Tells whether a begin may go ahead as far as order, key and crash scores say.
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

    /// Tells whether the call behind a known key may be granted again.
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

    /// Refuses quarantined requests, and a second run of a suspect beside its first.
    fn check_crashes(&self, begin: &wire::Begin) -> Result<(), Applied> {
        let Some(digest) = read_digest(&begin.digest) else { return Ok(()) };
        if self.scores.get(&digest).quarantined {
            return Err(Applied::Refused(refused(Refusal::Quarantined, "crashed its endpoints")));
        }
        let beside = self.flights.get(&digest).is_some_and(|n| *n > 0);
        if self.safeguards.isolate_suspects && self.scores.is_suspect(&digest) && beside {
            return Err(Applied::Retry);
        }
        Ok(())
    }

    /// Reserves what the call may consume at most, in the program and in every ancestor.
    ///
    /// The output bound is cut to what the tightest of them has left, but never to nothing.
    fn reserve(&mut self, key: ProgramKey, begin: &wire::Begin) -> Result<Amounts, Shortage> {
        let mut line = self.lineage(key);
        if !self.safeguards.charge_ancestors {
            line.truncate(1);
        }
        let mut asked = Amounts { tokens: 0, calls: 1, micros: begin.max_micros };
        let spare = begin.max_output.saturating_sub(1);
        asked.tokens = begin.prompt_tokens.saturating_add(begin.max_output);
        for ancestor in &line {
            self.programs[*ancestor].account.check(asked, spare)?;
        }
        for ancestor in &line {
            asked.tokens = asked.tokens.min(self.programs[*ancestor].account.left().tokens);
        }
        for ancestor in &line {
            self.programs[*ancestor].account.held.add(asked);
        }
        Ok(asked)
    }

    /// Refuses for want of budget, and ends the program whose budget is spent for good.
    fn refuse_budget(&mut self, program: ProgramKey, shortage: Shortage) -> wire::Refused {
        self.end_if_spent(program);
        refused(Refusal::BudgetExceeded, shortage)
    }

    /// Ends every program of the lineage that can never be granted another call.
    fn end_if_spent(&mut self, program: ProgramKey) {
        for key in self.lineage(program) {
            let found = &self.programs[key];
            if found.account.is_spent() && found.account.held == Amounts::default() {
                self.end(key, EndReason::Budget);
            }
        }
    }

    fn insert_attempt(
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
            nonce: (&begin.nonce).into(),
            messages: Bytes::copy_from_slice(&begin.messages),
            hashes: Bytes::copy_from_slice(&begin.hashes),
            reserved,
            max_output: reserved.tokens.saturating_sub(begin.prompt_tokens),
            expires_ms: begin.expires_ms,
            digest,
            isolate,
        });
        if let Some(digest) = digest {
            *self.flights.entry(digest).or_default() += 1;
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

    /// Tells whether a lost turn can no longer be taken over: its place is taken or being filled.
    fn is_overtaken(&self, call: CallKey) -> bool {
        let found = &self.calls[call];
        let program = &self.programs[found.program];
        let in_doubt = matches!(found.phase, Phase::InDoubt(_));
        let next = program.history.turns() + 1;
        in_doubt && found.turn > 0 && (found.turn != next || !program.running.is_empty())
    }

    /// Moves a call out of its open phase, as its holder says.
    fn close(&mut self, call: CallKey, settled: &wire::Settled, attempt: Attempt) {
        match settled.outcome() {
            Outcome::Done => self.close_ran(call, settled, attempt),
            Outcome::NotRun => self.close_unrun(call),
            Outcome::Unknown => self.doubt(call, settled.usage.as_ref()),
        }
    }

    fn close_ran(&mut self, call: CallKey, settled: &wire::Settled, attempt: Attempt) {
        let usage = settled.usage.unwrap_or_default();
        self.release(call, &attempt);
        self.charge(call, Amounts::of_usage(&usage));
        let found = &mut self.calls[call];
        // A slice would keep the whole log entry in memory for as long as the key lives.
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

    fn close_unrun(&mut self, call: CallKey) {
        let attempt = match &self.calls[call].phase {
            Phase::Running(attempt) | Phase::InDoubt(attempt) => attempt.clone(),
            _ => return,
        };
        self.release(call, &attempt);
        self.calls[call].phase = Phase::NotRun;
    }

    /// Puts a running call in doubt. Its reservation stays spent, for it may have run, unless the
    /// holder itself tells what was consumed.
    fn doubt(&mut self, call: CallKey, usage: Option<&wire::Usage>) {
        let Phase::Running(attempt) = self.calls[call].phase.clone() else { return };
        self.release(call, &attempt);
        let mut kept = *attempt;
        if self.safeguards.keep_doubtful {
            let told = usage.filter(|usage| usage.prompt_tokens > 0);
            kept.reserved = told.map_or(kept.reserved, Amounts::of_usage);
            self.charge(call, kept.reserved);
        }
        self.calls[call].phase = Phase::InDoubt(Box::new(kept));
    }

    /// Gives back a reservation: out of what is held while the call runs, and out of what is
    /// spent once it was in doubt.
    fn release(&mut self, call: CallKey, attempt: &Attempt) {
        let in_doubt = matches!(self.calls[call].phase, Phase::InDoubt(_));
        let program = self.calls[call].program;
        for key in self.charged(program) {
            let account = &mut self.programs[key].account;
            let side = if in_doubt { &mut account.spent } else { &mut account.held };
            side.sub(attempt.reserved);
        }
        if in_doubt {
            return;
        }
        let running = &mut self.programs[program].running;
        running.retain(|key| *key != call);
        if running.is_empty() {
            self.cancelling.remove(&program);
        }
        if let Some(digest) = attempt.digest
            && let Some(flights) = self.flights.get_mut(&digest)
        {
            *flights -= 1;
            if *flights == 0 {
                self.flights.remove(&digest);
            }
        }
    }

    fn charge(&mut self, call: CallKey, amounts: Amounts) {
        for key in self.charged(self.calls[call].program) {
            self.programs[key].account.spent.add(amounts);
        }
    }

    pub(super) fn charged(&self, program: ProgramKey) -> Vec<ProgramKey> {
        let mut line = self.lineage(program);
        if !self.safeguards.charge_ancestors {
            line.truncate(1);
        }
        line
    }

    /// Keeps a program and its ancestors from counting as idle.
    fn mark_active(&mut self, program: ProgramKey) {
        for key in self.lineage(program) {
            self.programs[key].active_ms = self.clock_ms;
        }
    }

    /// Clears or blames requests for what the settle says of its endpoint.
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
