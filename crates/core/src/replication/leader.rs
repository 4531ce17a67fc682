//! What a leader does: appends, replicates, commits.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use super::change::Transfer;
use super::effect::{Effect, Refusal};
use super::lease::PendingRead;
use super::links::Links;
use super::progress::{Flow, Progress};
use super::replica::{Replica, Role};
use super::types::{EntryMeta, LogIndex, Position, Term};
use crate::prelude::*;
use crate::wire::replication as wire;
use crate::wire::replication::message::Body;

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

    /// Sends a heartbeat to every follower that needs one, or to `all`.
    pub(super) fn send_heartbeats(
        &mut self,
        now: Time,
        links: &Links,
        all: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(mut lead) = self.lead.take() else {
            return;
        };
        for (&to, progress) in &mut lead.progress {
            if !all && self.rests(now, links, to, progress) {
                continue;
            }
            progress.beat = now;
            self.restart_compacted(progress);
            let prev = self.heartbeat_position(progress);
            let append = self.append_message(now, links, prev, lead.round);
            self.send(to, Body::Append(append), out);
            self.resend_chunk(now, to, lead.round, progress, out);
        }
        self.lead = Some(lead);
    }

    /// Takes over the answers to pulses that count for this group.
    ///
    /// When an epoch ends they stop counting until the next heartbeat was answered. What they
    /// proved by then must be kept, or the lease would be lost at every election of any group.
    pub(super) fn note_answers(&mut self, links: &Links) {
        let Some(mut lead) = self.lead.take() else {
            return;
        };
        for (&vm, progress) in &mut lead.progress {
            progress.acked = progress.acked.max(self.pulse_answer(links, vm, progress));
        }
        self.lead = Some(lead);
    }

    /// Tells whether a follower needs no heartbeat now: its VM's pulses stand in for it, or it is
    /// silent and was sent one not long ago.
    fn rests(&self, now: Time, links: &Links, vm: VmId, progress: &Progress) -> bool {
        let half = self.settings.lease / 2;
        if links.is_silent(now, vm, self.settings.patience()) {
            return now < progress.beat + half;
        }
        self.pulse_answer(links, vm, progress).is_some_and(|sent| now < sent + half)
            && progress.is_idle(self.log.last().index, self.commit)
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

    fn advance_chunk(
        &self,
        now: Time,
        to: VmId,
        reply: &wire::ChunkReply,
        round: u64,
        progress: &mut Progress,
        out: &mut Vec<Effect>,
    ) {
        if reply.installed {
            progress.note_match(LogIndex(reply.index));
        }
        let Flow::Snapshot { index, offset, .. } = progress.flow else {
            return;
        };
        if progress.matched >= index {
            return progress.stream();
        }
        if reply.index != index.0 || reply.offset == offset {
            return;
        }
        progress.flow = Flow::Snapshot { index, offset: reply.offset, sent: now };
        self.send_chunk(now, to, round, progress, out);
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

    /// Sends every follower what it lacks, as far as the limits let it.
    fn replicate(&mut self, now: Time, links: &Links, out: &mut Vec<Effect>) {
        let Some(mut lead) = self.lead.take() else {
            return;
        };
        let last = self.log.last().index;
        for (&to, progress) in &mut lead.progress {
            while progress.next <= last && self.may_send(progress) {
                self.send_entries(now, links, to, lead.round, progress, out);
            }
        }
        self.lead = Some(lead);
    }

    fn may_send(&self, progress: &Progress) -> bool {
        match progress.flow {
            Flow::Probe { waiting } => !waiting,
            Flow::Stream => progress.in_flight.len() < self.settings.in_flight,
            Flow::Snapshot { .. } => false,
        }
    }

    fn send_entries(
        &self,
        now: Time,
        links: &Links,
        to: VmId,
        round: u64,
        progress: &mut Progress,
        out: &mut Vec<Effect>,
    ) {
        let index = LogIndex(progress.next.0 - 1);
        let Some(term) = self.log.term(index) else {
            let index = self.log.snapshot().index;
            progress.flow = Flow::Snapshot { index, offset: 0, sent: now };
            return self.send_chunk(now, to, round, progress, out);
        };
        let (last, _) = self.log.batch(progress.next, self.settings.batch_bytes);
        let append = self.append_message(now, links, Position { index, term }, round);
        let message = self.envelope(Body::Append(append));
        out.push(Effect::SendEntries { to, message, first: progress.next, last });
        match &mut progress.flow {
            Flow::Probe { waiting } => *waiting = true,
            Flow::Stream => {
                progress.in_flight.push_back(last);
                progress.next = last.next();
            }
            Flow::Snapshot { .. } => {}
        }
    }

    /// Sends a piece again that got no answer in time.
    fn resend_chunk(
        &self,
        now: Time,
        to: VmId,
        round: u64,
        progress: &mut Progress,
        out: &mut Vec<Effect>,
    ) {
        if let Flow::Snapshot { sent, .. } = progress.flow
            && now >= sent + self.settings.lease
        {
            self.send_chunk(now, to, round, progress, out);
        }
    }

    fn send_chunk(
        &self,
        now: Time,
        to: VmId,
        round: u64,
        progress: &mut Progress,
        out: &mut Vec<Effect>,
    ) {
        let Flow::Snapshot { index, offset, .. } = progress.flow else {
            return;
        };
        // A newer snapshot replaced the one that was on its way: its pieces start over.
        let position = self.log.snapshot();
        let offset = if position.index == index { offset } else { 0 };
        progress.flow = Flow::Snapshot { index: position.index, offset, sent: now };
        let members = self.log.members_at(position.index).to_wire();
        let chunk = wire::Chunk {
            index: position.index.0,
            term: position.term.0,
            members: Some(members),
            offset,
            sent: now.0,
            round,
            ..wire::Chunk::default()
        };
        out.push(Effect::SendChunk { to, message: self.envelope(Body::Chunk(chunk)) });
    }

    /// Starts over with a follower when what it was sent last is compacted.
    ///
    /// Its messages may all have been lost, and no heartbeat can ask about a compacted entry: a
    /// full window would never empty and the follower never get another entry.
    fn restart_compacted(&self, progress: &mut Progress) {
        let asks = matches!(progress.flow, Flow::Probe { .. } | Flow::Stream);
        if asks && self.log.term(LogIndex(progress.next.0 - 1)).is_none() {
            progress.probe(progress.matched.next());
        }
    }

    /// Returns where a heartbeat claims that the logs agree. A follower that disagrees says so,
    /// which is how the loss of the last message in flight is noticed.
    fn heartbeat_position(&self, progress: &Progress) -> Position {
        let index = LogIndex(progress.next.0 - 1);
        match (progress.flow, self.log.term(index)) {
            (Flow::Snapshot { .. }, _) | (_, None) => Position::default(),
            (_, Some(term)) => Position { index, term },
        }
    }

    fn append_message(&self, now: Time, links: &Links, prev: Position, round: u64) -> wire::Append {
        wire::Append {
            prev_index: prev.index.0,
            prev_term: prev.term.0,
            commit: self.commit.0,
            sent: now.0,
            round,
            epoch: links.epoch(),
            ..wire::Append::default()
        }
    }
}
