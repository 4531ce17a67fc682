//! Messages that leave the process: between VMs, and into the data folder.
//!
//! The types are generated from `crates/core/proto` by `gypsumglade-wiregen` and committed, so
//! that the build needs no generator. See docs/ARCHITECTURE.md for who sends which.

/// Types that several schemas share.
#[path = "generated/gypsumglade.common.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod common;

/// Bundles, placement and leases: what the control group stores and answers.
#[path = "generated/gypsumglade.control.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod control;

/// Summaries of endpoints between VMs.
#[path = "generated/gypsumglade.endpoint.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod endpoint;

/// Datagrams of VM membership.
#[path = "generated/gypsumglade.membership.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod membership;

/// What operators ask of the control group.
#[path = "generated/gypsumglade.operator.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod operator;

/// Requests to a program group and its answers.
#[path = "generated/gypsumglade.program.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod program;

/// Messages and log records of the replicated log.
#[path = "generated/gypsumglade.replication.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod replication;

/// Processes that introduce themselves to each other.
#[path = "generated/gypsumglade.discovery.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod discovery;

/// Commands, answers and snapshots of a turn group.
#[path = "generated/gypsumglade.turn.rs"]
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod turn;
