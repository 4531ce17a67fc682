//! Which membership change repairs a group next.
//!
//! VMs are wiped, replaced and added without a word to the groups. The leader looks at who is there
//! and brings its group back to full strength, one committed step at a time. See
//! docs/design/provider.md.

use super::types::{MemberChange, Members};
use crate::prelude::*;

/// One store as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its identity.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: CompactString,
    /// Its region.
    pub region: CompactString,
    /// True when it is to be emptied and must hold nothing.
    pub retiring: bool,
}

/// What the leader knows when it looks.
#[derive(Clone, Debug)]
pub struct Survey {
    /// The leader itself.
    pub me: VmId,
    /// Stores that were heard of lately, the leader included.
    pub alive: Vec<Candidate>,
    /// Members that are surely gone: another identity runs at their address, so their disk was
    /// wiped or their VM replaced.
    pub gone: Vec<VmId>,
    /// Voters that the group should have.
    pub wanted: usize,
}

/// Returns the next change, or nothing when the group is as it should be.
///
/// The order keeps the group as safe as it was at each step: what is surely gone leaves first, for
/// it can't help any quorum; a member that is only silent leaves once another has taken its place,
/// since it may come back with its disk.
pub fn next_change(members: &Members, survey: &Survey) -> Option<MemberChange> {
    let gone = members.all().find(|vm| survey.gone.contains(vm) && *vm != survey.me);
    if let Some(vm) = gone {
        return Some(MemberChange::Remove(vm));
    }
    if let Some(learner) = members.learners.iter().find(|vm| survey.serves(**vm)) {
        return Some(MemberChange::Promote(*learner));
    }
    if let Some(lost) = members.learners.first() {
        return Some(MemberChange::Remove(*lost));
    }
    let serving = members.voters.iter().filter(|vm| survey.serves(**vm)).count();
    if serving < survey.wanted
        && let Some(vm) = survey.newcomer(members)
    {
        return Some(MemberChange::AddLearner(vm));
    }
    if members.voters.len() > survey.wanted && serving >= survey.wanted {
        return survey.surplus(members).map(MemberChange::Remove);
    }
    None
}

/// Tells whether the leader should hand its leadership over, before anything else is repaired.
///
/// Every commit waits for a majority, and a learner is filled by the leader. From the region with
/// fewer stores both cross the link between regions, slow and paid by volume, and a store that lost its
/// disk takes several times as long to fill. Stores are counted and not voters, since the one to be
/// filled doesn't vote yet. A store that is to be emptied can't remove itself.
pub fn should_hand_over(members: &Members, survey: &Survey) -> bool {
    let Some(me) = survey.alive.iter().find(|store| store.vm == survey.me) else { return false };
    let others = survey
        .alive
        .iter()
        .filter(|store| store.vm != me.vm && !store.retiring && members.is_voter(store.vm));
    if me.retiring {
        return others.count() > 0;
    }
    let own = survey.stores_in_region(&me.region);
    let most = others.map(|store| survey.stores_in_region(&store.region)).max();
    most.is_some_and(|most| most > own)
}

impl Survey {
    fn stores_in_region(&self, region: &str) -> usize {
        let stores = self.alive.iter().filter(|store| store.region == region);
        stores.filter(|store| !store.retiring).count()
    }

    /// Tells whether a store is alive and may hold replicas.
    fn serves(&self, vm: VmId) -> bool {
        self.alive.iter().any(|store| store.vm == vm && !store.retiring)
    }

    /// Returns the store to add: one in the failure domain with the fewest serving voters.
    fn newcomer(&self, members: &Members) -> Option<VmId> {
        let free = self.alive.iter().filter(|store| !store.retiring);
        let free = free.filter(|store| !members.all().any(|member| member == store.vm));
        free.min_by_key(|store| (self.voters_in(members, &store.domain), store.vm))
            .map(|store| store.vm)
    }

    /// Returns the voter to let go: one that does not serve, or one of the fullest domain. The
    /// leader stays, as it can't remove itself.
    fn surplus(&self, members: &Members) -> Option<VmId> {
        let others = members.voters.iter().copied().filter(|vm| *vm != self.me);
        others.max_by_key(|vm| {
            let store = self.alive.iter().find(|store| store.vm == *vm);
            let crowd = store.map_or(0, |store| self.voters_in(members, &store.domain));
            (!self.serves(*vm), crowd, *vm)
        })
    }

    fn voters_in(&self, members: &Members, domain: &str) -> usize {
        let stores = self.alive.iter().filter(|store| store.domain == domain);
        stores.filter(|store| members.is_voter(store.vm) && !store.retiring).count()
    }
}
