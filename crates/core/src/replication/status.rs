//! What others may ask of a replica.

use super::leader::Lead;
use super::links::Links;
use super::replica::{Replica, Role};
use super::types::{LogIndex, Members, Position, Term};
use crate::prelude::*;

/// A replica's state for the dump and for tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The group.
    pub group: GroupId,
    /// What the replica does.
    pub role: Role,
    /// The latest term it knows.
    pub term: Term,
    /// The leader that it knows of, itself included.
    pub leader: Option<VmId>,
    /// The last committed index it knows.
    pub commit: LogIndex,
    /// The last entry's place.
    pub last: Position,
    /// Where its snapshot stands.
    pub snapshot: Position,
    /// The members in force.
    pub members: Members,
    /// Whether they are committed: no change of them is under way.
    pub settled: bool,
    /// Whether it holds a leader's lease right now.
    pub lease: bool,
}

impl Replica {
    /// Returns the replica's state.
    pub fn status(&self, now: Time, links: &Links) -> Status {
        Status {
            group: self.group,
            role: self.role,
            term: self.ballot.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last(),
            snapshot: self.log.snapshot(),
            members: self.log.members().clone(),
            settled: self.log.members_since() <= self.commit,
            lease: self.holds_lease(now, links),
        }
    }

    /// Returns the last committed index that this replica knows.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the members in force, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns where this replica's snapshot stands.
    pub fn snapshot(&self) -> Position {
        self.log.snapshot()
    }

    /// Returns the entry before the first one that is kept; the driver may drop those up to it.
    pub fn base(&self) -> LogIndex {
        self.log.base()
    }

    /// Drops the entries before the snapshot that were kept for followers a little behind.
    pub fn drop_kept(&mut self) {
        self.log.drop_kept();
    }

    /// Returns the last entry's place, synced or not.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the term of the entry at `index`, if it is in the log after the snapshot or the
    /// snapshot stands there.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term(index)
    }

    /// Tells what this replica does.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Tells whether this replica leads and a snapshot of it is on its way to another.
    pub fn is_sending_snapshot(&self) -> bool {
        self.lead.as_ref().is_some_and(Lead::is_sending_snapshot)
    }

    /// Tells whether this replica is its group's only voter.
    pub fn is_only_voter(&self) -> bool {
        self.is_alone()
    }

    /// Returns the term at `index` and the members as of it, for a snapshot there. Nothing when
    /// the index is not committed or already compacted.
    pub fn snapshot_mark(&self, index: LogIndex) -> Option<(Position, Members)> {
        if index > self.commit {
            return None;
        }
        let term = self.log.term(index)?;
        Some((Position { index, term }, self.log.members_at(index).clone()))
    }
}
