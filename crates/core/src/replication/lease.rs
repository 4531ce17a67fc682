//! The leader's lease, and reads that rest on it or on a round of heartbeats.

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
    /// Tells the readers that nothing will confirm their reads here any more.
    pub(super) fn refuse_reads(self, leader: Option<VmId>, out: &mut Vec<Effect>) {
        let refused = self.reads.into_iter();
        out.extend(refused.map(|read| Effect::ReadRefused { token: read.token, leader }));
    }
}

impl Replica {
    /// Tells whether no other replica can lead before the lease is out.
    ///
    /// Check it after the work and before the answer: a process that was paused in between finds
    /// out only then that its lease has passed.
    pub fn holds_lease(&self, now: Time, links: &Links) -> bool {
        let Some(state) = &self.leader_state else {
            return false;
        };
        let fresh =
            self.quorum_acked(now, links).is_some_and(|sent| now < sent + self.settings.lease);
        state.announced && !state.lease_released && fresh
    }

    /// Takes a read: answered at once under the lease, else after a round of heartbeats.
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

    /// Answers the reads that a quorum has confirmed by now.
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

    /// Returns when a quorum was last in contact, counted from the election at least.
    pub(super) fn quorum_contact(&self, now: Time) -> Time {
        let since = self.leader_state.as_ref().map_or(Time::ZERO, |state| state.elected_at);
        // Every step takes over what pulses vouch for, so the links themselves aren't needed.
        self.quorum_acked(now, &Links::default()).unwrap_or(since).max(since)
    }

    /// Returns the latest point that a quorum's answers vouch for: what they answered was sent
    /// then or later. The replica itself answers at any time.
    fn quorum_acked(&self, now: Time, links: &Links) -> Option<Time> {
        let state = self.leader_state.as_ref()?;
        let answered = |vm: &VmId| match *vm == self.id {
            true => Some(now),
            false => state
                .progress
                .get(vm)
                .and_then(|progress| progress.acked.max(self.pulse_ack(links, *vm, progress))),
        };
        let mut all: Vec<_> = self.log.members().voters.iter().map(answered).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.quorum() - 1).copied().flatten()
    }

    /// Returns the latest pulse whose answer counts for this group.
    pub(super) fn pulse_ack(&self, links: &Links, vm: VmId, progress: &Progress) -> Option<Time> {
        if !self.settings.safeguards.epochs {
            return links.acked_any_epoch(vm);
        }
        let (theirs, own) = progress.epochs?;
        links.acked(vm, theirs, own)
    }

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
