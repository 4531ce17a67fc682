//! Status of a replica and access to its state.

use super::leader::LeaderState;
use super::links::Links;
use super::progress::{Flow, Progress};
use super::replica::{Replica, Role};
use super::types::{LogIndex, Members, Position, Term};
use crate::prelude::*;

/// State of a replica, for diagnostics and tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Group of the replica.
    pub group: GroupId,
    /// Role in the current term.
    pub role: Role,
    /// Latest known term.
    pub term: Term,
    /// Current leader if known, which may be this replica.
    pub leader: Option<VmId>,
    /// Last index that is known to be committed.
    pub commit: LogIndex,
    /// Position of the last entry.
    pub last: Position,
    /// Position of the snapshot.
    pub snapshot: Position,
    /// Members in force, committed or not.
    pub members: Members,
    /// Whether the members are committed, so that no change is in progress.
    pub settled: bool,
    /// Whether the replica holds the leader lease.
    pub lease: bool,
    /// Bytes of uncommitted proposals; zero on a follower.
    pub backlog: usize,
    /// Lag of each other member as known to the leader; empty on a follower.
    pub followers: Vec<Lag>,
}

/// How far a member is behind its leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// VM of the member.
    pub vm: VmId,
    /// Number of entries that aren't known to be synced by the member.
    pub entries: u64,
    /// Bytes of these entries, as far as the leader still keeps them.
    pub bytes: u64,
    /// Time since the latest acknowledged message was sent, or since the election if that is later.
    pub silent: Duration,
    /// Whether the member is being sent a snapshot, because entries that it lacks are compacted.
    pub snapshot: bool,
}

impl Replica {
    /// Returns the state of the replica at `now`.
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
        // Cumulative sizes from the end of the log, computed once for all members.
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

    /// Returns the last index that is known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the members in force, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the position of the snapshot.
    pub fn snapshot(&self) -> Position {
        self.log.snapshot()
    }

    /// Returns the index before the first kept entry. The driver may delete entries up to it.
    pub fn base(&self) -> LogIndex {
        self.log.base()
    }

    /// Drops the entries before the snapshot that were kept for followers slightly behind.
    pub fn compact_to_snapshot(&mut self) {
        self.log.compact_to_snapshot();
    }

    /// Returns the position of the last entry, synced or not.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the term of the entry at `index`, or `None` if it is compacted or beyond the end of
    /// the log.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term(index)
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.ballot.term
    }

    /// Returns the role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns whether this replica leads and is sending a snapshot to a member.
    pub fn is_sending_snapshot(&self) -> bool {
        self.leader_state.as_ref().is_some_and(LeaderState::is_sending_snapshot)
    }

    /// Returns whether this replica is the only voter of its group.
    pub fn is_only_voter(&self) -> bool {
        self.is_alone()
    }

    /// Returns the position and the members for a snapshot at `index`, or `None` if the index is
    /// uncommitted or already compacted.
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<(Position, Members)> {
        if index > self.commit {
            return None;
        }
        let term = self.log.term(index)?;
        Some((Position { index, term }, self.log.members_at(index).clone()))
    }
}
