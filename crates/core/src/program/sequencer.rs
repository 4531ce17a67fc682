//! Handles the requests of a program group: takes inputs, emits proposals and replies.
//!
//! Bookkeeping outside the [`State`] is discarded on a leader change. Everything that a caller was
//! promised is in the replicated state. See docs/design/programs.md.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use prost::Message;

use super::State;
use super::audit::leaks_reply;
use super::call_request::CallRequest;
use super::crashes::CrashTracker;
use super::deadlines::ResendTimers;
use super::early_grants::EarlyGrant;
use super::holder::EndedHolder;
use super::interface::{Effect, Input, ProposalId, RequestToken};
use super::leadership::LeaderState;
use super::parked_requests::{ParkedRequests, QueueKey};
use super::proposals::PendingProposal;
use super::replies::{refusal, reply};
use super::settings::Settings;
use super::state::{Applied, QualifiedName};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::Refusal;
use crate::wire::program::entry::Body as EntryBody;
use crate::wire::program::reply::Body as ReplyBody;
use crate::wire::program::request::Body as RequestBody;

/// Request to run a call that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct CallWaiter {
    pub(super) token: RequestToken,
    pub(super) from: VmId,
    /// Group time at which the caller stops waiting.
    pub(super) deadline_ms: u64,
    pub(super) request: CallRequest,
    /// Whether the request is a crash suspect that needs an engine to itself.
    pub(super) isolate: bool,
}

/// Request handling and state of one replica of a program group.
///
/// Does no I/O: [`Sequencer::step`] takes the time and an input, and returns effects.
#[derive(Debug)]
pub struct Sequencer {
    pub(super) settings: Settings,
    pub(super) group: GroupId,
    pub(super) state: State,
    pub(super) leader_state: Option<LeaderState>,
    /// Store VM of the leader, if this replica follows one.
    pub(super) leader: Option<VmId>,
    applied: u64,
    /// Bundle revision in force; requests under an older one are refused.
    pub(super) revision: RevisionNumber,
    /// Digests that the revision in force lifts from quarantine.
    pub(super) lifted_digests: Vec<Bytes>,
    pub(super) last_proposal: u64,
    last_dispatch: u64,
    pub(super) pending: HashMap<ProposalId, PendingProposal>,
    /// Pending proposals that no request waits for.
    pub(super) maintenance: HashSet<ProposalId>,
    pub(super) parked: ParkedRequests,
    /// Programs for which a begin or the closing of an escrow is proposed and not yet committed.
    pub(super) pending_programs: HashSet<QualifiedName>,
    pub(super) crashes: CrashTracker,
    /// Dispatches that this leader is withdrawing and must not grant.
    pub(super) withdrawn: HashSet<CompactString>,
    /// Dispatches that were granted from an escrow and whose begin is not applied yet.
    pub(super) early_grants: HashMap<CompactString, EarlyGrant>,
    /// Programs whose escrow overstates the remaining budget because an early begin failed.
    pub(super) invalid_escrows: HashSet<QualifiedName>,
    /// VMs declared dead before this leader was ready.
    pub(super) ended_holders: Vec<EndedHolder>,
    pub(super) release_timers: ResendTimers,
    pub(super) cancel_timers: ResendTimers,
    /// Group time of the last scan for due work.
    pub(super) scanned_ms: u64,
    /// Whether the replica stopped at an unreadable entry or snapshot.
    halted: bool,
}

impl Sequencer {
    /// Returns the sequencer of a replica whose log is empty.
    pub fn new(group: GroupId, settings: Settings) -> Sequencer {
        let state = State::with_safeguards(settings.safeguards);
        Sequencer {
            settings,
            group,
            state,
            leader_state: None,
            leader: None,
            applied: 0,
            revision: RevisionNumber(0),
            lifted_digests: vec![],
            last_proposal: 0,
            last_dispatch: 0,
            pending: HashMap::new(),
            maintenance: HashSet::new(),
            parked: ParkedRequests::default(),
            pending_programs: HashSet::new(),
            crashes: CrashTracker::default(),
            withdrawn: HashSet::new(),
            early_grants: HashMap::new(),
            invalid_escrows: HashSet::new(),
            ended_holders: vec![],
            release_timers: ResendTimers::default(),
            cancel_timers: ResendTimers::default(),
            scanned_ms: 0,
            halted: false,
        }
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the log index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the number of requests that wait in a queue before they are proposed.
    pub fn parked_count(&self) -> usize {
        self.parked.len()
    }

    /// Handles one input and appends the resulting effects to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        if self.halted && !matches!(input, Input::Request { .. } | Input::Restored { .. }) {
            return;
        }
        match input {
            Input::Request { token, from, request } => {
                self.handle_request(now, token, from, request, out)
            }
            Input::Committed { index, data } => self.committed(now, index, data, out),
            Input::Restored { index, data } => self.restored(index, &data, out),
            Input::Leading { term } => self.become_leader(now, term, out),
            Input::Following { leader } => self.become_follower(leader, out),
            Input::ProposalFailed { proposal } => self.proposal_failed(proposal, out),
            Input::Config { revision, lifted } => self.configure(now, revision, lifted, out),
            Input::VmGone { vm } => self.holder_ended(now, EndedHolder::dead(vm), out),
            Input::VmRuns { vm, boot_id } => {
                self.holder_ended(now, EndedHolder::replaced(vm, boot_id), out)
            }
            Input::EndpointGone { endpoint } => self.endpoint_gone(now, endpoint, out),
            Input::Scores { scores } => self.import_scores(now, scores, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Returns a new dispatch id; the group and the term make it unique across leaders.
    pub(super) fn next_dispatch(&mut self) -> CompactString {
        self.last_dispatch += 1;
        let term = self.leader_state.map_or(0, |lead| lead.term);
        compact_str::format_compact!("{}.t{}.{}", self.group, term, self.last_dispatch)
    }

    fn handle_request(
        &mut self,
        now: Time,
        token: RequestToken,
        from: VmId,
        request: wire::Request,
        out: &mut Vec<Effect>,
    ) {
        if self.leader_state.is_none() {
            return out.push(Effect::Reply { token, reply: self.not_leader() });
        }
        match request.body {
            Some(RequestBody::BeginTurn(turn)) => {
                let request = CallRequest::from_turn(&turn, &self.settings);
                self.begin(now, token, from, request, out);
            }
            Some(RequestBody::BeginCall(call)) => {
                self.begin(now, token, from, CallRequest::from_call(&call), out);
            }
            Some(RequestBody::Settle(settle)) => self.settle(now, token, from, settle, out),
            Some(RequestBody::Started(started)) => self.record_started(now, token, started, out),
            Some(RequestBody::EndProgram(end)) => {
                let reason = wire::EndReason::Word.into();
                let end = wire::End { program: end.program, reason };
                self.propose(now, EntryBody::End(end), PendingProposal::Reply(token), out);
            }
            Some(RequestBody::Released(released)) => {
                let wire::Released { program, endpoint } = released;
                let program = Some(program.unwrap_or_default());
                let freed = wire::Freed { program, endpoint };
                self.propose(now, EntryBody::Freed(freed), PendingProposal::Reply(token), out);
            }
            Some(RequestBody::Audit(audit)) => {
                out.push(Effect::Reply { token, reply: leaks_reply(&self.state, &audit) });
            }
            None => self.begin(now, token, from, Err("the request is empty".to_owned()), out),
        }
    }

    fn begin(
        &mut self,
        now: Time,
        token: RequestToken,
        from: VmId,
        request: Result<CallRequest, String>,
        out: &mut Vec<Effect>,
    ) {
        let request = match request {
            Ok(request) => request,
            Err(detail) => {
                let reply = refusal(Refusal::Invalid, detail);
                return out.push(Effect::Reply { token, reply });
            }
        };
        let wait = match request.timeout_ms {
            0 => self.settings.park_ms,
            millis => millis,
        };
        let deadline_ms = self.now_ms(now).saturating_add(wait);
        self.admit(now, CallWaiter { token, from, deadline_ms, request, isolate: false }, out);
    }

    pub(super) fn settle(
        &mut self,
        now: Time,
        token: RequestToken,
        from: VmId,
        settle: wire::Settle,
        out: &mut Vec<Effect>,
    ) {
        let Some(settle) = self.defer_settle(token, from, settle) else { return };
        let settled = self.settled_entry(from, settle);
        self.propose(now, EntryBody::Settled(settled), PendingProposal::Reply(token), out);
    }

    /// Records where a dispatch runs.
    ///
    /// The first dispatch of a program on an endpoint is committed before the reply, so that the
    /// group knows of the endpoint's memory even if the entry VM dies after sending the request.
    fn record_started(
        &mut self,
        now: Time,
        token: RequestToken,
        started: wire::Started,
        out: &mut Vec<Effect>,
    ) {
        let endpoint = EndpointName::from(&started.endpoint);
        self.crashes.start(&started.dispatch, endpoint.clone());
        let program = self.state.find(&QualifiedName::from_wire(started.program.as_ref()));
        let known = program.is_none_or(|program| program.endpoints.contains(&endpoint));
        if known {
            let reply = reply(ReplyBody::Done(wire::Done {}));
            return out.push(Effect::Reply { token, reply });
        }
        let wire::Started { program, endpoint, .. } = started;
        let touched = wire::Touched { program, endpoint };
        self.propose(now, EntryBody::Touched(touched), PendingProposal::Reply(token), out);
    }

    fn committed(&mut self, now: Time, index: u64, data: Bytes, out: &mut Vec<Effect>) {
        let entry = match wire::Entry::decode(data) {
            Ok(entry) => entry,
            Err(error) => {
                return self.halt(format!("cannot decode log entry {index}: {error}"), out);
            }
        };
        self.applied = index;
        let applied = self.state.apply(&entry);
        let Some(lead) = self.leader_state else { return };
        if let Applied::Settled(scores) = &applied {
            let scored = scores.iter().cloned().map(|score| Effect::Scored { score });
            out.extend(scored);
        }
        if entry.term == lead.term {
            self.complete(now, ProposalId(entry.proposal), applied, out);
        }
        self.drop_closed(&entry);
        self.wake_after(now, &entry, out);
        self.release_ended(now, out);
    }

    fn restored(&mut self, index: u64, data: &Bytes, out: &mut Vec<Effect>) {
        self.become_follower(self.leader, out);
        match self.state.restore(data) {
            Ok(()) => {
                self.applied = index;
                self.halted = false;
            }
            Err(error) => {
                self.halt(format!("cannot restore the snapshot of log index {index}: {error}"), out)
            }
        }
    }

    /// Stops handling inputs until a readable snapshot replaces the state.
    ///
    /// A replica that skipped an unreadable entry would silently diverge from the others.
    fn halt(&mut self, reason: String, out: &mut Vec<Effect>) {
        self.become_follower(None, out);
        self.halted = true;
        out.push(Effect::Halt { reason });
    }

    /// Decides again the parked requests that an applied entry may have unblocked.
    fn wake_after(&mut self, now: Time, entry: &wire::Entry, out: &mut Vec<Effect>) {
        match wake_scope(&entry.body) {
            WakeScope::None => {}
            WakeScope::Program(name) => self.wake(now, &QueueKey::Program(name), out),
            WakeScope::All => {
                for queue in self.parked.program_queues() {
                    self.wake(now, &queue, out);
                }
            }
        }
        self.wake_suspects(now, out);
    }

    fn wake_suspects(&mut self, now: Time, out: &mut Vec<Effect>) {
        for queue in self.parked.suspect_queues() {
            let room = match &queue {
                QueueKey::Suspect(digest) => !self.state.in_flight.contains_key(digest),
                _ => self.isolated() < self.settings.isolated,
            };
            if room {
                self.wake(now, &queue, out);
            }
        }
    }

    /// Removes what is tracked for the dispatches that an entry closed.
    fn drop_closed(&mut self, entry: &wire::Entry) {
        let closed: Vec<&str> = match &entry.body {
            Some(EntryBody::Settled(settled)) => vec![&settled.dispatch],
            Some(EntryBody::Lost(lost)) => {
                lost.dispatches.iter().map(|lost| lost.dispatch.as_str()).collect()
            }
            _ => return,
        };
        for dispatch in closed {
            self.crashes.close(dispatch);
            self.withdrawn.remove(dispatch);
        }
    }

    pub(super) fn wake(&mut self, now: Time, queue: &QueueKey, out: &mut Vec<Effect>) {
        for waiter in self.parked.take(queue) {
            self.admit(now, waiter, out);
        }
    }
}

/// Parked requests that an entry may have unblocked.
enum WakeScope {
    None,
    Program(QualifiedName),
    All,
}

fn wake_scope(body: &Option<EntryBody>) -> WakeScope {
    let program = match body {
        Some(EntryBody::Begin(begin)) => begin.program.as_ref(),
        Some(EntryBody::Settled(settled)) => settled.program.as_ref(),
        Some(EntryBody::CloseEscrow(close)) => close.program.as_ref(),
        // These may affect several programs.
        Some(EntryBody::End(_) | EntryBody::Lost(_)) => return WakeScope::All,
        // Lifted quarantines and new scores change what suspects wait for.
        Some(EntryBody::Lifted(_) | EntryBody::Scores(_)) => return WakeScope::All,
        _ => return WakeScope::None,
    };
    WakeScope::Program(QualifiedName::from_wire(program))
}
