//! Membership changes, one at a time, and hand-over of the leadership.

use bytes::Bytes;
use prost::Message;

use super::effect::{Effect, Refusal};
use super::leader::Lead;
use super::progress::Progress;
use super::replica::Replica;
use super::types::{LogIndex, MemberChange};
use crate::prelude::*;
use crate::wire::replication as wire;
use crate::wire::replication::message::Body;

/// A hand-over under way; proposals are refused meanwhile.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) to: VmId,
    until: Time,
    asked: bool,
}

impl Replica {
    /// Appends a membership change, in force from the moment that it is appended.
    pub(super) fn change(&mut self, now: Time, change: MemberChange, out: &mut Vec<Effect>) {
        if let Err(refusal) = self.check_change(now, change) {
            return out.push(Effect::Refused(refusal));
        }
        let members = self.log.members().with(change);
        let data = Bytes::from(members.to_wire().encode_to_vec());
        let first = self.append_own(vec![(wire::EntryKind::Members, data)], out);
        out.push(Effect::Accepted { first, term: self.ballot.term });
        let Some(lead) = &mut self.lead else {
            return;
        };
        match change {
            MemberChange::Remove(vm) => drop(lead.progress.remove(&vm)),
            MemberChange::AddLearner(vm) | MemberChange::Promote(vm) => {
                let next = self.log.last().index;
                lead.progress.entry(vm).or_insert_with(|| Progress::new(next));
            }
        }
    }

    /// Hands the leadership to the voter that has most of the log and answers.
    pub(super) fn transfer(&mut self, now: Time) {
        let patience = self.settings.patience();
        let members = self.log.members().clone();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let best = lead
            .progress
            .iter()
            .filter(|(vm, _)| members.is_voter(**vm))
            .filter(|(_, progress)| progress.acked.is_some_and(|sent| now < sent + patience))
            .max_by_key(|(_, progress)| progress.matched);
        let Some((&to, _)) = best else {
            return;
        };
        lead.transfer = Some(Transfer { to, until: now + patience, asked: false });
    }

    /// Asks the receiver to campaign once it has the whole log.
    ///
    /// Its election doesn't wait for this leader's lease, and the message may arrive at any later
    /// time. So the lease is given up for the rest of the term before the message goes out.
    pub(super) fn advance_transfer(&mut self, out: &mut Vec<Effect>) {
        let last = self.log.last().index;
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(to) = lead.ready_receiver(last) else {
            return;
        };
        lead.unleased = true;
        self.send(to, Body::TimeoutNow(wire::TimeoutNow {}), out);
    }

    /// Takes proposals again when the receiver did not win in time.
    pub(super) fn expire_transfer(&mut self, now: Time) {
        if let Some(lead) = &mut self.lead
            && lead.transfer.as_ref().is_some_and(|transfer| now >= transfer.until)
        {
            lead.transfer = None;
        }
    }

    fn check_change(&self, now: Time, change: MemberChange) -> Result<(), Refusal> {
        let Some(lead) = &self.lead else {
            return Err(Refusal::NotLeader { leader: self.leader });
        };
        // Two changes at once could leave two quorums that share no voter, and so could a change
        // that meets one of an earlier term: both must be committed first.
        if !lead.announced || self.log.members_since() > self.commit {
            return Err(Refusal::ChangePending);
        }
        let members = self.log.members();
        let fits = match change {
            MemberChange::AddLearner(vm) => !members.all().any(|member| member == vm),
            MemberChange::Promote(vm) => members.learners.contains(&vm),
            MemberChange::Remove(vm) => vm != self.id && members.all().any(|member| member == vm),
        };
        if !fits {
            return Err(Refusal::Unfit);
        }
        match change {
            MemberChange::Promote(vm) if !self.has_caught_up(now, vm) => Err(Refusal::NotCaughtUp),
            _ => Ok(()),
        }
    }

    /// Tells whether a learner could replace a voter without a pause.
    ///
    /// A learner that counts too early makes the quorum larger and can't help to reach it: the
    /// next VM lost then stops the group.
    fn has_caught_up(&self, now: Time, vm: VmId) -> bool {
        if !self.settings.safeguards.catch_up {
            return true;
        }
        let Some(progress) = self.lead.as_ref().and_then(|lead| lead.progress.get(&vm)) else {
            return false;
        };
        let near = progress.matched.0 + self.settings.promote_lag >= self.log.last().index.0
            && progress.matched >= self.log.snapshot().index;
        let alive = progress.acked.is_some_and(|sent| now < sent + self.settings.lease);
        near && alive
    }
}

impl Lead {
    /// Returns the receiver of a hand-over that is due to be asked now.
    fn ready_receiver(&mut self, last: LogIndex) -> Option<VmId> {
        let transfer = self.transfer.as_mut()?;
        let matched = self.progress.get(&transfer.to)?.matched;
        if transfer.asked || matched < last {
            return None;
        }
        transfer.asked = true;
        Some(transfer.to)
    }
}
