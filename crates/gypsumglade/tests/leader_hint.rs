//! Choice of the store to ask when the leader is unknown.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gypsumglade::directory::Directory;
use gypsumglade::leader_hint::LeaderHint;
use gypsumglade::settings::Settings;
use gypsumglade_core::prelude::*;
use gypsumglade_core::roster::GroupReport;

const FROZEN: VmId = VmId(2);

fn directory() -> Directory {
    let directory = Directory::new(&Settings::default());
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let stores: BTreeMap<_, _> = (1..=3).map(|vm| (VmId(vm), address(vm as u16))).collect();
    directory.set_stores(stores);
    directory
}

/// A VM served callers under an old bundle for seconds. The leader was suspended, and until the
/// followers had elected another they named it, so the VM kept asking it.
#[test]
fn target_not_a_silent_store() {
    let (directory, now) = (directory(), Instant::now());
    let mut hint = LeaderHint::default();
    hint.confirm(FROZEN);
    hint.mark_unresponsive(FROZEN, now);
    for _ in 0..10 {
        let (asked, _) = hint.target(&directory, now).expect("three stores are known");
        assert_ne!(asked, FROZEN);
        hint.redirect(Some(asked), Some(FROZEN));
    }
}

#[test]
fn target_silent_store_later() {
    let (directory, now) = (directory(), Instant::now());
    let mut hint = LeaderHint::default();
    hint.mark_unresponsive(FROZEN, now);
    hint.redirect(Some(VmId(1)), Some(FROZEN));
    let later = now + Duration::from_secs(1);
    assert_eq!(hint.target(&directory, later).map(|(vm, _)| vm), Some(FROZEN));
}

#[test]
fn target_some_store_when_all_are_silent() {
    let (directory, now) = (directory(), Instant::now());
    let mut hint = LeaderHint::default();
    for vm in 1..=3 {
        hint.mark_unresponsive(VmId(vm), now);
    }
    assert!(hint.target(&directory, now).is_some());
}

/// Stores of the deployment, and those of them that are members of the group.
const STORES: u16 = 24;
const MEMBERS: [VmId; 5] = [VmId(4), VmId(9), VmId(13), VmId(18), VmId(23)];

fn large_directory(leader: VmId) -> Directory {
    let directory = directory();
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let stores = (1..=STORES).map(|vm| (VmId(vm.into()), address(vm)));
    directory.set_stores(stores.collect());
    let report = GroupReport { leader, members: MEMBERS.to_vec() };
    directory.set_group_reports(BTreeMap::from([(GroupId::CONTROL, report)]));
    directory
}

/// A search went through all stores, most of which have no replica of the group.
#[test]
fn target_reported_leader() {
    let directory = large_directory(MEMBERS[3]);
    let hint = LeaderHint::of_group(GroupId::CONTROL);
    let target = hint.target(&directory, Instant::now());
    assert_eq!(target.map(|(vm, _)| vm), Some(MEMBERS[3]));
}

/// An order or a read timed out because it went through all stores after the leader's death.
#[test]
fn target_members_after_leader_died() {
    let (directory, now) = (large_directory(MEMBERS[3]), Instant::now());
    let mut hint = LeaderHint::of_group(GroupId::CONTROL);
    let (asked, _) = hint.target(&directory, now).expect("stores are known");
    hint.mark_unresponsive(asked, now);
    let mut members: BTreeSet<VmId> = BTreeSet::new();
    for _ in 0..8 {
        let (asked, _) = hint.target(&directory, now).expect("stores are known");
        members.extend(MEMBERS.iter().filter(|member| **member == asked));
        // Followers name the dead leader until they have elected another one.
        hint.redirect(Some(asked), Some(MEMBERS[3]));
    }
    assert_eq!(members.len(), MEMBERS.len() - 1, "asked only {members:?}");
}

/// A client kept calling a store whose report was outdated.
#[test]
fn target_outdated_report() {
    let (directory, now) = (large_directory(MEMBERS[3]), Instant::now());
    let mut hint = LeaderHint::of_group(GroupId::CONTROL);
    hint.redirect(Some(MEMBERS[3]), None);
    let (asked, _) = hint.target(&directory, now).expect("stores are known");
    assert_ne!(asked, MEMBERS[3]);
}

/// A client called only former members after all of them had been replaced.
#[test]
fn target_other_stores_too() {
    let (directory, now) = (large_directory(MEMBERS[3]), Instant::now());
    let mut hint = LeaderHint::of_group(GroupId::CONTROL);
    let mut others = 0;
    for _ in 0..20 {
        let (asked, _) = hint.target(&directory, now).expect("stores are known");
        others += usize::from(!MEMBERS.contains(&asked));
        hint.redirect(Some(asked), None);
    }
    assert!(others >= 4, "asked {others} other stores");
}
