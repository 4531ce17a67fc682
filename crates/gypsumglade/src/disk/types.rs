//! What goes to the disk and what comes back.

use std::collections::VecDeque;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{
    Ballot, LogIndex, Members, Position, Restored, Sequence, Term,
};
use gypsumglade_core::wire::replication as wire;

use super::faults::Faults;

/// How a data folder is used.
#[derive(Clone, Debug)]
pub struct Options {
    /// The VM whose folder it is.
    pub vm: VmId,
    /// Bytes after which the log goes on in a new file.
    pub segment_bytes: u64,
    /// Failures that a test wants to see.
    #[doc(hidden)]
    pub faults: Faults,
}

/// Where an entry's record is.
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
    /// Where it stands.
    pub position: Position,
    /// The members as of it.
    pub members: Members,
    /// What the owner of the state machine gave; empty once [`super::SnapshotWriter`] wrote its file.
    pub data: Bytes,
    /// Bytes of the file that is written already.
    pub saved: u64,
    /// True when it replaces the whole log.
    pub reset: bool,
}

impl Snapshot {
    /// Returns the bytes of the snapshot.
    pub fn length(&self) -> u64 {
        self.saved.max(self.data.len() as u64)
    }
}

/// What is to be written for one group.
#[derive(Clone, Debug)]
pub enum JobWrite {
    /// The term and vote.
    Ballot(Ballot),
    /// Entries; the first one's index replaces whatever stood there and after.
    Entries(Vec<wire::Entry>),
    /// A snapshot, and what it does to the log.
    Snapshot(Snapshot),
    /// Nothing: entries up to here won't be read any more, and their files may go.
    Compact(LogIndex),
}

/// A write of one group.
#[derive(Clone, Debug)]
pub struct Job {
    /// The group.
    pub group: GroupId,
    /// The replica's number for the write, if it asked for it.
    pub sequence: Option<Sequence>,
    /// What to write.
    pub write: JobWrite,
}

/// Where one entry was written.
#[derive(Clone, Copy, Debug)]
pub struct WrittenEntry {
    /// The entry's index.
    pub index: LogIndex,
    /// The entry's term.
    pub term: Term,
    /// Where it can be read.
    pub location: RecordLocation,
}

/// A write that is on stable storage.
#[derive(Clone, Debug)]
pub struct CompletedJob {
    /// The group.
    pub group: GroupId,
    /// From the job.
    pub sequence: Option<Sequence>,
    /// Where the job's entries are.
    pub entries: Vec<WrittenEntry>,
    /// Where the job's snapshot stands.
    pub snapshot: Option<LogIndex>,
    /// Length of the job's snapshot, in bytes.
    pub length: u64,
}

impl CompletedJob {
    /// Returns what a disk would say once it has done `job`, but for the places.
    pub fn for_memory(job: &Job) -> CompletedJob {
        let (snapshot, length) = match &job.write {
            JobWrite::Snapshot(snapshot) => (Some(snapshot.position.index), snapshot.length()),
            JobWrite::Ballot(_) | JobWrite::Entries(_) | JobWrite::Compact(_) => (None, 0),
        };
        let entries = Vec::new();
        CompletedJob { group: job.group, sequence: job.sequence, entries, snapshot, length }
    }
}

/// A group as the folder holds it.
#[derive(Clone, Debug)]
pub struct RestoredGroup {
    /// The group.
    pub group: GroupId,
    /// What its replica starts from.
    pub state: Restored,
    /// Where its entries are, from the one after the snapshot on.
    pub locations: VecDeque<RecordLocation>,
    /// Length of its snapshot, in bytes.
    pub length: u64,
}

impl RestoredGroup {
    /// Returns a group without entries.
    pub fn empty(group: GroupId, state: Restored) -> RestoredGroup {
        RestoredGroup { group, state, locations: VecDeque::new(), length: 0 }
    }
}
