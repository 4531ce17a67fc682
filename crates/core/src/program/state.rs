//! The replicated state of a program group and the entries that change it.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use slotmap::{SlotMap, new_key_type};

use super::Safeguards;
use super::budget::{Account, Amounts};
use super::escrow::Escrow;
use super::history::History;
use super::messages::MessageHash;
use super::quarantine::{Digest, Scores};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::entry::Body;

new_key_type! {
    /// A program in the state's arena.
    pub struct ProgramKey;
    /// A call in the state's arena: one idempotency key of one program.
    pub struct CallKey;
}

/// Names a program. Two organisations' programs never meet, whatever they are called.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QualifiedName {
    /// The organisation that began the program.
    pub org: OrgName,
    /// The program's id within it.
    pub program: ProgramName,
}

impl QualifiedName {
    /// Reads a name off the wire; an absent one is empty.
    pub fn from_wire(reference: Option<&wire::ProgramRef>) -> QualifiedName {
        let Some(reference) = reference else { return QualifiedName::default() };
        QualifiedName { org: (&reference.org).into(), program: (&reference.program).into() }
    }

    /// Returns the name as messages carry it.
    pub fn to_wire(&self) -> wire::ProgramRef {
        wire::ProgramRef { org: self.org.to_string(), program: self.program.to_string() }
    }
}

/// What an entry did, for the leader that waits for it.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The entry took effect and nobody waits for more.
    Done,
    /// The dispatch may run.
    Granted(CallKey),
    /// The request is refused for good.
    Refused(wire::Refused),
    /// The state had moved on: the request must be looked at again.
    Retry,
    /// An outcome was recorded; the scores that it changed are attached.
    Settled(Vec<wire::Score>),
}

/// Where a call stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// A dispatch may be running; its holder alone knows.
    Running(Box<Attempt>),
    /// It ran, and this is its answer.
    Ran {
        /// The endpoint's answer.
        answer: Bytes,
        /// The answer's HTTP status.
        status: u32,
    },
    /// It was proved not to have run; the next attempt may be granted.
    NotRun,
    /// The holder is lost, so that it may have run or may still run.
    InDoubt(Box<Attempt>),
}

/// The open attempt of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub(super) holder: VmId,
    pub(super) nonce: CompactString,
    pub(super) messages: Bytes,
    pub(super) hashes: Bytes,
    pub(super) reserved: Amounts,
    pub(super) max_output: u64,
    pub(super) expires_ms: u64,
    pub(super) digest: Option<Digest>,
    pub(super) isolate: bool,
    /// Term of the leader that granted it.
    pub(super) term: u64,
    /// Reserved out of the program's escrow, to which the unused part returns.
    pub(super) escrowed: bool,
}

/// One idempotency key of a program.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Call {
    pub(super) program: ProgramKey,
    pub(super) key: CompactString,
    pub(super) content: MessageHash,
    pub(super) dispatch: CompactString,
    /// Zero for a service call.
    pub(super) turn: u64,
    pub(super) attempt: u32,
    pub(super) repeatable: bool,
    pub(super) phase: Phase,
}

/// A program under way or ended.
#[derive(Clone, Debug)]
pub(super) struct Program {
    pub(super) name: QualifiedName,
    pub(super) parent: Option<ProgramKey>,
    pub(super) children: Vec<ProgramKey>,
    pub(super) account: Account,
    pub(super) started_ms: u64,
    pub(super) active_ms: u64,
    pub(super) idle_ms: u64,
    pub(super) history: History,
    pub(super) calls: HashMap<CompactString, CallKey>,
    pub(super) running: Vec<CallKey>,
    /// Endpoints that may hold the program's memory, the latest first.
    pub(super) endpoints: Vec<EndpointName>,
    pub(super) ended: Option<Ended>,
    pub(super) escrow: Option<Escrow>,
}

/// When and why a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ended {
    pub(super) reason: wire::EndReason,
    pub(super) at_ms: u64,
}

/// All programs of one group.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(super) clock_ms: u64,
    pub(super) programs: SlotMap<ProgramKey, Program>,
    pub(super) names: HashMap<QualifiedName, ProgramKey>,
    pub(super) calls: SlotMap<CallKey, Call>,
    /// How many running calls carry a crash digest.
    pub(super) in_flight: HashMap<Digest, u32>,
    /// How many running calls have an engine to themselves.
    pub(super) isolated: usize,
    pub(super) scores: Scores,
    /// Programs that ended and whose memory some endpoint may still hold.
    pub(super) releasing: HashSet<ProgramKey>,
    /// Programs that ended with a dispatch still under way.
    pub(super) cancelling: HashSet<ProgramKey>,
    pub(super) lifted_revision: u64,
    /// Term of the entry that is being applied.
    pub(super) term: u64,
    pub(super) safeguards: Safeguards,
}

impl State {
    /// Returns an empty state.
    pub fn new() -> State {
        State::default()
    }

    /// Returns an empty state with some safeguards off, for tests of the safeguards.
    #[doc(hidden)]
    pub fn with_safeguards(safeguards: Safeguards) -> State {
        State { safeguards, ..State::default() }
    }

    /// Applies one entry of the log. Every replica that applied the same entries holds the same.
    pub fn apply(&mut self, entry: &wire::Entry) -> Applied {
        self.clock_ms = self.clock_ms.max(entry.at_ms);
        self.term = entry.term;
        match &entry.body {
            Some(Body::Begin(begin)) => self.begin(begin),
            Some(Body::Settled(settled)) => self.settle(settled),
            Some(Body::End(end)) => self.end_named(end),
            Some(Body::Touched(touched)) => self.touch(touched),
            Some(Body::Freed(freed)) => self.free(freed),
            Some(Body::Lost(lost)) => self.mark_lost(lost),
            Some(Body::Scores(scores)) => self.merge_scores(scores),
            Some(Body::Lifted(lifted)) => self.lift(lifted),
            Some(Body::Sweep(sweep)) => self.sweep(sweep),
            Some(Body::CloseEscrow(close)) => self.close_escrow(close),
            None => Applied::Done,
        }
    }

    /// Returns the group's time: that of the latest entry, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns how many programs are held, ended ones included.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// Returns how many idempotency keys are held.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Tells whether the program is known and has not ended.
    pub fn is_alive(&self, name: &QualifiedName) -> bool {
        self.find(name).is_some_and(|p| p.ended.is_none())
    }

    /// Returns the time from a live program's first call to its last answer.
    pub fn latency(&self, name: &QualifiedName) -> Option<Duration> {
        let program = self.find(name).filter(|_| self.is_alive(name))?;
        Some(Duration::from_millis(program.active_ms.saturating_sub(program.started_ms)))
    }

    /// Tells whether an endpoint may rightly hold memory of the program: it is under way, or it
    /// ended and a dispatch still runs, whose prefix an engine would only file again.
    pub fn may_hold_memory(&self, name: &QualifiedName) -> bool {
        self.find(name).is_some_and(|p| p.ended.is_none() || !p.running.is_empty())
    }

    /// Returns what the program and its descendants consumed for good, and what is reserved.
    pub fn consumed(&self, name: &QualifiedName) -> Option<(Amounts, Amounts)> {
        self.find(name).map(|p| (p.account.spent, p.account.reserved))
    }

    /// Returns the whole history of a program as a JSON array.
    pub fn history(&self, name: &QualifiedName) -> Option<Bytes> {
        self.find(name).map(|p| p.history.assemble(&[]).0)
    }

    /// Returns the bytes of memory of the program's history, its index included.
    pub fn history_memory(&self, name: &QualifiedName) -> Option<usize> {
        self.find(name).map(|p| p.history.memory())
    }

    /// Tells whether a dispatch is the latest of some key of the program.
    pub fn knows_dispatch(&self, name: &QualifiedName, dispatch: &str) -> bool {
        self.find_dispatch(name, dispatch).is_some()
    }

    /// Returns where the call behind a key stands.
    pub fn phase(&self, name: &QualifiedName, key: &str) -> Option<&Phase> {
        let call = self.find(name)?.calls.get(key)?;
        Some(&self.calls[*call].phase)
    }

    pub(super) fn find(&self, name: &QualifiedName) -> Option<&Program> {
        self.names.get(name).map(|key| &self.programs[*key])
    }

    pub(super) fn find_call(&self, name: &QualifiedName, key: &str) -> Option<CallKey> {
        self.find(name)?.calls.get(key).copied()
    }

    /// Returns the call whose latest attempt is `dispatch`.
    pub(super) fn find_dispatch(&self, name: &QualifiedName, dispatch: &str) -> Option<CallKey> {
        let program = self.find(name)?;
        let is_it = |call: &CallKey| self.calls[*call].dispatch == dispatch;
        program
            .running
            .iter()
            .copied()
            .find(is_it)
            .or_else(|| program.calls.values().copied().find(is_it))
    }

    /// Returns the program and its ancestors, itself first.
    pub(super) fn lineage(&self, program: ProgramKey) -> Vec<ProgramKey> {
        self.ancestry(program).collect()
    }

    fn ancestry(&self, program: ProgramKey) -> impl Iterator<Item = ProgramKey> {
        std::iter::successors(Some(program), |key| self.programs[*key].parent)
    }

    /// Returns the group time at which the program or an ancestor reaches its time limit.
    pub(super) fn deadline_ms(&self, program: ProgramKey) -> Option<u64> {
        let limits = self.ancestry(program).filter_map(|key| {
            let program = &self.programs[key];
            let millis = program.account.limits.millis;
            (millis > 0).then(|| program.started_ms.saturating_add(millis))
        });
        limits.min()
    }

    fn touch(&mut self, touched: &wire::Touched) -> Applied {
        let name = QualifiedName::from_wire(touched.program.as_ref());
        if let Some(key) = self.names.get(&name).copied() {
            self.add_endpoint(key, &touched.endpoint);
        }
        Applied::Done
    }

    /// Records that an endpoint may hold memory of the program, also of one that has ended.
    pub(super) fn add_endpoint(&mut self, key: ProgramKey, endpoint: &str) {
        if endpoint.is_empty() {
            return;
        }
        let program = &mut self.programs[key];
        program.endpoints.retain(|e| e != endpoint);
        program.endpoints.insert(0, endpoint.into());
        if program.ended.is_some() {
            self.releasing.insert(key);
        }
    }

    fn free(&mut self, freed: &wire::Freed) -> Applied {
        if freed.program.is_none() {
            let all: Vec<ProgramKey> = self.programs.keys().collect();
            all.into_iter().for_each(|key| self.drop_endpoint(key, &freed.endpoint));
            return Applied::Done;
        }
        let name = QualifiedName::from_wire(freed.program.as_ref());
        if let Some(key) = self.names.get(&name).copied()
            && self.programs[key].ended.is_some()
        {
            self.drop_endpoint(key, &freed.endpoint);
        }
        Applied::Done
    }

    fn drop_endpoint(&mut self, key: ProgramKey, endpoint: &str) {
        let program = &mut self.programs[key];
        program.endpoints.retain(|e| e != endpoint);
        if program.endpoints.is_empty() {
            self.releasing.remove(&key);
        }
    }

    fn merge_scores(&mut self, scores: &wire::Scores) -> Applied {
        for score in &scores.scores {
            self.scores.merge(score, self.clock_ms);
        }
        Applied::Done
    }

    fn lift(&mut self, lifted: &wire::Lifted) -> Applied {
        self.lifted_revision = self.lifted_revision.max(lifted.revision);
        lifted.digests.iter().for_each(|digest| self.scores.lift(digest));
        Applied::Done
    }

    fn sweep(&mut self, sweep: &wire::Sweep) -> Applied {
        self.scores.expire(sweep.scored_ms);
        let old: Vec<ProgramKey> = self
            .programs
            .iter()
            .filter(|(_, p)| p.is_removable(sweep.ended_ms))
            .map(|(key, _)| key)
            .collect();
        old.into_iter().for_each(|key| self.remove_program(key));
        Applied::Done
    }

    fn remove_program(&mut self, key: ProgramKey) {
        let Some(program) = self.programs.remove(key) else { return };
        self.names.remove(&program.name);
        for call in program.calls.values() {
            self.calls.remove(*call);
        }
        if let Some(parent) = program.parent.and_then(|p| self.programs.get_mut(p)) {
            parent.children.retain(|child| *child != key);
        }
    }
}

impl Program {
    /// Tells whether retention allows to forget the program: nothing of it is open any more.
    pub(super) fn is_removable(&self, before_ms: u64) -> bool {
        let old = self.ended.is_some_and(|ended| ended.at_ms < before_ms);
        let closed = self.running.is_empty() && self.escrow.is_none();
        old && closed && self.endpoints.is_empty() && self.children.is_empty()
    }
}
