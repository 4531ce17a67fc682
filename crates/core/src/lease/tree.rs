//! Upstreams of an entry VM: a tree within each region, with the control leader above the roots.
//!
//! Each VM computes the tree from its own view of the members, and views may differ for a while. A
//! parent always has a lower number than its child, so there are no cycles. A lease only gets
//! shorter along a path, so a wrong parent costs time but not safety.

use crate::prelude::*;

/// Maximum number of VMs that ask one relay.
pub const FAN_OUT: usize = 16;

/// A live VM and its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmRegion {
    /// The live VM.
    pub vm: VmId,
    /// Region that the VM runs in.
    pub region: RegionId,
}

/// A granter that a VM can request its lease from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The leader of the control group.
    Control,
    /// Another entry VM.
    Vm(VmId),
}

/// Returns the upstreams of `me` in order of preference: its parent, further ancestors, the control
/// leader.
///
/// Only the first VM of a region prefers the leader, so a new revision crosses the paid link
/// between regions once for each region.
pub fn upstreams(me: VmRegion, members: &[VmRegion]) -> Vec<Upstream> {
    let mut region: Vec<VmId> =
        members.iter().filter(|other| other.region == me.region).map(|other| other.vm).collect();
    region.push(me.vm);
    region.sort_unstable();
    region.dedup();
    let mut index = region.binary_search(&me.vm).unwrap_or_default();
    let mut path = Vec::new();
    while index > 0 {
        index = (index - 1) / FAN_OUT;
        path.push(Upstream::Vm(region[index]));
    }
    path.push(Upstream::Control);
    path
}
