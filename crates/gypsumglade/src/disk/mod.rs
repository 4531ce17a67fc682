//! Stores the logs, votes and snapshots of replicas in the data folder.
//!
//! A folder holds all replicas of one VM. All groups share a log of segment files. A frame of the
//! log holds the records that are written with one sync, so that one sync serves many groups. See
//! docs/design/disk.md for the format.

mod faults;
mod folder;
mod frame;
mod inspect;
mod reader;
mod replay;
mod room;
mod snapshot;
mod types;
mod writer;

pub use faults::{Faults, NameChange};
pub use folder::owner;
pub use inspect::{Finding, GroupReport, Report, SegmentReport, inspect};
pub use reader::Reader;
pub use room::{RoomWait, Shortage};
pub use snapshot::SnapshotWriter;
pub use types::{
    CompletedJob, Job, JobWrite, Options, RecordLocation, RestoredGroup, Snapshot, WrittenEntry,
};
pub use writer::Disk;
