//! Invariants of the replicated log under lost, duplicated, late and reordered messages, crashes,
//! partitions and clock drift.

#[path = "replication/net.rs"]
mod net;
#[path = "support/property.rs"]
mod property;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Input, MemberChange, Settings};
use net::{Net, NetworkConditions};
use property::fixed;
use proptest::prelude::*;
use proptest::test_runner::{TestCaseError, TestRunner};

/// Number of cases unless the environment sets another.
const CASES: u32 = 1_000;
const VOTERS: u32 = 3;
const SPARES: u32 = 2;
const NODES: u32 = VOTERS + SPARES;

/// One event of a generated run.
#[derive(Clone, Debug)]
enum Op {
    Run(u64),
    Propose(VmId),
    ProposeAtLeader,
    Read(VmId),
    ReadAtLeader,
    Crash(VmId),
    Restart(VmId),
    Cut(VmId, VmId),
    CutOff(VmId),
    Heal,
    Degrade(f64, f64, u64),
    SlowSync(u64),
    Snapshot(VmId),
    Transfer,
    /// Another group on this VM had an election.
    NewEpoch(VmId),
    AddLearner(VmId),
    Promote(VmId),
    Remove(VmId),
}

fn vm() -> impl Strategy<Value = VmId> {
    (1..=NODES).prop_map(VmId)
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (1u64..3_000).prop_map(Op::Run),
        6 => Just(Op::ProposeAtLeader),
        2 => vm().prop_map(Op::Propose),
        3 => Just(Op::ReadAtLeader),
        2 => vm().prop_map(Op::Read),
        2 => vm().prop_map(Op::Crash),
        3 => vm().prop_map(Op::Restart),
        2 => (vm(), vm()).prop_map(|(from, to)| Op::Cut(from, to)),
        1 => vm().prop_map(Op::CutOff),
        2 => Just(Op::Heal),
        1 => (0.0..0.4f64, 0.0..0.3f64, 1u64..400).prop_map(|(l, d, t)| Op::Degrade(l, d, t)),
        1 => (0u64..500).prop_map(Op::SlowSync),
        2 => vm().prop_map(Op::Snapshot),
        1 => Just(Op::Transfer),
        2 => vm().prop_map(Op::NewEpoch),
        1 => vm().prop_map(Op::AddLearner),
        1 => vm().prop_map(Op::Promote),
        1 => vm().prop_map(Op::Remove),
    ]
}

fn apply(net: &mut Net, op: &Op) {
    let leader = net.leader();
    match *op {
        Op::Run(millis) => net.run(millis),
        Op::Propose(vm) => net.propose(vm),
        Op::ProposeAtLeader => drop(leader.map(|vm| net.propose(vm))),
        Op::Read(vm) => net.read(vm),
        Op::ReadAtLeader => drop(leader.map(|vm| net.read(vm))),
        Op::Crash(vm) => net.crash(vm),
        Op::Restart(vm) => net.restart(vm),
        Op::Cut(from, to) => net.cut(from, to),
        Op::CutOff(vm) => net.cut_off(vm),
        Op::Heal => net.cuts.clear(),
        Op::Degrade(loss, duplicated, delay) => {
            net.conditions = NetworkConditions { loss, duplicated, delay }
        }
        Op::SlowSync(millis) => net.sync_millis = millis,
        Op::Snapshot(vm) => net.snapshot(vm),
        Op::Transfer => drop(leader.map(|vm| net.step(vm, Input::Transfer { to: Vec::new() }))),
        Op::NewEpoch(vm) => net.node(vm).links.next_epoch(),
        Op::AddLearner(vm) => net.change(MemberChange::AddLearner(vm)),
        Op::Promote(vm) => net.change(MemberChange::Promote(vm)),
        Op::Remove(vm) => net.change(MemberChange::Remove(vm)),
    }
}

/// Returns settings with small limits, so that batches, windows and chunks fill up.
fn settings() -> Settings {
    Settings {
        drift: 0.05,
        batch_bytes: 24,
        in_flight: 3,
        chunk_bytes: 20,
        keep_entries: 3,
        backlog_bytes: 400,
        ..Settings::default()
    }
}

fn runner(cases: u32) -> TestRunner {
    let config = fixed(4, property::cases(cases));
    TestRunner::new(ProptestConfig { max_shrink_iters: 2_000, ..config })
}

fn check(settings: &Settings, seed: u64, ops: &[Op]) -> Result<(), TestCaseError> {
    let mut net = Net::new(seed, settings.clone(), VOTERS, SPARES);
    net.run(3_000);
    for op in ops {
        apply(&mut net, op);
    }
    net.converge();
    match net.violation {
        Some(rule) => Err(TestCaseError::fail(rule)),
        None => Ok(()),
    }
}

#[test]
fn step_any_failures() {
    // Under any sequence of failures no acknowledged entry is lost or changed and no read is stale;
    // once the failures end, the replicas converge.
    let strategy = (any::<u64>(), prop::collection::vec(op(), 1..60));
    let settings = settings();
    let result = runner(CASES).run(&strategy, |(seed, ops)| check(&settings, seed, &ops));
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Number of cases within which a disabled safeguard must be detected.
const MUTATION_CASES: u32 = 5_000;

/// Parts of the messages that report a safety violation rather than a group that makes no progress.
const SAFETY: [&str; 4] =
    ["committed another entry", "both led term", "held a lease at", "which was stale"];

/// Disables one safeguard and expects one of the [`SAFETY`] violations.
fn expect_violation(change: impl Fn(&mut Settings)) {
    let mut settings = settings();
    change(&mut settings);
    let strategy = (any::<u64>(), prop::collection::vec(op(), 1..60));
    let config = ProptestConfig { max_shrink_iters: 0, ..fixed(4, MUTATION_CASES) };
    let result = TestRunner::new(config).run(&strategy, |(seed, ops)| check(&settings, seed, &ops));
    let error = result.expect_err("no invariant was violated").to_string();
    assert!(SAFETY.iter().any(|rule| error.contains(rule)), "not a safety violation: {error}");
}

#[test]
fn safeguard_quorum_off() {
    // With a quorum of one, both sides of a partition commit and the entries of one side are lost.
    expect_violation(|settings| settings.safeguards.quorum = false);
}

#[test]
fn safeguard_sync_off() {
    // A replica that acknowledges an entry before syncing it loses the entry in a crash, and a
    // later leader may replace an entry that was already committed.
    expect_violation(|settings| settings.safeguards.sync = false);
}

#[test]
fn safeguard_epochs_off() {
    // A follower of a newer leader still sends VM pulses to the old one. Without epochs these would
    // renew a lease that the follower no longer grants.
    expect_violation(|settings| settings.safeguards.epochs = false);
}
