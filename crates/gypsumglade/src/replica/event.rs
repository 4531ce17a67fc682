//! Events, errors and status of a replica host.

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{LogIndex, Refusal, Status, Term};

/// A batch of messages for the host of another VM. Losing one is harmless: unanswered messages are sent
/// again.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// The VM to send it to.
    pub to: VmId,
    /// Encoded messages, to be passed to [`crate::replica::Host::receive`] there.
    pub batch: Bytes,
    /// Whether it is a chunk of a snapshot, which should not delay other batches.
    pub bulk: bool,
}

/// An event for the owner of a group's state machine. Events of a group arrive in the order of its log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This VM's replica leads the group, and all committed entries of earlier terms are delivered.
    Leader {
        /// The group.
        group: GroupId,
        /// The term it leads in.
        term: Term,
    },
    /// This VM's replica doesn't lead the group.
    Follower {
        /// The group.
        group: GroupId,
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// A committed command to be applied.
    Committed {
        /// The group.
        group: GroupId,
        /// Index in the log. Indexes of internal entries are skipped.
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
        /// Data of a snapshot that was stored by [`crate::replica::Host::snapshot`] here or on another VM.
        data: Bytes,
    },
    /// The log has grown long, and the owner should take a snapshot.
    NeedSnapshot {
        /// The group.
        group: GroupId,
    },
    /// The disk failed. This VM's replicas answer nothing until the process is restarted.
    Failed {
        /// Description of the failure, with advice on what to do.
        reason: CompactString,
    },
}

/// Reason why a proposal is not known to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This VM doesn't lead the group; nothing was appended.
    #[error("this VM does not lead the group; ask the leader")]
    NotLeader {
        /// The leader, if known.
        hint: Option<VmId>,
    },
    /// The proposal will never be committed, so it can safely be sent again.
    #[error("the proposal was dropped and will never be committed; it may be sent again")]
    Dropped,
    /// The proposal may or may not be committed.
    #[error("the proposal may still be committed; look for it before sending it again")]
    Uncertain,
}

/// Reason why a read can't be served by this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// Another VM leads the group, or none does.
    #[error("this VM does not lead the group; ask the leader")]
    NotLeader {
        /// The leader, if known.
        hint: Option<VmId>,
    },
}

/// Reason why a membership change is not known to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The change was refused; nothing was appended.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The entry of the change failed like a proposal.
    #[error(transparent)]
    Proposal(#[from] ProposeError),
}

/// Status of a host, for diagnostics.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostStatus {
    /// This VM.
    pub vm: VmId,
    /// Reason why the host stopped serving, if it did.
    pub failed: Option<CompactString>,
    /// A write that waits for room on the disk.
    pub shortage: Option<DiskShortage>,
    /// Status of each replica, ordered by group.
    pub groups: Vec<Status>,
    /// Memory usage of the host.
    pub held: MemoryUsage,
}

/// A write that waits for room on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskShortage {
    /// The file that can't be written.
    pub file: CompactString,
    /// Bytes to be written to it.
    pub bytes: usize,
    /// Milliseconds since the first refused attempt.
    pub wait_ms: u64,
}

/// Memory usage of a host, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryUsage {
    /// Bytes of cached log entries.
    pub cache: usize,
    /// Bytes of snapshots that are being written to disk.
    pub writing: usize,
    /// Bytes of snapshots that have no file yet, and of peer data kept for sending.
    pub sending: usize,
    /// Bytes received of incomplete snapshots.
    pub arriving: usize,
    /// Bytes of batches and proposals in the inbox.
    pub inbox: usize,
    /// Number of events not yet received by the owner.
    pub events: usize,
    /// Number of commands in the inbox.
    pub commands: usize,
}
