//! The leader's front of a program group: requests in, proposals and replies out.
//!
//! Nothing here survives a leader change, and nothing needs to: what a caller was promised is in
//! the [`State`]. See docs/design/programs.md.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use prost::Message;

use super::State;
use super::asked::Asked;
use super::deadlines::Repeats;
use super::early::Early;
use super::interface::{Effect, Input, ProposalId, RequestToken};
use super::leading::Lead;
use super::parking::{Parking, Queue};
use super::proposals::Pending;
use super::quarantine::Digest;
use super::replies::{refusal, reply};
use super::settings::Settings;
use super::state::{Applied, Name};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::Refusal;
use crate::wire::program::entry::Body as EntryBody;
use crate::wire::program::reply::Body as ReplyBody;
use crate::wire::program::request::Body as RequestBody;

/// A request to run a call, on its way to an answer.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    pub(super) token: RequestToken,
    pub(super) from: VmId,
    /// Group time at which the caller gives up.
    pub(super) until_ms: u64,
    pub(super) asked: Asked,
    /// The request is a crash suspect and takes an engine to itself.
    pub(super) isolate: bool,
}

/// Front of one replica of a program group.
#[derive(Debug)]
pub struct Sequencer {
    pub(super) settings: Settings,
    pub(super) group: GroupId,
    pub(super) state: State,
    pub(super) lead: Option<Lead>,
    pub(super) leader: Option<VmId>,
    applied: u64,
    pub(super) revision: RevisionNumber,
    pub(super) lifted: Vec<Bytes>,
    pub(super) proposals: u64,
    dispatches: u64,
    pub(super) pending: HashMap<ProposalId, Pending>,
    pub(super) chores: HashSet<ProposalId>,
    pub(super) parking: Parking,
    /// Programs with a begin on its way through the log.
    pub(super) busy: HashSet<Name>,
    /// Where dispatches run, as their holders told.
    pub(super) started: HashMap<CompactString, EndpointName>,
    /// Dispatches that a crash report of their endpoint already blamed.
    pub(super) blamed: HashSet<CompactString>,
    /// Dispatches that this leader takes back; none of them may be granted.
    pub(super) withdrawn: HashSet<CompactString>,
    /// Dispatches granted out of an escrow whose begin is not applied yet.
    pub(super) early: HashMap<CompactString, Early>,
    /// Programs whose escrow says more than is left, since an early begin failed.
    pub(super) tainted: HashSet<Name>,
    pub(super) gone: Vec<VmId>,
    pub(super) released: Repeats,
    pub(super) cancelled: Repeats,
    pub(super) scanned_ms: u64,
    halted: bool,
}

impl Sequencer {
    /// Returns the front of a replica whose log is empty.
    pub fn new(group: GroupId, settings: Settings) -> Sequencer {
        let state = State::with_safeguards(settings.safeguards);
        Sequencer {
            settings,
            group,
            state,
            lead: None,
            leader: None,
            applied: 0,
            revision: RevisionNumber(0),
            lifted: vec![],
            proposals: 0,
            dispatches: 0,
            pending: HashMap::new(),
            chores: HashSet::new(),
            parking: Parking::default(),
            busy: HashSet::new(),
            started: HashMap::new(),
            blamed: HashSet::new(),
            withdrawn: HashSet::new(),
            early: HashMap::new(),
            tainted: HashSet::new(),
            gone: vec![],
            released: Repeats::default(),
            cancelled: Repeats::default(),
            scanned_ms: 0,
            halted: false,
        }
    }

    /// Returns the replicated state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the log index up to which the state was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns how many requests are parked.
    pub fn parked(&self) -> usize {
        self.parking.len()
    }

    /// Takes one input and appends what is to be done about it.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        if self.halted && !matches!(input, Input::Request { .. } | Input::Restored { .. }) {
            return;
        }
        match input {
            Input::Request { token, from, request } => self.request(now, token, from, request, out),
            Input::Committed { index, data } => self.committed(now, index, data, out),
            Input::Restored { index, data } => self.restored(index, &data, out),
            Input::Leading { term } => self.start_leading(now, term, out),
            Input::Following { leader } => self.follow(leader, out),
            Input::ProposalFailed { proposal } => self.proposal_failed(proposal, out),
            Input::Config { revision, lifted } => self.configure(now, revision, lifted, out),
            Input::Gone { vm } => self.vm_gone(now, vm, out),
            Input::EndpointGone { endpoint } => self.endpoint_gone(now, endpoint, out),
            Input::Scores { scores } => self.import_scores(now, scores, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Returns a dispatch id that no other leader, term or group ever gives.
    pub(super) fn next_dispatch(&mut self) -> CompactString {
        self.dispatches += 1;
        let term = self.lead.map_or(0, |lead| lead.term);
        compact_str::format_compact!("{}.t{}.{}", self.group, term, self.dispatches)
    }

    fn request(
        &mut self,
        now: Time,
        token: RequestToken,
        from: VmId,
        request: wire::Request,
        out: &mut Vec<Effect>,
    ) {
        if self.lead.is_none() {
            return out.push(Effect::Reply { token, reply: self.not_leader() });
        }
        let asked = match request.body {
            Some(RequestBody::BeginTurn(turn)) => Asked::of_turn(&turn, &self.settings),
            Some(RequestBody::BeginCall(call)) => Asked::of_call(&call),
            Some(RequestBody::Settle(settle)) => return self.settle(now, token, from, settle, out),
            Some(RequestBody::Started(started)) => return self.start(now, token, started, out),
            Some(RequestBody::EndProgram(end)) => {
                let reason = wire::EndReason::Word.into();
                let end = wire::End { program: end.program, reason };
                self.propose(now, EntryBody::End(end), Pending::Reply(token), out);
                return;
            }
            Some(RequestBody::Released(released)) => {
                let wire::Released { program, endpoint } = released;
                let program = Some(program.unwrap_or_default());
                let freed = wire::Freed { program, endpoint };
                self.propose(now, EntryBody::Freed(freed), Pending::Reply(token), out);
                return;
            }
            None => Err("the request is empty".to_owned()),
        };
        match asked {
            Ok(asked) => {
                let wait = match asked.deadline_ms {
                    0 => self.settings.park_ms,
                    millis => millis,
                };
                let until_ms = self.now_ms(now).saturating_add(wait);
                let ticket = Ticket { token, from, until_ms, asked, isolate: false };
                self.admit(now, ticket, out);
            }
            Err(detail) => {
                out.push(Effect::Reply { token, reply: refusal(Refusal::Invalid, detail) });
            }
        }
    }

    pub(super) fn settle(
        &mut self,
        now: Time,
        token: RequestToken,
        from: VmId,
        settle: wire::Settle,
        out: &mut Vec<Effect>,
    ) {
        let Some(settle) = self.hold_settle(token, from, settle) else { return };
        let settled = self.settled_entry(from, settle);
        self.propose(now, EntryBody::Settled(settled), Pending::Reply(token), out);
    }

    /// Notes where a dispatch runs. An endpoint that the program never ran on is committed before
    /// the reply: after the first byte, only the group can know whose memory it holds.
    fn start(
        &mut self,
        now: Time,
        token: RequestToken,
        started: wire::Started,
        out: &mut Vec<Effect>,
    ) {
        let endpoint = EndpointName::from(&started.endpoint);
        self.started.insert((&started.dispatch).into(), endpoint.clone());
        let program = self.state.find(&Name::of(started.program.as_ref()));
        let known = program.is_none_or(|program| program.endpoints.contains(&endpoint));
        if known {
            let reply = reply(ReplyBody::Done(wire::Done {}));
            return out.push(Effect::Reply { token, reply });
        }
        let wire::Started { program, endpoint, .. } = started;
        let touched = wire::Touched { program, endpoint };
        self.propose(now, EntryBody::Touched(touched), Pending::Reply(token), out);
    }

    fn committed(&mut self, now: Time, index: u64, data: Bytes, out: &mut Vec<Effect>) {
        let entry = match wire::Entry::decode(data) {
            Ok(entry) => entry,
            Err(error) => return self.halt(format!("entry {index}: {error}"), out),
        };
        self.applied = index;
        let applied = self.state.apply(&entry);
        let Some(lead) = self.lead else { return };
        if let Applied::Settled(scores) = &applied {
            let scored = scores.iter().cloned().map(|score| Effect::Scored { score });
            out.extend(scored);
        }
        if entry.term == lead.term {
            self.complete(now, ProposalId(entry.proposal), applied, out);
        }
        self.forget_closed(&entry);
        self.wake_for(now, &entry, out);
        self.release_ended(now, out);
    }

    fn restored(&mut self, index: u64, data: &Bytes, out: &mut Vec<Effect>) {
        self.follow(self.leader, out);
        match self.state.restore(data) {
            Ok(()) => {
                self.applied = index;
                self.halted = false;
            }
            Err(error) => self.halt(format!("snapshot up to {index}: {error}"), out),
        }
    }

    /// Stops for good, until a snapshot that can be read replaces the state.
    ///
    /// A replica that skipped what it cannot read would part from the others unseen, and answer
    /// from a state that nobody agreed on.
    fn halt(&mut self, reason: String, out: &mut Vec<Effect>) {
        self.follow(None, out);
        self.halted = true;
        out.push(Effect::Halt { reason });
    }

    /// Wakes the requests that an entry may have made room for.
    fn wake_for(&mut self, now: Time, entry: &wire::Entry, out: &mut Vec<Effect>) {
        for queue in self.parking.queues() {
            let affected = match (&queue, &entry.body) {
                (Queue::Ready, _) | (_, None) => false,
                (Queue::Suspect(digest), _) => !self.flies(digest),
                (Queue::Isolation, _) => self.isolated() < self.settings.isolated,
                (Queue::Program(name), Some(body)) => is_about(body, name),
            };
            if affected {
                self.wake(now, &queue, out);
            }
        }
    }

    /// Forgets what only concerns dispatches that are closed now.
    fn forget_closed(&mut self, entry: &wire::Entry) {
        let closed: Vec<&str> = match &entry.body {
            Some(EntryBody::Settled(settled)) => vec![&settled.dispatch],
            Some(EntryBody::Lost(lost)) => {
                lost.dispatches.iter().map(|lost| lost.dispatch.as_str()).collect()
            }
            _ => return,
        };
        for dispatch in closed {
            self.started.remove(dispatch);
            self.blamed.remove(dispatch);
            self.withdrawn.remove(dispatch);
        }
    }

    fn flies(&self, digest: &Digest) -> bool {
        self.state.flights.contains_key(digest)
    }

    pub(super) fn wake(&mut self, now: Time, queue: &Queue, out: &mut Vec<Effect>) {
        for ticket in self.parking.take(queue) {
            self.admit(now, ticket, out);
        }
    }
}

/// Tells whether an entry may change what a request of the program waits for.
fn is_about(body: &EntryBody, name: &Name) -> bool {
    let program = match body {
        EntryBody::Begin(begin) => begin.program.as_ref(),
        EntryBody::Settled(settled) => settled.program.as_ref(),
        EntryBody::CloseEscrow(close) => close.program.as_ref(),
        // These may concern whole families.
        EntryBody::End(_) | EntryBody::Lost(_) | EntryBody::Lifted(_) => return true,
        _ => return false,
    };
    Name::of(program) == *name
}
