//! Inputs and outputs of a replica.

use bytes::Bytes;

use super::types::{Ballot, LogIndex, MemberChange, Members, Position, Sequence, Term};
use crate::prelude::*;
use crate::wire::replication as wire;

/// An event for a replica to handle.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed. Due at [`crate::replication::Replica::deadline`].
    Tick,
    /// A message from another VM's replica has arrived.
    Message {
        /// VM that sent the message.
        from: VmId,
        /// Received message.
        message: wire::Message,
    },
    /// Appends commands to the log. Answered by [`Effect::Accepted`] or [`Effect::Refused`].
    Propose {
        /// Data of the entries, one command each.
        commands: Vec<Bytes>,
    },
    /// Requests the index that a read must observe. Answered by [`Effect::ReadReady`] or
    /// [`Effect::ReadRefused`].
    Read {
        /// Identifies the read in the answer.
        token: u64,
    },
    /// Changes the members. Answered by [`Effect::Accepted`] or [`Effect::Refused`].
    ChangeMembers(MemberChange),
    /// Transfers leadership to the most up-to-date voter that responds.
    Transfer {
        /// Voters to choose from; empty for all.
        to: Vec<VmId>,
    },
    /// All writes up to this one are on stable storage.
    Synced(Sequence),
    /// A snapshot of the state machine up to this index is on stable storage.
    Snapshotted(LogIndex),
}

/// An action for the driver. Effects must be carried out in the order of the list.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Writes to stable storage, in order. Answered by [`Input::Synced`].
    Persist {
        /// Number to pass to [`Input::Synced`].
        sequence: Sequence,
        /// Data to write.
        write: Write,
    },
    /// Sends a message.
    Send {
        /// Receiving VM.
        to: VmId,
        /// Complete message.
        message: wire::Message,
    },
    /// Adds the entries `first..=last` to an append message and sends it.
    SendEntries {
        /// Receiving VM.
        to: VmId,
        /// An `Append` without entries.
        message: wire::Message,
        /// First entry to add.
        first: LogIndex,
        /// Last entry to add.
        last: LogIndex,
    },
    /// Adds a chunk of the snapshot to a message and sends it.
    SendChunk {
        /// Receiving VM.
        to: VmId,
        /// A `Chunk` whose `data` and `last` must be filled in, starting at its `offset`.
        message: wire::Message,
    },
    /// Stores a chunk of a snapshot that is being received. A chunk at offset zero discards earlier
    /// chunks.
    StoreChunk {
        /// Position of the snapshot.
        position: Position,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// Content of the chunk.
        data: Bytes,
    },
    /// Applies the entries up to `index` to the state machine, in order.
    Commit {
        /// Last committed entry.
        index: LogIndex,
    },
    /// Replaces the state machine by the stored snapshot. Follows the `Persist` of the snapshot.
    Restore {
        /// Position of the snapshot.
        position: Position,
    },
    /// This replica leads, and the commit of all entries of earlier terms has been reported.
    Leader {
        /// Term of the leadership.
        term: Term,
    },
    /// This replica has lost its leadership, or the leader that it follows has changed.
    Follower {
        /// Current leader, if known.
        leader: Option<VmId>,
    },
    /// The term or the leader of this replica has changed. Requires a new epoch of the VM's
    /// [`crate::replication::Links`] before its next pulse.
    NewEpoch,
    /// The proposal or membership change was appended.
    Accepted {
        /// Index of the first appended entry.
        first: LogIndex,
        /// Term of the appended entries. If another term is committed at an index, the proposal was
        /// lost.
        term: Term,
    },
    /// The proposal or membership change was not appended.
    Refused(Refusal),
    /// The read may be served once the state machine has applied `index`.
    ReadReady {
        /// Token of the [`Input::Read`].
        token: u64,
        /// Index that must have been applied.
        index: LogIndex,
    },
    /// The read can't be served by this replica.
    ReadRefused {
        /// Token of the [`Input::Read`].
        token: u64,
        /// Current leader, if known.
        leader: Option<VmId>,
    },
}

/// Data that must be on stable storage before replies that depend on it are sent.
#[derive(Clone, Debug)]
pub enum Write {
    /// Replaces the stored ballot.
    Ballot(Ballot),
    /// Appends entries, after removing stored ones from the index of the first on.
    Entries(Vec<wire::Entry>),
    /// Makes the stored chunks the snapshot and clears the log.
    Snapshot {
        /// Position of the snapshot.
        position: Position,
        /// Members as of the snapshot.
        members: Members,
    },
}

/// Reason why a proposal or membership change was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This replica doesn't lead, or is transferring its leadership.
    #[error("this replica does not lead its group; ask the leader")]
    NotLeader {
        /// VM to ask instead, if known.
        leader: Option<VmId>,
    },
    /// Too many bytes of proposals are uncommitted.
    #[error("too many uncommitted proposals; retry later")]
    Overloaded,
    /// An earlier membership change is uncommitted, or the leader has not committed an entry of its
    /// term yet.
    #[error("an earlier membership change is uncommitted; retry later")]
    ChangePending,
    /// The learner lacks too many entries or doesn't respond.
    #[error("the learner has not caught up yet; retry later")]
    NotCaughtUp,
    /// The change adds a member again, promotes a VM that isn't a learner, or removes the leader or
    /// a VM that isn't a member.
    #[error("the change does not apply to the current members; check the group's status")]
    InvalidChange,
}
