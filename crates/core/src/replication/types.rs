//! Names and small values of the replicated log.

use std::fmt;

use crate::prelude::*;
use crate::wire::replication as wire;

/// Place of an entry in a group's log; the first is one.
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

/// Numbers the elections of a group; each term has one leader at most.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Numbers the writes that a replica asked for, in order. See [`crate::replication::Write`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sequence(pub u64);

/// An entry's index with its term: two logs that share one agree on all before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The entry's index.
    pub index: LogIndex,
    /// The term it was proposed in.
    pub term: Term,
}

impl Position {
    /// Where every log of a created group starts, so that a VM that holds nothing yet is always
    /// told the members by a snapshot.
    pub const START: Position = Position { index: LogIndex(1), term: Term(1) };
}

/// The latest term a replica knows and its vote in it; synced before any answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ballot {
    /// The latest term.
    pub term: Term,
    /// The candidate voted for in that term.
    pub vote: Option<VmId>,
}

/// The VMs that hold a group's replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that count towards a quorum, in order.
    pub voters: Vec<VmId>,
    /// Replicas that receive the log and don't count yet.
    pub learners: Vec<VmId>,
}

impl Members {
    /// Returns members with these voters and no learner.
    pub fn from_voters(mut voters: Vec<VmId>) -> Members {
        voters.sort_unstable();
        voters.dedup();
        Members { voters, learners: Vec::new() }
    }

    /// Tells whether `vm` counts towards a quorum.
    pub fn is_voter(&self, vm: VmId) -> bool {
        self.voters.contains(&vm)
    }

    /// Returns every member, voters first.
    pub fn all(&self) -> impl Iterator<Item = VmId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the members after `change`.
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

    /// Returns the form that goes to disk and to other VMs.
    pub fn to_wire(&self) -> wire::Members {
        let numbers = |vms: &[VmId]| vms.iter().map(|vm| vm.0).collect();
        wire::Members { voters: numbers(&self.voters), learners: numbers(&self.learners) }
    }

    /// Reads the form that [`Members::to_wire`] wrote.
    pub fn from_wire(members: &wire::Members) -> Members {
        let vms = |numbers: &[u32]| numbers.iter().map(|&n| VmId(n)).collect();
        Members { voters: vms(&members.voters), learners: vms(&members.learners) }
    }
}

/// Returns how many of `voters` make a quorum.
pub const fn quorum(voters: usize) -> usize {
    voters / 2 + 1
}

/// One step of a membership change; the next may follow once this one is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// The VM starts to receive the log.
    AddLearner(VmId),
    /// A learner that has caught up starts to count.
    Promote(VmId),
    /// The VM no longer holds a replica.
    Remove(VmId),
}

impl MemberChange {
    /// Returns the VM that the change is about.
    pub const fn vm(self) -> VmId {
        match self {
            MemberChange::AddLearner(vm) | MemberChange::Promote(vm) | MemberChange::Remove(vm) => {
                vm
            }
        }
    }
}

/// What a replica keeps in memory of an entry whose data is on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryMeta {
    /// The term it was proposed in.
    pub term: Term,
    /// Bytes of its data.
    pub size: u32,
    /// The members from this entry on, if it is a membership change.
    pub members: Option<Members>,
}

impl EntryMeta {
    /// Reads what the replica needs from a whole entry.
    pub fn from_entry(entry: &wire::Entry) -> EntryMeta {
        let members = (entry.kind() == wire::EntryKind::Members)
            .then(|| prost::Message::decode(entry.data.clone()).ok())
            .flatten()
            .map(|members: wire::Members| Members::from_wire(&members));
        let size = u32::try_from(entry.data.len()).unwrap_or(u32::MAX);
        EntryMeta { term: Term(entry.term), size, members }
    }
}

/// What a replica starts from: all of it was synced earlier.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The last synced ballot.
    pub ballot: Ballot,
    /// Where the snapshot stands; entries follow it.
    pub snapshot: Position,
    /// The members as of the snapshot.
    pub members: Members,
    /// The entries after the snapshot, in order.
    pub entries: Vec<EntryMeta>,
}

impl Restored {
    /// Returns the start of a new group with these members.
    pub fn new_group(members: Members) -> Restored {
        Restored { snapshot: Position::START, members, ..Restored::default() }
    }
}
