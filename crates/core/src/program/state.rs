//! The replicated state of a program group and the entries that change it.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use compact_str::format_compact;
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
    /// Key of a program within the state of one replica.
    pub struct ProgramKey;
    /// Key of a call, that is of one idempotency key of one program, within the state.
    pub struct CallKey;
}

/// Program id qualified by its organisation; ids are unique only within one organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QualifiedName {
    /// Organisation that started the program.
    pub org: OrgName,
    /// Program id within the organisation.
    pub program: ProgramName,
}

impl QualifiedName {
    /// Converts a wire reference; a missing reference gives an empty name.
    pub fn from_wire(reference: Option<&wire::ProgramRef>) -> QualifiedName {
        let Some(reference) = reference else { return QualifiedName::default() };
        QualifiedName { org: (&reference.org).into(), program: (&reference.program).into() }
    }

    /// Converts the name to its wire form.
    pub fn to_wire(&self) -> wire::ProgramRef {
        wire::ProgramRef { org: self.org.to_string(), program: self.program.to_string() }
    }
}

/// Result of applying an entry, from which the leader builds its reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// The entry was applied and has no further result.
    Done,
    /// A dispatch of this call was granted.
    Granted(CallKey),
    /// The request was refused and must not be proposed again.
    Refused(wire::Refused),
    /// The state changed between proposal and application: the request must be decided again.
    Retry,
    /// An outcome was recorded; holds the crash scores that changed.
    Settled(Vec<wire::Score>),
}

/// Phase of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// A dispatch is recorded and its outcome has not been reported.
    Running(Box<Attempt>),
    /// The call ran and its answer is recorded.
    Ran {
        /// Response body of the endpoint.
        answer: Bytes,
        /// HTTP status of the response.
        status: u32,
    },
    /// The call is known not to have run; another attempt may be granted.
    NotRun,
    /// The outcome is unknown: the dispatch may have run or may still run.
    InDoubt(Box<Attempt>),
}

/// Attempt of a call whose outcome is not final.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// VM that received the grant and reports the outcome.
    pub(super) holder: VmId,
    /// Boot id of the process that received it.
    pub(super) boot_id: u32,
    /// Identifies the granted request, so that a repeat of it gets the same grant.
    pub(super) nonce: CompactString,
    pub(super) messages: Bytes,
    pub(super) hashes: Bytes,
    pub(super) reserved: Amounts,
    pub(super) max_output: u64,
    /// Group time at which the attempt counts as lost.
    pub(super) expires_ms: u64,
    pub(super) digest: Option<Digest>,
    pub(super) isolate: bool,
    /// Term of the leader that granted the attempt.
    pub(super) term: u64,
    /// Whether the reservation was taken from the program's escrow, to which the rest returns.
    pub(super) escrowed: bool,
}

/// A dispatch whose outcome has not been reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RunningDispatch {
    /// Program as `organisation/program`.
    pub program: CompactString,
    /// Whether the program has ended.
    pub ended: bool,
    /// Id of the dispatch.
    pub dispatch: CompactString,
    /// VM that received the grant and reports the outcome.
    pub holder: VmId,
    /// Time after which the dispatch counts as lost, in milliseconds.
    pub left_ms: u64,
}

/// State of one idempotency key of a program.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Call {
    pub(super) program: ProgramKey,
    pub(super) key: CompactString,
    /// Hash of the request that the key was first used for.
    pub(super) content: MessageHash,
    /// Id of the latest dispatch.
    pub(super) dispatch: CompactString,
    /// Turn number; zero for a service call.
    pub(super) turn: u64,
    pub(super) attempt: u32,
    pub(super) repeatable: bool,
    pub(super) phase: Phase,
}

/// Program that is live, or has ended and is still retained.
#[derive(Clone, Debug)]
pub(super) struct Program {
    pub(super) name: QualifiedName,
    pub(super) parent: Option<ProgramKey>,
    pub(super) children: Vec<ProgramKey>,
    pub(super) account: Account,
    pub(super) started_ms: u64,
    /// Group time of the last begin or settle of the program or a descendant.
    pub(super) active_ms: u64,
    /// Idle time after which the program ends; zero for the default of the settings.
    pub(super) idle_ms: u64,
    pub(super) history: History,
    pub(super) calls: HashMap<CompactString, CallKey>,
    pub(super) running: Vec<CallKey>,
    /// Endpoints that may hold memory of the program, most recent first.
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

/// Replicated state of one program group.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(super) clock_ms: u64,
    pub(super) programs: SlotMap<ProgramKey, Program>,
    pub(super) names: HashMap<QualifiedName, ProgramKey>,
    pub(super) calls: SlotMap<CallKey, Call>,
    /// Number of running calls by crash digest.
    pub(super) in_flight: HashMap<Digest, u32>,
    /// Number of running calls that have an engine to themselves.
    pub(super) isolated: usize,
    pub(super) scores: Scores,
    /// Ended programs of which some endpoint may still hold memory.
    pub(super) releasing: HashSet<ProgramKey>,
    /// Ended programs with a running dispatch.
    pub(super) cancelling: HashSet<ProgramKey>,
    /// Latest bundle revision whose lifted quarantines were applied.
    pub(super) lifted_revision: u64,
    /// Term of the entry that was applied last.
    pub(super) term: u64,
    pub(super) safeguards: Safeguards,
}

impl State {
    /// Returns an empty state.
    pub fn new() -> State {
        State::default()
    }

    /// Returns an empty state with the given safeguards; tests turn some of them off.
    #[doc(hidden)]
    pub fn with_safeguards(safeguards: Safeguards) -> State {
        State { safeguards, ..State::default() }
    }

    /// Applies one log entry. Replicas that applied the same entries hold equal states.
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

    /// Returns the group time of the latest entry in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the number of programs, including ended ones that are retained.
    pub fn program_count(&self) -> usize {
        self.programs.len()
    }

    /// Returns the number of idempotency keys of all programs.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the program exists and has not ended.
    pub fn is_alive(&self, name: &QualifiedName) -> bool {
        self.find(name).is_some_and(|p| p.ended.is_none())
    }

    /// Returns the time from the first call of a live program to its last activity.
    pub fn latency(&self, name: &QualifiedName) -> Option<Duration> {
        let program = self.find(name).filter(|_| self.is_alive(name))?;
        Some(Duration::from_millis(program.active_ms.saturating_sub(program.started_ms)))
    }

    /// Returns whether an endpoint may still hold memory of the program: the program is live, or
    /// one of its dispatches still runs and would fill the engine's cache again.
    pub fn may_hold_memory(&self, name: &QualifiedName) -> bool {
        self.find(name).is_some_and(|p| p.ended.is_none() || !p.running.is_empty())
    }

    /// Returns the running dispatches, for operators.
    pub fn running(&self) -> Vec<RunningDispatch> {
        let running = self.running_attempts().map(|(call, attempt)| {
            let program = &self.programs[call.program];
            RunningDispatch {
                program: format_compact!("{}/{}", program.name.org, program.name.program),
                ended: program.ended.is_some(),
                dispatch: call.dispatch.clone(),
                holder: attempt.holder,
                left_ms: attempt.expires_ms.saturating_sub(self.clock_ms),
            }
        });
        running.collect()
    }

    /// Returns the amounts that the program and its descendants have spent and have reserved.
    pub fn consumed(&self, name: &QualifiedName) -> Option<(Amounts, Amounts)> {
        self.find(name).map(|p| (p.account.spent, p.account.reserved))
    }

    /// Returns the history of a program as a JSON array of messages.
    pub fn history(&self, name: &QualifiedName) -> Option<Bytes> {
        self.find(name).map(|p| p.history.assemble(&[]).0)
    }

    /// Returns the size in memory of the program's history and its index in bytes.
    pub fn history_memory(&self, name: &QualifiedName) -> Option<usize> {
        self.find(name).map(|p| p.history.memory())
    }

    /// Returns whether `dispatch` is the latest dispatch of one of the program's keys.
    pub fn knows_dispatch(&self, name: &QualifiedName, dispatch: &str) -> bool {
        self.find_dispatch(name, dispatch).is_some()
    }

    /// Returns the phase of the call with the given idempotency key.
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
        let is_latest = |call: &CallKey| self.calls[*call].dispatch == dispatch;
        program
            .running
            .iter()
            .copied()
            .find(is_latest)
            .or_else(|| program.calls.values().copied().find(is_latest))
    }

    /// Returns the program followed by its ancestors, nearest first.
    pub(super) fn lineage(&self, program: ProgramKey) -> Vec<ProgramKey> {
        self.ancestry(program).collect()
    }

    fn ancestry(&self, program: ProgramKey) -> impl Iterator<Item = ProgramKey> {
        std::iter::successors(Some(program), |key| self.programs[*key].parent)
    }

    /// Returns the earliest group time at which the program or an ancestor reaches its time limit.
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

    /// Records that an endpoint may hold memory of the program, which may have ended.
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
    /// Returns whether the program ended before `before_ms` and nothing refers to it any more.
    pub(super) fn is_removable(&self, before_ms: u64) -> bool {
        let old = self.ended.is_some_and(|ended| ended.at_ms < before_ms);
        let closed = self.running.is_empty() && self.escrow.is_none();
        old && closed && self.endpoints.is_empty() && self.children.is_empty()
    }
}
