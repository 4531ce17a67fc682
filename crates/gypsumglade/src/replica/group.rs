//! A group's replica with its entries, waiting callers and snapshot.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{LogIndex, Members, Position, Replica, Role, Settings, Term};
use gypsumglade_core::wire::replication as wire;
use tokio::sync::oneshot;

use super::event::{ChangeError, ProposeError, ReadError};
use super::settings::HostSettings;
use super::storage::Storage;
use super::tail::{EntrySource, Tail};
use crate::disk::{RestoredGroup, Snapshot};

/// Factor by which the log limits are raised while a snapshot is being sent to another VM.
const TRANSFER_LOG_FACTOR: u64 = 4;

/// Length of the log, relative to the last snapshot, at which the next snapshot is requested.
const SNAPSHOT_LOG_FACTOR: u64 = 2;

/// Channel to the caller that waits for the outcome of an entry.
#[derive(Debug)]
pub(super) enum Reply {
    Propose(oneshot::Sender<Result<LogIndex, ProposeError>>),
    Change(oneshot::Sender<Result<LogIndex, ChangeError>>),
}

impl Reply {
    pub(super) fn send(self, result: Result<LogIndex, ProposeError>) {
        // The caller may have stopped waiting.
        match self {
            Reply::Propose(reply) => drop(reply.send(result)),
            Reply::Change(reply) => drop(reply.send(result.map_err(ChangeError::Proposal))),
        }
    }
}

/// A caller whose entry is appended and not yet committed.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) index: LogIndex,
    pub(super) term: Term,
    pub(super) reply: Reply,
}

/// State of one group on this VM.
#[derive(Debug)]
pub(super) struct Group {
    id: GroupId,
    pub(super) replica: Replica,
    pub(super) tail: Tail,
    /// Commands queued for the next step.
    pub(super) proposals: Vec<(Bytes, Reply)>,
    pub(super) waiters: VecDeque<Waiter>,
    pub(super) reads: HashMap<u64, oneshot::Sender<Result<LogIndex, ReadError>>>,
    /// When callers that wait since this VM lost the leadership are told that the outcome is uncertain.
    pub(super) outcome_deadline: Option<Time>,
    /// Received part of an incoming snapshot.
    pub(super) incoming: Vec<u8>,
    /// Data of the snapshot, if it isn't in a file.
    pub(super) snapshot: Bytes,
    /// Length of the snapshot, in bytes.
    pub(super) length: u64,
    /// Data that other VMs are sent instead of the snapshot at this index. Set before that snapshot is
    /// written, so that all chunks of a snapshot that is sent have the same source.
    pub(super) peer_data: Option<(LogIndex, Bytes)>,
    /// Commit index at which a snapshot was last requested.
    pub(super) requested_index: LogIndex,
}

impl Group {
    pub(super) fn new(
        settings: Settings,
        vm: VmId,
        seed: u64,
        restored: RestoredGroup,
        now: Time,
    ) -> Group {
        let start = restored.state.snapshot.index;
        let replica = Replica::new(settings, vm, restored.group, seed, restored.state, now);
        Group {
            id: restored.group,
            replica,
            tail: Tail::new(start, restored.locations),
            proposals: Vec::new(),
            waiters: VecDeque::new(),
            reads: HashMap::new(),
            outcome_deadline: None,
            incoming: Vec::new(),
            snapshot: Bytes::new(),
            peer_data: None,
            length: restored.length,
            requested_index: start,
        }
    }

    /// Returns when the next timer of the group expires.
    pub(super) fn deadline(&self) -> Time {
        let outcome_deadline = self.outcome_deadline.unwrap_or(Time::MAX);
        self.replica.deadline().min(outcome_deadline)
    }

    /// Reads an entry from memory or from disk.
    pub(super) fn entry(
        &self,
        storage: &mut Storage,
        index: LogIndex,
    ) -> anyhow::Result<wire::Entry> {
        match self.tail.find(index) {
            Some(EntrySource::Cached(entry)) => Ok(entry),
            Some(EntrySource::OnDisk(location)) => storage.read_entry(location),
            None => anyhow::bail!("entry {index} is not in the log"),
        }
    }

    /// Answers the callers whose entries are decided by a commit up to `index`.
    pub(super) fn resolve_waiters(&mut self, index: LogIndex) {
        while let Some(waiter) = self.next_waiter(index) {
            let kept = self.replica.term_at(waiter.index) == Some(waiter.term);
            let result = if kept { Ok(waiter.index) } else { Err(ProposeError::Dropped) };
            waiter.reply.send(result);
        }
        if self.waiters.is_empty() {
            self.outcome_deadline = None;
        }
    }

    /// Answers the callers of entries up to `index` that the outcome is uncertain.
    pub(super) fn abandon_waiters(&mut self, index: LogIndex) {
        while let Some(waiter) = self.next_waiter(index) {
            waiter.reply.send(Err(ProposeError::Uncertain));
        }
        if self.waiters.is_empty() {
            self.outcome_deadline = None;
        }
    }

    fn next_waiter(&mut self, index: LogIndex) -> Option<Waiter> {
        let due = self.waiters.front().is_some_and(|waiter| waiter.index <= index);
        due.then(|| self.waiters.pop_front()).flatten()
    }

    /// Returns the position and members of a new snapshot at `index`, or `None` if this or a newer one
    /// exists. Overwriting its file could, after a crash, leave one that doesn't match its mark.
    pub(super) fn new_snapshot_meta(&self, index: LogIndex) -> Option<(Position, Members)> {
        let current = self.replica.snapshot().index;
        let exists = index < current || (index == current && self.length > 0);
        self.replica.snapshot_meta(index).filter(|_| !exists)
    }

    /// Appends a chunk of an incoming snapshot; offset 0 starts a new one.
    pub(super) fn store_chunk(&mut self, offset: u64, data: &[u8]) {
        if offset == 0 {
            self.incoming.clear();
        }
        self.incoming.extend_from_slice(data);
    }

    /// Replaces log and snapshot by the received snapshot, and returns it for storage.
    pub(super) fn install(&mut self, position: Position, members: &Members) -> Snapshot {
        let data = Bytes::from(std::mem::take(&mut self.incoming));
        self.tail.reset(position.index);
        self.requested_index = position.index;
        self.snapshot = data.clone();
        self.length = data.len() as u64;
        Snapshot { position, members: members.clone(), data, saved: 0, reset: true }
    }

    /// Drops the entries that the replica doesn't keep any more. Returns the index of the last one.
    pub(super) fn compact(&mut self) -> LogIndex {
        let base = self.replica.base();
        self.tail.compact(base);
        self.requested_index = self.requested_index.max(self.replica.snapshot().index);
        base
    }

    /// Marks the requested snapshot as received. It usually covers less than the index at which it was
    /// requested, and the next request must not wait for that index.
    pub(super) fn clear_request(&mut self) {
        self.requested_index = self.replica.snapshot().index;
    }

    /// Reads a chunk of the data that other VMs are sent for the snapshot. Returns it with whether it is
    /// the last one.
    pub(super) fn chunk_to_send(
        &self,
        storage: &Storage,
        offset: u64,
        limit: usize,
    ) -> anyhow::Result<(Bytes, bool)> {
        let index = self.replica.snapshot().index;
        let Some((_, peer_data)) = self.peer_data.as_ref().filter(|(at, _)| *at == index) else {
            return self.snapshot_chunk(storage, offset, limit);
        };
        let start = usize::try_from(offset)?.min(peer_data.len());
        let end = (start + limit).min(peer_data.len());
        Ok((peer_data.slice(start..end), end == peer_data.len()))
    }

    /// Reads a chunk of the snapshot. Returns it with whether it is the last one.
    pub(super) fn snapshot_chunk(
        &self,
        storage: &Storage,
        offset: u64,
        limit: usize,
    ) -> anyhow::Result<(Bytes, bool)> {
        let left = self.length.saturating_sub(offset);
        let length = usize::try_from(left).unwrap_or(usize::MAX).min(limit);
        let last = length as u64 == left;
        if length == 0 {
            return Ok((Bytes::new(), last));
        }
        if self.snapshot.len() as u64 == self.length {
            let start = usize::try_from(offset)?;
            return Ok((self.snapshot.slice(start..start + length), last));
        }
        let index = self.replica.snapshot().index;
        let data = storage.read_snapshot(self.id, index, offset, length)?;
        Ok((data, last))
    }

    /// Returns whether to request a snapshot from the owner now, and records the request.
    pub(super) fn wants_snapshot(&mut self, settings: &HostSettings) -> bool {
        let entries = settings.snapshot_entries;
        let bytes = self.length.saturating_mul(SNAPSHOT_LOG_FACTOR).max(settings.snapshot_min);
        let bytes = bytes.min(settings.snapshot_bytes);
        let commit = self.replica.commit();
        let length = commit.0.saturating_sub(self.replica.snapshot().index.0);
        // A new snapshot restarts the transfer of the current one. Under constant load the receiver
        // would never get a complete snapshot.
        let factor = if self.replica.is_sending_snapshot() { TRANSFER_LOG_FACTOR } else { 1 };
        let (entries, bytes) = (entries.saturating_mul(factor), bytes.saturating_mul(factor));
        let long = length >= entries || (length > 0 && self.tail.bytes() >= bytes);
        // A request without an answer is repeated after another tenth of the limit, in case the owner
        // didn't handle it.
        let answered = self.requested_index <= self.replica.snapshot().index;
        let again =
            answered || commit.0.saturating_sub(self.requested_index.0) >= (entries / 10).max(1);
        if long && again {
            self.requested_index = commit;
        }
        long && again
    }

    /// Returns whether this VM leads a group that has other voters.
    pub(super) fn can_transfer(&self) -> bool {
        self.replica.role() == Role::Leader && !self.replica.is_only_voter()
    }
}
