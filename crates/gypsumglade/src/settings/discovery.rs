//! Settings for finding the other processes from seed addresses instead of a full peer list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gypsumglade_core::prelude::*;

use super::{Findings, VmSettings};

/// Seed addresses and the layout of the deployment; used in place of `peers`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct DiscoverySettings {
    /// Name of this VM for operators.
    pub name: CompactString,
    /// Stores to contact first. Their ports are replaced by this VM's own port for calls between
    /// processes, which is the same on all VMs.
    pub seeds: Vec<SocketAddr>,
    /// Whether the deployment starts for the first time, with empty disks. The stores among the
    /// seeds then form the groups.
    pub first_start: bool,
    /// Region of each failure domain, by the domain's name.
    pub domains: BTreeMap<CompactString, CompactString>,
}

impl DiscoverySettings {
    pub(super) fn check(&self, vm: &VmSettings, findings: &mut Findings) {
        findings.check_name("discovery.name", &self.name);
        if self.seeds.is_empty() {
            findings.add("discovery.seeds", "nothing", "the address of at least one store");
        }
        if self.domains.get(&vm.domain) != Some(&vm.region) {
            let allowed = "vm.domain with the region in vm.region";
            findings.add("discovery.domains", format_args!("{:?}", self.domains), allowed);
        }
    }

    /// Returns the seeds' addresses with `port` in place of their own.
    pub fn peers(&self, port: u16) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}
