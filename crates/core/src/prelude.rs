//! Types that nearly all modules use.

pub use std::time::Duration;

pub use compact_str::{CompactString, ToCompactString};
pub use serde::{Deserialize, Serialize};

pub use crate::ids::{
    DomainId, EndpointName, GroupId, OrgName, ProgramName, RegionId, RevisionNumber, SLOTS, Slot,
    VmId,
};
pub use crate::time::Time;
