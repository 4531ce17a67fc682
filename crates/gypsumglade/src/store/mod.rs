//! The store process: durable replicas of the control, program and turn groups, and texts of kept
//! turns.

pub mod context;
pub mod control_group;
pub mod follower_watch;
mod gauges;
mod member_watch;
mod news_relay;
pub mod outbound;
mod peer_calls;
mod pending_answers;
pub mod program_group;
mod registrar;
mod registrar_body;
mod renewals;
mod repair;
mod serve;
mod text_copies;
mod text_holder;
pub mod turn_group;
mod turn_load;

pub use context::ReleaseAnswer;
pub(crate) use gauges::metrics_page;
pub use news_relay::NewsRelay;
pub use registrar::{Registrar, RegistrarError, RetireError};
pub use serve::{Store, StoreAddresses, StoreState};
