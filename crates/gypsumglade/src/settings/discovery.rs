//! How a process finds the others where nobody hands out a list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gypsumglade_core::prelude::*;

use super::{Findings, VmSettings};

/// Where to look for the other processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct DiscoverySettings {
    /// Name of this VM, as operators use it.
    pub name: CompactString,
    /// Stores to ask first. Their ports are replaced by this VM's own port for calls between
    /// processes, which is the same on all VMs.
    pub seeds: Vec<SocketAddr>,
    /// True only when the whole deployment starts for the first time, with empty disks: the stores
    /// among the seeds then form the groups.
    pub first_start: bool,
    /// Region of each failure domain.
    pub domains: BTreeMap<CompactString, CompactString>,
}

impl DiscoverySettings {
    pub(super) fn check(&self, vm: &VmSettings, findings: &mut Findings) {
        findings.check_name("discovery.name", &self.name);
        if self.seeds.is_empty() {
            findings.add("discovery.seeds", "nothing", "the address of at least one store");
        }
        if self.domains.get(&vm.domain) != Some(&vm.region) {
            let allowed = "the region of vm.domain, as vm.region names it";
            findings.add("discovery.domains", format_args!("{:?}", self.domains), allowed);
        }
    }

    /// Returns the seeds' addresses for calls between processes.
    pub fn peers(&self, port: u16) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}
