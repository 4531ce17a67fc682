//! Names that every module shares. All are small and `Copy`, but for text given from outside.

use std::fmt;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// A VM of the system, numbered by the operators in its settings and never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct VmId(pub u32);

/// A replicated log and the state machine behind it. Zero is the control group.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u32);

impl GroupId {
    /// The group that holds bundles, leases and placement.
    pub const CONTROL: GroupId = GroupId(0);
    /// The group that holds kept turns and token budgets; far from the program groups' numbers.
    pub const TURNS: GroupId = GroupId(1 << 16);
}

/// One of a fixed count of shares of the program space; placement maps slots to groups.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slot(pub u16);

/// How many slots there are. Fixed for the life of a deployment: see docs/design/placement.md.
pub const SLOTS: u16 = 1024;

impl Slot {
    /// Returns the slot of a program, the same on every VM and in every version.
    pub fn of(org: &str, program: &str) -> Slot {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(org.as_bytes());
        hash.update(&[0]);
        hash.update(program.as_bytes());
        Slot((hash.digest() % u64::from(SLOTS)) as u16)
    }
}

/// A failure domain's index in the settings' list.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DomainId(pub u16);

/// A region's index in the settings' list.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RegionId(pub u16);

/// A bundle revision's number. Revisions only grow; a roll back is a new revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

/// An organisation's name, as the bundle writes it.
pub type OrgName = CompactString;

/// A program's name, unique within its organisation.
pub type ProgramName = CompactString;

/// An endpoint's instance name, as it announces itself.
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
