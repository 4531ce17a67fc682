//! Which membership change repairs a group next.
//!
//! VMs are wiped, replaced and added without a word to the groups. The leader looks at who is there
//! and brings its group back to full strength, one committed step at a time. See
//! docs/design/provider.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::types::{MemberChange, Members, quorum};
use crate::prelude::*;

/// One store as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreInfo {
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
pub struct ClusterView {
    /// The leader itself.
    pub leader: VmId,
    /// Stores that were heard of lately, the leader included.
    pub alive: Vec<StoreInfo>,
    /// Members that are surely gone: another identity runs at their address, so their disk was
    /// wiped or their VM replaced.
    pub replaced: Vec<VmId>,
    /// Voters that the group should have.
    pub target_voters: usize,
}

/// Returns the next change, or nothing when the group is as it should be.
///
/// The order keeps the group as safe as it was at each step: what is surely gone leaves first, for
/// it can't help any quorum; a member that is only silent leaves once another has taken its place,
/// since it may come back with its disk.
pub fn next_change(members: &Members, view: &ClusterView) -> Option<MemberChange> {
    let replaced = members.all().find(|vm| view.replaced.contains(vm) && *vm != view.leader);
    if let Some(vm) = replaced {
        return Some(MemberChange::Remove(vm));
    }
    if let Some(learner) = members.learners.iter().find(|vm| view.is_available(**vm)) {
        return Some(MemberChange::Promote(*learner));
    }
    if let Some(lost) = members.learners.first() {
        return Some(MemberChange::Remove(*lost));
    }
    let available = members.voters.iter().filter(|vm| view.is_available(**vm)).count();
    if available < view.target_voters
        && let Some(vm) = view.best_addition(members)
    {
        return Some(MemberChange::AddLearner(vm));
    }
    if members.voters.len() > view.target_voters && available >= view.target_voters {
        return view.removal_candidate(members).map(MemberChange::Remove);
    }
    None
}

/// Returns the newcomer of a swap that places the voters better, for a group that [`next_change`] leaves as
/// it is.
///
/// The newcomer joins first, and [`next_change`] lets another voter go once it votes, so at no time are
/// fewer losses borne. Every swap makes the placement strictly better, whichever voter of those that may
/// go leaves then; so swaps end.
pub fn next_swap(members: &Members, view: &ClusterView) -> Option<MemberChange> {
    let complete = members.voters.len() == view.target_voters && members.learners.is_empty();
    if !complete || !members.voters.iter().all(|vm| view.is_available(*vm)) {
        return None;
    }
    let voters = view.available_voters(members);
    let removable = || voters.iter().copied().filter(|vm| *vm != view.leader);
    let swaps = view.eligible(members).flat_map(|vm| removable().map(move |removed| (vm, removed)));
    let placed = swaps.map(|(vm, removed)| {
        let mut next = voters.clone();
        next.remove(&removed);
        next.insert(vm);
        (view.placement(&next), vm)
    });
    let (best, vm) = placed.min()?;
    (best < view.placement(&voters)).then_some(MemberChange::AddLearner(vm))
}

/// Tells whether the leader should hand its leadership over, before anything else is repaired.
///
/// Every commit waits for a majority, and a learner is filled by the leader. From the region with
/// fewer stores both cross the link between regions, slow and paid by volume, and a store that lost its
/// disk takes several times as long to fill. Stores are counted and not voters, since the one to be
/// filled doesn't vote yet; between regions with as many stores the leader stays where it is. A store that is to be
/// emptied can't remove itself.
pub fn should_transfer_leadership(members: &Members, view: &ClusterView) -> bool {
    let Some(leader) = view.alive.iter().find(|store| store.vm == view.leader) else {
        return false;
    };
    let others = view
        .alive
        .iter()
        .filter(|store| store.vm != leader.vm && !store.retiring && members.is_voter(store.vm));
    if leader.retiring {
        return others.count() > 0;
    }
    let own = view.stores_in_region(&leader.region);
    let most = others.map(|store| view.stores_in_region(&store.region)).max();
    most.is_some_and(|most| most > own)
}

/// How well voters are placed; the least is the best.
///
/// What is lost together counts first, then what each commit crosses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Placement {
    /// Voters beyond a minority in one failure domain: losing it would stop the group.
    excess: usize,
    /// Voters that the home region has too many or too few. With a majority there, commits cross no link
    /// between regions; those beyond it are of more use elsewhere.
    region_imbalance: usize,
    /// Sum of the squares of the voters in each failure domain.
    domain_crowding: usize,
}

impl ClusterView {
    fn stores_in_region(&self, region: &str) -> usize {
        let stores = self.alive.iter().filter(|store| store.region == region);
        stores.filter(|store| !store.retiring).count()
    }

    /// Returns the region that should have a majority of the voters: the one with most stores, of several
    /// alike the leader's.
    fn home_region(&self) -> Option<&CompactString> {
        let own = self.find(self.leader).map(|store| &store.region);
        let regions = self.alive.iter().filter(|store| !store.retiring).map(|store| &store.region);
        regions.max_by_key(|region| (self.stores_in_region(region), Some(*region) == own, *region))
    }

    fn find(&self, vm: VmId) -> Option<&StoreInfo> {
        self.alive.iter().find(|store| store.vm == vm)
    }

    /// Tells whether a store is alive and may hold replicas.
    fn is_available(&self, vm: VmId) -> bool {
        self.find(vm).is_some_and(|store| !store.retiring)
    }

    /// Returns the voters that serve.
    fn available_voters(&self, members: &Members) -> BTreeSet<VmId> {
        members.voters.iter().copied().filter(|vm| self.is_available(*vm)).collect()
    }

    /// Returns the stores that could join.
    fn eligible(&self, members: &Members) -> impl Iterator<Item = VmId> {
        let available = self.alive.iter().filter(|store| !store.retiring).map(|store| store.vm);
        available.filter(|vm| !members.all().any(|member| member == *vm))
    }

    /// Returns the store to add: the one with which the voters are placed best.
    fn best_addition(&self, members: &Members) -> Option<VmId> {
        let voters = self.available_voters(members);
        self.eligible(members).min_by_key(|vm| {
            let mut next = voters.clone();
            next.insert(*vm);
            (self.placement(&next), *vm)
        })
    }

    /// Returns the voter to let go: one that does not serve, or the one without which the others are
    /// placed best. The leader stays, as it can't remove itself.
    fn removal_candidate(&self, members: &Members) -> Option<VmId> {
        let voters = self.available_voters(members);
        let others = members.voters.iter().copied().filter(|vm| *vm != self.leader);
        others.min_by_key(|vm| {
            let mut next = voters.clone();
            next.remove(vm);
            (self.is_available(*vm), self.placement(&next), Reverse(*vm))
        })
    }

    fn placement(&self, voters: &BTreeSet<VmId>) -> Placement {
        let home_region = self.home_region();
        let mut domains: BTreeMap<&CompactString, usize> = BTreeMap::new();
        let mut at_home = 0;
        for store in voters.iter().filter_map(|vm| self.find(*vm)) {
            *domains.entry(&store.domain).or_default() += 1;
            at_home += usize::from(Some(&store.region) == home_region);
        }
        let majority = quorum(self.target_voters);
        let minority = self.target_voters - majority;
        Placement {
            excess: domains.values().map(|count| count.saturating_sub(minority)).sum(),
            region_imbalance: majority.abs_diff(at_home),
            domain_crowding: domains.values().map(|count| count * count).sum(),
        }
    }
}
