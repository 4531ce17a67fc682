//! One failure for each safeguard: harmless with it and detected without it.

#[path = "replication/net.rs"]
#[allow(dead_code)]
mod net;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Input, LogIndex, MemberChange, Role, Settings};
use net::Net;

/// Returns settings with small batches, so that entries arrive in several messages.
fn settings() -> Settings {
    Settings { batch_bytes: 24, chunk_bytes: 20, keep_entries: 3, ..Settings::default() }
}

fn started(settings: Settings, voters: u32, spares: u32) -> (Net, VmId) {
    let mut net = Net::new(1, settings, voters, spares);
    net.run(4_000);
    let leader = net.leader().expect("a leader");
    (net, leader)
}

/// Returns all nodes except `known`.
fn others(net: &Net, known: &[VmId]) -> Vec<VmId> {
    net.nodes.iter().map(|node| node.id).filter(|id| !known.contains(id)).collect()
}

fn cut_between(net: &mut Net, one: &[VmId], other: &[VmId]) {
    for &a in one {
        for &b in other {
            net.cut(a, b);
            net.cut(b, a);
        }
    }
}

/// Runs in steps of one millisecond until the condition holds; panics if it never does.
fn run_until(net: &mut Net, condition: impl Fn(&Net) -> bool) {
    for _ in 0..30_000 {
        if condition(net) {
            return;
        }
        net.run(1);
    }
    panic!("the condition was not met in time");
}

fn last(net: &Net, id: VmId) -> LogIndex {
    let replica = net.nodes[id.0 as usize - 1].replica.as_ref();
    replica.map_or(LogIndex(0), |replica| replica.last().index)
}

fn leader_of(net: &Net, among: &[VmId]) -> Option<VmId> {
    among.iter().copied().find(|id| net.nodes[id.0 as usize - 1].role() == Some(Role::Leader))
}

/// A follower that the leader can't reach asks the third replica for its vote, and then the leader
/// is cut off. If the vote is granted before the lease expires, the new leader commits while the
/// old one still answers reads.
fn vote_under_lease(settings: Settings) -> Option<String> {
    let (mut net, leader) = started(settings, 3, 0);
    let rest = others(&net, &[leader]);
    cut_between(&mut net, &[leader], &rest[..1]);
    run_until(&mut net, |net| net.nodes[rest[0].0 as usize - 1].role() != Some(Role::Follower));
    net.cut(rest[1], leader);
    net.run(700);
    net.violation
}

#[test]
fn safeguard_lease_wait_on() {
    assert_eq!(vote_under_lease(settings()), None);
}

#[test]
fn safeguard_lease_wait_off() {
    let mut settings = settings();
    settings.safeguards.lease_wait = false;
    let violation = vote_under_lease(settings).expect("the missing safeguard is detected");
    assert!(violation.contains("held a lease"), "{violation}");
}

/// The clock of a cut-off leader runs 5 % slow and the others' 5 % fast. If the wait doesn't allow
/// for drift, a new leader commits before the old one's lease expires.
fn cut_off_slow_leader(drift: f64) -> Option<String> {
    for seed in 0..300 {
        let settings = Settings { drift, ..settings() };
        let mut net = Net::new(seed, settings, 3, 0);
        net.nodes.iter_mut().for_each(|node| node.rate = 0.0);
        net.run(4_000);
        let leader = net.leader().expect("a leader");
        for node in &mut net.nodes {
            // Changes the rate without a jump of the clock.
            let now = node.time(net.now);
            node.rate = if node.id == leader { -0.05 } else { 0.05 };
            node.offset = now.0 as f64 - node.time(net.now).0 as f64;
        }
        net.run(500);
        net.cut_off(leader);
        net.run(1_500);
        if net.violation.is_some() {
            return net.violation;
        }
    }
    None
}

#[test]
fn safeguard_drift_on() {
    assert_eq!(cut_off_slow_leader(0.05), None);
}

#[test]
fn safeguard_drift_off() {
    let violation = cut_off_slow_leader(0.0).expect("the missing safeguard is detected");
    assert!(violation.contains("held a lease"), "{violation}");
}

/// A leader replicates entries of an older term to a quorum, but none of its own term, and crashes.
/// A replica whose last entry has a higher term is elected and overwrites them; had they counted as
/// committed, acknowledged entries would be lost (Raft paper, section 5.4.2).
fn overwrite_older_term(settings: Settings) -> Option<String> {
    let (mut net, first) = started(settings, 5, 0);
    let rest = others(&net, &[first]);
    let (second, third, fourth, fifth) = (rest[0], rest[1], rest[2], rest[3]);
    cut_between(&mut net, &[first, second], &[third, fourth, fifth]);
    (0..6).for_each(|_| net.propose(first));
    net.run(50);
    net.crash(first);
    net.crash(second);
    run_until(&mut net, |net| leader_of(net, &[third, fourth, fifth]).is_some());
    let new_leader = leader_of(&net, &[third, fourth, fifth]).expect("a leader was elected");
    net.cut_off(new_leader);
    net.run(20);
    net.crash(new_leader);
    net.cuts.clear();
    let base = last(&net, others(&net, &[first, second, new_leader])[0]);
    net.restart(first);
    net.restart(second);
    run_until(&mut net, |net| leader_of(net, &[first, second]).is_some());
    let [helper, idle] = others(&net, &[first, second, new_leader])[..] else { unreachable!() };
    net.cut_off(idle);
    run_until(&mut net, |net| last(net, helper) > base);
    let before = net.committed.len();
    // Stops after the first batch: the second one would carry an entry of the current term.
    run_until(&mut net, |net| net.committed.len() > before || last(net, helper).0 > base.0 + 3);
    for lost in [first, second] {
        net.crash(lost);
        net.cut_off(lost);
    }
    net.run(20);
    net.cuts.clear();
    net.restart(new_leader);
    net.run(10_000);
    net.converge();
    net.violation
}

#[test]
fn safeguard_own_term_on() {
    assert_eq!(overwrite_older_term(settings()), None);
}

#[test]
fn safeguard_own_term_off() {
    let mut settings = settings();
    settings.safeguards.own_term = false;
    let violation = overwrite_older_term(settings).expect("the missing safeguard is detected");
    assert!(violation.contains("committed another entry"), "{violation}");
}

/// Returns whether the leader stays when a follower reconnects after ten seconds. A follower that
/// raised its term meanwhile would force a needless election.
fn rejoin(settings: Settings) -> bool {
    let (mut net, leader) = started(settings, 3, 0);
    let rest = others(&net, &[leader]);
    net.cut_off(rest[0]);
    net.run(10_000);
    let term = |net: &mut Net| net.node(leader).status().map(|status| status.term);
    let before = term(&mut net);
    net.cuts.clear();
    net.run(3_000);
    net.violation.is_none() && net.leader() == Some(leader) && term(&mut net) == before
}

#[test]
fn safeguard_pre_vote_on() {
    assert!(rejoin(settings()));
}

#[test]
fn safeguard_pre_vote_off() {
    let mut settings = settings();
    settings.safeguards.pre_vote = false;
    assert!(!rejoin(settings));
}

/// Returns whether the group still commits after one of three VMs is lost and an unreachable
/// replacement is to be promoted. Promoted without the log, it raises the quorum to three of four
/// while only two can answer.
fn promote_empty(settings: Settings) -> bool {
    let (mut net, leader) = started(settings, 3, 1);
    let rest = others(&net, &[leader]);
    let (lost, spare) = (rest[0], VmId(4));
    net.crash(lost);
    net.cut_off(spare);
    net.change(MemberChange::AddLearner(spare));
    net.run(500);
    net.change(MemberChange::Promote(spare));
    net.run(500);
    let before = net.committed.len();
    net.propose(leader);
    net.run(3_000);
    net.violation.is_none() && net.committed.len() > before
}

#[test]
fn safeguard_catch_up_on() {
    assert!(promote_empty(settings()));
}

#[test]
fn safeguard_catch_up_off() {
    let mut settings = settings();
    settings.safeguards.catch_up = false;
    assert!(!promote_empty(settings));
}

#[test]
fn tick_idle_group() {
    // An idle group sends no messages of its own: the pulses between VMs renew its lease.
    let (mut net, leader) = started(settings(), 3, 0);
    let before = net.sent_messages;
    net.run(60_000);
    assert_eq!(net.violation, None);
    assert_eq!(net.sent_messages, before);
    let status = net.node(leader).status().expect("the replica runs");
    assert!(status.lease && status.role == Role::Leader, "{status:?}");
}

#[test]
fn tick_without_pulses() {
    // Without pulses between VMs, the group sends its own heartbeats.
    let mut net = Net::new(1, settings(), 3, 0);
    net.pulses = false;
    net.run(4_000);
    let leader = net.leader().expect("a leader");
    net.run(10_000);
    let status = net.node(leader).status().expect("the replica runs");
    assert!(status.lease && status.role == Role::Leader, "{status:?}");
}

#[test]
fn tick_idle_leader_lost() {
    // When the leader of an idle group crashes, its pulses stop and another replica is elected.
    let (mut net, leader) = started(settings(), 3, 0);
    net.run(10_000);
    net.crash(leader);
    net.run(5_000);
    assert_eq!(net.violation, None);
    assert!(net.leader().is_some_and(|next| next != leader));
}

#[test]
fn change_members_second_loss_after_repair() {
    // A second VM is lost right after the first one was replaced. Acknowledged entries are kept,
    // and the group still commits with the replacement's vote.
    let (mut net, leader) = started(settings(), 3, 1);
    let rest = others(&net, &[leader]);
    let (first_lost, second_lost, spare) = (rest[0], rest[1], VmId(4));
    (0..20).for_each(|_| net.propose(leader));
    net.run(300);
    net.snapshot(leader);
    net.crash(first_lost);
    net.change(MemberChange::AddLearner(spare));
    net.run(1_000);
    net.change(MemberChange::Promote(spare));
    net.run(200);
    net.change(MemberChange::Remove(first_lost));
    net.run(200);
    net.crash(second_lost);
    let before = net.committed.len();
    net.propose(leader);
    net.run(1_000);
    assert_eq!(net.violation, None);
    assert!(net.committed.len() > before);
}

#[test]
fn restart_after_hundreds_of_changes() {
    // A process that missed hundreds of entries and two compactions installs a snapshot in chunks
    // over a link that loses a third of the messages, and catches up.
    let (mut net, leader) = started(settings(), 3, 0);
    let late = others(&net, &[leader])[0];
    net.crash(late);
    for _ in 0..2 {
        for _ in 0..300 {
            net.propose(leader);
            net.run(5);
        }
        net.snapshot(leader);
    }
    net.conditions.loss = 0.3;
    net.restart(late);
    net.run(20_000);
    assert_eq!(net.violation, None);
    assert!(last(&net, late).0 > 600);
}

#[test]
fn snapshot_follower_slightly_behind() {
    // A follower that lacks only the last entry when the leader compacts its log is sent that entry
    // instead of a snapshot.
    let (mut net, leader) = started(settings(), 3, 0);
    let late = others(&net, &[leader])[0];
    (0..10).for_each(|_| net.propose(leader));
    net.run(200);
    cut_between(&mut net, &[leader], &[late]);
    net.propose(leader);
    net.run(100);
    net.snapshot(leader);
    net.cuts.clear();
    net.run(500);
    assert_eq!(net.violation, None);
    assert_eq!(last(&net, late), last(&net, leader));
    let status = net.node(late).status().expect("the replica runs");
    assert_eq!(status.snapshot.index, LogIndex(1));
}

#[test]
fn transfer_planned_stop() {
    // A planned stop transfers leadership within a few messages instead of after an election
    // timeout.
    let (mut net, leader) = started(settings(), 3, 0);
    net.propose(leader);
    net.step(leader, Input::Transfer { to: Vec::new() });
    net.run(100);
    assert_eq!(net.violation, None);
    assert!(net.leader().is_some_and(|next| next != leader));
}

/// Leadership that goes to any up-to-date voter may come back at once, and commits wait each time.
#[test]
fn transfer_named_voter() {
    let (mut net, mut leader) = started(settings(), 5, 0);
    for _ in 0..2 {
        let members = net.node(leader).status().expect("the replica runs").members;
        for next in members.voters.into_iter().filter(|vm| *vm != leader).collect::<Vec<_>>() {
            net.propose(leader);
            net.step(leader, Input::Transfer { to: vec![next] });
            net.run(100);
            assert_eq!(net.leader(), Some(next));
            leader = next;
        }
    }
    assert_eq!(net.violation, None);
}
