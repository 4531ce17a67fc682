//! Every decision of gypsumglade, without input or output.
//!
//! Nothing here opens a socket or a file, reads a clock or draws randomness of its own: time and
//! seeds are passed in, and what is to be done comes back as a list of effects. The parts are
//! embeddable one by one; docs/ARCHITECTURE.md shows how the daemons put them together.

pub mod bundle;
pub mod control;
pub mod ids;
pub mod lease;
pub mod membership;
pub mod orders;
pub mod policy;
pub mod prelude;
pub mod program;
pub mod replication;
pub mod roster;
pub mod stream;
pub mod time;
pub mod turns;
pub mod wire;
