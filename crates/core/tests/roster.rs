//! Processes known through their announcements.

use gypsumglade_core::prelude::*;
use gypsumglade_core::roster::{Roster, digest, seed_hellos};
use gypsumglade_core::wire::discovery::{Led, Node, Role};

fn store(vm: u32, peers: &str, sequence: u64, age_ms: u64) -> Node {
    Node {
        vm,
        name: format!("store-{vm}"),
        peers: peers.to_owned(),
        role: Role::Store.into(),
        sequence,
        age_ms,
        ..Node::default()
    }
}

fn last_seen_ms(roster: &Roster, vm: u32) -> Option<u64> {
    roster.last_seen(VmId(vm)).map(Time::as_millis)
}

#[test]
fn observe_later_announcement() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(1_000), store(1, "10.0.0.1:1", 5, 0));
    roster.observe(Time::from_millis(2_000), store(1, "10.0.0.1:1", 6, 0));
    assert_eq!(last_seen_ms(&roster, 1), Some(2_000));
}

/// Relayed announcements of a dead store must not advance its last-seen time: the delay of each
/// relay would add up, and its replacement would be delayed by seconds.
#[test]
fn observe_relayed_keeps_last_seen() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(1_000), store(1, "10.0.0.1:1", 5, 0));
    for relay in 1..=20 {
        let now = 1_000 + relay * 100;
        roster.observe(Time::from_millis(now), store(1, "10.0.0.1:1", 5, relay * 92));
    }
    assert_eq!(last_seen_ms(&roster, 1), Some(1_000));
}

/// A store that returns at the same address with a new identity replaces the old one, and a relayed
/// announcement must not restore the old one.
#[test]
fn observe_new_identity_at_address() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(1_000), store(1, "10.0.0.1:1", 5, 0));
    roster.observe(Time::from_millis(2_000), store(2, "10.0.0.1:1", 9, 0));
    roster.observe(Time::from_millis(2_100), store(1, "10.0.0.1:1", 6, 1_000));
    assert_eq!(roster.at_address("10.0.0.1:1"), Some(VmId(2)));
    assert_eq!(last_seen_ms(&roster, 1), None);
}

#[test]
fn expire_not_seen() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(0), store(1, "10.0.0.1:1", 5, 0));
    roster.observe(Time::from_millis(9_000), store(2, "10.0.0.2:1", 5, 0));
    roster.expire(Time::from_millis(11_000));
    let left: Vec<u32> = roster.stores().map(|(node, _)| node.vm).collect();
    assert_eq!(left, [2]);
}

#[test]
fn nodes_recently_seen_only() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(0), store(1, "10.0.0.1:1", 5, 0));
    roster.observe(Time::from_millis(6_000), store(2, "10.0.0.2:1", 5, 0));
    let known = roster.nodes(Time::from_millis(6_500), 0).nodes;
    assert_eq!(known.len(), 1);
    assert_eq!((known[0].vm, known[0].age_ms), (2, 500));
}

#[test]
fn led_groups_two_leaders() {
    let mut roster = Roster::default();
    for vm in [1, 2] {
        let led = vec![Led { group: 0, members: vec![vm], settled: true, ..Led::default() }];
        let node = Node { led, ..store(vm, &format!("10.0.0.{vm}:1"), 5, 0) };
        roster.observe(Time::from_millis(0), node);
    }
    assert_eq!(roster.led_groups(Time::from_millis(100), Duration::from_secs(2)).len(), 2);
    assert!(roster.led_groups(Time::from_millis(5_000), Duration::from_secs(2)).is_empty());
}

#[test]
fn named_latest() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(0), Node { name: "s".into(), ..store(1, "10.0.0.1:1", 5, 0) });
    roster.observe(Time::from_millis(9), Node { name: "s".into(), ..store(2, "10.0.0.2:1", 5, 0) });
    assert_eq!(roster.named("s").map(|node| node.vm), Some(2));
}

/// The list of nodes leaves out entry VMs; otherwise discovery traffic would grow with the square
/// of their number.
#[test]
fn nodes_grows_with_stores_only() {
    let mut roster = Roster::default();
    let now = Time::from_millis(1_000);
    roster.observe(now, store(1, "10.0.0.1:1", 5, 0));
    for vm in 100..500 {
        let entry = Node { role: Role::Entry.into(), ..store(vm, "10.0.1.1:1", 5, 0) };
        roster.observe(now, Node { peers: format!("10.0.1.{vm}:1"), ..entry });
    }
    assert_eq!(roster.nodes(now, 0).nodes.len(), 1);
}

#[test]
fn nodes_unchanged() {
    let mut roster = Roster::default();
    let now = Time::from_millis(1_000);
    roster.observe(now, store(1, "10.0.0.1:1", 5, 0));
    roster.observe(now, store(2, "10.0.0.2:1", 5, 0));
    let known = digest(&roster.nodes(now, 0).nodes);
    let again = roster.nodes(now, known);
    assert!(again.same && again.nodes.is_empty());
    roster.observe(now, store(3, "10.0.0.3:1", 5, 0));
    assert_eq!(roster.nodes(now, known).nodes.len(), 3);
}

/// The digest changes when a store is replaced by another at the same address; otherwise an entry
/// VM would keep asking for the old one.
#[test]
fn nodes_differ_after_replacement() {
    let mut roster = Roster::default();
    let now = Time::from_millis(1_000);
    roster.observe(now, store(1, "10.0.0.1:1", 5, 0));
    let known = digest(&roster.nodes(now, 0).nodes);
    roster.observe(now, store(2, "10.0.0.1:1", 9, 0));
    assert!(!roster.nodes(now, known).same);
}

/// Stores that are confirmed as unchanged stay in the roster, and others expire.
#[test]
fn confirm_keeps_confirmed() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(1_000), store(1, "10.0.0.1:1", 5, 0));
    roster.observe(Time::from_millis(1_000), store(2, "10.0.0.2:1", 5, 0));
    for round in 2..120 {
        let now = Time::from_millis(round * 500);
        roster.confirm(now, &[VmId(1)]);
        roster.expire(now);
    }
    let left: Vec<u32> = roster.stores().map(|(node, _)| node.vm).collect();
    assert_eq!(left, [1]);
}

/// A partition of six seconds after a confirmation must not expire the stores; otherwise the entry
/// VM would not learn of a new bundle.
#[test]
fn confirm_outlasts_short_partition() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(1_000), store(1, "10.0.0.1:1", 5, 0));
    roster.confirm(Time::from_millis(20_000), &[VmId(1)]);
    roster.expire(Time::from_millis(26_000));
    assert!(roster.contains_all(&[VmId(1)]));
}

/// After a longer partition the stores have expired, and the entry VM must request the whole list
/// instead of accepting that it is unchanged. Otherwise it would keep serving an old bundle.
#[test]
fn contains_all_after_long_partition() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(1_000), store(1, "10.0.0.1:1", 5, 0));
    roster.confirm(Time::from_millis(20_000), &[VmId(1)]);
    roster.expire(Time::from_millis(31_000));
    assert!(!roster.contains_all(&[VmId(1)]));
}

/// A store that started was unknown to most seeds for some rounds: it was given no texts, and a request
/// to retire it was refused because too few other stores were known.
#[test]
fn seed_hellos_lone_store() {
    assert_eq!((0..20).map(|round| seed_hellos(Role::Store, true, round, 3)).min(), Some(3));
}

/// Entry VMs that know no store must not overload the seeds.
#[test]
fn seed_hellos_lone_entry() {
    assert_eq!((0..20).map(|round| seed_hellos(Role::Entry, true, round, 3)).max(), Some(1));
}

/// A process whose known stores have all moved finds the others through the seeds.
#[test]
fn seed_hellos_known_stores() {
    for role in [Role::Store, Role::Entry] {
        assert_eq!((0..20).map(|round| seed_hellos(role, false, round, 3)).sum::<usize>(), 2);
    }
}
