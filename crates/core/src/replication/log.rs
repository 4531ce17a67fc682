//! Terms, sizes and membership changes of a log whose data is on disk.

use std::collections::VecDeque;

use super::types::{EntryMeta, LogIndex, Members, Position, Restored, Term};

/// In-memory state of a log, without the data of its entries.
#[derive(Debug)]
pub(super) struct Log {
    /// Position of the latest snapshot.
    snapshot: Position,
    /// Position before the first kept entry, at the snapshot or before it.
    base: Position,
    entries: VecDeque<EntryInfo>,
    /// Members and the index from which they are in force. The first ones are those at `base`.
    members: Vec<(LogIndex, Members)>,
}

#[derive(Clone, Copy, Debug)]
struct EntryInfo {
    term: Term,
    size: u32,
}

impl Log {
    pub(super) fn new(restored: Restored) -> Log {
        let start = restored.snapshot;
        let mut log = Log {
            snapshot: start,
            base: start,
            entries: VecDeque::with_capacity(restored.entries.len()),
            members: vec![(start.index, restored.members)],
        };
        for entry in restored.entries {
            log.push(entry);
        }
        log
    }

    pub(super) fn snapshot(&self) -> Position {
        self.snapshot
    }

    pub(super) fn last(&self) -> Position {
        let index = LogIndex(self.base.index.0 + self.entries.len() as u64);
        let term = self.entries.back().map_or(self.base.term, |entry| entry.term);
        Position { index, term }
    }

    /// Returns the term at `index`, or `None` if it is compacted or beyond the end of the log.
    pub(super) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn push(&mut self, entry: EntryMeta) {
        self.entries.push_back(EntryInfo { term: entry.term, size: entry.size });
        if let Some(members) = entry.members {
            self.members.push((self.last().index, members));
        }
    }

    /// Removes the entries from `first` on.
    pub(super) fn truncate(&mut self, first: LogIndex) {
        let keep = first.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.members.len() > 1 && self.members.last().is_some_and(|(at, _)| *at >= first) {
            self.members.pop();
        }
    }

    /// Records a snapshot at `index` and drops the entries that it covers, except for the last
    /// `keep` entries of at most `keep_bytes` bytes.
    ///
    /// Followers are always slightly behind. Without these entries, each compaction would make the
    /// leader send them a whole snapshot, possibly over a slow link.
    pub(super) fn compact(&mut self, index: LogIndex, keep: u64, keep_bytes: usize) {
        let Some(term) = self.term(index) else {
            return;
        };
        self.snapshot = Position { index, term };
        self.drop_to(self.base_after(index, keep, keep_bytes));
    }

    /// Drops all entries that the snapshot covers.
    pub(super) fn compact_to_snapshot(&mut self) {
        self.drop_to(self.snapshot.index);
    }

    /// Returns the index of the base after a compaction at `index`.
    fn base_after(&self, index: LogIndex, keep: u64, keep_bytes: usize) -> LogIndex {
        let mut base = index;
        let mut bytes = 0;
        while base > self.base.index && index.0 - base.0 < keep {
            bytes += self.size(base);
            if bytes > keep_bytes {
                break;
            }
            base = LogIndex(base.0 - 1);
        }
        base
    }

    fn drop_to(&mut self, index: LogIndex) {
        let Some(term) = self.term(index) else {
            return;
        };
        let drop = index.0 - self.base.index.0;
        self.entries.drain(..usize::try_from(drop).unwrap_or(usize::MAX));
        self.base = Position { index, term };
        let covered = self.members.iter().take_while(|(at, _)| *at <= index).count();
        self.members.drain(..covered.saturating_sub(1));
        self.members[0].0 = index;
    }

    /// Replaces the whole log by a snapshot.
    pub(super) fn reset(&mut self, position: Position, members: Members) {
        self.snapshot = position;
        self.base = position;
        self.entries.clear();
        self.members = vec![(position.index, members)];
    }

    /// Returns the index before the first kept entry.
    pub(super) fn base(&self) -> LogIndex {
        self.base.index
    }

    /// Returns the members in force, committed or not.
    pub(super) fn members(&self) -> &Members {
        &self.members[self.members.len() - 1].1
    }

    /// Returns the index from which the current members are in force.
    pub(super) fn members_since(&self) -> LogIndex {
        self.members[self.members.len() - 1].0
    }

    /// Returns the members as of `index`.
    pub(super) fn members_at(&self, index: LogIndex) -> &Members {
        let found = self.members.iter().rev().find(|(at, _)| *at <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    /// Returns the last index and the size of a batch that starts at `first`. The batch has at
    /// least one entry, and at most `limit` bytes if it has several.
    pub(super) fn batch(&self, first: LogIndex, limit: usize) -> (LogIndex, usize) {
        let mut last = first;
        let mut bytes = self.size(first);
        while let Some(entry) = self.get(last.next()) {
            if bytes + entry.size as usize > limit {
                break;
            }
            bytes += entry.size as usize;
            last = last.next();
        }
        (last, bytes)
    }

    /// Returns the size of an entry's data in bytes, or zero if the entry isn't kept.
    pub(super) fn size(&self, index: LogIndex) -> usize {
        self.get(index).map_or(0, |entry| entry.size as usize)
    }

    /// Returns the last position up to `from` whose term is at most `term`, or the base if there is
    /// none.
    ///
    /// The other log has no entries of a higher term up to `from`, so each refused append skips a
    /// whole term instead of a single entry.
    pub(super) fn agreement(&self, from: LogIndex, term: Term) -> Position {
        let mut index = from.min(self.last().index);
        while index > self.base.index && self.term(index).is_some_and(|t| t > term) {
            index = LogIndex(index.0 - 1);
        }
        Position { index, term: self.term(index).unwrap_or_default() }
    }

    fn get(&self, index: LogIndex) -> Option<EntryInfo> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?).copied()
    }
}
