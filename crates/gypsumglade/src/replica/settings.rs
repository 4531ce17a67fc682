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
    /// The data folder. If not set, everything is kept in memory, for tests.
    pub folder: Option<PathBuf>,
    /// Timeouts and limits of each replica.
    pub replication: Settings,
    /// Number of entries after which a group's owner is asked for a snapshot.
    pub snapshot_entries: u64,
    /// Bytes of entries after which a group's owner is asked for a snapshot at the earliest. After a
    /// large snapshot the next one is requested at twice its length, as the cost grows with the length.
    pub snapshot_min: u64,
    /// Bytes of entries after which a group's owner is asked for a snapshot at the latest.
    pub snapshot_bytes: u64,
    /// Bytes of each group's latest entries that are cached in memory.
    pub cache_bytes: usize,
    /// Length in bytes after which the log continues in a new file. Each file is read into memory whole at
    /// start.
    pub segment_bytes: u64,
    /// How long a proposal waits for its outcome after this VM lost the leadership.
    pub outcome_timeout: Duration,
    /// Seed of the randomised election timeouts; random if not set.
    pub seed: Option<u64>,
    /// Metric for the time from a proposal to its outcome.
    pub commits: Option<CommitLatency>,
    /// Disk failures that a test injects.
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
            snapshot_min: 4 * 1024 * 1024,
            snapshot_bytes: 64 * 1024 * 1024,
            cache_bytes: 1024 * 1024,
            segment_bytes: 4 * 1024 * 1024,
            outcome_timeout: Duration::from_secs(5),
            seed: None,
            commits: None,
            faults: Faults::default(),
        }
    }
}
