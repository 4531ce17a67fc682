//! Membership protocol: joins, failures, refutation, partitions and departures.

#[path = "membership_harness/mod.rs"]
mod harness;

use bytes::Bytes;
use gypsumglade_core::membership::{Input, Liveness, MAX_DATAGRAM, Membership, Mutation};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::membership::{Datagram, Profile, Rumour};
use harness::Net;
use prost::Message;

const SEED: u64 = 6;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns whether all VMs agree within `limit` seconds.
fn agrees(net: &mut Net, limit: u64) -> bool {
    let end = net.now + seconds(limit);
    net.run_until(end, Net::agreed)
}

fn joined(size: u32, loss: f64, mutation: Mutation) -> Net {
    let mut net = Net::new(size, loss, SEED, mutation);
    assert!(agrees(&mut net, 60), "{size} VMs did not find each other within 60 s");
    net
}

#[test]
fn join_via_seeds() {
    let net = joined(50, 0.05, Mutation::None);
    assert!(net.largest <= MAX_DATAGRAM);
}

#[test]
fn kill_is_detected_by_all() {
    let mut net = joined(50, 0.05, Mutation::None);
    net.run(seconds(5));
    net.kill(VmId(40));
    assert!(agrees(&mut net, 30));
}

#[test]
fn loss_makes_no_false_deaths() {
    let mut net = joined(50, 0.05, Mutation::None);
    net.run(seconds(120));
    assert_eq!(net.false_deaths, 0);
}

fn deaths_under_heavy_loss(mutation: Mutation) -> u64 {
    let mut net = joined(20, 0.0, mutation);
    net.loss = 0.2;
    net.run(seconds(120));
    net.false_deaths
}

#[test]
fn heavy_loss_without_refutation_is_caught() {
    // With 20 % loss in each direction, running VMs are often suspected. Without refutation they
    // would be declared dead.
    assert_eq!(deaths_under_heavy_loss(Mutation::None), 0);
    assert!(deaths_under_heavy_loss(Mutation::NoRefute) > 0);
}

/// The link between domains 1 and 2 fails silently; all other links work.
fn link_failed(from: VmId, to: VmId) -> bool {
    matches!((from.0 % 11, to.0 % 11), (1, 2) | (2, 1))
}

fn suspicions_over_failed_link(mutation: Mutation) -> u64 {
    let mut net = joined(44, 0.0, mutation);
    let before = net.suspicions();
    net.cut = Some(link_failed);
    net.run(seconds(60));
    net.suspicions() - before
}

#[test]
fn failed_link_without_indirect_probes_is_caught() {
    // The link between two failure domains fails. VMs that can be reached through a third domain
    // must not be suspected.
    assert_eq!(suspicions_over_failed_link(Mutation::None), 0);
    assert!(suspicions_over_failed_link(Mutation::NoIndirect) > 0);
}

/// Assigns VMs to two large domains and a small one, every tenth VM to the small one.
fn small_third_domain(vm: VmId) -> u16 {
    if vm.0.is_multiple_of(10) { 0 } else { 1 + (vm.0 % 2) as u16 }
}

fn large_domains_partitioned(from: VmId, to: VmId) -> bool {
    let (from, to) = (small_third_domain(from), small_third_domain(to));
    from != to && from != 0 && to != 0
}

#[test]
fn probes_through_any_domain_are_caught() {
    // The link between two large domains fails, and only a small third domain reaches both. Relays
    // picked from all VMs are mostly behind the same failed link; one relay per domain gets
    // through.
    let suspicions = |mutation| {
        let mut net = Net::with_domains(20, 0.0, SEED, mutation, small_third_domain);
        assert!(agrees(&mut net, 60));
        net.cut = Some(large_domains_partitioned);
        net.run(seconds(60));
        net.suspicions()
    };
    assert_eq!(suspicions(Mutation::None), 0);
    assert!(suspicions(Mutation::AnyDomain) > 0);
}

/// Partitions the network into odd and even domains.
fn partitioned_halves(from: VmId, to: VmId) -> bool {
    from.0 % 11 % 2 != to.0 % 11 % 2
}

fn recovers_from_partition(mutation: Mutation) -> bool {
    let mut net = joined(50, 0.0, mutation);
    net.cut = Some(partitioned_halves);
    net.run(seconds(120));
    let unreachable = net.nodes[&VmId(1)].members().filter(|other| !other.is_up()).count();
    assert_eq!(unreachable, 27, "vm1 considers the other side down");
    net.cut = None;
    agrees(&mut net, 120)
}

#[test]
fn partition_heals_by_contacting_the_dead() {
    // After a long partition each half considers the other dead. Dead VMs aren't probed, so without
    // occasional contacts the halves would stay apart after the network recovers.
    assert!(recovers_from_partition(Mutation::None));
    assert!(!recovers_from_partition(Mutation::NoContactDead));
}

#[test]
fn restart_with_lower_incarnation_rejoins() {
    // A VM restarts from incarnation zero while others consider a higher incarnation dead. It must
    // learn of that incarnation and exceed it.
    let mut net = joined(20, 0.0, Mutation::None);
    net.kill(VmId(7));
    assert!(agrees(&mut net, 30));
    net.start(VmId(7), 0);
    assert!(agrees(&mut net, 30));
    assert_eq!(net.holding(VmId(7), Liveness::Alive), 19);
}

#[test]
fn leave_spreads_without_suspicion() {
    let mut net = joined(20, 0.0, Mutation::None);
    let before = net.suspicions();
    net.input(VmId(9), Input::Leave);
    net.run(seconds(5));
    assert_eq!(net.holding(VmId(9), Liveness::Left), 19);
    assert_eq!(net.suspicions(), before);
}

fn digest_arrives(mutation: Mutation) -> bool {
    let mut net = joined(50, 0.0, mutation);
    let digest = Bytes::from_static(b"load 7");
    net.input(VmId(4), Input::SetDigest(digest.clone()));
    let end = net.now + seconds(40);
    net.run_until(end, |net| {
        let others = net.nodes.iter().filter(|(vm, _)| **vm != VmId(4));
        others
            .clone()
            .all(|(_, node)| node.member(VmId(4)).is_some_and(|known| known.digest == digest))
    })
}

#[test]
fn digest_reaches_all() {
    assert!(digest_arrives(Mutation::None));
}

fn late_join_agrees(mutation: Mutation) -> bool {
    let mut net = Net::new(50, 0.0, SEED, mutation);
    net.run(seconds(120));
    net.start(VmId(51), 1);
    agrees(&mut net, 10)
}

#[test]
fn join_without_pulls_is_caught() {
    // In a stable deployment no rumours about existing VMs spread. Without pulling member pages, a
    // new VM would know only the VMs that probe it.
    assert!(late_join_agrees(Mutation::None));
    assert!(!late_join_agrees(Mutation::NoPull));
}

fn deliver_rumour(node: &mut Membership, incarnation: u32, liveness: Liveness) {
    let profile =
        Profile { address: Bytes::from_static(&[10, 0, 0, 2, 1, 1]), ..Profile::default() };
    let rumour = Rumour {
        vm: 2,
        incarnation,
        liveness: liveness.into(),
        accuser: 3,
        profile: Some(profile),
    };
    let datagram = Datagram { from: 3, body: None, rumours: vec![rumour] };
    let bytes = datagram.encode_to_vec().into();
    node.step(Time::from_millis(2_000), Input::Datagram { from: harness::address(VmId(3)), bytes });
}

fn liveness_after_late_rumour(mutation: Mutation) -> Option<Liveness> {
    let mut net = Net::new(1, 0.0, SEED, mutation);
    let node = net.nodes.get_mut(&VmId(1)).expect("started");
    deliver_rumour(node, 1, Liveness::Alive);
    deliver_rumour(node, 2, Liveness::Alive);
    deliver_rumour(node, 1, Liveness::Dead);
    node.member(VmId(2)).map(|member| member.liveness)
}

#[test]
fn older_incarnation_is_ignored() {
    // A delayed rumour of a death that the VM has already refuted must be ignored.
    assert_eq!(liveness_after_late_rumour(Mutation::None), Some(Liveness::Alive));
    assert_eq!(liveness_after_late_rumour(Mutation::IgnoreIncarnation), Some(Liveness::Dead));
}
