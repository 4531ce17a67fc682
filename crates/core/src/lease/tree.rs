//! Whom an entry VM asks for its lease: a tree within each region, the control leader above.
//!
//! Each VM works the tree out alone from its view of the members. Views may differ for a while;
//! a parent always has a lower number than its child, so no cycle can form, and a lease passed
//! along any path only gets shorter, so a wrong parent costs time and never safety.

use crate::prelude::*;

/// Most VMs that ask one relay.
pub const FAN_OUT: usize = 16;

/// A live VM as the tree needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmRegion {
    /// The VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
}

/// Whom to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The control group's leader.
    Control,
    /// Another entry VM.
    Vm(VmId),
}

/// Returns whom `me` asks, in order of preference: its parent, then each ancestor, then the
/// control leader. Only the first VM of a region asks the leader, so a change crosses the paid
/// link once for each region.
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
