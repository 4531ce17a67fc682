//! Selection of the next membership change that repairs a group.
//!
//! VMs are added, wiped and replaced without notice to the groups. The leader compares its group
//! with the live stores and restores the group to full strength, one committed change at a time.
//! See docs/design/provider.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::types::{MemberChange, Members, quorum};
use crate::prelude::*;

/// A store as seen by the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreInfo {
    /// VM of the store.
    pub vm: VmId,
    /// Failure domain of the store.
    pub domain: CompactString,
    /// Region of the store.
    pub region: CompactString,
    /// Whether the store is being emptied and must not hold replicas.
    pub retiring: bool,
}

/// The stores as seen by the leader of a group.
#[derive(Clone, Debug)]
pub struct ClusterView {
    /// VM of the leader.
    pub leader: VmId,
    /// Stores that were heard from recently, including the leader.
    pub alive: Vec<StoreInfo>,
    /// Members whose address now belongs to another VM identity, because their disk was wiped or
    /// their VM was replaced.
    pub replaced: Vec<VmId>,
    /// Number of voters that the group should have.
    pub target_voters: usize,
}

/// Returns the next change, or `None` if the group needs no repair.
///
/// Replaced members are removed first, since they can't contribute to a quorum any more. A member
/// that is only silent is removed after its substitute has become a voter, since it may return with
/// its data.
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
        // While the leader is the one to leave, removing an available voter would leave one too few.
        let spare = available > view.target_voters;
        let candidate = view.removal_candidate(members);
        return candidate.filter(|vm| spare || !view.is_available(*vm)).map(MemberChange::Remove);
    }
    None
}

/// Returns the store to add in order to improve the placement of the voters of a group for which
/// [`next_change`] returns `None`.
///
/// The store becomes a voter before [`next_change`] removes another one, so the group never
/// tolerates fewer losses than before. Each swap strictly improves the placement, so that swaps
/// come to an end.
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

/// Returns the voters of which one should lead instead of the leader, before the group is repaired
/// further. Empty if the leader may stay.
///
/// The leader belongs in the region with the most stores. Commits wait for a majority, and the
/// leader sends learners their data; from a smaller region both would cross the slow, metered link
/// between regions. Stores are counted instead of voters, since a store that is still being filled
/// doesn't vote. On a tie the leader stays. A retiring leader transfers its leadership because it
/// can't remove itself.
pub fn successors(members: &Members, view: &ClusterView) -> Vec<VmId> {
    let Some(leader) = view.find(view.leader) else { return Vec::new() };
    let others = view
        .alive
        .iter()
        .filter(|store| store.vm != leader.vm && !store.retiring && members.is_voter(store.vm));
    let size = |store: &StoreInfo| view.stores_in_region(&store.region);
    let Some(most) = others.clone().map(size).max() else { return Vec::new() };
    if !leader.retiring && most <= size(leader) {
        return Vec::new();
    }
    // Elsewhere, the next leader would have to transfer its leadership again.
    others.filter(|store| size(store) == most).map(|store| store.vm).collect()
}

/// Quality of a placement of voters; the lowest value is the best. The fields are compared in
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Placement {
    /// Voters beyond a minority in one failure domain, whose loss would stop the group.
    excess: usize,
    /// Difference between the number of voters in the home region and a majority.
    ///
    /// With a majority there, commits don't cross the link between regions. Further voters are more
    /// useful elsewhere.
    region_imbalance: usize,
    /// Sum of the squared numbers of voters in each failure domain.
    domain_crowding: usize,
}

impl ClusterView {
    fn stores_in_region(&self, region: &str) -> usize {
        let stores = self.alive.iter().filter(|store| store.region == region);
        stores.filter(|store| !store.retiring).count()
    }

    /// Returns the region that should hold a majority of the voters: the one with the most stores,
    /// or on a tie preferably the leader's.
    fn home_region(&self) -> Option<&CompactString> {
        let own = self.find(self.leader).map(|store| &store.region);
        let regions = self.alive.iter().filter(|store| !store.retiring).map(|store| &store.region);
        regions.max_by_key(|region| (self.stores_in_region(region), Some(*region) == own, *region))
    }

    fn find(&self, vm: VmId) -> Option<&StoreInfo> {
        self.alive.iter().find(|store| store.vm == vm)
    }

    /// Returns whether a store is alive and may hold replicas.
    fn is_available(&self, vm: VmId) -> bool {
        self.find(vm).is_some_and(|store| !store.retiring)
    }

    fn available_voters(&self, members: &Members) -> BTreeSet<VmId> {
        members.voters.iter().copied().filter(|vm| self.is_available(*vm)).collect()
    }

    /// Returns the available stores that aren't members.
    fn eligible(&self, members: &Members) -> impl Iterator<Item = VmId> {
        let available = self.alive.iter().filter(|store| !store.retiring).map(|store| store.vm);
        available.filter(|vm| !members.all().any(|member| member == *vm))
    }

    /// Returns the store whose addition gives the best placement.
    fn best_addition(&self, members: &Members) -> Option<VmId> {
        let voters = self.available_voters(members);
        self.eligible(members).min_by_key(|vm| {
            let mut next = voters.clone();
            next.insert(*vm);
            (self.placement(&next), *vm)
        })
    }

    /// Returns the voter to remove: one that isn't available, or else the one whose removal gives
    /// the best placement. The leader is excluded, since it can't remove itself.
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
