//! Entries and snapshots received from a leader.

use super::effect::{Effect, Write};
use super::links::Links;
use super::replica::{Replica, Role};
use super::types::{EntryMeta, LogIndex, Members, Position, Term};
use crate::prelude::*;
use crate::wire::replication as wire;
use crate::wire::replication::message::Body;

/// A snapshot that has been received up to `offset`.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    position: Position,
    offset: u64,
}

impl Replica {
    /// Handles entries or a heartbeat from the leader of the current term.
    pub(super) fn handle_append(
        &mut self,
        now: Time,
        links: &Links,
        from: VmId,
        mut append: wire::Append,
        out: &mut Vec<Effect>,
    ) {
        if !self.accept_leader(now, from, out) {
            return;
        }
        // A delayed message of an earlier epoch must not replace a newer epoch that was already
        // acknowledged.
        self.leader_epoch = self.leader_epoch.max(append.epoch);
        let prev = self.skip_committed(&mut append);
        if self.log.term(prev.index) != Some(prev.term) {
            return self.refuse(from, links, &append, prev, out);
        }
        let matched = LogIndex(prev.index.0 + append.entries.len() as u64);
        let commit = LogIndex(append.commit).min(matched);
        let entries = std::mem::take(&mut append.entries);
        let wrote = self.append_missing(entries, out);
        if commit > self.commit {
            self.commit = commit;
            out.push(Effect::Commit { index: commit });
        }
        let mut reply = self.new_append_reply(links, &append);
        reply.ok = true;
        reply.index = matched.0;
        self.acknowledge(from, reply, wrote, out);
    }

    /// Handles a snapshot chunk.
    pub(super) fn handle_chunk(
        &mut self,
        now: Time,
        from: VmId,
        chunk: wire::Chunk,
        out: &mut Vec<Effect>,
    ) {
        if !self.accept_leader(now, from, out) {
            return;
        }
        let position = Position { index: LogIndex(chunk.index), term: Term(chunk.term) };
        if self.log.term(position.index) == Some(position.term) && position.index > self.commit {
            self.commit = position.index;
            out.push(Effect::Commit { index: position.index });
        }
        if position.index <= self.commit {
            return self.send_chunk_reply(from, &chunk, chunk.offset, true, out);
        }
        let wanted = match &self.incoming {
            Some(incoming) if incoming.position == position => incoming.offset,
            _ => 0,
        };
        if chunk.offset != wanted {
            return self.send_chunk_reply(from, &chunk, wanted, false, out);
        }
        let offset = wanted + chunk.data.len() as u64;
        out.push(Effect::StoreChunk { position, offset: wanted, data: chunk.data.clone() });
        self.incoming = Some(IncomingSnapshot { position, offset });
        if chunk.last {
            self.install(position, &chunk, out);
        }
        self.send_chunk_reply(from, &chunk, offset, chunk.last, out);
    }

    fn install(&mut self, position: Position, chunk: &wire::Chunk, out: &mut Vec<Effect>) {
        let members = chunk.members.as_ref().map(Members::from_wire).unwrap_or_default();
        self.incoming = None;
        self.rollback_synced(self.log.base().next());
        self.log.reset(position, members.clone());
        self.commit = position.index;
        self.save_snapshot(position, members, out);
        out.push(Effect::Restore { position });
    }

    /// Follows the sender and records the contact. Returns false if this replica is the leader
    /// itself.
    fn accept_leader(&mut self, now: Time, from: VmId, out: &mut Vec<Effect>) -> bool {
        if self.role == Role::Leader {
            return false;
        }
        if self.role != Role::Follower || self.leader != Some(from) {
            self.become_follower(now, self.ballot.term, Some(from), out);
        }
        self.last_contact = Some(now);
        self.reset_timeout(now);
        true
    }

    /// Removes entries that are already committed here, which agree and may be compacted. Returns
    /// the position before the remaining ones.
    fn skip_committed(&self, append: &mut wire::Append) -> Position {
        let prev = Position { index: LogIndex(append.prev_index), term: Term(append.prev_term) };
        if prev.index >= self.commit {
            return prev;
        }
        append.entries.retain(|entry| entry.index > self.commit.0);
        let term = self.log.term(self.commit).unwrap_or_default();
        Position { index: self.commit, term }
    }

    /// Appends the entries that the log lacks, replacing any that conflict. Returns whether it
    /// wrote any.
    fn append_missing(&mut self, mut entries: Vec<wire::Entry>, out: &mut Vec<Effect>) -> bool {
        let known = entries
            .iter()
            .take_while(|e| self.log.term(LogIndex(e.index)) == Some(Term(e.term)))
            .count();
        entries.drain(..known);
        let Some(first) = entries.first().map(|entry| LogIndex(entry.index)) else {
            return false;
        };
        if first <= self.log.last().index {
            self.rollback_synced(first);
            self.log.truncate(first);
        }
        for entry in &entries {
            self.log.push(EntryMeta::from_entry(entry));
        }
        self.save_entries(entries, out);
        true
    }

    /// Returns a reply with all fields that don't depend on the entries.
    fn new_append_reply(&self, links: &Links, append: &wire::Append) -> wire::AppendReply {
        wire::AppendReply {
            sent: append.sent,
            round: append.round,
            commit: self.commit.0,
            epoch: links.epoch(),
            leader_epoch: append.epoch,
            ..wire::AppendReply::default()
        }
    }

    fn acknowledge(
        &mut self,
        to: VmId,
        mut reply: wire::AppendReply,
        wrote: bool,
        out: &mut Vec<Effect>,
    ) {
        if wrote {
            return self.send_after_sync(to, Body::AppendReply(reply), out);
        }
        // Reporting only synced entries avoids a wait for the disk. A slow sync would otherwise
        // delay the replies to heartbeats and cost the leader its lease.
        reply.index = reply.index.min(self.synced.0);
        self.send_after_ballot(to, reply, out);
    }

    fn refuse(
        &mut self,
        to: VmId,
        links: &Links,
        append: &wire::Append,
        prev: Position,
        out: &mut Vec<Effect>,
    ) {
        let before = LogIndex(prev.index.0.saturating_sub(1));
        let hint = self.log.agreement(before, prev.term);
        let mut reply = self.new_append_reply(links, append);
        reply.index = prev.index.0;
        reply.hint_index = hint.index.0;
        reply.hint_term = hint.term.0;
        self.send_after_ballot(to, reply, out);
    }

    /// Sends a reply that depends on no write except that of the ballot.
    fn send_after_ballot(&mut self, to: VmId, reply: wire::AppendReply, out: &mut Vec<Effect>) {
        match self.is_ballot_stable() {
            true => self.send(to, Body::AppendReply(reply), out),
            false => self.send_after_sync(to, Body::AppendReply(reply), out),
        }
    }

    fn send_chunk_reply(
        &mut self,
        to: VmId,
        chunk: &wire::Chunk,
        offset: u64,
        installed: bool,
        out: &mut Vec<Effect>,
    ) {
        let reply = wire::ChunkReply {
            index: chunk.index,
            offset,
            installed,
            sent: chunk.sent,
            round: chunk.round,
        };
        self.send_after_sync(to, Body::ChunkReply(reply), out);
    }

    fn save_snapshot(&mut self, position: Position, members: Members, out: &mut Vec<Effect>) {
        let sequence = self.persist(Write::Snapshot { position, members }, out);
        self.track_write(sequence, position.index);
    }
}
