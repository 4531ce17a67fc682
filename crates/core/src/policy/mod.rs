//! Decisions of the data path: where a call runs, when it starts, and what is cached or retried.
//!
//! Each module can be used without the others:
//!
//! - [`registry`]: endpoints and their load (docs/design/registry.md).
//! - [`route`]: choice of the endpoint for a call (docs/design/routing.md).
//! - [`admission`]: whether and when a call starts (docs/design/admission.md).
//! - [`overload`]: whether new programs are turned away while a pool is overloaded.
//! - [`priority`]: order among the programs of an organisation.
//! - [`batch`]: prefill and decode speed of engines, by their load; uses [`regression`].
//! - [`retention`]: cached prefixes during tool calls.
//! - [`retry`]: retries and their budget (docs/design/retries.md).
//! - [`attempt_timeout`]: time that an attempt of a repeatable call may take.
//! - [`outlier`]: ejection and slow start of endpoints.
//! - [`group_health`]: whether a replicated group answers, and which callers may wait for it.
//! - [`send_window`]: how many requests may be in flight to one server.
//! - [`memory_budget`]: memory that requests may hold (docs/design/callers.md).
//! - [`connection_limit`]: connections that a listener keeps (docs/design/callers.md).
//! - [`stall`]: detection of pauses of this process.
//! - [`mechanism`]: list of the mechanisms that can be disabled.

pub mod admission;
pub mod attempt_timeout;
pub mod batch;
pub mod connection_limit;
pub mod group_health;
pub mod mechanism;
pub mod memory_budget;
pub mod outlier;
pub mod overload;
pub mod priority;
pub mod registry;
pub mod regression;
pub mod retention;
pub mod retry;
pub mod route;
pub mod send_window;
pub mod stall;

pub use crate::wire::common::Class;
