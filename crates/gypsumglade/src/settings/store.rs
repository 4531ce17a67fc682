//! Settings of a store, which keeps replicas on its VM's disk.

use std::net::SocketAddr;
use std::path::PathBuf;

use gypsumglade_core::bundle::KeyPair;
use gypsumglade_core::prelude::*;

use super::Findings;
use super::listen::LOOPBACK;
use crate::secret::Secret;

/// Announcements that an endpoint may miss before it is dropped.
const MISSED_ANNOUNCEMENTS: u64 = 3;

/// Data folder, listen addresses and replication of a store.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct StoreSettings {
    /// Folder that holds all durable files.
    pub folder: PathBuf,
    /// Listen address of the store daemon for calls from other VMs.
    pub peers: SocketAddr,
    /// Listen address of the store daemon's operators' interface.
    pub admin: SocketAddr,
    /// Listen address of the registrar, where endpoints announce themselves and operators give
    /// orders. Only for a platform's dialect; see docs/design/provider.md.
    pub registrar: Option<SocketAddr>,
    /// Private key, as 64 hexadecimal digits, that signs the orders given at the registrar. Absent if
    /// operators sign their bundles themselves.
    pub signer: Option<Secret>,
    /// Time without an announcement after which the registrar drops an endpoint, in milliseconds.
    pub endpoint_lease_ms: u64,
    /// Interval at which endpoints announce themselves, in milliseconds. An endpoint that misses
    /// several announcements is dropped, but not before `endpoint_lease_ms`.
    pub announce_ms: u64,
    /// Number of stores that can be lost at once without losing a group's quorum. Each group has
    /// `2 * tolerate + 1` voters.
    pub tolerate: u32,
    /// Maximum disk space for texts of kept turns, in bytes.
    pub text_bytes: u64,
    /// Interval between a leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Election timeout: time without a heartbeat after which a follower becomes a candidate, in
    /// milliseconds.
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
            announce_ms: 1_000,
            tolerate: 1,
            text_bytes: 256 * 1024 * 1024,
            heartbeat_ms: 200,
            election_ms: 1_000,
        }
    }
}

impl StoreSettings {
    /// Returns the key that signs the registrar's orders; `None` if `signer` is absent or invalid.
    pub fn key_pair(&self) -> Option<KeyPair> {
        let seed: [u8; 32] = hex::decode(self.signer.as_ref()?.reveal()).ok()?.try_into().ok()?;
        Some(KeyPair::from_seed(seed))
    }

    /// Returns the time without an announcement after which an endpoint is dropped.
    pub fn endpoint_lease(&self) -> Duration {
        let announcements = self.announce_ms.saturating_mul(MISSED_ANNOUNCEMENTS);
        Duration::from_millis(self.endpoint_lease_ms.max(announcements))
    }

    pub(super) fn check(&self, findings: &mut Findings) {
        if self.signer.is_some() && self.key_pair().is_none() {
            findings.add("store.signer", "a secret", "64 hexadecimal digits");
        }
        if self.folder.as_os_str().is_empty() {
            findings.add("store.folder", "an empty path", "the path of a folder on a durable disk");
        }
        findings.check_range("store.heartbeat_ms", self.heartbeat_ms, 10..=10_000, "milliseconds");
        findings.check_range("store.tolerate", u64::from(self.tolerate), 0..=4, "VMs");
        let texts = 1024 * 1024..=u64::MAX;
        findings.check_range("store.text_bytes", self.text_bytes, texts, "bytes");
        let lease = self.endpoint_lease_ms;
        findings.check_range("store.endpoint_lease_ms", lease, 100..=600_000, "milliseconds");
        findings.check_range("store.announce_ms", self.announce_ms, 10..=600_000, "milliseconds");
        let minimum = self.heartbeat_ms.saturating_mul(3);
        findings.check_range(
            "store.election_ms",
            self.election_ms,
            minimum..=60_000,
            "milliseconds",
        );
    }
}
