//! Identity and location of this VM.

use gypsumglade_core::prelude::*;

use super::Findings;

/// Number, failure domain and region of this VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct VmSettings {
    /// Number of this VM, never reused for another one. Zero with `discovery`, where each process
    /// generates its own.
    pub id: u32,
    /// Failure domain: the VMs in it can fail together.
    pub domain: CompactString,
    /// Region of the failure domain; traffic between regions costs money.
    pub region: CompactString,
}

impl VmSettings {
    /// Returns the VM's number as a [`VmId`].
    pub fn vm(&self) -> VmId {
        VmId(self.id)
    }

    /// Validates the values; with `discovered`, the number may be zero.
    pub(super) fn check(&self, discovered: bool, findings: &mut Findings) {
        let minimum = if discovered { 0 } else { 1 };
        let numbers = minimum..=u64::from(u32::MAX);
        findings.check_range("vm.id", u64::from(self.id), numbers, "as a VM's number");
        findings.check_name("vm.domain", &self.domain);
        findings.check_name("vm.region", &self.region);
    }
}
