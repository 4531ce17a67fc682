//! Fenced orders to endpoints: loading and dropping model versions.
//!
//! One VM at a time holds the order lease and gives orders. Each order carries a fencing number,
//! so that an endpoint can refuse the late order of an earlier holder. Endpoints that ignore the
//! number are protected by time instead: a new holder waits until the orders of the earlier one
//! have surely arrived or been given up. See docs/design/orders.md.

mod lease;
mod load_limiter;
mod plan;

pub use lease::{FencingToken, OrderGrants, OrderHolder, OrderSettings};
pub use load_limiter::LoadLimiter;
pub use plan::{Engine, ModelVersion, Order, Planner};

/// A safeguard switched off, so that a test can prove that it would notice. Never set outside
/// tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    #[default]
    None,
    /// A new holder gives orders to endpoints that ignore fencing at once.
    NoExpiryWait,
    /// The leader gives the lease away while the old holder's still runs.
    TakeRunningLease,
    /// A new leader gives the lease away without waiting for its predecessor's grants.
    NoGracePeriod,
    /// Orders are given without looking at the lease.
    IgnoreLease,
    /// An old version is dropped before the new one is served.
    DropFirst,
}
