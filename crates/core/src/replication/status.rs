//! What others may ask of a replica.

use super::leader::LeaderState;
use super::links::Links;
use super::progress::{Flow, Progress};
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
    /// Bytes of proposals that wait for a commit here.
    pub backlog: usize,
    /// What each other member lacks, as far as this leader knows; empty at a follower.
    pub followers: Vec<Lag>,
}

/// What one member lacks of its leader's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// The member.
    pub vm: VmId,
    /// Entries that it isn't known to have synced.
    pub entries: u64,
    /// Bytes of those among them that the leader's log still has.
    pub bytes: u64,
    /// Time since the latest message that it is known to have answered was sent, or since the
    /// leader was elected.
    pub silent: Duration,
    /// Whether it is sent a snapshot, since the log has no more of what it lacks.
    pub snapshot: bool,
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
            backlog: self.leader_state.as_ref().map_or(0, |state| state.backlog),
            followers: self.followers(now, links),
        }
    }

    fn followers(&self, now: Time, links: &Links) -> Vec<Lag> {
        let Some(state) = &self.leader_state else { return Vec::new() };
        let last = self.log.last().index;
        let matched = |progress: &Progress| progress.matched.max(self.log.base());
        // One walk over what the member that is furthest behind lacks, for all of them.
        let lowest = state.progress.values().map(matched).min().unwrap_or(last);
        let mut missing = vec![0];
        for index in (lowest.0 + 1..=last.0).rev() {
            let before = missing.last().copied().unwrap_or(0);
            missing.push(before + self.log.size(LogIndex(index)) as u64);
        }
        let lag = |(&vm, progress): (&VmId, &Progress)| {
            let answered = progress.acked.max(self.pulse_ack(links, vm, progress));
            let lacks = last.0.saturating_sub(matched(progress).0) as usize;
            Lag {
                vm,
                entries: last.0.saturating_sub(progress.matched.0),
                bytes: missing.get(lacks).copied().unwrap_or(0),
                silent: now.since(answered.unwrap_or(state.elected_at).max(state.elected_at)),
                snapshot: matches!(progress.flow, Flow::Snapshot { .. }),
            }
        };
        state.progress.iter().map(lag).collect()
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
    pub fn compact_to_snapshot(&mut self) {
        self.log.compact_to_snapshot();
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

    /// Returns the term that this replica is in.
    pub fn term(&self) -> Term {
        self.ballot.term
    }

    /// Tells what this replica does.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Tells whether this replica leads and a snapshot of it is on its way to another.
    pub fn is_sending_snapshot(&self) -> bool {
        self.leader_state.as_ref().is_some_and(LeaderState::is_sending_snapshot)
    }

    /// Tells whether this replica is its group's only voter.
    pub fn is_only_voter(&self) -> bool {
        self.is_alone()
    }

    /// Returns the term at `index` and the members as of it, for a snapshot there. Nothing when
    /// the index is not committed or already compacted.
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<(Position, Members)> {
        if index > self.commit {
            return None;
        }
        let term = self.log.term(index)?;
        Some((Position { index, term }, self.log.members_at(index).clone()))
    }
}
