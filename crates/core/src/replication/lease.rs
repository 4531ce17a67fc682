//! Leader lease and reads, which rely on the lease or on a round of heartbeats.

use super::effect::Effect;
use super::leader::LeaderState;
use super::links::Links;
use super::progress::Progress;
use super::replica::Replica;
use super::types::LogIndex;
use crate::prelude::*;

/// A read that waits for a quorum to confirm the leader.
#[derive(Debug)]
pub(super) struct PendingRead {
    token: u64,
    index: LogIndex,
    round: u64,
}

impl LeaderState {
    /// Refuses all pending reads because this replica no longer leads.
    pub(super) fn refuse_reads(self, leader: Option<VmId>, out: &mut Vec<Effect>) {
        let refused = self.reads.into_iter();
        out.extend(refused.map(|read| Effect::ReadRefused { token: read.token, leader }));
    }
}

impl Replica {
    /// Returns whether this replica leads under a valid lease, so that no other one can lead before
    /// its end.
    ///
    /// Check this after the work and before the reply: the process may have been paused in between
    /// until after the end of its lease.
    pub fn holds_lease(&self, now: Time, links: &Links) -> bool {
        let Some(state) = &self.leader_state else {
            return false;
        };
        let fresh =
            self.quorum_acked(now, links).is_some_and(|sent| now < sent + self.settings.lease);
        state.announced && !state.lease_released && fresh
    }

    /// Handles a read: answers it at once under the lease, or else after a round of heartbeats.
    pub(super) fn read(&mut self, now: Time, links: &Links, token: u64, out: &mut Vec<Effect>) {
        let leased = self.holds_lease(now, links);
        let Some(state) = &mut self.leader_state else {
            return out.push(Effect::ReadRefused { token, leader: self.leader });
        };
        if leased {
            return out.push(Effect::ReadReady { token, index: self.commit });
        }
        let index = self.commit.max(state.term_start);
        state.round += 1;
        state.reads.push_back(PendingRead { token, index, round: state.round });
        self.send_heartbeats(now, links, true, out);
    }

    /// Answers the reads that a quorum has confirmed.
    pub(super) fn answer_reads(&mut self, now: Time, links: &Links, out: &mut Vec<Effect>) {
        if self.leader_state.as_ref().is_none_or(|state| state.reads.is_empty() || !state.announced)
        {
            return;
        }
        let confirmed = match self.holds_lease(now, links) {
            true => u64::MAX,
            false => self.quorum_round(),
        };
        let Some(state) = &mut self.leader_state else {
            return;
        };
        while state.reads.front().is_some_and(|read| read.round <= confirmed) {
            if let Some(read) = state.reads.pop_front() {
                out.push(Effect::ReadReady { token: read.token, index: read.index });
            }
        }
    }

    /// Returns when a quorum was last in contact, or the time of the election if that is later.
    pub(super) fn quorum_contact(&self, now: Time) -> Time {
        let since = self.leader_state.as_ref().map_or(Time::ZERO, |state| state.elected_at);
        // Each step has already applied the pulses to the followers' progress, so the links aren't
        // needed.
        self.quorum_acked(now, &Links::default()).unwrap_or(since).max(since)
    }

    /// Returns the latest time for which a quorum has acknowledged messages sent at that time or
    /// later.
    ///
    /// This replica itself counts as acknowledging now.
    fn quorum_acked(&self, now: Time, links: &Links) -> Option<Time> {
        let state = self.leader_state.as_ref()?;
        let acked = |vm: &VmId| match *vm == self.id {
            true => Some(now),
            false => state
                .progress
                .get(vm)
                .and_then(|progress| progress.acked.max(self.pulse_ack(links, *vm, progress))),
        };
        let mut all: Vec<_> = self.log.members().voters.iter().map(acked).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.quorum() - 1).copied().flatten()
    }

    /// Returns when the latest pulse was sent whose acknowledgement counts for this group.
    pub(super) fn pulse_ack(&self, links: &Links, vm: VmId, progress: &Progress) -> Option<Time> {
        if !self.settings.safeguards.epochs {
            return links.acked_any_epoch(vm);
        }
        let (theirs, own) = progress.epochs?;
        links.acked(vm, theirs, own)
    }

    /// Returns the latest round of heartbeats that a quorum has confirmed.
    fn quorum_round(&self) -> u64 {
        let Some(state) = &self.leader_state else {
            return 0;
        };
        let round = |vm: &VmId| match *vm == self.id {
            true => u64::MAX,
            false => state.progress.get(vm).map_or(0, |progress| progress.round),
        };
        let mut all: Vec<u64> = self.log.members().voters.iter().map(round).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.quorum() - 1).copied().unwrap_or(0)
    }
}
