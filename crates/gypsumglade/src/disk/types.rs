//! Jobs for the disk, their results and the restored state.

use std::collections::VecDeque;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{
    Ballot, LogIndex, Members, Position, Restored, Sequence, Term,
};
use gypsumglade_core::wire::replication as wire;

use super::faults::Faults;

/// Options for opening a data folder.
#[derive(Clone, Debug)]
pub struct Options {
    /// The VM that must own the folder.
    pub vm: VmId,
    /// Length in bytes after which the log continues in a new segment file.
    pub segment_bytes: u64,
    /// Disk failures that a test injects.
    #[doc(hidden)]
    pub faults: Faults,
}

/// Location of an entry's record in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// Number of the segment file.
    pub segment: u32,
    /// Offset of the record in the file, in bytes.
    pub offset: u32,
    /// Length of the record, in bytes.
    pub length: u32,
}

/// A snapshot to be written.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Index and term of the last entry that it covers.
    pub position: Position,
    /// Members as of that entry.
    pub members: Members,
    /// Serialised state machine; empty once [`super::SnapshotWriter`] has written the file.
    pub data: Bytes,
    /// Length of the data in bytes if the file is already written, otherwise 0.
    pub saved: u64,
    /// Whether it replaces the whole log of the group.
    pub reset: bool,
}

impl Snapshot {
    /// Returns the length of the data in bytes, whether its file is written yet or not.
    pub fn length(&self) -> u64 {
        self.saved.max(self.data.len() as u64)
    }
}

/// Content of a [`Job`].
#[derive(Clone, Debug)]
pub enum JobWrite {
    /// A new term or vote.
    Ballot(Ballot),
    /// Entries that replace all existing ones from the index of the first one on.
    Entries(Vec<wire::Entry>),
    /// A snapshot, with its mark in the log.
    Snapshot(Snapshot),
    /// Writes nothing: entries up to this index are not read any more, so their segments may be removed.
    Compact(LogIndex),
}

/// A write for one group.
#[derive(Clone, Debug)]
pub struct Job {
    /// The group.
    pub group: GroupId,
    /// The replica's sequence number for the write, if the replica requested it.
    pub sequence: Option<Sequence>,
    /// Content to write.
    pub write: JobWrite,
}

/// Location of an entry that was written.
#[derive(Clone, Copy, Debug)]
pub struct WrittenEntry {
    /// The entry's index.
    pub index: LogIndex,
    /// The entry's term.
    pub term: Term,
    /// Location to read it from.
    pub location: RecordLocation,
}

/// Result of a [`Job`] that is synced.
#[derive(Clone, Debug)]
pub struct CompletedJob {
    /// The group.
    pub group: GroupId,
    /// Sequence number of the job.
    pub sequence: Option<Sequence>,
    /// Locations of the job's entries.
    pub entries: Vec<WrittenEntry>,
    /// Last index that the job's snapshot covers.
    pub snapshot: Option<LogIndex>,
    /// Length of the job's snapshot, in bytes.
    pub length: u64,
}

impl CompletedJob {
    /// Returns the result of `job` without a disk: entries have no locations.
    pub fn for_memory(job: &Job) -> CompletedJob {
        let (snapshot, length) = match &job.write {
            JobWrite::Snapshot(snapshot) => (Some(snapshot.position.index), snapshot.length()),
            JobWrite::Ballot(_) | JobWrite::Entries(_) | JobWrite::Compact(_) => (None, 0),
        };
        let entries = Vec::new();
        CompletedJob { group: job.group, sequence: job.sequence, entries, snapshot, length }
    }
}

/// State of a group as restored from the data folder.
#[derive(Clone, Debug)]
pub struct RestoredGroup {
    /// The group.
    pub group: GroupId,
    /// Initial state of its replica.
    pub state: Restored,
    /// Locations of its entries, beginning after the snapshot.
    pub locations: VecDeque<RecordLocation>,
    /// Length of its snapshot, in bytes.
    pub length: u64,
}

impl RestoredGroup {
    /// Returns a group without entries or a snapshot file on the disk.
    pub fn empty(group: GroupId, state: Restored) -> RestoredGroup {
        RestoredGroup { group, state, locations: VecDeque::new(), length: 0 }
    }
}
