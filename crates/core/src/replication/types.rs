//! Identifiers and small value types of the replicated log.

use std::fmt;

use crate::prelude::*;
use crate::wire::replication as wire;

/// Index of an entry in a group's log. The first entry has index one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the index after this one.
    pub const fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of an election. Each term has at most one leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Number of a write that a replica requested, in order. See [`crate::replication::Write`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sequence(pub u64);

/// Index and term of an entry. Two logs that share a position agree on all entries up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term in which the entry was proposed.
    pub term: Term,
}

impl Position {
    /// Start of every new group's log.
    ///
    /// It is not the default position, so a VM without any data always receives the members in a
    /// snapshot.
    pub const START: Position = Position { index: LogIndex(1), term: Term(1) };
}

/// Latest known term and the vote cast in it, synced before any reply that depends on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ballot {
    /// Latest known term.
    pub term: Term,
    /// Candidate that received this replica's vote in the term.
    pub vote: Option<VmId>,
}

/// VMs that hold the replicas of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that count towards a quorum, sorted.
    pub voters: Vec<VmId>,
    /// Replicas that receive the log but don't count towards a quorum, sorted.
    pub learners: Vec<VmId>,
}

impl Members {
    /// Returns members with these voters, sorted and without duplicates, and no learners.
    pub fn from_voters(mut voters: Vec<VmId>) -> Members {
        voters.sort_unstable();
        voters.dedup();
        Members { voters, learners: Vec::new() }
    }

    /// Returns whether `vm` counts towards a quorum.
    pub fn is_voter(&self, vm: VmId) -> bool {
        self.voters.contains(&vm)
    }

    /// Returns all members, voters first.
    pub fn all(&self) -> impl Iterator<Item = VmId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the members with `change` applied.
    pub fn with(&self, change: MemberChange) -> Members {
        let mut next = self.clone();
        let vm = change.vm();
        next.voters.retain(|&v| v != vm);
        next.learners.retain(|&v| v != vm);
        match change {
            MemberChange::AddLearner(vm) => next.learners.push(vm),
            MemberChange::Promote(vm) => next.voters.push(vm),
            MemberChange::Remove(_) => {}
        }
        next.voters.sort_unstable();
        next.learners.sort_unstable();
        next
    }

    /// Converts to the format that is stored on disk and sent to other VMs.
    pub fn to_wire(&self) -> wire::Members {
        let numbers = |vms: &[VmId]| vms.iter().map(|vm| vm.0).collect();
        wire::Members { voters: numbers(&self.voters), learners: numbers(&self.learners) }
    }

    /// Converts from the format that [`Members::to_wire`] returns.
    pub fn from_wire(members: &wire::Members) -> Members {
        let vms = |numbers: &[u32]| numbers.iter().map(|&n| VmId(n)).collect();
        Members { voters: vms(&members.voters), learners: vms(&members.learners) }
    }
}

/// Returns the size of a majority of `voters` replicas.
pub const fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

/// Membership change of one VM. Another change is accepted only once this one is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica that receives the log but doesn't vote.
    AddLearner(VmId),
    /// Makes a learner that has caught up a voter.
    Promote(VmId),
    /// Removes a voter or a learner.
    Remove(VmId),
}

impl MemberChange {
    /// Returns the VM that is added, promoted or removed.
    pub const fn vm(self) -> VmId {
        match self {
            MemberChange::AddLearner(vm) | MemberChange::Promote(vm) | MemberChange::Remove(vm) => {
                vm
            }
        }
    }
}

/// Metadata of an entry, kept in memory while the data is on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryMeta {
    /// Term in which the entry was proposed.
    pub term: Term,
    /// Size of the data in bytes.
    pub size: u32,
    /// Members from this entry on, if it is a membership change.
    pub members: Option<Members>,
}

impl EntryMeta {
    /// Returns the metadata of `entry`.
    pub fn from_entry(entry: &wire::Entry) -> EntryMeta {
        let members = (entry.kind() == wire::EntryKind::Members)
            .then(|| prost::Message::decode(entry.data.clone()).ok())
            .flatten()
            .map(|members: wire::Members| Members::from_wire(&members));
        let size = u32::try_from(entry.data.len()).unwrap_or(u32::MAX);
        EntryMeta { term: Term(entry.term), size, members }
    }
}

/// State from which a replica starts. All of it must be on stable storage.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Last synced ballot.
    pub ballot: Ballot,
    /// Position of the snapshot, which precedes the entries.
    pub snapshot: Position,
    /// Members as of the snapshot.
    pub members: Members,
    /// Entries after the snapshot, in order.
    pub entries: Vec<EntryMeta>,
}

impl Restored {
    /// Returns the initial state of a new group with these members.
    pub fn new_group(members: Members) -> Restored {
        Restored { snapshot: Position::START, members, ..Restored::default() }
    }
}
