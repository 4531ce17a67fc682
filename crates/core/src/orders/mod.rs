//! Fenced orders that make endpoints load and drop model versions.
//!
//! One VM at a time holds the order lease and gives orders. Each order carries a fencing token, so
//! that an endpoint can refuse a late order of an earlier holder. For endpoints that ignore the
//! token, a new holder waits until each order of the earlier holder has arrived or been given up.
//! See docs/design/orders.md.

mod lease;
mod load_limiter;
mod plan;

pub use lease::{FencingToken, OrderGrants, OrderHolder, OrderSettings};
pub use load_limiter::LoadLimiter;
pub use plan::{Engine, ModelVersion, Order, Planner};

/// A safeguard that a test disables, to check that the resulting failure is detected. Never set
/// outside tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    #[default]
    None,
    /// A new holder gives orders at once to endpoints that ignore fencing tokens.
    NoExpiryWait,
    /// The leader gives the lease to another VM before it has expired.
    TakeRunningLease,
    /// A new leader doesn't wait for its predecessor's grants to expire.
    NoGracePeriod,
    /// Orders are given without a valid lease.
    IgnoreLease,
    /// An old version is dropped before the new one is served.
    DropFirst,
}
