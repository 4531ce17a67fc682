//! In-memory index of the stored texts: their locations and expiries, and the live bytes of each segment.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gypsumglade_core::prelude::*;

/// A segment is compacted once less than `1 / SPARSE_DIVISOR` of its bytes is live.
pub(super) const SPARSE_DIVISOR: u64 = 4;

/// Bytes that even the shortest text counts against the disk limit.
///
/// This bounds the memory of the index, about 240 bytes for each text, to a quarter of the limit.
const MIN_CHARGE_BYTES: u64 = 1024;

/// Returns the bytes that a record counts against the limit in addition to its length.
pub(super) fn padding(length: u64) -> u64 {
    MIN_CHARGE_BYTES.saturating_sub(length)
}

/// Location of a record in the segment files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordLocation {
    pub(super) segment: u32,
    pub(super) offset: u32,
    pub(super) length: u32,
}

/// Location of a text, and when its retention ends.
#[derive(Clone, Copy, Debug)]
struct Entry {
    location: RecordLocation,
    expiry: Time,
}

/// Total and live bytes of a segment.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    length: u64,
    live: u64,
}

impl Usage {
    fn is_sparse(&self) -> bool {
        self.live * SPARSE_DIVISOR < self.length
    }
}

/// A segment whose space can be reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reclaim {
    /// None of its texts is live.
    Delete(u32),
    /// Few of its texts are live; they must be moved first.
    Compact(u32),
}

/// Tracks every text on the disk, without its content.
#[derive(Debug, Default)]
pub(super) struct Index {
    texts: HashMap<CompactString, Entry>,
    /// All texts in the order of their expiry.
    expiries: BTreeSet<(Time, CompactString)>,
    segments: BTreeMap<u32, Usage>,
    /// Bytes of the segments of an earlier process that are not scanned yet or can't be read. They are
    /// never reclaimed, because their content is not known.
    unscanned: BTreeMap<u32, u64>,
    /// Bytes that the texts count against the limit in addition to their length.
    padding: u64,
    /// The segment that is being compacted. Only one is compacted at a time, so that at most the live
    /// part of one segment is on the disk twice.
    compacting: Option<u32>,
}

impl Index {
    /// Creates the index of a folder whose segments are not scanned yet.
    pub(super) fn new(unscanned: BTreeMap<u32, u64>) -> Index {
        Index { unscanned, ..Index::default() }
    }

    pub(super) fn len(&self) -> usize {
        self.texts.len()
    }

    pub(super) fn live_bytes(&self) -> u64 {
        self.segments.values().map(|usage| usage.live).sum()
    }

    pub(super) fn disk_bytes(&self) -> u64 {
        let scanned: u64 = self.segments.values().map(|usage| usage.length).sum();
        scanned + self.unscanned.values().sum::<u64>()
    }

    /// Returns the bytes that count against the disk limit.
    pub(super) fn charged_bytes(&self) -> u64 {
        self.disk_bytes() + self.padding
    }

    /// Returns the length of the longest segment, in bytes.
    pub(super) fn longest_segment(&self) -> u64 {
        let scanned = self.segments.values().map(|usage| usage.length);
        scanned.chain(self.unscanned.values().copied()).max().unwrap_or_default()
    }

    pub(super) fn location(&self, turn: &str) -> Option<RecordLocation> {
        self.texts.get(turn).map(|entry| entry.location)
    }

    /// Adds `bytes` to the length of a segment.
    pub(super) fn grow(&mut self, segment: u32, bytes: u64) {
        self.segments.entry(segment).or_default().length += bytes;
    }

    /// Adds a text, and replaces an earlier location of it.
    pub(super) fn insert(&mut self, turn: CompactString, location: RecordLocation, expiry: Time) {
        self.remove(&turn);
        self.segments.entry(location.segment).or_default().live += u64::from(location.length);
        self.padding += padding(u64::from(location.length));
        self.expiries.insert((expiry, turn.clone()));
        self.texts.insert(turn, Entry { location, expiry });
    }

    /// Adds a text that a scan found, unless it is known. Scans run from the newest record to the
    /// oldest, so a known location is the newer one.
    pub(super) fn insert_scanned(
        &mut self,
        turn: CompactString,
        location: RecordLocation,
        expiry: Time,
    ) {
        if !self.texts.contains_key(&turn) {
            self.insert(turn, location, expiry);
        }
    }

    /// Marks a segment of `bytes` as scanned, after all its texts were added.
    pub(super) fn finish_scan(&mut self, segment: u32, bytes: u64) {
        self.unscanned.remove(&segment);
        self.grow(segment, bytes);
    }

    /// Updates the location of a moved text, unless it was dropped or moved in the meantime.
    pub(super) fn relocate(&mut self, turn: &str, from: RecordLocation, to: RecordLocation) {
        let Some(entry) = self.texts.get_mut(turn).filter(|entry| entry.location == from) else {
            return;
        };
        entry.location = to;
        self.segments.entry(to.segment).or_default().live += u64::from(to.length);
        self.release(from);
    }

    /// Removes a text. Returns whether its segment is sparse now.
    pub(super) fn remove(&mut self, turn: &str) -> bool {
        let Some((turn, entry)) = self.texts.remove_entry(turn) else {
            return false;
        };
        self.padding -= padding(u64::from(entry.location.length));
        self.expiries.remove(&(entry.expiry, turn));
        self.release(entry.location)
    }

    pub(super) fn remove_segment(&mut self, segment: u32) {
        self.segments.remove(&segment);
        self.compacting.take_if(|number| *number == segment);
    }

    pub(super) fn extend(&mut self, turn: &str, expiry: Time) {
        let Some(entry) = self.texts.get_mut(turn) else {
            return;
        };
        let old = std::mem::replace(&mut entry.expiry, expiry);
        let turn = CompactString::from(turn);
        self.expiries.remove(&(old, turn.clone()));
        self.expiries.insert((expiry, turn));
    }

    /// Returns up to `limit` expired texts, and postpones their expiry to `again`.
    pub(super) fn take_expired(
        &mut self,
        now: Time,
        again: Time,
        limit: usize,
    ) -> Vec<CompactString> {
        let expired = self.expiries.iter().take_while(|(time, _)| *time <= now).take(limit);
        let expired: Vec<_> = expired.map(|(_, turn)| turn.clone()).collect();
        expired.iter().for_each(|turn| self.extend(turn, again));
        expired
    }

    /// Returns a segment whose space can be reclaimed. `current` is included only if none of its texts is
    /// live and `idle` is set, that is, no write is queued.
    ///
    /// Prefers deletes, which need no copying.
    pub(super) fn reclaim(&mut self, current: Option<u32>, idle: bool) -> Option<Reclaim> {
        let scanned = || self.segments.iter().filter(|(n, _)| !self.unscanned.contains_key(*n));
        let unused = scanned()
            .find(|(number, usage)| usage.live == 0 && (idle || current != Some(**number)));
        if let Some((&number, _)) = unused {
            return Some(Reclaim::Delete(number));
        }
        if self.compacting.is_none() {
            let closed = scanned().filter(|(number, _)| current != Some(**number));
            let sparse = closed.filter(|(_, usage)| usage.is_sparse());
            self.compacting = sparse.min_by_key(|(_, usage)| usage.live).map(|(&number, _)| number);
        }
        self.compacting.map(Reclaim::Compact)
    }

    /// Returns live texts of a segment, up to `bytes` in total but at least one.
    pub(super) fn live_texts(
        &self,
        segment: u32,
        bytes: u64,
    ) -> Vec<(CompactString, RecordLocation)> {
        let mut taken = 0;
        let live = self.texts.iter().filter(|(_, entry)| entry.location.segment == segment);
        let selected = live.take_while(|(_, entry)| {
            let first = taken == 0;
            taken += u64::from(entry.location.length);
            first || taken <= bytes
        });
        selected.map(|(turn, entry)| (turn.clone(), entry.location)).collect()
    }

    fn release(&mut self, location: RecordLocation) -> bool {
        let Some(usage) = self.segments.get_mut(&location.segment) else {
            return false;
        };
        usage.live = usage.live.saturating_sub(u64::from(location.length));
        usage.is_sparse()
    }
}
