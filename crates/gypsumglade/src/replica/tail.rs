//! The latest entries of a group in memory, and where the others are on disk.

use std::collections::VecDeque;

use bytes::Bytes;
use gypsumglade_core::replication::LogIndex;
use gypsumglade_core::wire::replication as wire;

use crate::disk::RecordLocation;

/// Where the entries of one group can be read, from the snapshot on.
#[derive(Debug)]
pub(super) struct Tail {
    /// The entry after the snapshot.
    first: u64,
    /// Places of synced entries, from `first` on.
    locations: VecDeque<RecordLocation>,
    /// The latest entries.
    cache: VecDeque<wire::Entry>,
    /// Bytes of data in the cache.
    cached: usize,
    /// Bytes of data after the snapshot.
    bytes: u64,
}

/// What a [`Tail`] knows of an entry.
#[derive(Debug)]
pub(super) enum EntrySource {
    /// The entry itself.
    Cached(wire::Entry),
    /// Where to read it.
    OnDisk(RecordLocation),
}

impl Tail {
    pub(super) fn new(snapshot: LogIndex, locations: VecDeque<RecordLocation>) -> Tail {
        let bytes = locations.iter().map(|location| u64::from(location.length)).sum();
        Tail { first: snapshot.0 + 1, locations, cache: VecDeque::new(), cached: 0, bytes }
    }

    /// Adds entries; the first one's index replaces whatever stood there and after.
    pub(super) fn push(&mut self, entries: &[wire::Entry]) {
        if let Some(first) = entries.first() {
            self.truncate(first.index);
        }
        for entry in entries {
            self.cached += entry.data.len();
            self.bytes += entry.data.len() as u64;
            // The data of an entry that arrived is a slice of its frame, which may hold pieces of
            // snapshots. Kept as it is, a few entries would keep megabytes.
            let data = Bytes::copy_from_slice(&entry.data);
            self.cache.push_back(wire::Entry { data, ..entry.clone() });
        }
    }

    /// Notes where an entry was written. The caller has checked that the entry still stands.
    pub(super) fn set_location(&mut self, index: LogIndex, location: RecordLocation) {
        let Some(offset) = index.0.checked_sub(self.first) else {
            return;
        };
        let offset = offset as usize;
        if offset < self.locations.len() {
            self.locations[offset] = location;
        } else if offset == self.locations.len() {
            self.locations.push_back(location);
        }
    }

    /// Drops entries from memory that are on disk, until `limit` bytes are left.
    pub(super) fn evict(&mut self, limit: usize) {
        while self.cached > limit {
            let written = self.first + self.locations.len() as u64;
            if self.cache.front().is_none_or(|entry| entry.index >= written) {
                return;
            }
            self.pop_cached();
        }
    }

    /// Drops what a snapshot covers.
    pub(super) fn compact(&mut self, snapshot: LogIndex) {
        let first = snapshot.0 + 1;
        let covered = first.saturating_sub(self.first).min(self.locations.len() as u64);
        for location in self.locations.drain(..covered as usize) {
            self.bytes = self.bytes.saturating_sub(u64::from(location.length));
        }
        while self.cache.front().is_some_and(|entry| entry.index < first) {
            self.pop_cached();
        }
        self.first = first;
    }

    /// Drops everything, for a snapshot that replaces the log.
    pub(super) fn reset(&mut self, snapshot: LogIndex) {
        *self = Tail::new(snapshot, VecDeque::new());
    }

    pub(super) fn find(&self, index: LogIndex) -> Option<EntrySource> {
        if let Some(front) = self.cache.front()
            && index.0 >= front.index
        {
            let offset = (index.0 - front.index) as usize;
            return self.cache.get(offset).cloned().map(EntrySource::Cached);
        }
        let offset = index.0.checked_sub(self.first)? as usize;
        self.locations.get(offset).copied().map(EntrySource::OnDisk)
    }

    /// Returns the bytes of the entries in memory.
    pub(super) fn cached(&self) -> usize {
        self.cached
    }

    /// Returns the bytes of the entries after the snapshot, nearly.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    fn truncate(&mut self, first: u64) {
        while self.cache.back().is_some_and(|entry| entry.index >= first) {
            if let Some(entry) = self.cache.pop_back() {
                self.cached -= entry.data.len();
            }
        }
        let keep = first.saturating_sub(self.first) as usize;
        self.locations.truncate(keep);
    }

    fn pop_cached(&mut self) {
        if let Some(entry) = self.cache.pop_front() {
            self.cached -= entry.data.len();
        }
    }
}
