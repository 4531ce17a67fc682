//! Processes that introduce themselves.

use gypsumglade_core::prelude::*;
use gypsumglade_core::roster::{Roster, digest};
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

/// A store dies, and the others go on telling each other of it. Each relay takes some milliseconds,
/// and its age is told without them. Counted anew each time, it would look alive for seconds, and
/// its replacement would wait for that long.
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

/// A store's disk is wiped; its process comes back at the same address under a new identity. Nothing
/// may be sent to the former one there, nor may an old relay bring it back.
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

/// Nobody asks an entry VM for anything. With each introduction answered by a list of all processes,
/// what a deployment sends to find its stores grows with the square of its entries.
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

/// A store is replaced by one with an empty disk at the same address. An entry VM that is told that
/// all is as before would go on asking for the former one.
#[test]
fn nodes_differ_after_replacement() {
    let mut roster = Roster::default();
    let now = Time::from_millis(1_000);
    roster.observe(now, store(1, "10.0.0.1:1", 5, 0));
    let known = digest(&roster.nodes(now, 0).nodes);
    roster.observe(now, store(2, "10.0.0.1:1", 9, 0));
    assert!(!roster.nodes(now, known).same);
}

/// Stores answer that nothing changed for a minute; an entry VM must not forget them meanwhile, nor
/// remember one that they stopped naming.
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

/// An entry VM is cut off for six seconds. Until then stores told it that nothing had changed; it must
/// remember them, or nothing tells it of the bundle that came meanwhile.
#[test]
fn confirm_outlasts_short_partition() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(1_000), store(1, "10.0.0.1:1", 5, 0));
    roster.confirm(Time::from_millis(20_000), &[VmId(1)]);
    roster.expire(Time::from_millis(26_000));
    assert!(roster.contains_all(&[VmId(1)]));
}

/// An entry VM is cut off for longer than it remembers stores. Back again, it asks a seed; told that the
/// list is the same as before, it would know no store, and serve under an old bundle until its lease is
/// over.
#[test]
fn contains_all_after_long_partition() {
    let mut roster = Roster::default();
    roster.observe(Time::from_millis(1_000), store(1, "10.0.0.1:1", 5, 0));
    roster.confirm(Time::from_millis(20_000), &[VmId(1)]);
    roster.expire(Time::from_millis(31_000));
    assert!(!roster.contains_all(&[VmId(1)]));
}
