//! The durable role of a VM with a disk.

use std::net::SocketAddr;
use std::path::PathBuf;

use gypsumglade_core::prelude::*;

use super::Findings;
use super::listen::LOOPBACK;

/// Replicas on this VM's disk.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct StoreSettings {
    /// The one folder that all durable files live under.
    pub folder: PathBuf,
    /// Calls from the other VMs to the store daemon, which is a process of its own.
    pub peers: SocketAddr,
    /// The operators' interface of the store daemon.
    pub admin: SocketAddr,
    /// Milliseconds between a leader's heartbeats.
    pub heartbeat_ms: u64,
    /// Milliseconds without a heartbeat after which a follower stands for election.
    pub election_ms: u64,
}

impl Default for StoreSettings {
    fn default() -> StoreSettings {
        StoreSettings {
            folder: PathBuf::from("data"),
            peers: LOOPBACK,
            admin: LOOPBACK,
            heartbeat_ms: 100,
            election_ms: 1_000,
        }
    }
}

impl StoreSettings {
    pub(super) fn check(&self, findings: &mut Findings) {
        if self.folder.as_os_str().is_empty() {
            findings.add("store.folder", "an empty path", "a folder on a disk that syncs");
        }
        findings.range("store.heartbeat_ms", self.heartbeat_ms, 10..=10_000, "milliseconds");
        let least = self.heartbeat_ms.saturating_mul(3);
        findings.range("store.election_ms", self.election_ms, least..=60_000, "milliseconds");
    }
}
