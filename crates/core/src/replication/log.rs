//! Terms, sizes and membership changes of a log whose data is on disk.

use std::collections::VecDeque;

use super::types::{EntryMeta, LogIndex, Members, Position, Restored, Term};

/// What a replica knows of its log: everything but the data.
#[derive(Debug)]
pub(super) struct Log {
    /// Where the snapshot stands.
    snapshot: Position,
    /// The entry before the first one kept; at the snapshot or somewhat before it.
    base: Position,
    entries: VecDeque<EntryInfo>,
    /// Members in force from an index on; the first is the base's.
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

    /// Returns the term at an index, or nothing when it is compacted or not yet there.
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

    /// Drops the entries from `first` on.
    pub(super) fn truncate(&mut self, first: LogIndex) {
        let keep = first.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.members.len() > 1 && self.members.last().is_some_and(|(at, _)| *at >= first) {
            self.members.pop();
        }
    }

    /// Notes that a snapshot covers the entries up to `index`, and drops all of them but the last
    /// `keep` entries or `keep_bytes` bytes.
    ///
    /// A follower is always a little behind. Without the entries that it lacks it would be sent a
    /// whole snapshot at each compaction, perhaps over a slow link.
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

    /// Returns the base that a compaction at `index` would leave.
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

    /// Replaces everything by a snapshot.
    pub(super) fn reset(&mut self, position: Position, members: Members) {
        self.snapshot = position;
        self.base = position;
        self.entries.clear();
        self.members = vec![(position.index, members)];
    }

    /// Returns the entry before the first one kept.
    pub(super) fn base(&self) -> LogIndex {
        self.base.index
    }

    /// Returns the members in force, committed or not.
    pub(super) fn members(&self) -> &Members {
        &self.members[self.members.len() - 1].1
    }

    /// Returns the index that the members in force were appended at.
    pub(super) fn members_since(&self) -> LogIndex {
        self.members[self.members.len() - 1].0
    }

    /// Returns the members as of `index`, for a snapshot there.
    pub(super) fn members_at(&self, index: LogIndex) -> &Members {
        let found = self.members.iter().rev().find(|(at, _)| *at <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    /// Returns the last index of a batch that starts at `first` and its bytes: one entry at
    /// least, and no more than `limit` bytes if it holds several.
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

    /// Returns the bytes of an entry's data; zero when it isn't there.
    pub(super) fn size(&self, index: LogIndex) -> usize {
        self.get(index).map_or(0, |entry| entry.size as usize)
    }

    /// Returns the last index up to `from` whose term is at most `term`.
    ///
    /// Two logs that disagree at `from` can't agree on a later index of a higher term, so a
    /// leader skips a whole term with each refused append instead of one entry.
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
