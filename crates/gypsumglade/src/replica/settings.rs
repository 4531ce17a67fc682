//! Settings of a replica host.

use std::path::PathBuf;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::Settings;

use crate::disk::Faults;
use crate::metrics::CommitLatency;

/// Settings of the replicas on one VM.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// This VM.
    pub vm: VmId,
    /// The data folder; without one everything is held in memory, for tests.
    pub folder: Option<PathBuf>,
    /// Timeouts and limits of each replica.
    pub replication: Settings,
    /// Entries of a group after which its owner is asked for a snapshot.
    pub snapshot_entries: u64,
    /// Bytes of a group's entries after which its owner is asked for a snapshot, if its last one was
    /// small. Else it is asked at twice that one's length: a snapshot costs as much as it is long.
    pub snapshot_least: u64,
    /// Bytes of a group's entries after which its owner is asked for a snapshot at the latest.
    pub snapshot_bytes: u64,
    /// Bytes of a group's latest entries that stay in memory.
    pub cache_bytes: usize,
    /// Bytes after which the log goes on in a new file. A start reads one file at a time, whole.
    pub segment_bytes: u64,
    /// How long a proposal waits for its outcome after its leader was deposed.
    pub settle: Duration,
    /// Spreads election timeouts; drawn at random when not set.
    pub seed: Option<u64>,
    /// Where the time from a proposal to its outcome is noted.
    pub commits: Option<CommitLatency>,
    /// Failures of the disk that a test wants to see.
    #[doc(hidden)]
    pub faults: Faults,
}

impl Default for HostSettings {
    fn default() -> HostSettings {
        HostSettings {
            vm: VmId(0),
            folder: None,
            replication: Settings::default(),
            snapshot_entries: 10_000,
            snapshot_least: 4 * 1024 * 1024,
            snapshot_bytes: 64 * 1024 * 1024,
            cache_bytes: 1024 * 1024,
            segment_bytes: 4 * 1024 * 1024,
            settle: Duration::from_secs(5),
            seed: None,
            commits: None,
            faults: Faults::default(),
        }
    }
}
