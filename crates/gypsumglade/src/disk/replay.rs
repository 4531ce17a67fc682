//! Reads the whole log of a data folder and detects damage.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::path::Path;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{
    Ballot, EntryMeta, LogIndex, Members, Position, Restored, Term,
};
use gypsumglade_core::wire::replication as wire;
use gypsumglade_core::wire::replication::record::Body;

use super::folder::{segment_path, segments};
use super::frame::{find_frame, read_frame};
use super::inspect::Finding;
use super::snapshot;
use super::types::{RecordLocation, RestoredGroup};

/// Advice on damage. Removing the damaged part would lose acknowledged writes.
const DAMAGE_ADVICE: &str = "keep the folder as it is, check the disk, and replace this VM's \
     replica: remove it from its groups and add a VM with a new number and an empty folder";

/// A segment file that was read.
#[derive(Debug)]
pub(super) struct ReplayedSegment {
    pub(super) number: u32,
    /// Bytes up to the end of the last valid frame.
    pub(super) valid_bytes: u64,
    /// Length of the file, in bytes.
    pub(super) bytes: u64,
    pub(super) frames: u64,
}

/// Content of a data folder.
#[derive(Debug, Default)]
pub(super) struct Replay {
    pub(super) segments: Vec<ReplayedSegment>,
    pub(super) groups: BTreeMap<GroupId, ReplayedGroup>,
    /// Sequence number of the last frame.
    pub(super) sequence: u64,
    pub(super) findings: Vec<Finding>,
}

/// State of a group, built up from its records.
#[derive(Debug, Default)]
pub(super) struct ReplayedGroup {
    pub(super) ballot: Ballot,
    pub(super) snapshot: Position,
    pub(super) members: Members,
    pub(super) length: u64,
    /// Index of the first of `entries`.
    first: u64,
    entries: VecDeque<(EntryMeta, RecordLocation)>,
    /// Highest index written to each segment.
    pub(super) written: BTreeMap<u32, LogIndex>,
}

/// Reads every segment and snapshot. Reading continues after damage, so that all findings are
/// reported at once.
pub(super) fn replay(folder: &Path) -> anyhow::Result<Replay> {
    let mut replay = Replay::default();
    let numbers = segments(folder)?;
    for (position, &number) in numbers.iter().enumerate() {
        if position > 0 && numbers[position - 1] + 1 != number {
            let text = format!("a segment before it is missing; {DAMAGE_ADVICE}");
            replay.add_finding(&segment_path(folder, number), 0, text);
        }
        let last = position + 1 == numbers.len();
        replay.read_segment(folder, number, last)?;
    }
    replay.check_groups(folder);
    Ok(replay)
}

impl Replay {
    fn read_segment(&mut self, folder: &Path, number: u32, last: bool) -> anyhow::Result<()> {
        let path = segment_path(folder, number);
        let bytes = fs::read(&path)?;
        let mut at = 0;
        let mut frames = 0;
        while at < bytes.len() {
            let Some(frame) = read_frame(&bytes, at) else {
                if let Some(next) = find_frame(&bytes, at, self.sequence) {
                    let text = format!("a synced frame is damaged; {DAMAGE_ADVICE}");
                    self.add_finding(&path, at, text);
                    at = next;
                    continue;
                }
                if !last {
                    let text = format!("the end of a synced segment is damaged; {DAMAGE_ADVICE}");
                    self.add_finding(&path, at, text);
                }
                break;
            };
            if self.sequence != 0 && frame.sequence != self.sequence + 1 {
                let text = format!("frames before this one are missing; {DAMAGE_ADVICE}");
                self.add_finding(&path, at, text);
            }
            self.sequence = frame.sequence;
            for (record, offset, length) in frame.records().unwrap_or_default() {
                let location = RecordLocation {
                    segment: number,
                    offset: offset as u32,
                    length: length as u32,
                };
                self.apply(record, location);
            }
            at = frame.end();
            frames += 1;
        }
        let (valid_bytes, bytes) = (at as u64, bytes.len() as u64);
        self.segments.push(ReplayedSegment { number, valid_bytes, bytes, frames });
        Ok(())
    }

    fn apply(&mut self, record: wire::Record, location: RecordLocation) {
        let group = self.groups.entry(GroupId(record.group)).or_default();
        match record.body {
            Some(Body::Entry(entry)) => group.push(&entry, location),
            Some(Body::Ballot(ballot)) => {
                group.ballot = Ballot { term: Term(ballot.term), vote: ballot.vote.map(VmId) };
            }
            Some(Body::Mark(mark)) => group.apply_mark(&mark),
            None => {}
        }
    }

    fn check_groups(&mut self, folder: &Path) {
        let mut found = Vec::new();
        for (&id, group) in &self.groups {
            if !group.entries.is_empty() && group.first != group.snapshot.index.0 + 1 {
                let text = format!("{id} lacks entries before {}; {DAMAGE_ADVICE}", group.first);
                found.push((folder.to_path_buf(), text));
            }
            if group.length == 0 {
                continue;
            }
            if let Err(error) = snapshot::check(folder, id, group.snapshot.index, group.length) {
                let path = folder.join(snapshot::name(id, group.snapshot.index));
                found.push((path, format!("the snapshot is damaged: {error:#}; {DAMAGE_ADVICE}")));
            }
        }
        for (path, text) in found {
            self.add_finding(&path, 0, text);
        }
    }

    fn add_finding(&mut self, path: &Path, offset: usize, text: String) {
        let file = path.file_name().unwrap_or_default().to_string_lossy().to_compact_string();
        self.findings.push(Finding { file, offset: offset as u64, text: text.into() });
    }
}

impl ReplayedGroup {
    pub(super) fn restored(&self, group: GroupId) -> RestoredGroup {
        let entries = self.entries.iter().map(|(meta, _)| meta.clone()).collect();
        let state = Restored {
            ballot: self.ballot,
            snapshot: self.snapshot,
            members: self.members.clone(),
            entries,
        };
        let locations = self.entries.iter().map(|(_, location)| *location).collect();
        RestoredGroup { group, state, locations, length: self.length }
    }

    pub(super) fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Returns the position of the last entry, or of the snapshot if there are no entries.
    pub(super) fn last(&self) -> Position {
        let Some((meta, _)) = self.entries.back() else {
            return self.snapshot;
        };
        Position { index: LogIndex(self.first + self.entries.len() as u64 - 1), term: meta.term }
    }

    fn push(&mut self, entry: &wire::Entry, location: RecordLocation) {
        let written = self.written.entry(location.segment).or_default();
        *written = LogIndex(entry.index).max(*written);
        if entry.index <= self.snapshot.index.0 {
            return;
        }
        let end = self.first + self.entries.len() as u64;
        if self.entries.is_empty() || entry.index > end || entry.index < self.first {
            // Segments covered by a snapshot may have been removed, and the mark of the snapshot comes
            // later in the log. `check_groups` reports gaps that remain.
            self.entries.clear();
            self.first = entry.index;
        }
        self.entries.truncate((entry.index - self.first) as usize);
        self.entries.push_back((EntryMeta::from_entry(entry), location));
    }

    fn apply_mark(&mut self, mark: &wire::SnapshotMark) {
        self.snapshot = Position { index: LogIndex(mark.index), term: Term(mark.term) };
        self.members = mark.members.as_ref().map(Members::from_wire).unwrap_or_default();
        self.length = mark.length;
        if mark.reset {
            self.entries.clear();
            return;
        }
        while self.first <= mark.index && self.entries.pop_front().is_some() {
            self.first += 1;
        }
    }
}
