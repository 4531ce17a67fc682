//! Elections after all or some replicas have restarted, as after a power cut.

#[path = "replication/net.rs"]
#[allow(dead_code)]
mod net;
#[path = "support/property.rs"]
mod property;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::Settings;
use net::Net;
use property::fixed;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

const VOTERS: u32 = 5;

fn settings() -> Settings {
    Settings { lease: Duration::from_millis(600), drift: 0.05, ..Settings::default() }
}

fn started(seed: u64) -> (Net, VmId) {
    let mut net = Net::new(seed, settings(), VOTERS, 0);
    net.run(4_000);
    let leader = net.leader().expect("a leader");
    (0..5).for_each(|_| net.propose(leader));
    net.run(100);
    (net, leader)
}

fn all() -> impl Iterator<Item = VmId> {
    (1..=VOTERS).map(VmId)
}

/// A voter doesn't come back. It may be a leader that nobody reaches, so the others wait.
#[test]
fn election_waits_for_missing_voter() {
    for seed in 0..20 {
        let (mut net, leader) = started(seed);
        net.cut_off(leader);
        let rest: Vec<_> = all().filter(|vm| *vm != leader).collect();
        rest.iter().for_each(|vm| net.crash(*vm));
        rest.iter().for_each(|vm| net.restart(*vm));
        // The leader's lease rests on replies from just before the crash.
        net.run(400);
        assert!(net.leader().is_none_or(|vm| vm == leader), "seed {seed}");
        net.read(leader);
        net.run(3_000);
        assert_eq!(net.violation, None, "seed {seed}");
    }
}

/// Steps of a run in which VMs restart at any moment, at once or one after another.
#[derive(Clone, Debug)]
enum Op {
    Run(u64),
    Work,
    Crash(Vec<VmId>),
    Restart(Vec<VmId>),
    CutOff(VmId),
    Heal,
}

fn op() -> impl Strategy<Value = Op> {
    let some = || prop::collection::vec((1..=VOTERS).prop_map(VmId), 1..6);
    prop_oneof![
        6 => (1_u64..400).prop_map(Op::Run),
        4 => Just(Op::Work),
        3 => some().prop_map(Op::Crash),
        4 => some().prop_map(Op::Restart),
        1 => (1..=VOTERS).prop_map(|vm| Op::CutOff(VmId(vm))),
        1 => Just(Op::Heal),
    ]
}

/// No two replicas hold a lease, and none answers a stale read, whichever VMs restart while a lease
/// runs, with clocks that drift.
#[test]
fn restarts_never_overlap_leases() {
    let config = ProptestConfig { max_shrink_iters: 2_000, ..fixed(4, property::cases(1_000)) };
    let strategy = (any::<u64>(), prop::collection::vec(op(), 1..80));
    let result = TestRunner::new(config).run(&strategy, |(seed, ops)| {
        let (mut net, _) = started(seed % 1_000);
        for op in ops {
            match op {
                Op::Run(millis) => net.run(millis),
                Op::Work => {
                    let leaders: Vec<_> = all().collect();
                    leaders.into_iter().for_each(|vm| {
                        net.propose(vm);
                        net.read(vm);
                    });
                }
                Op::Crash(vms) => vms.into_iter().for_each(|vm| net.crash(vm)),
                Op::Restart(vms) => vms.into_iter().for_each(|vm| net.restart(vm)),
                Op::CutOff(vm) => net.cut_off(vm),
                Op::Heal => net.cuts.clear(),
            }
        }
        net.converge();
        match net.violation.take() {
            Some(rule) => Err(TestCaseError::fail(rule)),
            None => Ok(()),
        }
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
