//! The other VMs of the deployment.

use std::collections::HashSet;
use std::net::SocketAddr;

use gypsumglade_core::prelude::*;

use super::{Findings, VmSettings};

/// Addresses and location of a VM in the list of peers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct PeerSettings {
    /// Number of the VM.
    pub vm: u32,
    /// Address of its listener for calls between VMs.
    pub peers: SocketAddr,
    /// Address of its membership socket (UDP).
    pub gossip: SocketAddr,
    /// Name of its failure domain.
    pub domain: CompactString,
    /// Name of its region.
    pub region: CompactString,
    /// Address of its store daemon, if it has a disk and holds replicas.
    pub store: Option<SocketAddr>,
}

impl Default for PeerSettings {
    fn default() -> PeerSettings {
        PeerSettings {
            vm: 0,
            peers: SocketAddr::from(([0, 0, 0, 0], 0)),
            gossip: SocketAddr::from(([0, 0, 0, 0], 0)),
            domain: CompactString::default(),
            region: CompactString::default(),
            store: None,
        }
    }
}

impl PeerSettings {
    /// Returns the VM's number as a [`VmId`].
    pub fn id(&self) -> VmId {
        VmId(self.vm)
    }
}

/// Validates the list. It may include this VM, so that all VMs can share one list.
pub(super) fn check(vm: &VmSettings, peers: &[PeerSettings], store: bool, findings: &mut Findings) {
    let mut seen = HashSet::new();
    for (i, peer) in peers.iter().enumerate() {
        let at = |key: &str| format!("peers[{i}].{key}");
        let number = u64::from(peer.vm);
        findings.check_range(&at("vm"), number, 1..=u64::from(u32::MAX), "as a VM's number");
        if !seen.insert(peer.vm) {
            findings.add(&at("vm"), peer.vm, "a number that no earlier peer has");
        }
        findings.check_name(&at("domain"), &peer.domain);
        findings.check_name(&at("region"), &peer.region);
        for (key, address) in [("peers", peer.peers), ("gossip", peer.gossip)] {
            if address.port() == 0 || address.ip().is_unspecified() {
                findings.add(&at(key), address, "an IP address and port that others can reach");
            }
        }
        if let Some(address) = peer.store.filter(|a| a.port() == 0 || a.ip().is_unspecified()) {
            findings.add(&at("store"), address, "an IP address and port that others can reach");
        }
        if peer.vm == vm.id {
            check_self(vm, peer, store, i, findings);
        }
    }
    let stores = peers.iter().any(|p| p.store.is_some()) || store;
    if !stores {
        findings.add("peers", "no store", "at least one peer with `store: IP:PORT`");
    }
}

/// Reports where this VM's own element of the list differs from its other settings.
fn check_self(
    vm: &VmSettings,
    peer: &PeerSettings,
    store: bool,
    index: usize,
    findings: &mut Findings,
) {
    let at = |key: &str| format!("peers[{index}].{key}");
    if peer.domain != vm.domain {
        findings.add(&at("domain"), &peer.domain, &format!("{:?} as in vm.domain", vm.domain));
    }
    if peer.region != vm.region {
        findings.add(&at("region"), &peer.region, &format!("{:?} as in vm.region", vm.region));
    }
    if peer.store.is_some() != store {
        let allowed = "an address with a `store` section, nothing without one";
        let found = peer.store.map_or("nothing".into(), |address| address.to_compact_string());
        findings.add(&at("store"), found, allowed);
    }
}
