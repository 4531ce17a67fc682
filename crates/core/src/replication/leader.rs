//! Leader state, proposals, replies from followers and commits.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use super::change::Transfer;
use super::effect::{Effect, Refusal};
use super::lease::PendingRead;
use super::links::Links;
use super::progress::{Flow, Progress};
use super::replica::{Replica, Role};
use super::types::{EntryMeta, LogIndex, Term};
use crate::prelude::*;
use crate::wire::replication as wire;

/// State that exists only on a leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) elected_at: Time,
    /// Index of the first entry of this term. All earlier entries are committed once this one is.
    pub(super) term_start: LogIndex,
    pub(super) progress: BTreeMap<VmId, Progress>,
    pub(super) next_heartbeat: Time,
    /// Number of the latest round of heartbeats sent to confirm reads.
    pub(super) round: u64,
    pub(super) reads: VecDeque<PendingRead>,
    /// Bytes of uncommitted proposals.
    pub(super) backlog: usize,
    /// Whether `term_start` is committed and [`Effect::Leader`] was emitted.
    pub(super) announced: bool,
    pub(super) transfer: Option<Transfer>,
    /// Whether a transfer target was asked to campaign in this term. Its voters ignore the lease.
    pub(super) lease_released: bool,
}

impl LeaderState {
    pub(super) fn is_sending_snapshot(&self) -> bool {
        self.progress.values().any(|progress| matches!(progress.flow, Flow::Snapshot { .. }))
    }
}

impl Replica {
    pub(super) fn become_leader(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        let next = self.log.last().index.next();
        let peers = self.log.members().all().filter(|&vm| vm != self.id);
        self.leader_state = Some(LeaderState {
            elected_at: now,
            term_start: next,
            progress: peers.map(|vm| (vm, Progress::new(next))).collect(),
            next_heartbeat: now,
            round: 0,
            reads: VecDeque::new(),
            backlog: 0,
            announced: false,
            transfer: None,
            lease_released: false,
        });
        self.append_as_leader(vec![(wire::EntryKind::Noop, Bytes::new())], out);
    }

    /// Appends commands, unless this replica doesn't lead, is transferring its leadership or is
    /// overloaded.
    pub(super) fn propose(&mut self, commands: Vec<Bytes>, out: &mut Vec<Effect>) {
        let Some(state) = &mut self.leader_state else {
            return out.push(Effect::Refused(Refusal::NotLeader { leader: self.leader }));
        };
        if let Some(transfer) = &state.transfer {
            let leader = Some(transfer.to);
            return out.push(Effect::Refused(Refusal::NotLeader { leader }));
        }
        let bytes: usize = commands.iter().map(Bytes::len).sum();
        if state.backlog > 0 && state.backlog + bytes > self.settings.backlog_bytes {
            return out.push(Effect::Refused(Refusal::Overloaded));
        }
        state.backlog += bytes;
        let commands = commands.into_iter().map(|data| (wire::EntryKind::Command, data));
        let first = self.append_as_leader(commands.collect(), out);
        out.push(Effect::Accepted { first, term: self.ballot.term });
    }

    /// Appends entries in the current term and returns the index of the first one.
    pub(super) fn append_as_leader(
        &mut self,
        entries: Vec<(wire::EntryKind, Bytes)>,
        out: &mut Vec<Effect>,
    ) -> LogIndex {
        let first = self.log.last().index.next();
        let term = self.ballot.term;
        let mut written = Vec::with_capacity(entries.len());
        for (kind, data) in entries {
            let index = self.log.last().index.next().0;
            let entry = wire::Entry { term: term.0, index, kind: kind.into(), data };
            self.log.push(EntryMeta::from_entry(&entry));
            written.push(entry);
        }
        self.save_entries(written, out);
        first
    }

    /// Commits, replicates, answers reads and advances a transfer, as far as the last input allows.
    pub(super) fn advance(&mut self, now: Time, links: &Links, out: &mut Vec<Effect>) {
        if self.leader_state.is_none() {
            return;
        }
        self.advance_commit(out);
        self.replicate(now, links, out);
        self.answer_reads(now, links, out);
        self.advance_transfer(out);
    }

    /// Steps down if no quorum has replied for an election timeout, or else sends heartbeats when
    /// due.
    pub(super) fn leader_tick(&mut self, now: Time, links: &Links, out: &mut Vec<Effect>) {
        if now >= self.quorum_contact(now) + self.settings.election_timeout() {
            let term = self.ballot.term;
            return self.become_follower(now, term, None, out);
        }
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if now < state.next_heartbeat {
            return;
        }
        state.next_heartbeat = now + self.settings.heartbeat;
        self.expire_transfer(now);
        self.send_heartbeats(now, links, false, out);
    }

    /// Handles a follower's reply to entries or to a heartbeat.
    pub(super) fn handle_append_reply(&mut self, from: VmId, reply: &wire::AppendReply) {
        let Some(progress) =
            self.leader_state.as_mut().and_then(|state| state.progress.get_mut(&from))
        else {
            return;
        };
        progress.record_reply(Time(reply.sent), reply.round);
        progress.commit = progress.commit.max(LogIndex(reply.commit));
        progress.epochs = Some((reply.epoch, reply.leader_epoch));
        let index = LogIndex(reply.index);
        if !reply.ok {
            let stale = match progress.flow {
                Flow::Probe { .. } => index.next() != progress.next,
                Flow::Stream => index <= progress.matched,
                Flow::Snapshot { .. } => true,
            };
            if stale {
                return;
            }
            let before = LogIndex(reply.hint_index.min(reply.index.saturating_sub(1)));
            let agreed = self.log.agreement(before, Term(reply.hint_term));
            return progress.probe(agreed.index.next());
        }
        progress.record_match(index);
        match progress.flow {
            Flow::Probe { .. } => progress.stream(),
            Flow::Snapshot { index, .. } if progress.matched >= index => progress.stream(),
            Flow::Snapshot { .. } | Flow::Stream => {}
        }
    }

    /// Handles a follower's reply to a snapshot chunk.
    pub(super) fn handle_chunk_reply(
        &mut self,
        now: Time,
        from: VmId,
        reply: &wire::ChunkReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(mut state) = self.leader_state.take() else {
            return;
        };
        if let Some(progress) = state.progress.get_mut(&from) {
            progress.record_reply(Time(reply.sent), reply.round);
            self.advance_chunk(now, from, reply, state.round, progress, out);
        }
        self.leader_state = Some(state);
    }

    /// Commits the entries that a quorum has synced.
    ///
    /// An entry of an earlier term can still be overwritten by a leader that was elected without
    /// it, although a quorum holds it. So only entries of the current term are counted, and they
    /// commit all entries before them.
    fn advance_commit(&mut self, out: &mut Vec<Effect>) {
        let index = self.quorum_match();
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let counts =
            self.log.term(index) == Some(self.ballot.term) || !self.settings.safeguards.own_term;
        if index <= self.commit || !counts {
            return;
        }
        for number in self.commit.0 + 1..=index.0 {
            state.backlog = state.backlog.saturating_sub(self.log.size(LogIndex(number)));
        }
        self.commit = index;
        out.push(Effect::Commit { index });
        if !state.announced && index >= state.term_start {
            state.announced = true;
            out.push(Effect::Leader { term: self.ballot.term });
        }
    }

    /// Returns the highest index that a quorum has synced.
    fn quorum_match(&self) -> LogIndex {
        let Some(state) = &self.leader_state else {
            return LogIndex(0);
        };
        let matched = |vm: &VmId| match *vm == self.id {
            true => self.synced,
            false => state.progress.get(vm).map_or(LogIndex(0), |progress| progress.matched),
        };
        let mut all: Vec<LogIndex> = self.log.members().voters.iter().map(matched).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.quorum() - 1).copied().unwrap_or_default()
    }
}
