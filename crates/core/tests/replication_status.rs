//! Replication lag of followers in a leader's status.

#[path = "replication/net.rs"]
#[allow(dead_code)]
mod net;

use std::time::Duration;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Lag, Settings};
use net::Net;

fn lag(net: &mut Net, of: VmId) -> Lag {
    let leader = net.leader().expect("a leader");
    let now = net.now;
    let node = net.node(leader);
    let status =
        node.replica.as_ref().expect("the replica runs").status(node.time(now), &node.links);
    status.followers.into_iter().find(|lag| lag.vm == of).expect("a follower")
}

/// Guards against a lagging follower that goes unnoticed until the next store is lost.
#[test]
fn status_follower_cut_off() {
    let mut net = Net::new(1, Settings::default(), 3, 0);
    net.run(4_000);
    let leader = net.leader().expect("a leader");
    let other = if leader == VmId(1) { VmId(2) } else { VmId(1) };
    net.cut_off(other);
    for _ in 0..10 {
        net.propose(leader);
        net.run(100);
    }
    let behind = lag(&mut net, other);
    assert_eq!((behind.entries, behind.bytes), (10, 80), "ten commands of eight bytes");
    assert!(behind.silent >= Duration::from_millis(900), "{behind:?}");

    net.cuts.clear();
    net.run(3_000);
    let caught_up = lag(&mut net, other);
    assert_eq!((caught_up.entries, caught_up.bytes), (0, 0));
    assert!(caught_up.silent < Duration::from_millis(900), "{caught_up:?}");
}

#[test]
fn status_follower_has_none() {
    let mut net = Net::new(1, Settings::default(), 3, 0);
    net.run(4_000);
    let leader = net.leader().expect("a leader");
    let follower = net.nodes.iter().find(|node| node.id != leader).expect("a follower");
    assert!(follower.status().expect("the replica runs").followers.is_empty());
}
