//! Which membership change repairs a group next.

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::repair::{Candidate, Survey, next_change, should_hand_over};
use gypsumglade_core::replication::{MemberChange, Members};

fn candidate(vm: u32, domain: &str, region: &str) -> Candidate {
    Candidate { vm: VmId(vm), domain: domain.into(), region: region.into(), retiring: false }
}

/// Stores 1 and 2 in the south, 3 in the north, each in a domain of its own.
fn three() -> Vec<Candidate> {
    vec![candidate(1, "a", "south"), candidate(2, "b", "south"), candidate(3, "c", "north")]
}

fn survey(me: u32, alive: Vec<Candidate>) -> Survey {
    Survey { me: VmId(me), alive, gone: Vec::new(), wanted: 3 }
}

fn voters(vms: &[u32]) -> Members {
    Members::of(vms.iter().map(|vm| VmId(*vm)).collect())
}

#[test]
fn next_change_none_when_whole() {
    assert_eq!(next_change(&voters(&[1, 2, 3]), &survey(1, three())), None);
}

#[test]
fn next_change_silent_without_spare() {
    let alive = three().into_iter().filter(|store| store.vm != VmId(3)).collect();
    let found = next_change(&voters(&[1, 2, 3]), &survey(1, alive));
    assert_eq!(found, None, "a silent member may come back with its disk");
}

/// A store's disk is wiped and its process is back under another identity. The former one can help
/// no quorum any more; as long as it counts, the next loss stops the group.
#[test]
fn next_change_wiped() {
    let mut alive = three();
    alive[2].vm = VmId(9);
    let wiped = Survey { gone: vec![VmId(3)], ..survey(1, alive) };
    let mut members = voters(&[1, 2, 3]);
    let mut steps = Vec::new();
    while let Some(change) = next_change(&members, &wiped) {
        members = members.with(change);
        steps.push(change);
        assert!(steps.len() < 10, "repair goes in circles: {steps:?}");
    }
    let expected = [
        MemberChange::Remove(VmId(3)),
        MemberChange::AddLearner(VmId(9)),
        MemberChange::Promote(VmId(9)),
    ];
    assert_eq!(steps, expected);
}

/// A store is replaced at another address. Nothing proves that the former one is gone, so it leaves
/// only when the newcomer votes.
#[test]
fn next_change_replaced_elsewhere() {
    let mut alive = three();
    alive[2].vm = VmId(9);
    let survey = survey(1, alive);
    let mut members = voters(&[1, 2, 3]);
    let mut steps = Vec::new();
    while let Some(change) = next_change(&members, &survey) {
        members = members.with(change);
        steps.push(change);
        assert!(steps.len() < 10, "repair goes in circles: {steps:?}");
    }
    let expected = [
        MemberChange::AddLearner(VmId(9)),
        MemberChange::Promote(VmId(9)),
        MemberChange::Remove(VmId(3)),
    ];
    assert_eq!(steps, expected);
}

#[test]
fn next_change_retiring() {
    let mut alive = three();
    alive[1].retiring = true;
    alive.push(candidate(4, "b", "south"));
    let survey = survey(1, alive);
    let mut members = voters(&[1, 2, 3]);
    while let Some(change) = next_change(&members, &survey) {
        members = members.with(change);
    }
    assert_eq!(members, voters(&[1, 3, 4]));
}

#[test]
fn next_change_lost_learner() {
    let members = voters(&[1, 2, 3]).with(MemberChange::AddLearner(VmId(8)));
    let found = next_change(&members, &survey(1, three()));
    assert_eq!(found, Some(MemberChange::Remove(VmId(8))));
}

#[test]
fn next_change_prefers_empty_domain() {
    let mut alive = three();
    alive.retain(|store| store.vm != VmId(3));
    alive.push(candidate(5, "a", "south"));
    alive.push(candidate(6, "c", "north"));
    let found = next_change(&voters(&[1, 2, 3]), &survey(1, alive));
    assert_eq!(found, Some(MemberChange::AddLearner(VmId(6))));
}

#[test]
fn next_change_spare_is_left_out() {
    let mut alive = three();
    alive.push(candidate(4, "a", "south"));
    assert_eq!(next_change(&voters(&[1, 2, 3]), &survey(1, alive)), None);
}

/// A leader in the region with one voter of three sends every commit over the paid link and back.
/// Under a burst that link filled up, heartbeats came late, and leaders were deposed in turn.
#[test]
fn should_hand_over_from_minority_region() {
    let members = voters(&[1, 2, 3]);
    assert!(should_hand_over(&members, &survey(3, three())));
    assert!(!should_hand_over(&members, &survey(1, three())));
}

/// A southern store loses its disk, and the northern one is elected. Filled from there, the newcomer
/// gets its state over the narrow link; if the next disk is lost before it votes, the group has no
/// majority for good.
#[test]
fn should_hand_over_before_newcomer_is_filled() {
    let mut alive = three();
    alive[1].vm = VmId(9);
    let members = voters(&[1, 3]);
    assert!(should_hand_over(&members, &survey(3, alive.clone())));
    assert!(!should_hand_over(&members, &survey(1, alive)));
}

#[test]
fn should_hand_over_nobody_there() {
    let alive = vec![candidate(3, "c", "north")];
    assert!(!should_hand_over(&voters(&[1, 2, 3]), &survey(3, alive)));
}

#[test]
fn should_hand_over_retiring() {
    let mut alive = three();
    alive[0].retiring = true;
    assert!(should_hand_over(&voters(&[1, 2, 3]), &survey(1, alive)));
}
