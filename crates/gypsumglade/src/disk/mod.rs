//! Log, vote and snapshots of replicas in the data folder.
//!
//! One folder holds one VM's replicas. All groups share a log of segment files; a frame of the
//! log is what one sync made stable, so one sync serves many groups. docs/design/disk.md has the
//! format and the reasons.

mod faults;
mod folder;
mod frame;
mod inspect;
mod reader;
mod replay;
mod snapshot;
mod types;
mod writer;

pub use faults::Faults;
pub use folder::owner;
pub use inspect::{Finding, GroupReport, Report, SegmentReport, inspect};
pub use reader::Reader;
pub use snapshot::SnapshotWriter;
pub use types::{
    CompletedJob, Job, JobWrite, Options, RecordLocation, RestoredGroup, Snapshot, WrittenEntry,
};
pub use writer::Disk;
