//! Index of a group's log entries: the latest ones in memory, the others by their location on disk.

use std::collections::VecDeque;

use bytes::Bytes;
use gypsumglade_core::replication::LogIndex;
use gypsumglade_core::wire::replication as wire;

use crate::disk::RecordLocation;

/// The entries of one group that are kept after compaction.
#[derive(Debug)]
pub(super) struct Tail {
    /// Index of the first kept entry.
    first: u64,
    /// Locations of synced entries, from `first` on.
    locations: VecDeque<RecordLocation>,
    /// The latest entries, including all that aren't synced.
    cache: VecDeque<wire::Entry>,
    /// Bytes of data in `cache`.
    cached: usize,
    /// Approximate bytes of all kept entries.
    bytes: u64,
}

/// Source to read an entry from.
#[derive(Debug)]
pub(super) enum EntrySource {
    /// The entry itself.
    Cached(wire::Entry),
    /// Its location on disk.
    OnDisk(RecordLocation),
}

impl Tail {
    pub(super) fn new(snapshot: LogIndex, locations: VecDeque<RecordLocation>) -> Tail {
        let bytes = locations.iter().map(|location| u64::from(location.length)).sum();
        Tail { first: snapshot.0 + 1, locations, cache: VecDeque::new(), cached: 0, bytes }
    }

    /// Adds entries, which replace all existing ones from the index of the first one on.
    pub(super) fn push(&mut self, entries: &[wire::Entry]) {
        if let Some(first) = entries.first() {
            self.truncate(first.index);
        }
        for entry in entries {
            self.cached += entry.data.len();
            self.bytes += entry.data.len() as u64;
            // The data of a received entry is a slice of a network frame. Without the copy a small
            // entry would keep a large frame in memory.
            let data = Bytes::copy_from_slice(&entry.data);
            self.cache.push_back(wire::Entry { data, ..entry.clone() });
        }
    }

    /// Records the location of a written entry. The caller must check that it wasn't replaced since.
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

    /// Evicts the oldest cached entries that are on disk, until at most `limit` bytes are cached.
    pub(super) fn evict(&mut self, limit: usize) {
        while self.cached > limit {
            let written = self.first + self.locations.len() as u64;
            if self.cache.front().is_none_or(|entry| entry.index >= written) {
                return;
            }
            self.pop_cached();
        }
    }

    /// Drops all entries up to and including this index.
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

    /// Drops all entries, for a snapshot that replaces the log.
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

    /// Returns the bytes of cached entries.
    pub(super) fn cached(&self) -> usize {
        self.cached
    }

    /// Returns the approximate bytes of all kept entries.
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
