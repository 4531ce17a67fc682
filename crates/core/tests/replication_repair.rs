//! Choice of the next membership change that repairs a group, and of its leader.

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::repair::{
    ClusterView, StoreInfo, next_change, next_swap, successors,
};
use gypsumglade_core::replication::{MemberChange, Members};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn candidate(vm: u32, domain: &str, region: &str) -> StoreInfo {
    StoreInfo { vm: VmId(vm), domain: domain.into(), region: region.into(), retiring: false }
}

/// Returns stores 1 and 2 in the south and store 3 in the north, each in its own failure domain.
fn three_stores() -> Vec<StoreInfo> {
    vec![candidate(1, "a", "south"), candidate(2, "b", "south"), candidate(3, "c", "north")]
}

fn view(leader: u32, alive: Vec<StoreInfo>) -> ClusterView {
    ClusterView { leader: VmId(leader), alive, replaced: Vec::new(), target_voters: 3 }
}

fn voters(vms: &[u32]) -> Members {
    Members::from_voters(vms.iter().map(|vm| VmId(*vm)).collect())
}

/// Applies the changes that repair a group, and returns them.
fn steps(mut members: Members, view: &ClusterView) -> Vec<MemberChange> {
    let mut steps = Vec::new();
    while let Some(change) = next_change(&members, view) {
        members = members.with(change);
        steps.push(change);
        assert!(steps.len() < 10, "repair does not terminate: {steps:?}");
    }
    steps
}

#[test]
fn next_change_none_when_whole() {
    assert_eq!(next_change(&voters(&[1, 2, 3]), &view(1, three_stores())), None);
}

#[test]
fn next_change_unreachable_without_spare() {
    let alive = three_stores().into_iter().filter(|store| store.vm != VmId(3)).collect();
    let found = next_change(&voters(&[1, 2, 3]), &view(1, alive));
    assert_eq!(found, None, "an unreachable member may come back with its disk");
}

/// A store's disk is wiped and its process restarts under a new id. While the old id still counts
/// as a voter, one more loss stops the group.
#[test]
fn next_change_wiped() {
    let mut alive = three_stores();
    alive[2].vm = VmId(9);
    let wiped = ClusterView { replaced: vec![VmId(3)], ..view(1, alive) };
    let members = voters(&[1, 2, 3]);
    let steps = steps(members, &wiped);
    let expected = [
        MemberChange::Remove(VmId(3)),
        MemberChange::AddLearner(VmId(9)),
        MemberChange::Promote(VmId(9)),
    ];
    assert_eq!(steps, expected);
}

/// A store is replaced at another address. The old store may still run, so it is removed only after
/// its replacement votes.
#[test]
fn next_change_replaced_elsewhere() {
    let mut alive = three_stores();
    alive[2].vm = VmId(9);
    let view = view(1, alive);
    let members = voters(&[1, 2, 3]);
    let steps = steps(members, &view);
    let expected = [
        MemberChange::AddLearner(VmId(9)),
        MemberChange::Promote(VmId(9)),
        MemberChange::Remove(VmId(3)),
    ];
    assert_eq!(steps, expected);
}

#[test]
fn next_change_retiring() {
    let mut alive = three_stores();
    alive[1].retiring = true;
    alive.push(candidate(4, "b", "south"));
    let view = view(1, alive);
    let mut members = voters(&[1, 2, 3]);
    while let Some(change) = next_change(&members, &view) {
        members = members.with(change);
    }
    assert_eq!(members, voters(&[1, 3, 4]));
}

#[test]
fn next_change_lost_learner() {
    let members = voters(&[1, 2, 3]).with(MemberChange::AddLearner(VmId(8)));
    let found = next_change(&members, &view(1, three_stores()));
    assert_eq!(found, Some(MemberChange::Remove(VmId(8))));
}

#[test]
fn next_change_prefers_empty_domain() {
    let mut alive = three_stores();
    alive.retain(|store| store.vm != VmId(3));
    alive.push(candidate(5, "a", "south"));
    alive.push(candidate(6, "c", "north"));
    let found = next_change(&voters(&[1, 2, 3]), &view(1, alive));
    assert_eq!(found, Some(MemberChange::AddLearner(VmId(6))));
}

#[test]
fn next_change_spare_is_left_out() {
    let mut alive = three_stores();
    alive.push(candidate(4, "a", "south"));
    assert_eq!(next_change(&voters(&[1, 2, 3]), &view(1, alive)), None);
}

/// With the leader in the region of the minority, every commit crosses the link between regions,
/// and bursts there delay heartbeats until the leader is replaced.
#[test]
fn successors_from_minority_region() {
    let members = voters(&[1, 2, 3]);
    assert_eq!(successors(&members, &view(3, three_stores())), [VmId(1), VmId(2)]);
    assert_eq!(successors(&members, &view(1, three_stores())), []);
}

/// A replacement in the south would get its state from the northern leader over the slow link. If
/// another disk is lost before the replacement votes, the group loses its majority.
#[test]
fn successors_before_replacement_catches_up() {
    let mut alive = three_stores();
    alive[1].vm = VmId(9);
    let members = voters(&[1, 3]);
    assert_eq!(successors(&members, &view(3, alive.clone())), [VmId(1)]);
    assert_eq!(successors(&members, &view(1, alive)), []);
}

#[test]
fn successors_without_candidate() {
    let alive = vec![candidate(3, "c", "north")];
    assert_eq!(successors(&voters(&[1, 2, 3]), &view(3, alive)), []);
}

#[test]
fn successors_retiring() {
    let mut alive = three_stores();
    alive[0].retiring = true;
    assert_eq!(successors(&voters(&[1, 2, 3]), &view(1, alive)), [VmId(2), VmId(3)]);
}

/// A leader can't remove itself. A retiring one must wait for its transfer and not remove other voters,
/// which would be added again at once, over and over.
#[test]
fn next_change_retiring_leader() {
    let mut alive = three_stores();
    alive[0].retiring = true;
    alive.push(candidate(4, "a", "south"));
    let view = view(1, alive);
    let members = voters(&[1, 2, 3]);
    let steps = steps(members, &view);
    assert_eq!(steps, [MemberChange::AddLearner(VmId(4)), MemberChange::Promote(VmId(4))]);
}

/// Returns eleven stores in six failure domains and two regions, six of them in the south.
fn eleven_stores() -> Vec<StoreInfo> {
    let south = (0..6).map(|n| candidate(20 + n, ["a", "b", "c"][n as usize % 3], "south"));
    let north = (0..5).map(|n| candidate(10 + n, ["d", "e", "f"][n as usize % 3], "north"));
    south.chain(north).collect()
}

/// Applies changes and leadership transfers until none is due, and returns the members.
fn repaired(mut members: Members, mut view: ClusterView) -> Members {
    for _ in 0..100 {
        let successors = successors(&members, &view);
        if let Some(next) = successors.first() {
            for vm in &successors {
                let view = ClusterView { leader: *vm, ..view.clone() };
                assert!(self::successors(&members, &view).is_empty(), "{vm} would pass it on");
            }
            view.leader = *next;
            continue;
        }
        let change = next_change(&members, &view).or_else(|| next_swap(&members, &view));
        let Some(change) = change else { return members };
        members = members.with(change);
    }
    panic!("repair does not terminate: {members:?}");
}

fn count(members: &Members, alive: &[StoreInfo], is: impl Fn(&StoreInfo) -> bool) -> usize {
    alive.iter().filter(|store| members.is_voter(store.vm) && is(store)).count()
}

/// Guards against a majority of voters outside the leader's region, where every commit waits for
/// the link between regions.
#[test]
fn next_change_majority_in_home_region() {
    let alive = eleven_stores();
    let view = ClusterView { target_voters: 5, ..view(20, alive.clone()) };
    let members = repaired(voters(&[10, 20, 21]), view);
    assert_eq!(members.voters.len(), 5);
    assert_eq!(count(&members, &alive, |store| store.region == "south"), 3, "{members:?}");
    for domain in ["a", "b", "c", "d", "e", "f"] {
        assert!(count(&members, &alive, |store| store.domain == domain) <= 1, "{members:?}");
    }
}

/// A badly placed group has enough voters, so `next_change` alone never moves them.
#[test]
fn next_swap_wrong_region() {
    let alive = eleven_stores();
    let members = voters(&[10, 11, 12, 20, 21]);
    let view = ClusterView { target_voters: 5, ..view(20, alive.clone()) };
    assert_eq!(next_change(&members, &view), None);
    let first = next_swap(&members, &view);
    assert_eq!(first, Some(MemberChange::AddLearner(VmId(22))), "adds before it removes");
    let members = repaired(members, view);
    assert_eq!(count(&members, &alive, |store| store.region == "south"), 3, "{members:?}");
}

/// A swap must not start while a voter is unreachable and the group needs repair.
#[test]
fn next_swap_not_whole() {
    let alive: Vec<StoreInfo> =
        eleven_stores().into_iter().filter(|store| store.vm != VmId(12)).collect();
    let view = ClusterView { target_voters: 5, ..view(20, alive) };
    assert_eq!(next_swap(&voters(&[10, 11, 12, 20, 21]), &view), None);
}

/// A majority in one failure domain would avoid the link between regions, but the group would stop
/// when that domain fails.
#[test]
fn next_change_minority_in_each_domain() {
    let mut alive: Vec<StoreInfo> = (0..6).map(|n| candidate(20 + n, "a", "south")).collect();
    alive.extend((0..3).map(|n| candidate(10 + n, ["d", "e", "f"][n as usize], "north")));
    let view = ClusterView { target_voters: 5, ..view(20, alive.clone()) };
    let members = repaired(voters(&[20, 21, 22]), view);
    assert_eq!(count(&members, &alive, |store| store.domain == "a"), 2, "{members:?}");
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against endless swaps, each of which sends the state over the link between regions.
    #[test]
    fn next_swap_ends(
        places in proptest::collection::vec((0_usize..6, any::<bool>()), 1..14),
        founders in proptest::collection::btree_set(0_usize..14, 1..6),
        tolerate in 0_usize..3,
    ) {
        const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
        let alive: Vec<StoreInfo> = places.iter().enumerate().map(|(number, (domain, retiring))| {
            let region = if *domain < 3 { "south" } else { "north" };
            let vm = u32::try_from(number).expect("a u32") + 1;
            // At most every fourth store retires.
            let retiring = *retiring && number % 4 == 3;
            StoreInfo { retiring, ..candidate(vm, DOMAINS[*domain], region) }
        }).collect();
        let mut first: Vec<u32> =
            founders.iter().map(|at| u32::try_from(at % alive.len()).expect("a u32") + 1).collect();
        first.dedup();
        let wanted = 2 * tolerate + 1;
        let view = ClusterView { target_voters: wanted, ..view(first[0], alive.clone()) };
        let members = repaired(voters(&first), view);
        let serving = alive.iter().filter(|store| !store.retiring).count();
        let voting = count(&members, &alive, |store| !store.retiring);
        prop_assert!(voting >= wanted.min(serving), "{:?}", members);
    }
}
