//! Drives the replicas of a VM: disk, timers and messages around the replication core.
//!
//! A [`Host`] runs all replicas of one VM on a dedicated thread, so that load elsewhere in the
//! process doesn't delay heartbeats. See docs/design/replication.md.

mod budget;
mod calls;
mod effects;
mod engine;
mod event;
mod group;
mod host;
mod outbox;
mod queue;
mod settings;
mod storage;
mod tail;

pub use budget::ByteBudget;
pub use event::{
    ChangeError, DiskShortage, Event, HostStatus, MemoryUsage, Outbound, ProposeError, ReadError,
};
pub use host::Host;
pub use settings::HostSettings;
