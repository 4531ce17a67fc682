//! Decisions of the data path: where a call runs, whether it is let in, what is kept or retried.
//!
//! Each module is a value of its own and can be embedded without the others:
//!
//! - [`registry`]: which endpoints there are and how busy they are (docs/design/registry.md).
//! - [`route`]: the endpoint a call goes to (docs/design/routing.md).
//! - [`admission`]: whether and when a call is let in (docs/design/admission.md).
//! - [`batch`]: how fast engines read and generate, by what they run; [`mod@regression`] learns it.
//! - [`group_health`]: whether a replicated group answers, and who is refused meanwhile.
//! - [`mechanism`]: the list of what can be switched off.
//! - [`hedging`]: how long an answer is waited for before another endpoint is asked.
//! - [`priority`]: the order among programs that wait.
//! - [`retention`]: prefix memory across tool pauses.
//! - [`stall`]: whether this process stood still.
//! - [`retry`] and [`outlier`]: what is tried again and where (docs/design/retries.md).

pub mod admission;
pub mod batch;
pub mod group_health;
pub mod hedging;
pub mod mechanism;
pub mod outlier;
pub mod overload;
pub mod priority;
pub mod registry;
pub mod regression;
pub mod retention;
pub mod retry;
pub mod route;
pub mod stall;

pub use crate::wire::common::Class;
