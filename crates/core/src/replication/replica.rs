//! Replica state, message dispatch, and replies that wait for a sync.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::effect::{Effect, Input, Write};
use super::follower::IncomingSnapshot;
use super::leader::LeaderState;
use super::links::{Links, TermLeader};
use super::log::Log;
use super::settings::Settings;
use super::types::{Ballot, LogIndex, Position, Restored, Sequence, Term, quorum};
use crate::prelude::*;
use crate::wire::replication as wire;
use crate::wire::replication::message::Body;

/// Role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Receives entries from a leader, or waits for one.
    Follower,
    /// Asks the voters whether it could win an election, without raising its term.
    PreCandidate,
    /// Requests votes for its term.
    Candidate,
    /// Appends proposals and replicates them.
    Leader,
}

/// A message to send once the write `sequence` is synced.
#[derive(Debug)]
struct DeferredMessage {
    sequence: Sequence,
    to: VmId,
    message: wire::Message,
}

/// Replica of one group on one VM.
#[derive(Debug)]
pub struct Replica {
    pub(super) settings: Settings,
    pub(super) id: VmId,
    pub(super) group: GroupId,
    rng: ChaCha8Rng,
    pub(super) ballot: Ballot,
    pub(super) log: Log,
    pub(super) commit: LogIndex,
    pub(super) role: Role,
    pub(super) leader: Option<VmId>,
    /// When a leader was last heard from, in any term.
    pub(super) last_contact: Option<Time>,
    /// Epoch of the leader's VM in its latest message to this group.
    pub(super) leader_epoch: u64,
    /// When to start an election unless the leader is heard from.
    pub(super) election_deadline: Time,
    pub(super) votes: Vec<VmId>,
    pub(super) leader_state: Option<LeaderState>,
    pub(super) incoming: Option<IncomingSnapshot>,
    /// Last index of this replica's log that is on stable storage.
    pub(super) synced: LogIndex,
    /// Entry writes in progress, each with its last index.
    writes: VecDeque<(Sequence, LogIndex)>,
    /// Latest write requested.
    issued: Sequence,
    /// Latest write on stable storage.
    stable: Sequence,
    /// Write of the latest ballot.
    ballot_write: Sequence,
    deferred: VecDeque<DeferredMessage>,
}

impl Replica {
    /// Creates a replica from its synced state. `seed` randomises election timeouts.
    pub fn new(
        settings: Settings,
        id: VmId,
        group: GroupId,
        seed: u64,
        restored: Restored,
        now: Time,
    ) -> Replica {
        let mut ballot = restored.ballot;
        let log = Log::new(restored);
        if ballot.term < log.last().term {
            ballot = Ballot { term: log.last().term, vote: None };
        }
        let mut replica = Replica {
            settings,
            id,
            group,
            rng: ChaCha8Rng::seed_from_u64(seed ^ (u64::from(group.0) << 32) ^ u64::from(id.0)),
            // A restarted replica may have replied to a leader just before it stopped, and the
            // leader's lease may still rest on that reply. This assumes that it did: otherwise it
            // could elect a second leader while the first still serves reads.
            last_contact: (ballot.term > Position::START.term).then_some(now),
            leader_epoch: 0,
            ballot,
            commit: log.snapshot().index,
            role: Role::Follower,
            leader: None,
            election_deadline: now,
            votes: Vec::new(),
            leader_state: None,
            incoming: None,
            synced: log.last().index,
            log,
            writes: VecDeque::new(),
            issued: Sequence(0),
            stable: Sequence(0),
            ballot_write: Sequence(0),
            deferred: VecDeque::new(),
        };
        replica.reset_timeout(now);
        replica
    }

    /// Handles one input and appends the resulting effects to `out`, in order.
    ///
    /// `links` holds the pulses exchanged with other VMs. Without any pulses, as in the default
    /// value, the group sends its own heartbeats.
    pub fn step(&mut self, now: Time, links: &Links, input: Input, out: &mut Vec<Effect>) {
        let before = self.term_leader();
        self.apply_pulses(links);
        match input {
            Input::Tick => self.tick(now, links, out),
            Input::Message { from, message } => self.handle_message(now, links, from, message, out),
            Input::Propose { commands } => self.propose(commands, out),
            Input::Read { token } => self.read(now, links, token, out),
            Input::ChangeMembers(change) => self.change_members(now, change, out),
            Input::Transfer { to } => self.begin_transfer(now, &to),
            Input::Synced(sequence) => self.handle_synced(now, sequence, out),
            Input::Snapshotted(index) => self.handle_snapshotted(index),
        }
        self.advance(now, links, out);
        if self.term_leader() != before {
            out.push(Effect::NewEpoch);
        }
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn deadline(&self) -> Time {
        match &self.leader_state {
            Some(state) => state.next_heartbeat,
            None if self.is_alone() && self.role == Role::Follower => Time::ZERO,
            None => self.election_deadline,
        }
    }

    fn term_leader(&self) -> TermLeader {
        (self.ballot.term, self.leader)
    }

    fn tick(&mut self, now: Time, links: &Links, out: &mut Vec<Effect>) {
        if self.leader_state.is_some() {
            return self.leader_tick(now, links, out);
        }
        if now < self.deadline() || !self.log.members().is_voter(self.id) {
            return self.reset_timeout_if_due(now);
        }
        self.begin_election(now, out);
    }

    /// Applies the pulses received since the last step.
    fn apply_pulses(&mut self, links: &Links) {
        if self.leader_state.is_some() {
            return self.apply_pulse_acks(links);
        }
        let Some(leader) = self.leader else {
            return;
        };
        let pulse = links.last_pulse(leader, self.leader_epoch);
        if let Some(pulse) =
            pulse.filter(|&pulse| self.last_contact.is_none_or(|known| known < pulse))
        {
            self.last_contact = Some(pulse);
            self.reset_timeout(pulse);
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        links: &Links,
        from: VmId,
        message: wire::Message,
        out: &mut Vec<Effect>,
    ) {
        let term = Term(message.term);
        let Some(body) = message.body else {
            return;
        };
        let body = match body {
            Body::VoteRequest(request) => {
                return self.handle_vote_request(now, from, term, &request, out);
            }
            other => other,
        };
        let leads = matches!(body, Body::Append(_) | Body::Chunk(_));
        let promise = matches!(&body, Body::VoteReply(reply) if reply.pre && reply.granted);
        if term < self.ballot.term {
            return self.reply_to_stale(from, leads, out);
        }
        if term > self.ballot.term && !promise {
            self.become_follower(now, term, leads.then_some(from), out);
        }
        match body {
            Body::VoteReply(reply) => self.handle_vote_reply(now, from, term, &reply, out),
            Body::Append(append) => self.handle_append(now, links, from, append, out),
            Body::AppendReply(reply) => self.handle_append_reply(from, &reply),
            Body::Chunk(chunk) => self.handle_chunk(now, from, chunk, out),
            Body::ChunkReply(reply) => self.handle_chunk_reply(now, from, &reply, out),
            Body::TimeoutNow(_) => self.handle_timeout_now(now, from, out),
            Body::VoteRequest(_) => {}
        }
    }

    /// Reports the current term to a leader of an earlier one, which would otherwise try to lead
    /// for ever.
    fn reply_to_stale(&mut self, from: VmId, leads: bool, out: &mut Vec<Effect>) {
        if leads {
            let reply = wire::AppendReply::default();
            self.send_after_sync(from, Body::AppendReply(reply), out);
        }
    }

    /// Becomes a follower in `term`, which may be the current one.
    pub(super) fn become_follower(
        &mut self,
        now: Time,
        term: Term,
        leader: Option<VmId>,
        out: &mut Vec<Effect>,
    ) {
        let changed = self.role == Role::Leader || self.leader != leader;
        if term > self.ballot.term {
            self.save_ballot(Ballot { term, vote: None }, out);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.leader_epoch = 0;
        self.votes.clear();
        self.incoming = None;
        if let Some(state) = self.leader_state.take() {
            state.refuse_reads(leader, out);
        }
        self.reset_timeout(now);
        if changed {
            out.push(Effect::Follower { leader });
        }
    }

    pub(super) fn save_ballot(&mut self, ballot: Ballot, out: &mut Vec<Effect>) {
        if ballot.term > self.ballot.term {
            // Deferred messages of an earlier term are obsolete.
            self.deferred.clear();
        }
        self.ballot = ballot;
        self.ballot_write = self.persist(Write::Ballot(ballot), out);
    }

    pub(super) fn save_entries(&mut self, entries: Vec<wire::Entry>, out: &mut Vec<Effect>) {
        let last = self.log.last().index;
        let sequence = self.persist(Write::Entries(entries), out);
        self.track_write(sequence, last);
    }

    /// Records that the log is stable up to `last` once `sequence` is synced.
    pub(super) fn track_write(&mut self, sequence: Sequence, last: LogIndex) {
        self.writes.push_back((sequence, last));
        if !self.settings.safeguards.sync {
            self.synced = last;
        }
    }

    pub(super) fn persist(&mut self, write: Write, out: &mut Vec<Effect>) -> Sequence {
        self.issued = Sequence(self.issued.0 + 1);
        out.push(Effect::Persist { sequence: self.issued, write });
        self.issued
    }

    /// Marks the entries from `first` on as not synced, even if their write completes later.
    pub(super) fn rollback_synced(&mut self, first: LogIndex) {
        let keep = LogIndex(first.0 - 1);
        self.synced = self.synced.min(keep);
        for (_, last) in &mut self.writes {
            *last = keep.min(*last);
        }
    }

    fn handle_synced(&mut self, now: Time, sequence: Sequence, out: &mut Vec<Effect>) {
        self.stable = self.stable.max(sequence);
        while let Some(&(write, last)) = self.writes.front() {
            if write > self.stable {
                break;
            }
            self.synced = self.synced.max(last);
            self.writes.pop_front();
        }
        while self.deferred.front().is_some_and(|message| message.sequence <= self.stable) {
            if let Some(deferred) = self.deferred.pop_front() {
                out.push(Effect::Send { to: deferred.to, message: deferred.message });
            }
        }
        self.count_own_vote(now, out);
    }

    fn handle_snapshotted(&mut self, index: LogIndex) {
        if index > self.log.snapshot().index && index <= self.commit {
            let settings = &self.settings;
            self.log.compact(index, settings.keep_entries, settings.keep_bytes);
        }
    }

    /// Returns whether the latest ballot is on stable storage.
    pub(super) fn is_ballot_stable(&self) -> bool {
        self.stable >= self.ballot_write || !self.settings.safeguards.sync
    }

    pub(super) fn send(&self, to: VmId, body: Body, out: &mut Vec<Effect>) {
        out.push(Effect::Send { to, message: self.envelope(body) });
    }

    /// Sends a message once all writes requested so far are on stable storage.
    ///
    /// A reply sent earlier could survive a crash that loses its write: the leader would count an
    /// entry that is on no disk, or a restarted voter would vote twice in a term.
    pub(super) fn send_after_sync(&mut self, to: VmId, body: Body, out: &mut Vec<Effect>) {
        let message = self.envelope(body);
        if self.stable >= self.issued || !self.settings.safeguards.sync {
            out.push(Effect::Send { to, message });
            return;
        }
        self.deferred.push_back(DeferredMessage { sequence: self.issued, to, message });
    }

    pub(super) fn envelope(&self, body: Body) -> wire::Message {
        wire::Message { group: self.group.0, term: self.ballot.term.0, body: Some(body) }
    }

    pub(super) fn quorum(&self) -> usize {
        if !self.settings.safeguards.quorum {
            return 1;
        }
        quorum(self.log.members().voters.len())
    }

    pub(super) fn is_alone(&self) -> bool {
        self.log.members().voters == [self.id]
    }

    pub(super) fn reset_timeout(&mut self, now: Time) {
        let timeout = self.settings.election_timeout();
        let spread = self.rng.random::<f64>();
        self.election_deadline = now + timeout + timeout.mul_f64(spread);
    }

    fn reset_timeout_if_due(&mut self, now: Time) {
        if now >= self.election_deadline {
            self.reset_timeout(now);
        }
    }
}
