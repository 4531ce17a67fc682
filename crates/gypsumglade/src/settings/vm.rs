//! Identity of this VM.

use gypsumglade_core::prelude::*;

use super::Findings;

/// Who this VM is and where it stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct VmSettings {
    /// Number of this VM, never given to another one later; zero with `discovery`, where each
    /// process makes its own.
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

    /// Checks the values; a VM that makes its own identity has no number here.
    pub(super) fn check(&self, discovered: bool, findings: &mut Findings) {
        let minimum = if discovered { 0 } else { 1 };
        let numbers = minimum..=u64::from(u32::MAX);
        findings.check_range("vm.id", u64::from(self.id), numbers, "as a VM's number");
        findings.check_name("vm.domain", &self.domain);
        findings.check_name("vm.region", &self.region);
    }
}
