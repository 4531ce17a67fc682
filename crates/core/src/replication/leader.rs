//! What a leader does: appends, replicates, commits.

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

/// State that only a leader has.
#[derive(Debug)]
pub(super) struct Lead {
    /// When it became leader.
    pub(super) since: Time,
    /// Its term's first entry; what came before is committed once this one is.
    pub(super) first: LogIndex,
    pub(super) progress: BTreeMap<VmId, Progress>,
    /// When the next heartbeat is due.
    pub(super) heartbeat: Time,
    /// Counts heartbeats that confirm reads.
    pub(super) round: u64,
    pub(super) reads: VecDeque<PendingRead>,
    /// Bytes of proposals not yet committed.
    pub(super) backlog: usize,
    pub(super) announced: bool,
    pub(super) transfer: Option<Transfer>,
    /// True once a hand-over was asked for in this term: voters then don't wait out the lease.
    pub(super) unleased: bool,
}

impl Lead {
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
        self.lead = Some(Lead {
            since: now,
            first: next,
            progress: peers.map(|vm| (vm, Progress::new(next))).collect(),
            heartbeat: now,
            round: 0,
            reads: VecDeque::new(),
            backlog: 0,
            announced: false,
            transfer: None,
            unleased: false,
        });
        self.append_own(vec![(wire::EntryKind::Noop, Bytes::new())], out);
    }

    /// Appends commands, if this replica leads and isn't overloaded.
    pub(super) fn propose(&mut self, commands: Vec<Bytes>, out: &mut Vec<Effect>) {
        let Some(lead) = &mut self.lead else {
            return out.push(Effect::Refused(Refusal::NotLeader { leader: self.leader }));
        };
        if let Some(transfer) = &lead.transfer {
            let leader = Some(transfer.to);
            return out.push(Effect::Refused(Refusal::NotLeader { leader }));
        }
        let bytes: usize = commands.iter().map(Bytes::len).sum();
        if lead.backlog > 0 && lead.backlog + bytes > self.settings.backlog_bytes {
            return out.push(Effect::Refused(Refusal::Overloaded));
        }
        lead.backlog += bytes;
        let commands = commands.into_iter().map(|data| (wire::EntryKind::Command, data));
        let first = self.append_own(commands.collect(), out);
        out.push(Effect::Accepted { first, term: self.ballot.term });
    }

    /// Appends entries of this term and returns the first one's index.
    pub(super) fn append_own(
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
            self.log.push(EntryMeta::of(&entry));
            written.push(entry);
        }
        self.save_entries(written, out);
        first
    }

    /// Does what the last input made possible: commits, sends, answers reads, hands over.
    pub(super) fn advance(&mut self, now: Time, links: &Links, out: &mut Vec<Effect>) {
        if self.lead.is_none() {
            return;
        }
        self.advance_commit(out);
        self.replicate(now, links, out);
        self.answer_reads(now, links, out);
        self.advance_transfer(out);
    }

    /// Steps down without a quorum's answers, else sends heartbeats.
    pub(super) fn lead_tick(&mut self, now: Time, links: &Links, out: &mut Vec<Effect>) {
        if now >= self.quorum_contact(now) + self.settings.patience() {
            let term = self.ballot.term;
            return self.follow(now, term, None, out);
        }
        let Some(lead) = &mut self.lead else {
            return;
        };
        if now < lead.heartbeat {
            return;
        }
        lead.heartbeat = now + self.settings.heartbeat;
        self.expire_transfer(now);
        self.send_heartbeats(now, links, false, out);
    }

    /// Takes a follower's answer to entries or a heartbeat.
    pub(super) fn append_reply(&mut self, from: VmId, reply: &wire::AppendReply) {
        let Some(progress) = self.lead.as_mut().and_then(|lead| lead.progress.get_mut(&from))
        else {
            return;
        };
        progress.note_answer(Time(reply.sent), reply.round);
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
        progress.note_match(index);
        match progress.flow {
            Flow::Probe { .. } => progress.stream(),
            Flow::Snapshot { index, .. } if progress.matched >= index => progress.stream(),
            Flow::Snapshot { .. } | Flow::Stream => {}
        }
    }

    /// Takes a follower's answer to a piece of a snapshot.
    pub(super) fn chunk_reply(
        &mut self,
        now: Time,
        from: VmId,
        reply: &wire::ChunkReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(mut lead) = self.lead.take() else {
            return;
        };
        if let Some(progress) = lead.progress.get_mut(&from) {
            progress.note_answer(Time(reply.sent), reply.round);
            self.advance_chunk(now, from, reply, lead.round, progress, out);
        }
        self.lead = Some(lead);
    }

    /// Commits what a quorum has synced.
    ///
    /// An entry of an earlier term that a quorum holds can still be overwritten by a leader that
    /// was elected without it, so only an entry of this term is counted; it commits all before.
    fn advance_commit(&mut self, out: &mut Vec<Effect>) {
        let index = self.quorum_match();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let counts =
            self.log.term(index) == Some(self.ballot.term) || !self.settings.safeguards.own_term;
        if index <= self.commit || !counts {
            return;
        }
        for number in self.commit.0 + 1..=index.0 {
            lead.backlog = lead.backlog.saturating_sub(self.log.size(LogIndex(number)));
        }
        self.commit = index;
        out.push(Effect::Commit { index });
        if !lead.announced && index >= lead.first {
            lead.announced = true;
            out.push(Effect::Leader { term: self.ballot.term });
        }
    }

    fn quorum_match(&self) -> LogIndex {
        let Some(lead) = &self.lead else {
            return LogIndex(0);
        };
        let matched = |vm: &VmId| match *vm == self.id {
            true => self.synced,
            false => lead.progress.get(vm).map_or(LogIndex(0), |progress| progress.matched),
        };
        let mut all: Vec<LogIndex> = self.log.members().voters.iter().map(matched).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.quorum() - 1).copied().unwrap_or_default()
    }
}
