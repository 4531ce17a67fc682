//! Raft replication: one [`Replica`] for each group on each VM.
//!
//! A replica does no I/O. [`Replica::step`] takes the time and one [`Input`], and appends the
//! [`Effect`]s that the driver must carry out. Of each entry, a replica keeps only the term and the
//! size in memory; the driver reads the data from disk when an effect names a range. Memory use
//! therefore doesn't depend on the size of the logged data. See docs/design/replication.md.

mod change;
mod effect;
mod election;
mod follower;
mod leader;
mod lease;
mod links;
mod log;
mod progress;
pub mod repair;
mod replica;
mod sender;
mod settings;
mod status;
mod types;

pub use effect::{Effect, Input, Refusal, Write};
pub use links::Links;
pub use replica::{Replica, Role};
pub use settings::{Safeguards, Settings};
pub use status::{Lag, Status};
pub use types::{
    Ballot, EntryMeta, LogIndex, MemberChange, Members, Position, Restored, Sequence, Term, quorum,
};
