//! The durable role of a VM with a disk.

use std::net::SocketAddr;
use std::path::PathBuf;

use gypsumglade_core::bundle::KeyPair;
use gypsumglade_core::prelude::*;

use super::Findings;
use super::listen::LOOPBACK;
use crate::secret::Secret;

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
    /// Where endpoints announce themselves and operators give orders, if a dialect of the platform
    /// is served; see docs/design/provider.md.
    pub registrar: Option<SocketAddr>,
    /// Private key, as 64 hexadecimal digits, with which this store signs orders that reach its
    /// registrar. Absent where operators sign their bundles themselves.
    pub signer: Option<Secret>,
    /// Silence after which an endpoint that announced itself there counts as gone, in milliseconds.
    pub endpoint_lease_ms: u64,
    /// VMs with a disk whose loss at one time the groups bear; each group has twice as many voters
    /// and one more.
    pub tolerate: u32,
    /// Bytes of the folder that texts of kept turns may take.
    pub text_bytes: u64,
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
            registrar: None,
            signer: None,
            endpoint_lease_ms: 5_000,
            tolerate: 1,
            text_bytes: 256 * 1024 * 1024,
            heartbeat_ms: 200,
            election_ms: 1_000,
        }
    }
}

impl StoreSettings {
    /// Returns the key with which orders at the registrar are signed.
    pub fn key_pair(&self) -> Option<KeyPair> {
        let seed: [u8; 32] = hex::decode(self.signer.as_ref()?.reveal()).ok()?.try_into().ok()?;
        Some(KeyPair::from_seed(seed))
    }

    pub(super) fn check(&self, findings: &mut Findings) {
        if self.signer.is_some() && self.key_pair().is_none() {
            findings.add("store.signer", "a secret", "64 hexadecimal digits");
        }
        if self.folder.as_os_str().is_empty() {
            findings.add("store.folder", "an empty path", "a folder on a disk that syncs");
        }
        findings.check_range("store.heartbeat_ms", self.heartbeat_ms, 10..=10_000, "milliseconds");
        findings.check_range("store.tolerate", u64::from(self.tolerate), 0..=4, "VMs");
        let texts = 1024 * 1024..=u64::MAX;
        findings.check_range("store.text_bytes", self.text_bytes, texts, "bytes");
        let lease = self.endpoint_lease_ms;
        findings.check_range("store.endpoint_lease_ms", lease, 100..=600_000, "milliseconds");
        let minimum = self.heartbeat_ms.saturating_mul(3);
        findings.check_range(
            "store.election_ms",
            self.election_ms,
            minimum..=60_000,
            "milliseconds",
        );
    }
}
