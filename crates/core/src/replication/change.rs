//! Membership changes and leadership transfer.

use bytes::Bytes;
use prost::Message;

use super::effect::{Effect, Refusal};
use super::leader::LeaderState;
use super::progress::Progress;
use super::replica::Replica;
use super::types::{LogIndex, MemberChange};
use crate::prelude::*;
use crate::wire::replication as wire;
use crate::wire::replication::message::Body;

/// A leadership transfer in progress, during which proposals are refused.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) to: VmId,
    deadline: Time,
    requested: bool,
}

impl Replica {
    /// Appends a membership change, which takes effect when it is appended.
    pub(super) fn change_members(
        &mut self,
        now: Time,
        change: MemberChange,
        out: &mut Vec<Effect>,
    ) {
        if let Err(refusal) = self.check_change(now, change) {
            return out.push(Effect::Refused(refusal));
        }
        let members = self.log.members().with(change);
        let data = Bytes::from(members.to_wire().encode_to_vec());
        let first = self.append_as_leader(vec![(wire::EntryKind::Members, data)], out);
        out.push(Effect::Accepted { first, term: self.ballot.term });
        let Some(state) = &mut self.leader_state else {
            return;
        };
        match change {
            MemberChange::Remove(vm) => drop(state.progress.remove(&vm)),
            MemberChange::AddLearner(vm) | MemberChange::Promote(vm) => {
                let next = self.log.last().index;
                state.progress.entry(vm).or_insert_with(|| Progress::new(next));
            }
        }
    }

    /// Starts a transfer of leadership to the most up-to-date voter that responds, one of `among`
    /// unless that is empty.
    pub(super) fn begin_transfer(&mut self, now: Time, among: &[VmId]) {
        let timeout = self.settings.election_timeout();
        let members = self.log.members().clone();
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let best = state
            .progress
            .iter()
            .filter(|(vm, _)| members.is_voter(**vm))
            .filter(|(vm, _)| among.is_empty() || among.contains(vm))
            .filter(|(_, progress)| progress.acked.is_some_and(|sent| now < sent + timeout))
            .max_by_key(|(_, progress)| progress.matched);
        let Some((&to, _)) = best else {
            return;
        };
        state.transfer = Some(Transfer { to, deadline: now + timeout, requested: false });
    }

    /// Asks the transfer target to campaign once it has the whole log.
    ///
    /// Voters don't wait for this leader's lease in that election, and the request may arrive at
    /// any later time. The lease is therefore released for the rest of the term before the request
    /// is sent.
    pub(super) fn advance_transfer(&mut self, out: &mut Vec<Effect>) {
        let last = self.log.last().index;
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let Some(to) = state.take_transfer_target(last) else {
            return;
        };
        state.lease_released = true;
        self.send(to, Body::TimeoutNow(wire::TimeoutNow {}), out);
    }

    /// Cancels a transfer whose target has not won in time, so that proposals are accepted again.
    pub(super) fn expire_transfer(&mut self, now: Time) {
        if let Some(state) = &mut self.leader_state
            && state.transfer.as_ref().is_some_and(|transfer| now >= transfer.deadline)
        {
            state.transfer = None;
        }
    }

    fn check_change(&self, now: Time, change: MemberChange) -> Result<(), Refusal> {
        let Some(state) = &self.leader_state else {
            return Err(Refusal::NotLeader { leader: self.leader });
        };
        // Two uncommitted changes, of this term or of an earlier one, could leave two quorums
        // without a common voter.
        if !state.announced || self.log.members_since() > self.commit {
            return Err(Refusal::ChangePending);
        }
        let members = self.log.members();
        let fits = match change {
            MemberChange::AddLearner(vm) => !members.all().any(|member| member == vm),
            MemberChange::Promote(vm) => members.learners.contains(&vm),
            MemberChange::Remove(vm) => vm != self.id && members.all().any(|member| member == vm),
        };
        if !fits {
            return Err(Refusal::InvalidChange);
        }
        match change {
            MemberChange::Promote(vm) if !self.has_caught_up(now, vm) => Err(Refusal::NotCaughtUp),
            _ => Ok(()),
        }
    }

    /// Returns whether a learner is close enough to the leader's log to become a voter.
    ///
    /// A voter that is far behind enlarges the quorum but can't help to reach it, so that the loss
    /// of one more VM would stop the group.
    fn has_caught_up(&self, now: Time, vm: VmId) -> bool {
        if !self.settings.safeguards.catch_up {
            return true;
        }
        let Some(progress) = self.leader_state.as_ref().and_then(|state| state.progress.get(&vm))
        else {
            return false;
        };
        let caught_up = progress.matched.0 + self.settings.promote_lag >= self.log.last().index.0
            && progress.matched >= self.log.snapshot().index;
        let alive = progress.acked.is_some_and(|sent| now < sent + self.settings.lease);
        caught_up && alive
    }
}

impl LeaderState {
    /// Returns the transfer target if it is ready and was not asked yet, and marks it as asked.
    fn take_transfer_target(&mut self, last: LogIndex) -> Option<VmId> {
        let transfer = self.transfer.as_mut()?;
        let matched = self.progress.get(&transfer.to)?.matched;
        if transfer.requested || matched < last {
            return None;
        }
        transfer.requested = true;
        Some(transfer.to)
    }
}
