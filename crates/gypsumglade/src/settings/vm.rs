//! Identity of this VM.

use gypsumglade_core::prelude::*;

use super::Findings;

/// Who this VM is and where it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct VmSettings {
    /// Number of this VM, never given to another one later.
    pub id: u32,
    /// Failure domain that it shares with the VMs that fail together with it.
    pub domain: CompactString,
    /// Region of the failure domain; traffic between regions is paid for.
    pub region: CompactString,
}

impl VmSettings {
    /// Returns the number as the core's type.
    pub fn vm(&self) -> VmId {
        VmId(self.id)
    }

    pub(super) fn check(&self, findings: &mut Findings) {
        findings.range("vm.id", u64::from(self.id), 1..=u64::from(u32::MAX), "as a VM's number");
        findings.name("vm.domain", &self.domain);
        findings.name("vm.region", &self.region);
    }
}
