//! What goes into a replica and what comes out.

use bytes::Bytes;

use super::types::{Ballot, LogIndex, MemberChange, Members, Position, Sequence, Term};
use crate::prelude::*;
use crate::wire::replication as wire;

/// Something that happened to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed; due at [`crate::replication::Replica::deadline`].
    Tick,
    /// A message arrived from another VM's replica.
    Message {
        /// The sender.
        from: VmId,
        /// What it sent.
        message: wire::Message,
    },
    /// Commands to append; answered by [`Effect::Accepted`] or [`Effect::Refused`].
    Propose {
        /// One entry each.
        commands: Vec<Bytes>,
    },
    /// A read wants to know which index it must see; answered by [`Effect::ReadReady`].
    Read {
        /// Given back with the answer.
        token: u64,
    },
    /// A membership change; answered by [`Effect::Accepted`] or [`Effect::Refused`].
    ChangeMembers(MemberChange),
    /// Leadership should go elsewhere, to the most caught-up voter.
    Transfer,
    /// All writes up to this one are on stable storage.
    Synced(Sequence),
    /// A snapshot of the state machine up to this index is on stable storage.
    Snapshotted(LogIndex),
}

/// Something for the driver to do, in the order of the list.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write this, in order, and answer [`Input::Synced`] once it is stable.
    Persist {
        /// Number to answer with.
        sequence: Sequence,
        /// What to write.
        write: Write,
    },
    /// Send this.
    Send {
        /// The receiver.
        to: VmId,
        /// The whole message.
        message: wire::Message,
    },
    /// Fill the entries `first..=last` into this append message and send it.
    SendEntries {
        /// The receiver.
        to: VmId,
        /// An `Append` without its entries.
        message: wire::Message,
        /// First entry to fill in.
        first: LogIndex,
        /// Last entry to fill in.
        last: LogIndex,
    },
    /// Fill a piece of the snapshot into this chunk message and send it.
    SendChunk {
        /// The receiver.
        to: VmId,
        /// A `Chunk` whose `data` and `last` are to be filled in from its `offset` on.
        message: wire::Message,
    },
    /// Keep a piece of an arriving snapshot; a piece at offset zero starts over.
    StoreChunk {
        /// Where the snapshot stands.
        position: Position,
        /// Offset of the piece.
        offset: u64,
        /// The piece.
        data: Bytes,
    },
    /// Entries up to here are committed: hand them to the state machine, in order.
    Commit {
        /// The last committed entry.
        index: LogIndex,
    },
    /// The stored snapshot replaces the state machine; follows its `Persist`.
    Restore {
        /// Where the snapshot stands.
        position: Position,
    },
    /// This replica leads, and all entries of earlier terms were handed over.
    Leader {
        /// Its term.
        term: Term,
    },
    /// This replica doesn't lead, or follows another leader than before.
    Follower {
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// Whom this replica follows, or its term, has changed: end the epoch of the VM's
    /// [`crate::replication::Links`] before its next pulse.
    NewEpoch,
    /// The proposals got the indexes from `first` on.
    Accepted {
        /// Index of the first.
        first: LogIndex,
        /// Term that they were proposed in; another term at an index means that it was dropped.
        term: Term,
    },
    /// The proposal or change was not appended.
    Refused(Refusal),
    /// The read may be answered by a state machine that has applied `index`.
    ReadReady {
        /// From [`Input::Read`].
        token: u64,
        /// What must be applied.
        index: LogIndex,
    },
    /// The read can't be served here.
    ReadRefused {
        /// From [`Input::Read`].
        token: u64,
        /// The leader, if known.
        leader: Option<VmId>,
    },
}

/// What must be on stable storage before answers that depend on it go out.
#[derive(Clone, Debug)]
pub enum Write {
    /// Replaces the ballot.
    Ballot(Ballot),
    /// Entries; the first one's index replaces whatever stood there and after.
    Entries(Vec<wire::Entry>),
    /// The stored chunks become the snapshot, and the log is empty after it.
    Snapshot {
        /// Where the snapshot stands.
        position: Position,
        /// The members as of the snapshot.
        members: Members,
    },
}

/// Why a proposal or change was not appended. Nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another replica leads.
    #[error("this replica does not lead its group; ask the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// Too many bytes wait for a commit.
    #[error("too many proposals wait for a commit; retry later")]
    Overloaded,
    /// An earlier membership change isn't committed, or the term has no commit yet.
    #[error("an earlier membership change is not committed yet; retry later")]
    ChangePending,
    /// The learner lacks entries, or isn't one.
    #[error("the learner has not caught up yet; retry later")]
    NotCaughtUp,
    /// The change doesn't fit the members.
    #[error("the change does not fit the group's members; check its status")]
    InvalidChange,
}
