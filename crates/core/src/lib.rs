//! The decision logic of gypsumglade, free of I/O.
//!
//! Nothing in this crate opens a socket or a file, reads a clock or creates its own random seeds.
//! Time and seeds are passed in, and state machines return the actions to take as effects. The
//! modules can be embedded separately; docs/ARCHITECTURE.md shows how the daemons combine them.

pub mod arena;
pub mod bundle;
pub mod control;
pub mod ids;
pub mod lease;
pub mod membership;
pub mod orders;
pub mod policy;
pub mod prelude;
pub mod program;
pub mod relays;
pub mod replication;
pub mod roster;
pub mod stream;
pub mod time;
pub mod turns;
pub mod wire;
