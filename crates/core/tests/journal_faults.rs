//! Single, paired and random faults at every step of a call, checked against a reference model.
//!
//! The model records what simulated endpoints ran, used and held, and what each caller was told,
//! independently of the journal. See docs/design/journal.md for the invariants.

#[path = "support/property.rs"]
mod property;
mod support;

use gypsumglade_core::program::{Safeguards, Settings};
use gypsumglade_core::wire::program::request::Body;
use property::{cases, fixed};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use support::world::{CallId, Op, World};
use support::*;

/// Number of generated cases, unless the environment sets another.
const CASES: u32 = 256;
/// Seed of the generated cases.
const SEED: u64 = 5;

const MODEL: CallId = CallId { program: 0, key: 0 };
const SERVICE: CallId = CallId { program: 0, key: 1 };

/// The steps of one call, from the request to the committed outcome. Faults go between them.
const STEPS: [Op; 5] = [
    Op::Ask { vm: 1, call: SERVICE, lose: false },
    Op::Commit,
    Op::Send { vm: 1, pick: 0 },
    Op::Settle { vm: 1, pick: 0 },
    Op::Commit,
];

/// Faults inserted between the steps, including an end and a resend through another VM.
const FAULTS: [Op; 9] = [
    Op::Lead { to: 1, kept: true },
    Op::Lead { to: 2, kept: false },
    Op::Kill { vm: 1 },
    Op::Pause { vm: 1 },
    Op::Restart { replica: 0 },
    Op::Restart { replica: 1 },
    Op::Wait { millis: 650_000 },
    Op::End { program: 0 },
    Op::Ask { vm: 2, call: SERVICE, lose: false },
];

#[test]
fn call_with_one_fault_keeps_all_invariants() {
    // One fault before or after any step of a call, followed by a resend through another VM.
    for call in [MODEL, SERVICE] {
        for place in 0..=STEPS.len() {
            for fault in FAULTS {
                let violations = run_call(Settings::default(), call, &[(place, fault)]);
                assert!(violations.is_empty(), "{call:?} {place} {fault:?}: {violations:?}");
            }
        }
    }
}

#[test]
fn call_with_two_faults_keeps_all_invariants() {
    // All ordered pairs of faults, at the same step or at two different ones.
    for call in [MODEL, SERVICE] {
        for faults in fault_pairs() {
            let violations = run_call(Settings::default(), call, &faults);
            assert!(violations.is_empty(), "{call:?} {faults:?}: {violations:?}");
        }
    }
}

#[test]
fn turn_from_escrow_with_two_faults_keeps_all_invariants() {
    // An earlier turn leaves an escrow, so the next is granted before its begin commits. Faults
    // between grant and commit are included.
    let first = CallId { program: 0, key: 2 };
    let before = [
        Op::Ask { vm: 3, call: first, lose: false },
        Op::Commit,
        Op::Send { vm: 3, pick: 0 },
        Op::Settle { vm: 3, pick: 0 },
        Op::Commit,
    ];
    for faults in fault_pairs() {
        let mut ops = before.to_vec();
        ops.extend(call_ops(MODEL, &faults));
        let violations = run(escrow_settings(), &ops);
        assert!(violations.is_empty(), "{faults:?}: {violations:?}");
    }
}

#[test]
fn programs_with_escrow_under_random_faults_keep_all_invariants() {
    check_random_faults(&escrow_settings());
}

#[test]
fn programs_under_random_faults_keep_all_invariants() {
    // Random requests of four programs through three VMs, mixed with leader changes, lost and
    // paused VMs, replica restarts, lost grants and late settles.
    check_random_faults(&Settings::default());
}

fn check_random_faults(settings: &Settings) {
    let mut runner = TestRunner::new(fixed(SEED, cases(CASES)));
    let ops = prop::collection::vec(any_op(), 1..80);
    let result = runner.run(&ops, |ops| {
        let violations = run(settings.clone(), &ops);
        prop_assert!(violations.is_empty(), "{violations:?}");
        Ok(())
    });
    result.unwrap_or_else(|failure| panic!("{failure}"));
}

#[test]
fn mutation_intent_first_is_caught() {
    // Without a committed intent, a new leader does not know about a running call.
    assert_caught(|s| s.intent_first = false);
}

#[test]
fn mutation_doubt_final_is_caught() {
    // A call with an unknown outcome that is granted again runs twice if its paused holder resumes.
    assert_caught(|s| s.doubt_final = false);
}

#[test]
fn mutation_serial_calls_is_caught() {
    let other = CallId { program: 0, key: 3 };
    let ops = [
        Op::Ask { vm: 1, call: SERVICE, lose: false },
        Op::Commit,
        Op::Ask { vm: 1, call: other, lose: false },
        Op::Commit,
    ];
    assert!(run(Settings::default(), &ops).is_empty());
    assert!(!run(without(|s| s.serial_calls = false), &ops).is_empty());
}

#[test]
fn mutation_charge_ancestors_is_caught() {
    // If each program is charged to its own account only, a family can exceed its root's budget.
    assert_budget_caught(|s| s.charge_ancestors = false);
}

#[test]
fn mutation_keep_doubtful_is_caught() {
    // Lost calls may have run, so releasing their reservations lets a program overspend.
    assert_budget_caught(|s| s.keep_doubtful = false);
}

#[test]
fn mutation_repeat_release_is_caught() {
    assert!(lost_releases(&Settings::default()) > 1);
    assert_eq!(lost_releases(&without(|s| s.repeat_release = false)), 1);
}

#[test]
fn mutation_holder_only_is_caught() {
    // A `not-run` from a VM without the grant allows a second grant while the holder still runs.
    assert!(!granted_after_foreign_settle(Settings::default()));
    assert!(granted_after_foreign_settle(without(|s| s.holder_only = false)));
}

#[test]
fn mutation_bind_content_is_caught() {
    // A reused key with another body returns the answer of the first call.
    assert!(!answered_with_foreign_content(Settings::default()));
    assert!(answered_with_foreign_content(without(|s| s.bind_content = false)));
}

#[test]
fn mutation_isolate_suspects_is_caught() {
    // Five programs send a request that has already crashed an endpoint.
    assert_eq!(endpoints_crashed(Settings::default()), 2);
    assert!(endpoints_crashed(without(|s| s.isolate_suspects = false)) > 2);
}

fn without(change: fn(&mut Safeguards)) -> Settings {
    let mut safeguards = Safeguards::default();
    change(&mut safeguards);
    Settings { safeguards, ..Settings::default() }
}

/// Ends a program, confirms none of its releases, and returns how many are sent in ten seconds.
fn lost_releases(settings: &Settings) -> usize {
    let mut group = Group::with_settings(1, settings.clone());
    group.run_turn("p", "k", "a", "b");
    group.ask(ENTRY, end("p"));
    group.advance(10_000);
    group.releases().len()
}

fn granted_after_foreign_settle(settings: Settings) -> bool {
    let mut group = Group::with_settings(1, settings);
    let grant = group.grant(call("p", "k"));
    group.ask(OTHER, not_run("p", &grant.dispatch));
    let again = group.send(OTHER, call("p", "k"));
    matches!(group.reply(again), Some(ReplyBody::Grant(_)))
}

fn answered_with_foreign_content(settings: Settings) -> bool {
    let mut group = Group::with_settings(1, settings);
    let grant = group.grant(call("p", "k"));
    group.ask(ENTRY, done("p", &grant.dispatch, "booked"));
    let mut other = begin_call("p", "k");
    other.digest = "other body".into();
    matches!(group.ask(ENTRY, Body::BeginCall(other)), ReplyBody::Recorded(_))
}

/// Sends a request from five programs after its first crash; returns how many endpoints crash.
fn endpoints_crashed(settings: Settings) -> usize {
    let mut group = Group::with_settings(1, settings);
    let first = group.grant(turn("first", "k", &[user("poison")]));
    group.ask(ENTRY, crashed("first", &first.dispatch, "e0"));
    let programs: Vec<String> = (0..5).map(|i| format!("p{i}")).collect();
    let asked = programs.iter().map(|p| group.send(ENTRY, turn(p, "k", &[user("poison")])));
    let tokens: Vec<_> = asked.collect();
    let mut crashes = 1;
    for (i, (program, token)) in programs.iter().zip(tokens).enumerate() {
        let Some(ReplyBody::Grant(grant)) = group.reply(token) else { continue };
        group.ask(ENTRY, crashed(program, &grant.dispatch, &format!("e{}", i + 1)));
        crashes += 1;
    }
    crashes
}

/// Asserts that some pair of faults violates an invariant without a safeguard.
fn assert_caught(change: fn(&mut Safeguards)) {
    let settings = without(change);
    let pairs = fault_pairs();
    let caught = pairs.iter().any(|f| !run_call(settings.clone(), SERVICE, f).is_empty());
    assert!(caught, "no pair of faults violates an invariant without this safeguard");
}

/// Asserts that lost and finished calls of a family exceed its budget without a safeguard.
fn assert_budget_caught(change: fn(&mut Safeguards)) {
    let mut ops = vec![];
    for key in 0..8 {
        for program in 0..3 {
            let call = CallId { program, key };
            ops.push(Op::Ask { vm: 1, call, lose: false });
            ops.push(Op::Commit);
            ops.push(Op::Send { vm: 1, pick: 0 });
            ops.push(if key < 6 { Op::Kill { vm: 1 } } else { Op::Settle { vm: 1, pick: 0 } });
            ops.push(Op::Commit);
        }
    }
    assert!(run(Settings::default(), &ops).is_empty());
    assert!(!run(without(change), &ops).is_empty());
}

fn fault_pairs() -> Vec<[(usize, Op); 2]> {
    let places = 0..=STEPS.len();
    let mut pairs = vec![];
    for first in places.clone() {
        for second in first..=STEPS.len() {
            for a in FAULTS {
                pairs.extend(FAULTS.map(|b| [(first, a), (second, b)]));
            }
        }
    }
    pairs
}

/// Runs the steps of a call with the given faults, then a resend and late settles.
fn run_call(settings: Settings, call: CallId, faults: &[(usize, Op)]) -> Vec<String> {
    run(settings, &call_ops(call, faults))
}

fn call_ops(call: CallId, faults: &[(usize, Op)]) -> Vec<Op> {
    let retarget = |op: Op| match op {
        Op::Ask { vm, lose, .. } => Op::Ask { vm, call, lose },
        op => op,
    };
    let mut ops = vec![];
    for place in 0..=STEPS.len() {
        let here = faults.iter().filter(|(at, _)| *at == place);
        ops.extend(here.map(|(_, fault)| retarget(*fault)));
        ops.extend(STEPS.get(place).copied().map(retarget));
    }
    let resend = [
        Op::Ask { vm: 2, call, lose: false },
        Op::Commit,
        Op::Send { vm: 2, pick: 0 },
        Op::Send { vm: 1, pick: 0 },
        Op::Settle { vm: 2, pick: 0 },
        Op::Commit,
        Op::Settle { vm: 1, pick: 0 },
        Op::Commit,
        Op::Ask { vm: 3, call, lose: false },
    ];
    ops.extend(resend);
    ops
}

/// Settings that let turns be granted from an escrow.
fn escrow_settings() -> Settings {
    Settings { escrow_turns: 4, ..Settings::default() }
}

fn run(settings: Settings, ops: &[Op]) -> Vec<String> {
    let mut world = World::new(settings);
    ops.iter().for_each(|op| world.perform(*op));
    world.finish();
    world.violations
}

fn any_op() -> impl Strategy<Value = Op> {
    let vm = 1..4_u32;
    let call = (0..4_usize, 0..6_u8).prop_map(|(program, key)| CallId { program, key });
    prop_oneof![
        8 => (vm.clone(), call, prop::bool::weighted(0.1))
            .prop_map(|(vm, call, lose)| Op::Ask { vm, call, lose }),
        8 => Just(Op::Commit),
        6 => (vm.clone(), 0..4_usize).prop_map(|(vm, pick)| Op::Send { vm, pick }),
        5 => (vm.clone(), 0..4_usize).prop_map(|(vm, pick)| Op::Settle { vm, pick }),
        1 => vm.clone().prop_map(|vm| Op::Kill { vm }),
        1 => vm.prop_map(|vm| Op::Pause { vm }),
        1 => (0..3_usize, any::<bool>()).prop_map(|(to, kept)| Op::Lead { to, kept }),
        1 => (0..3_usize).prop_map(|replica| Op::Restart { replica }),
        1 => prop_oneof![3 => 1..5_000_u64, 1 => Just(650_000)]
            .prop_map(|millis| Op::Wait { millis }),
        1 => (0..40_usize).prop_map(|program| Op::End { program: program.max(3) }),
    ]
}
