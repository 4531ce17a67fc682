//! A replicated log after the published Raft, one [`Replica`] for one group on one VM.
//!
//! A replica is a pure value: [`Replica::step`] takes the time and one [`Input`], and appends
//! [`Effect`]s for the driver to carry out. It holds no entry's data, only each entry's term and
//! size; the driver reads the data from its disk when an effect names a range. So memory doesn't
//! grow with the histories that the log carries. See docs/design/replication.md.

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
