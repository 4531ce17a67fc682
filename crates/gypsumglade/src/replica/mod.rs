//! Drives replicated logs: disk, timers and messages round the core.
//!
//! A [`Host`] runs every replica of one VM on a thread of its own, so that load elsewhere in the
//! process can't starve heartbeats. See docs/design/replication.md.

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
pub use event::{ChangeError, Event, HostStatus, MemoryUsage, Outbound, ProposeError, ReadError};
pub use host::Host;
pub use settings::HostSettings;
