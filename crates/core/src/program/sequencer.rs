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
use super::parking::{Parking, Queue};
use super::quarantine::Digest;
use super::replies::{refusal, refused, reply};
use super::settings::Settings;
use super::state::{Applied, Name};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::entry::Body as EntryBody;
use crate::wire::program::reply::Body as ReplyBody;
use crate::wire::program::request::Body as RequestBody;
use crate::wire::program::{Refusal, Reply};

/// Names a request so that its reply finds back; the daemon counts them up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken(pub u64);

/// Names a proposal so that its failure finds back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// What the daemon tells a sequencer.
#[expect(clippy::large_enum_variant, reason = "requests are the bulk of all inputs")]
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An entry VM asks for something.
    Request {
        /// Comes back with the one reply.
        token: RequestToken,
        /// The VM that asks; it alone may settle what it is granted.
        from: VmId,
        /// What it asks.
        request: wire::Request,
    },
    /// The log committed an entry; all are fed, in order, on every replica.
    Committed {
        /// Place in the log.
        index: u64,
        /// The entry as proposed.
        data: Bytes,
    },
    /// A snapshot replaces the state up to `index`.
    Restored {
        /// Last place in the log that the snapshot covers.
        index: u64,
        /// What [`State::snapshot`] gave.
        data: Bytes,
    },
    /// This replica leads. Repeat [`Input::Gone`] for every VM that is dead by now.
    Leading {
        /// The leader's term.
        term: u64,
    },
    /// This replica does not lead, or no longer.
    Following {
        /// The leader's store VM when known.
        leader: Option<VmId>,
    },
    /// A proposal will not be committed by this leader; it may still be committed by a later one.
    ProposalFailed {
        /// The proposal.
        proposal: ProposalId,
    },
    /// A bundle revision is in force.
    Config {
        /// Its number.
        revision: RevisionNumber,
        /// Digests that it lifts from quarantine.
        lifted: Vec<Bytes>,
    },
    /// Membership declared an entry VM dead, or saw it restart.
    Gone {
        /// The VM.
        vm: VmId,
    },
    /// An endpoint's lease ran out, or it restarted: it holds no memory of any program.
    EndpointGone {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Crash scores that other groups found.
    Scores {
        /// The scores.
        scores: Vec<wire::Score>,
    },
    /// Time passed; fed every few tens of milliseconds.
    Tick,
}

/// What a sequencer asks of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Propose an entry to the log.
    Propose {
        /// Names it in [`Input::ProposalFailed`].
        proposal: ProposalId,
        /// The entry.
        data: Bytes,
    },
    /// Answer a request.
    Reply {
        /// The request.
        token: RequestToken,
        /// The answer.
        reply: Reply,
    },
    /// Tell an endpoint to free a program's memory. Repeated until it confirms; an endpoint that
    /// is not known any more is answered by [`Input::EndpointGone`].
    Release {
        /// What to free, and where.
        release: wire::Release,
    },
    /// Tell an entry VM to cancel a dispatch of a program that ended.
    Cancel {
        /// The dispatch.
        dispatch: CompactString,
        /// Its holder.
        vm: VmId,
    },
    /// Tell the other groups what is known of a request that crashes endpoints.
    Scored {
        /// The score.
        score: wire::Score,
    },
}

/// A request to run a call, on its way to an answer.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    pub(super) token: RequestToken,
    pub(super) from: VmId,
    /// Group time at which the caller gives up.
    pub(super) until_ms: u64,
    pub(super) asked: Asked,
}

/// What waits for a proposal.
#[derive(Debug)]
enum Pending {
    Begin(Box<Ticket>),
    Reply(RequestToken),
    /// The first entry of a leader: once it is committed, so is all that came before.
    Barrier,
    Chore,
}

/// The leader's clock and term.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lead {
    pub(super) term: u64,
    base_ms: u64,
    since: Time,
    pub(super) ready: bool,
}

/// Front of one replica of a program group.
#[derive(Debug)]
pub struct Sequencer {
    pub(super) settings: Settings,
    pub(super) group: GroupId,
    pub(super) state: State,
    pub(super) lead: Option<Lead>,
    leader: Option<VmId>,
    applied: u64,
    pub(super) revision: RevisionNumber,
    pub(super) lifted: Vec<Bytes>,
    proposals: u64,
    dispatches: u64,
    pending: HashMap<ProposalId, Pending>,
    pub(super) chores: HashSet<ProposalId>,
    pub(super) parking: Parking,
    /// Programs with a begin on its way through the log.
    pub(super) busy: HashSet<Name>,
    /// Where dispatches run, as their holders told.
    pub(super) started: HashMap<CompactString, EndpointName>,
    /// Dispatches that a crash report of their endpoint already blamed.
    pub(super) blamed: HashSet<CompactString>,
    pub(super) gone: Vec<VmId>,
    pub(super) released: Repeats,
    pub(super) cancelled: Repeats,
    pub(super) scanned_ms: u64,
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
            gone: vec![],
            released: Repeats::default(),
            cancelled: Repeats::default(),
            scanned_ms: 0,
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

    /// Returns the group's time: it goes on where the last entry left it, and never backwards.
    ///
    /// Monotonic clocks of two VMs share no start, so a new leader counts on from the state's
    /// clock. The time for which a group had no leader is not counted against its programs.
    pub(super) fn now_ms(&self, now: Time) -> u64 {
        let Some(lead) = self.lead else { return self.state.clock_ms() };
        let gone_by = now.since(lead.since).as_millis() as u64;
        self.state.clock_ms().max(lead.base_ms.saturating_add(gone_by))
    }

    /// Returns a dispatch id that no other leader, term or group ever gives.
    pub(super) fn next_dispatch(&mut self) -> CompactString {
        self.dispatches += 1;
        let term = self.lead.map_or(0, |lead| lead.term);
        compact_str::format_compact!("{}.t{}.{}", self.group, term, self.dispatches)
    }

    pub(super) fn propose_chore(&mut self, now: Time, body: EntryBody, out: &mut Vec<Effect>) {
        let proposal = self.propose(now, body, Pending::Chore, out);
        self.chores.insert(proposal);
    }

    pub(super) fn propose_begin(
        &mut self,
        now: Time,
        ticket: Box<Ticket>,
        begin: wire::Begin,
        out: &mut Vec<Effect>,
    ) {
        self.busy.insert(ticket.asked.name.clone());
        self.propose(now, EntryBody::Begin(begin), Pending::Begin(ticket), out);
    }

    fn propose(
        &mut self,
        now: Time,
        body: EntryBody,
        pending: Pending,
        out: &mut Vec<Effect>,
    ) -> ProposalId {
        self.proposals += 1;
        let proposal = ProposalId(self.proposals);
        let entry = wire::Entry {
            at_ms: self.now_ms(now),
            term: self.lead.map_or(0, |lead| lead.term),
            proposal: proposal.0,
            body: Some(body),
        };
        self.pending.insert(proposal, pending);
        out.push(Effect::Propose { proposal, data: Bytes::from(entry.encode_to_vec()) });
        proposal
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
                self.admit(now, Ticket { token, from, until_ms, asked }, out);
            }
            Err(detail) => {
                out.push(Effect::Reply { token, reply: refusal(Refusal::Invalid, detail) });
            }
        }
    }

    fn settle(
        &mut self,
        now: Time,
        token: RequestToken,
        from: VmId,
        settle: wire::Settle,
        out: &mut Vec<Effect>,
    ) {
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
        self.applied = index;
        let Ok(entry) = wire::Entry::decode(data) else { return };
        let applied = self.state.apply(&entry);
        let Some(lead) = self.lead else { return };
        if let Applied::Settled(scores) = &applied {
            let scored = scores.iter().cloned().map(|score| Effect::Scored { score });
            out.extend(scored);
        }
        if entry.term == lead.term {
            self.complete(now, ProposalId(entry.proposal), applied, out);
        }
        self.wake_for(now, &entry, out);
        self.release_ended(now, out);
    }

    /// Answers whoever waited for a proposal that is committed now.
    fn complete(
        &mut self,
        now: Time,
        proposal: ProposalId,
        applied: Applied,
        out: &mut Vec<Effect>,
    ) {
        match self.pending.remove(&proposal) {
            Some(Pending::Begin(ticket)) => {
                self.busy.remove(&ticket.asked.name);
                self.complete_begin(now, *ticket, applied, out);
            }
            Some(Pending::Reply(token)) => {
                let body = match applied {
                    Applied::Refused(refused) => ReplyBody::Refused(refused),
                    _ => ReplyBody::Done(wire::Done {}),
                };
                out.push(Effect::Reply { token, reply: reply(body) });
            }
            Some(Pending::Barrier) => self.become_ready(now, out),
            Some(Pending::Chore) => {
                self.chores.remove(&proposal);
            }
            None => {}
        }
    }

    fn complete_begin(
        &mut self,
        now: Time,
        ticket: Ticket,
        applied: Applied,
        out: &mut Vec<Effect>,
    ) {
        let token = ticket.token;
        match applied {
            Applied::Granted(call) => {
                if let Some(reply) = super::replies::grant(&self.state, call) {
                    out.push(Effect::Reply { token, reply });
                }
            }
            Applied::Refused(refused) => {
                out.push(Effect::Reply { token, reply: reply(ReplyBody::Refused(refused)) });
            }
            _ => self.admit(now, ticket, out),
        }
    }

    fn restored(&mut self, index: u64, data: &Bytes, out: &mut Vec<Effect>) {
        self.follow(self.leader, out);
        if self.state.restore(data).is_ok() {
            self.applied = index;
        }
    }

    fn start_leading(&mut self, now: Time, term: u64, out: &mut Vec<Effect>) {
        self.follow(None, out);
        let base_ms = self.state.clock_ms();
        self.lead = Some(Lead { term, base_ms, since: now, ready: false });
        self.scanned_ms = 0;
        let barrier = EntryBody::Sweep(wire::Sweep::default());
        self.propose(now, barrier, Pending::Barrier, out);
    }

    fn become_ready(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(lead) = &mut self.lead {
            lead.ready = true;
        }
        for vm in std::mem::take(&mut self.gone) {
            self.lose_held(now, vm, out);
        }
        self.propose_lift(now, out);
        self.wake(now, &Queue::Ready, out);
    }

    /// Drops all that a leader alone knows and sends its waiters to the next leader.
    fn follow(&mut self, leader: Option<VmId>, out: &mut Vec<Effect>) {
        self.leader = leader;
        self.lead = None;
        let mut tokens: Vec<RequestToken> =
            self.parking.take_all().into_iter().map(|ticket| ticket.token).collect();
        tokens.extend(self.pending.drain().filter_map(|(_, pending)| pending.token()));
        tokens.sort();
        let reply = self.not_leader();
        let replies = tokens.into_iter().map(|token| Effect::Reply { token, reply: reply.clone() });
        out.extend(replies);
        self.chores.clear();
        self.busy.clear();
        self.started.clear();
        self.blamed.clear();
        self.released.clear();
        self.cancelled.clear();
        self.gone.clear();
    }

    fn proposal_failed(&mut self, proposal: ProposalId, out: &mut Vec<Effect>) {
        self.chores.remove(&proposal);
        let Some(pending) = self.pending.remove(&proposal) else { return };
        if let Pending::Begin(ticket) = &pending {
            self.busy.remove(&ticket.asked.name);
        }
        if let Some(token) = pending.token() {
            out.push(Effect::Reply { token, reply: self.not_leader() });
        }
    }

    /// Proposes the barrier again if it failed while this replica went on leading.
    pub(super) fn renew_barrier(&mut self, now: Time, out: &mut Vec<Effect>) {
        let waits = self.pending.values().any(|pending| matches!(pending, Pending::Barrier));
        if !waits {
            let barrier = EntryBody::Sweep(wire::Sweep::default());
            self.propose(now, barrier, Pending::Barrier, out);
        }
    }

    fn not_leader(&self) -> Reply {
        let mut refused = refused(Refusal::NotLeader, "ask the leader under the same key");
        refused.leader = self.leader.map_or(0, |vm| vm.0);
        reply(ReplyBody::Refused(refused))
    }

    /// Wakes the requests that an entry may have made room for.
    fn wake_for(&mut self, now: Time, entry: &wire::Entry, out: &mut Vec<Effect>) {
        for queue in self.parking.queues() {
            let affected = match (&queue, &entry.body) {
                (Queue::Ready, _) | (_, None) => false,
                (Queue::Suspect(digest), _) => !self.flies(digest),
                (Queue::Program(name), Some(body)) => is_about(body, name),
            };
            if affected {
                self.wake(now, &queue, out);
            }
        }
    }

    fn flies(&self, digest: &Digest) -> bool {
        self.state.flights.contains_key(digest)
    }

    fn wake(&mut self, now: Time, queue: &Queue, out: &mut Vec<Effect>) {
        for ticket in self.parking.take(queue) {
            self.admit(now, ticket, out);
        }
    }
}

impl Pending {
    fn token(&self) -> Option<RequestToken> {
        match self {
            Pending::Begin(ticket) => Some(ticket.token),
            Pending::Reply(token) => Some(*token),
            Pending::Barrier | Pending::Chore => None,
        }
    }
}

/// Tells whether an entry may change what a request of the program waits for.
fn is_about(body: &EntryBody, name: &Name) -> bool {
    let program = match body {
        EntryBody::Begin(begin) => begin.program.as_ref(),
        EntryBody::Settled(settled) => settled.program.as_ref(),
        // These may concern whole families.
        EntryBody::End(_) | EntryBody::Lost(_) | EntryBody::Lifted(_) => return true,
        _ => return false,
    };
    Name::of(program) == *name
}
