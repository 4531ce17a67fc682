//! The store daemon: control and program groups on durable replicas.

pub mod context;
pub mod control_group;
mod member_watch;
mod peer_calls;
pub mod program_group;
mod serve;

pub use context::ReleaseAnswer;
pub use serve::{Store, StoreAddresses, StoreState};
