//! What a host tells the owner of the state machines, and how its calls can fail.

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{LogIndex, Refusal, Status, Term};

/// A batch of messages for another VM's host; losing one is harmless.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// The receiver.
    pub to: VmId,
    /// For [`crate::replica::Host::receive`] there.
    pub batch: Bytes,
    /// Whether it is a piece of a snapshot: all else should overtake it.
    pub bulk: bool,
}

/// Something that the owner of a group's state machine must know. Events of one group arrive in
/// the order of its log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This VM's replica leads, and all entries of earlier terms were delivered before this.
    Leader {
        /// The group.
        group: GroupId,
        /// The term it leads in.
        term: Term,
    },
    /// This VM's replica doesn't lead.
    Follower {
        /// The group.
        group: GroupId,
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// A committed command, to be applied.
    Committed {
        /// The group.
        group: GroupId,
        /// Its place in the log. Places of the log's own entries are left out.
        index: LogIndex,
        /// The term it was proposed in.
        term: Term,
        /// The command.
        data: Bytes,
    },
    /// A snapshot that replaces the state machine.
    Restore {
        /// The group.
        group: GroupId,
        /// The last index it covers.
        index: LogIndex,
        /// What [`crate::replica::Host::snapshot`] was given.
        data: Bytes,
    },
    /// The log has grown long: give a snapshot when it suits.
    NeedSnapshot {
        /// The group.
        group: GroupId,
    },
    /// The disk failed. This VM's replicas answer nothing until the process is restarted.
    Failed {
        /// What happened, and what to do.
        reason: CompactString,
    },
}

/// Why a proposal wasn't committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another VM leads the group; nothing was appended.
    #[error("this VM does not lead the group; ask the leader")]
    NotLeader {
        /// The leader, if known.
        hint: Option<VmId>,
    },
    /// It is certainly not committed and never will be.
    #[error("the proposal was dropped and will never be committed; it may be sent again")]
    Dropped,
    /// It may or may not be committed.
    #[error("the proposal may still be committed; look for it before sending it again")]
    Uncertain,
}

/// Why a read can't be served here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// Another VM leads the group, or none.
    #[error("this VM does not lead the group; ask the leader")]
    NotLeader {
        /// The leader, if known.
        hint: Option<VmId>,
    },
}

/// Why a membership change wasn't made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// Nothing was appended.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// It was appended, and its outcome is this.
    #[error(transparent)]
    Proposal(#[from] ProposeError),
}

/// State of a host for the dump.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostStatus {
    /// This VM.
    pub vm: VmId,
    /// Why the host stopped answering, if it did.
    pub failed: Option<CompactString>,
    /// Its replicas, by group.
    pub groups: Vec<Status>,
    /// What it holds in memory.
    pub held: MemoryUsage,
}

/// What a host holds in memory, by kind, so that one can tell which of them grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryUsage {
    /// Bytes of the logs' latest entries.
    pub cache: usize,
    /// Bytes of snapshots that are being written to disk.
    pub writing: usize,
    /// Bytes of snapshots that are kept to be sent to others, or that have no file yet.
    pub sending: usize,
    /// Bytes of snapshots of which pieces have arrived.
    pub arriving: usize,
    /// Bytes of batches and proposals that the replicas haven't taken.
    pub inbox: usize,
    /// Events that the owner hasn't taken.
    pub events: usize,
    /// Commands that the replicas haven't taken.
    pub commands: usize,
}
