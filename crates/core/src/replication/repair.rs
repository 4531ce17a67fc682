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

/// Returns the newcomer of a swap that places the voters better, for a group that [`next_change`] leaves as
/// it is.
///
/// The newcomer joins first, and [`next_change`] lets another voter go once it votes, so at no time are
/// fewer losses borne. Every swap makes the placement strictly better, whichever voter of those that may
/// go leaves then; so swaps end.
pub fn next_swap(members: &Members, survey: &Survey) -> Option<MemberChange> {
    let whole = members.voters.len() == survey.wanted && members.learners.is_empty();
    if !whole || !members.voters.iter().all(|vm| survey.serves(*vm)) {
        return None;
    }
    let voters = survey.serving(members);
    let leavers = || voters.iter().copied().filter(|vm| *vm != survey.me);
    let swaps = survey.free(members).flat_map(|vm| leavers().map(move |leaver| (vm, leaver)));
    let placed = swaps.map(|(vm, leaver)| {
        let mut next = voters.clone();
        next.remove(&leaver);
        next.insert(vm);
        (survey.placement(&next), vm)
    });
    let (best, vm) = placed.min()?;
    (best < survey.placement(&voters)).then_some(MemberChange::AddLearner(vm))
}

/// Tells whether the leader should hand its leadership over, before anything else is repaired.
///
/// Every commit waits for a majority, and a learner is filled by the leader. From the region with
/// fewer stores both cross the link between regions, slow and paid by volume, and a store that lost its
/// disk takes several times as long to fill. Stores are counted and not voters, since the one to be
/// filled doesn't vote yet; between regions with as many stores the leader stays where it is. A store that is to be
/// emptied can't remove itself.
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

/// How well voters are placed; the least is the best.
///
/// What is lost together counts first, then what each commit crosses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Placement {
    /// Voters beyond a minority in one failure domain: losing it would stop the group.
    excess: usize,
    /// Voters that the home region has too many or too few. With a majority there, commits cross no link
    /// between regions; those beyond it are of more use elsewhere.
    astray: usize,
    /// Sum of the squares of the voters in each failure domain.
    crowd: usize,
}

impl Survey {
    fn stores_in_region(&self, region: &str) -> usize {
        let stores = self.alive.iter().filter(|store| store.region == region);
        stores.filter(|store| !store.retiring).count()
    }

    /// Returns the region that should have a majority of the voters: the one with most stores, of several
    /// alike the leader's.
    fn home(&self) -> Option<&CompactString> {
        let own = self.find(self.me).map(|me| &me.region);
        let regions = self.alive.iter().filter(|store| !store.retiring).map(|store| &store.region);
        regions.max_by_key(|region| (self.stores_in_region(region), Some(*region) == own, *region))
    }

    fn find(&self, vm: VmId) -> Option<&Candidate> {
        self.alive.iter().find(|store| store.vm == vm)
    }

    /// Tells whether a store is alive and may hold replicas.
    fn serves(&self, vm: VmId) -> bool {
        self.find(vm).is_some_and(|store| !store.retiring)
    }

    /// Returns the voters that serve.
    fn serving(&self, members: &Members) -> BTreeSet<VmId> {
        members.voters.iter().copied().filter(|vm| self.serves(*vm)).collect()
    }

    /// Returns the stores that could join.
    fn free(&self, members: &Members) -> impl Iterator<Item = VmId> {
        let serving = self.alive.iter().filter(|store| !store.retiring).map(|store| store.vm);
        serving.filter(|vm| !members.all().any(|member| member == *vm))
    }

    /// Returns the store to add: the one with which the voters are placed best.
    fn newcomer(&self, members: &Members) -> Option<VmId> {
        let voters = self.serving(members);
        self.free(members).min_by_key(|vm| {
            let mut next = voters.clone();
            next.insert(*vm);
            (self.placement(&next), *vm)
        })
    }

    /// Returns the voter to let go: one that does not serve, or the one without which the others are
    /// placed best. The leader stays, as it can't remove itself.
    fn surplus(&self, members: &Members) -> Option<VmId> {
        let voters = self.serving(members);
        let others = members.voters.iter().copied().filter(|vm| *vm != self.me);
        others.min_by_key(|vm| {
            let mut next = voters.clone();
            next.remove(vm);
            (self.serves(*vm), self.placement(&next), Reverse(*vm))
        })
    }

    fn placement(&self, voters: &BTreeSet<VmId>) -> Placement {
        let home = self.home();
        let mut domains: BTreeMap<&CompactString, usize> = BTreeMap::new();
        let mut at_home = 0;
        for store in voters.iter().filter_map(|vm| self.find(*vm)) {
            *domains.entry(&store.domain).or_default() += 1;
            at_home += usize::from(Some(&store.region) == home);
        }
        let majority = quorum(self.wanted);
        let minority = self.wanted - majority;
        Placement {
            excess: domains.values().map(|count| count.saturating_sub(minority)).sum(),
            astray: majority.abs_diff(at_home),
            crowd: domains.values().map(|count| count * count).sum(),
        }
    }
}
