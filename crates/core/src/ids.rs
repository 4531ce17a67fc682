//! Identifiers used in all modules.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Identity of a VM, a number that is never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct VmId(pub u32);

/// Identity of a replication group: a replicated log and its state machine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u32);

impl GroupId {
    /// The control group, which holds bundles, leases and placement.
    pub const CONTROL: GroupId = GroupId(0);
    /// The turn group, which holds turns and token budgets. Program groups are numbered from 1.
    pub const TURNS: GroupId = GroupId(1 << 16);
}

/// One of [`SLOTS`] partitions of the programs. Each slot belongs to a program group.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slot(pub u16);

/// Number of slots, fixed for the lifetime of a deployment. See docs/design/placement.md.
pub const SLOTS: u16 = 1024;

impl Slot {
    /// Returns the slot of a program, which is the same on all VMs and in all releases.
    pub fn of(org: &str, program: &str) -> Slot {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(org.as_bytes());
        hash.update(&[0]);
        hash.update(program.as_bytes());
        Slot((hash.digest() % u64::from(SLOTS)) as u16)
    }
}

/// Identity of a failure domain: its index in the settings' list.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DomainId(pub u16);

/// Identity of a region: its index in the settings' list.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RegionId(pub u16);

/// Number of a bundle revision. Numbers only grow, since a roll back creates a new revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

/// An organisation's name, as defined in the bundle.
pub type OrgName = CompactString;

/// A program's name, unique within its organisation.
pub type ProgramName = CompactString;

/// An endpoint's instance name, as it announces it.
pub type EndpointName = CompactString;

macro_rules! display_number {
    ($($type:ident => $prefix:literal),* $(,)?) => {
        $(impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        })*
    };
}

display_number!(VmId => "vm", GroupId => "g", Slot => "slot", DomainId => "domain",
    RegionId => "region", RevisionNumber => "r");
