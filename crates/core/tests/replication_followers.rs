//! Unreachable, slow or lagging followers must not delay commits on the other replicas.
//!
//! Half of the followers are in another region, behind one link that all their traffic shares.

#[path = "replication/net.rs"]
#[allow(dead_code)]
mod net;

use std::time::Duration;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Input, LogIndex, Replica, Settings};
use net::{Net, NetworkConditions, RegionLink};

/// Bandwidth of the link between regions in bytes per second (60 Mbit/s).
const RATE: u64 = 7_500_000;
/// One-way delay of that link in microseconds.
const DELAY: u64 = 8_000;
/// Size of a log entry in bytes, as in the turn group.
const ENTRY: usize = 600;

/// Duration of each sync of a slow disk in milliseconds.
const SLOW_SYNC_MILLIS: u64 = 300;

/// Fault of a follower during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowerFault {
    CutOff,
    /// Each disk sync takes [`SLOW_SYNC_MILLIS`].
    Slow,
    /// It lacks entries that the leader still has in its log.
    Behind,
    /// It lacks entries that the leader has compacted, so it is sent a snapshot.
    NeedsSnapshot,
}

/// Results of a run with faulty followers.
#[derive(Clone, Debug)]
struct Measured {
    /// Longest time from a proposal to its commit in milliseconds.
    worst: u64,
    /// Bytes sent to each faulty node.
    sent_bytes: Vec<u64>,
}

/// Returns the replication settings that stores use.
fn settings() -> Settings {
    Settings {
        lease: Duration::from_millis(600),
        batch_bytes: 64 * 1024,
        in_flight: 8,
        in_flight_bytes: 128 * 1024,
        ..Settings::default()
    }
}

fn commit(net: &Net, id: VmId) -> LogIndex {
    let replica = net.nodes[id.0 as usize - 1].replica.as_ref();
    replica.map_or(LogIndex(0), Replica::commit)
}

/// Proposes `count` entries and returns the index of the last one.
fn propose(net: &mut Net, id: VmId, count: usize) -> LogIndex {
    let commands = vec![Bytes::from(vec![7; ENTRY]); count];
    net.step(id, Input::Propose { commands });
    let replica = net.nodes[id.0 as usize - 1].replica.as_ref();
    replica.map_or(LogIndex(0), |replica| replica.last().index)
}

/// Measures commits while `count` followers in the other region are faulty.
///
/// If a follower there is healthy, one in the leader's region is cut off, so that each commit
/// needs an acknowledgement over the link.
fn measure(members: u32, fault: FollowerFault, count: usize, missing_bytes: usize) -> Measured {
    let mut net = Net::new(3, settings(), members, 0);
    net.conditions = NetworkConditions { loss: 0.0, duplicated: 0.0, delay: 1 };
    net.run(3_000);
    let leader = net.leader().expect("a leader");
    let others: Vec<VmId> =
        net.nodes.iter().map(|node| node.id).filter(|id| *id != leader).collect();
    let far = others[others.len() / 2..].to_vec();
    net.region_link = Some(RegionLink {
        far: far.iter().copied().collect(),
        rate: RATE,
        delay: DELAY,
        ..RegionLink::default()
    });
    net.run(1_000);
    let faulty: Vec<VmId> = far.iter().rev().copied().take(count).collect();
    match fault {
        FollowerFault::Slow => net.slow.extend(faulty.iter().map(|id| (*id, SLOW_SYNC_MILLIS))),
        FollowerFault::CutOff => faulty.iter().for_each(|id| net.cut_off(*id)),
        FollowerFault::Behind | FollowerFault::NeedsSnapshot => {
            faulty.iter().for_each(|id| net.cut_off(*id));
            for _ in 0..missing_bytes / ENTRY / 50 {
                propose(&mut net, leader, 50);
                net.run(20);
            }
            net.run(1_000);
            if fault == FollowerFault::NeedsSnapshot {
                net.snapshot_bytes = missing_bytes;
                net.snapshot(leader);
            }
            net.cuts.clear();
        }
    }
    if faulty.len() < far.len() {
        net.cut_off(others[0]);
    }
    net.sent_bytes.clear();
    let mut worst = 0;
    for _ in 0..200 {
        let index = propose(&mut net, leader, 2);
        let start = net.now;
        while commit(&net, leader) < index {
            net.run(1);
            assert!(net.now < start + 5_000_000, "no commit in 5 s: {:?}", net.violation);
        }
        worst = worst.max((net.now - start) / 1_000);
        net.run(7);
    }
    assert_eq!(net.leader(), Some(leader), "the leader changed");
    assert_eq!(net.violation, None);
    let sent_bytes = faulty.iter().map(|id| net.sent_bytes.get(id).copied().unwrap_or(0)).collect();
    Measured { worst, sent_bytes }
}

/// Guards against commits that wait until a faulty follower has caught up.
#[test]
fn commit_with_faulty_followers() {
    for members in [5, 11] {
        let healthy = measure(members, FollowerFault::CutOff, 0, 0).worst;
        for fault in [
            FollowerFault::CutOff,
            FollowerFault::Slow,
            FollowerFault::Behind,
            FollowerFault::NeedsSnapshot,
        ] {
            for count in [1, 2] {
                let worst = measure(members, fault, count, 3_000_000).worst;
                assert!(worst <= healthy + 60, "{members} members, {count} {fault:?}: {worst} ms");
            }
        }
    }
}

/// Guards against resending entries or snapshots that are still on their way to a follower.
#[test]
fn missing_entries_sent_once() {
    let missing_bytes = 3_000_000;
    let new = 200 * 2 * ENTRY as u64;
    let most = (missing_bytes as u64 + new) * 5 / 4;
    for fault in [FollowerFault::Behind, FollowerFault::NeedsSnapshot] {
        let sent_bytes = measure(5, fault, 1, missing_bytes).sent_bytes[0];
        assert!(sent_bytes <= most, "{fault:?}: {sent_bytes} bytes sent, at most {most} expected");
        assert!(sent_bytes >= missing_bytes as u64, "{fault:?}: only {sent_bytes} bytes sent");
    }
}
