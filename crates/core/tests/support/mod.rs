//! A program group on an in-memory log, with several replicas, one clock and no network.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod world;

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program::{
    Effect, Input, ProposalId, QualifiedName, RequestToken, Sequencer, Settings,
};
use gypsumglade_core::wire::common::Outcome;
use gypsumglade_core::wire::program as wire;
pub use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::request::Body as RequestBody;

/// The entry VM that most tests send requests from.
pub const ENTRY: VmId = VmId(1);
/// Another entry VM.
pub const OTHER: VmId = VmId(2);
/// The organisation of most tests.
pub const ORG: &str = "org";

/// A proposal that is not committed yet.
pub struct Proposal {
    pub replica: usize,
    pub id: ProposalId,
    pub data: Bytes,
}

/// What happens to proposals in flight when the leader changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// They reached no other replica.
    Lost,
    /// They reached a quorum, so the next leader commits them.
    Kept,
}

/// The replicas of one group with their log.
pub struct Group {
    pub settings: Settings,
    pub replicas: Vec<Sequencer>,
    pub leader: Option<usize>,
    pub term: u64,
    pub log: Vec<Bytes>,
    pub flight: VecDeque<Proposal>,
    /// When set, proposals wait for [`Group::commit`].
    pub held: bool,
    pub now: Time,
    pub replies: BTreeMap<RequestToken, wire::Reply>,
    /// All effects other than proposals and replies, in order.
    pub effects: Vec<Effect>,
    next: u64,
    committing: bool,
}

impl Group {
    pub fn new(replicas: usize) -> Group {
        Group::with_settings(replicas, Settings::default())
    }

    pub fn with_settings(replicas: usize, settings: Settings) -> Group {
        let fresh = || Sequencer::new(GroupId(1), settings.clone());
        let mut group = Group {
            replicas: (0..replicas).map(|_| fresh()).collect(),
            settings: settings.clone(),
            leader: None,
            term: 0,
            log: vec![],
            flight: VecDeque::new(),
            held: false,
            now: Time::from_millis(1_000),
            replies: BTreeMap::new(),
            effects: vec![],
            next: 0,
            committing: false,
        };
        group.lead(0);
        group
    }

    /// Makes a replica the leader of a new term.
    pub fn lead(&mut self, replica: usize) {
        self.term += 1;
        self.leader = Some(replica);
        let term = self.term;
        self.step(replica, Input::Leading { term });
    }

    /// Makes `to` the leader after telling the old leader that it follows.
    pub fn change_leader(&mut self, to: usize, fate: Fate) {
        let flight = std::mem::take(&mut self.flight);
        if let Some(old) = self.leader.take() {
            self.step(old, Input::Following { leader: None });
        }
        if fate == Fate::Kept {
            flight.into_iter().for_each(|proposal| self.append(proposal.data));
        }
        self.lead(to);
    }

    /// Restarts a replica: it restores a snapshot and replays the rest of the log.
    pub fn restart(&mut self, replica: usize) {
        let at = self.log.len() / 2;
        let mut before = Sequencer::new(GroupId(1), self.settings.clone());
        let mut sink = vec![];
        for (i, data) in self.log[..at].iter().enumerate() {
            let input = Input::Committed { index: i as u64 + 1, data: data.clone() };
            before.step(self.now, input, &mut sink);
        }
        let mut fresh = Sequencer::new(GroupId(1), self.settings.clone());
        let data = before.state().snapshot();
        fresh.step(self.now, Input::Restored { index: at as u64, data }, &mut sink);
        for (i, data) in self.log.iter().enumerate().skip(at) {
            let input = Input::Committed { index: i as u64 + 1, data: data.clone() };
            fresh.step(self.now, input, &mut sink);
        }
        self.replicas[replica] = fresh;
    }

    pub fn step(&mut self, replica: usize, input: Input) {
        let mut out = vec![];
        self.replicas[replica].step(self.now, input, &mut out);
        for effect in out {
            self.perform(replica, effect);
        }
    }

    fn perform(&mut self, replica: usize, effect: Effect) {
        match effect {
            Effect::Propose { proposal, data } => {
                self.flight.push_back(Proposal { replica, id: proposal, data });
                if !self.held {
                    self.commit();
                }
            }
            Effect::Reply { token, reply } => {
                let again = self.replies.insert(token, reply);
                assert!(again.is_none(), "a request must have only one reply");
            }
            other => self.effects.push(other),
        }
    }

    /// Commits all proposals in flight and those that they cause, one by one.
    pub fn commit(&mut self) {
        if std::mem::replace(&mut self.committing, true) {
            return;
        }
        while let Some(proposal) = self.flight.pop_front() {
            if self.leader == Some(proposal.replica) {
                self.append(proposal.data);
            }
        }
        self.committing = false;
    }

    fn append(&mut self, data: Bytes) {
        self.log.push(data.clone());
        let index = self.log.len() as u64;
        for replica in 0..self.replicas.len() {
            self.step(replica, Input::Committed { index, data: data.clone() });
        }
    }

    /// Advances the clock in steps of 50 ms, or in about a hundred longer steps.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        let step = Duration::from_millis((millis / 100).max(50));
        while self.now < end {
            self.now = (self.now + step).min(end);
            (0..self.replicas.len()).for_each(|replica| self.step(replica, Input::Tick));
        }
    }

    /// Sends a request to the leader, or to replica 0 if there is none.
    pub fn send(&mut self, from: VmId, body: RequestBody) -> RequestToken {
        self.send_to(self.leader.unwrap_or(0), from, body)
    }

    pub fn send_to(&mut self, replica: usize, from: VmId, body: RequestBody) -> RequestToken {
        self.next += 1;
        let token = RequestToken(self.next);
        let request = wire::Request { body: Some(body) };
        self.step(replica, Input::Request { token, from, request });
        token
    }

    /// Sends a request and returns its reply.
    pub fn ask(&mut self, from: VmId, body: RequestBody) -> ReplyBody {
        let token = self.send(from, body);
        self.reply(token).expect("the request must be answered immediately")
    }

    pub fn reply(&self, token: RequestToken) -> Option<ReplyBody> {
        self.replies.get(&token).and_then(|reply| reply.body.clone())
    }

    /// Sends a request that must be granted.
    pub fn grant(&mut self, body: RequestBody) -> wire::Grant {
        self.grant_to(ENTRY, body)
    }

    pub fn grant_to(&mut self, vm: VmId, body: RequestBody) -> wire::Grant {
        granted(self.ask(vm, body))
    }

    /// Begins and settles a turn, and returns its grant.
    pub fn run_turn(&mut self, program: &str, key: &str, text: &str, answer: &str) -> wire::Grant {
        let grant = self.grant(turn(program, key, &[user(text)]));
        let settle = done(program, &grant.dispatch, &assistant(answer));
        assert_eq!(self.ask(ENTRY, settle), ReplyBody::Done(wire::Done {}));
        grant
    }

    pub fn leader(&self) -> &Sequencer {
        &self.replicas[self.leader.expect("a leader")]
    }

    /// Returns the stored history of a program of the usual organisation.
    pub fn history(&self, program: &str) -> String {
        let bytes = self.leader().state().history(&name(program)).unwrap_or_default();
        String::from_utf8(bytes.to_vec()).expect("UTF-8")
    }

    /// Returns the endpoints of the releases sent so far, in order.
    pub fn releases(&self) -> Vec<String> {
        let releases = self.effects.iter().filter_map(|effect| match effect {
            Effect::Release { release } => Some(release.endpoint.clone()),
            _ => None,
        });
        releases.collect()
    }
}

pub fn name(program: &str) -> QualifiedName {
    QualifiedName { org: ORG.into(), program: program.into() }
}

pub fn program_ref(program: &str) -> Option<wire::ProgramRef> {
    Some(name(program).to_wire())
}

pub fn user(text: &str) -> String {
    serde_json::json!({"role": "user", "content": text}).to_string()
}

pub fn assistant(text: &str) -> String {
    serde_json::json!({"role": "assistant", "content": text}).to_string()
}

pub fn messages(list: &[String]) -> Bytes {
    Bytes::from(format!("[{}]", list.join(",")))
}

pub fn begin_turn(program: &str, key: &str, list: &[String]) -> wire::BeginTurn {
    wire::BeginTurn {
        program: program_ref(program),
        key: key.into(),
        messages: messages(list),
        max_output: 100,
        ..wire::BeginTurn::default()
    }
}

pub fn turn(program: &str, key: &str, list: &[String]) -> RequestBody {
    RequestBody::BeginTurn(begin_turn(program, key, list))
}

pub fn begin_call(program: &str, key: &str) -> wire::BeginCall {
    wire::BeginCall {
        program: program_ref(program),
        key: key.into(),
        service: "booking".into(),
        operation: "reserve".into(),
        digest: Bytes::from_static(b"body"),
        ..wire::BeginCall::default()
    }
}

pub fn call(program: &str, key: &str) -> RequestBody {
    RequestBody::BeginCall(begin_call(program, key))
}

pub fn settle(program: &str, dispatch: &str, outcome: Outcome) -> wire::Settle {
    wire::Settle {
        program: program_ref(program),
        dispatch: dispatch.into(),
        outcome: outcome.into(),
        status: 200,
        endpoint: "e1".into(),
        ..wire::Settle::default()
    }
}

pub fn done(program: &str, dispatch: &str, answer: &str) -> RequestBody {
    let usage = wire::Usage { prompt_tokens: 5, output_tokens: 5, micros: 1, cached_tokens: 0 };
    RequestBody::Settle(wire::Settle {
        answer: Bytes::copy_from_slice(answer.as_bytes()),
        usage: Some(usage),
        ..settle(program, dispatch, Outcome::Done)
    })
}

pub fn not_run(program: &str, dispatch: &str) -> RequestBody {
    RequestBody::Settle(settle(program, dispatch, Outcome::NotRun))
}

pub fn crashed(program: &str, dispatch: &str, endpoint: &str) -> RequestBody {
    RequestBody::Settle(wire::Settle {
        crashed: true,
        endpoint: endpoint.into(),
        ..settle(program, dispatch, Outcome::Unknown)
    })
}

pub fn started(program: &str, dispatch: &str, endpoint: &str) -> RequestBody {
    RequestBody::Started(wire::Started {
        program: program_ref(program),
        dispatch: dispatch.into(),
        endpoint: endpoint.into(),
    })
}

pub fn end(program: &str) -> RequestBody {
    RequestBody::EndProgram(wire::EndProgram { program: program_ref(program) })
}

pub fn granted(reply: ReplyBody) -> wire::Grant {
    match reply {
        ReplyBody::Grant(grant) => grant,
        other => panic!("expected a grant, got {other:?}"),
    }
}

pub fn recorded(reply: ReplyBody) -> String {
    match reply {
        ReplyBody::Recorded(recorded) => {
            String::from_utf8(recorded.answer.to_vec()).expect("UTF-8")
        }
        other => panic!("expected a recorded answer, got {other:?}"),
    }
}

pub fn refusal(reply: ReplyBody) -> wire::Refusal {
    match reply {
        ReplyBody::Refused(refused) => refused.code(),
        other => panic!("expected a refusal, got {other:?}"),
    }
}

pub fn is_unknown(reply: &ReplyBody) -> bool {
    matches!(reply, ReplyBody::Unknown(_))
}
