//! Application of placement steps to the replicated state.
//!
//! A step names the change that it was planned on, so a late or duplicate step is rejected. A group
//! has at most one replacement in progress. Steps are planned in [`super::plan`].

use super::{Control, Mutation, rejected};
use crate::prelude::*;
use crate::wire::control as wire;
use crate::wire::control::answer::Body as AnswerBody;
use crate::wire::control::place::Step;
use crate::wire::control::{Fault, GroupPlacement, Replica, ReplicaRole};

/// Returns the program group of a slot in a deployment of `groups` program groups.
///
/// The number of groups is fixed when they are created, so a program never changes its group.
pub fn group_of(slot: Slot, groups: u32) -> GroupId {
    GroupId(1 + u32::from(slot.0) % groups.max(1))
}

impl Control {
    pub(super) fn place(&mut self, place: &wire::Place) -> AnswerBody {
        let result = match &place.step {
            Some(Step::Create(create)) => self.create_groups(create),
            Some(Step::Add(add)) => self.add_learner(add),
            Some(Step::Drop(drop)) => self.drop_learner(drop),
            Some(Step::Promote(promote)) => self.promote(promote),
            Some(Step::Remove(remove)) => self.remove_replica(remove),
            None => Err(rejected(Fault::Malformed, "the step is empty")),
        };
        result.map_or_else(|refusal| refusal, |change| AnswerBody::Placed(wire::Placed { change }))
    }

    /// Creates the program groups, which is done once: a resend is rejected.
    fn create_groups(&mut self, create: &wire::CreateGroups) -> Result<u64, AnswerBody> {
        if !self.groups.is_empty() {
            return Err(refused("the groups already exist"));
        }
        let numbered = create.groups.iter().zip(1..).all(|(group, number)| group.group == number);
        if create.groups.is_empty() || !numbered || !create.groups.iter().all(is_initial) {
            return Err(refused("groups must be numbered from 1, with voters on different VMs"));
        }
        self.groups = create.groups.clone();
        Ok(0)
    }

    fn add_learner(&mut self, add: &wire::AddLearner) -> Result<u64, AnswerBody> {
        let group = self.group(add.group, add.change)?;
        let learner = add.learner.ok_or_else(|| refused("the learner is missing"))?;
        let idle = group.retiring.is_none() && learner_of(group).is_none();
        let retires_voter = group.replicas.iter().any(|replica| replica.vm == add.retiring);
        let is_new = group.replicas.iter().all(|replica| replica.vm != learner.vm);
        if !idle || !retires_voter || !is_new {
            let detail = "a learner must replace a replica of the group, on a VM that holds none, \
                while no other replacement is in progress";
            return Err(refused(detail));
        }
        group.replicas.push(Replica { role: ReplicaRole::Learner.into(), ..learner });
        group.retiring = Some(add.retiring);
        Ok(advance(group))
    }

    fn drop_learner(&mut self, drop: &wire::DropLearner) -> Result<u64, AnswerBody> {
        let group = self.group(drop.group, drop.change)?;
        let learner = learner_of(group).ok_or_else(|| refused("there is no learner"))?;
        group.replicas.remove(learner);
        group.retiring = None;
        Ok(advance(group))
    }

    fn promote(&mut self, promote: &wire::Promote) -> Result<u64, AnswerBody> {
        let group = self.group(promote.group, promote.change)?;
        let learner = learner_of(group).ok_or_else(|| refused("there is no learner"))?;
        group.replicas[learner].role = ReplicaRole::Voter.into();
        Ok(advance(group))
    }

    fn remove_replica(&mut self, remove: &wire::RemoveReplica) -> Result<u64, AnswerBody> {
        let group = self.group(remove.group, remove.change)?;
        let retiring = group.retiring.ok_or_else(|| refused("no replica is retiring"))?;
        if learner_of(group).is_some() {
            return Err(refused("the replacement isn't a voter yet"));
        }
        group.replicas.retain(|replica| replica.vm != retiring);
        group.retiring = None;
        Ok(advance(group))
    }

    fn group(&mut self, number: u32, change: u64) -> Result<&mut GroupPlacement, AnswerBody> {
        let unchecked = self.mutation == Mutation::IgnoreChange;
        let group = self.groups.iter_mut().find(|group| group.group == number);
        let group = group.ok_or_else(|| refused(&format!("group {number} doesn't exist")))?;
        if group.change != change && !unchecked {
            let detail =
                format!("planned on change {change}, but the group is at {}", group.change);
            return Err(rejected(Fault::PlacementChanged, &detail));
        }
        Ok(group)
    }
}

/// Returns the index of the group's learner among its replicas.
pub(super) fn learner_of(group: &GroupPlacement) -> Option<usize> {
    group.replicas.iter().position(|replica| replica.role() == ReplicaRole::Learner)
}

fn is_initial(group: &GroupPlacement) -> bool {
    let mut vms: Vec<u32> = group.replicas.iter().map(|replica| replica.vm).collect();
    vms.sort_unstable();
    vms.dedup();
    let voters = learner_of(group).is_none() && vms.len() == group.replicas.len();
    voters && !vms.is_empty() && group.change == 0 && group.retiring.is_none()
}

fn advance(group: &mut GroupPlacement) -> u64 {
    group.change += 1;
    group.change
}

fn refused(detail: &str) -> AnswerBody {
    rejected(Fault::PlacementRefused, detail)
}
