//! Copying of texts after stores are lost or while they retire.

#[path = "support/property.rs"]
mod property;

use std::collections::{BTreeMap, BTreeSet};

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::repair::StoreInfo;
use gypsumglade_core::turns::{BatchSize, CopySurvey, Limits, Transfer, Turns};
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, Copied, Holding, Kept, Reserve, Settle};
use property::{cases, fixed};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

/// Default number of cases of the property.
const CASES: u32 = 256;
/// Seed of the property's random choices.
const SEED: u64 = 29;
/// Bytes of each turn's text.
const TEXT_BYTES: u64 = 18_000;
/// Larger than the texts of any test together.
const UNLIMITED: BatchSize = BatchSize { texts: 1_000, bytes: 1_000_000_000 };
/// Limits that no test reaches.
const NO_LIMITS: Limits = Limits { same_region: UNLIMITED, cross_region: UNLIMITED };

fn apply(turns: &mut Turns, body: Body) -> Reply {
    turns.apply(&Command { body: Some(body) }).body.expect("every command is answered")
}

fn keep(turns: &mut Turns, turn: &str, previous: &str, holders: &[u32]) {
    keep_at(turns, 1, turn, previous, holders);
}

fn keep_at(turns: &mut Turns, now_ms: u64, turn: &str, previous: &str, holders: &[u32]) {
    let kept = Kept {
        previous: previous.to_owned(),
        retention_ms: 60_000,
        holders: holders.to_vec(),
        bytes: TEXT_BYTES,
    };
    let settle = Settle { turn: turn.to_owned(), kept: Some(kept), now_ms, ..Settle::default() };
    apply(turns, Body::Settle(settle));
}

/// Records all transfers of a plan as complete and returns the number of texts copied.
fn complete_transfers(turns: &mut Turns, plan: &[Transfer]) -> usize {
    let copied: Vec<Holding> =
        plan.iter().flat_map(|copy| &copy.turns).map(|holding| holding.to_wire()).collect();
    let count = copied.len();
    apply(turns, Body::Copied(Copied { turns: copied, now_ms: 2 }));
    count
}

fn holders(turns: &mut Turns, turn: &str) -> Vec<VmId> {
    let ask = Reserve { turn: "x".to_owned(), previous: turn.to_owned(), ..Reserve::default() };
    let Reply::Reserved(reserved) = apply(turns, Body::Reserve(ask)) else {
        panic!("the turn is not kept")
    };
    let last = reserved.chain.last().expect("a chain");
    last.holders.iter().copied().map(VmId).collect()
}

fn store(vm: u32, domain: &str) -> StoreInfo {
    let (domain, region) = (domain.into(), "south".into());
    StoreInfo { vm: VmId(vm), domain, region, retiring: false }
}

fn remote_store(vm: u32, domain: &str) -> StoreInfo {
    StoreInfo { region: "north".into(), ..store(vm, domain) }
}

fn retiring(store: StoreInfo) -> StoreInfo {
    StoreInfo { retiring: true, ..store }
}

fn survey(alive: impl IntoIterator<Item = StoreInfo>) -> CopySurvey {
    CopySurvey { alive: alive.into_iter().collect(), copies: 2, ..CopySurvey::default() }
}

fn same_limits(limit: BatchSize) -> Limits {
    Limits { same_region: limit, cross_region: limit }
}

fn targets(plan: &[Transfer]) -> Vec<u32> {
    plan.iter().map(|copy| copy.target.0).collect()
}

#[test]
fn plan_copies_nothing_lost() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    let survey = survey([store(1, "a"), store(2, "b"), store(3, "c")]);
    assert_eq!(turns.plan_copies(&survey, &NO_LIMITS), []);
    assert_eq!(turns.required_holders(&survey), BTreeSet::new());
}

#[test]
fn plan_copies_lost_holder() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    let survey = survey([store(1, "a"), store(3, "c")]);
    let plan = turns.plan_copies(&survey, &NO_LIMITS);
    assert_eq!(targets(&plan), [3]);
    assert_eq!(plan[0].sources, [VmId(1)]);
    assert_eq!(plan[0].turns[0].holders, [VmId(1), VmId(3)]);
    assert!(turns.required_holders(&survey).contains(&VmId(1)));
    complete_transfers(&mut turns, &plan);
    assert_eq!(turns.plan_copies(&survey, &NO_LIMITS), []);
    assert_eq!(turns.required_holders(&survey), BTreeSet::new());
}

/// A store that was unavailable for a while still holds its texts and must count as a holder when
/// it returns; otherwise they would be copied again without need.
#[test]
fn plan_copies_silent_holder_returns() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    let plan = turns.plan_copies(&survey([store(1, "a"), store(3, "c")]), &NO_LIMITS);
    complete_transfers(&mut turns, &plan);
    let after = survey([store(2, "b"), store(3, "c"), store(4, "d")]);
    assert_eq!(turns.plan_copies(&after, &NO_LIMITS), []);
}

/// A store that is listed twice as holder counts once.
#[test]
fn plan_copies_same_holder_twice() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 1]);
    let survey = survey([store(1, "a"), store(2, "b")]);
    assert_eq!(targets(&turns.plan_copies(&survey, &NO_LIMITS)), [2]);
    assert_eq!(turns.required_holders(&survey), BTreeSet::from([VmId(1)]));
}

/// A stale leader reports the holders of an older plan. Holders that another leader recorded in the
/// meantime must not be lost, as they may be the only ones left.
#[test]
fn plan_copies_stale_leader() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    let late = turns.plan_copies(&survey([store(1, "a"), store(3, "c")]), &NO_LIMITS);
    let plan = turns.plan_copies(&survey([store(1, "a"), store(4, "d")]), &NO_LIMITS);
    complete_transfers(&mut turns, &plan);
    complete_transfers(&mut turns, &late);
    let left = survey([store(4, "d"), store(5, "e")]);
    assert_eq!(targets(&turns.plan_copies(&left, &NO_LIMITS)), [5]);
}

/// After many losses, the list of holders stays bounded and still contains the available ones.
#[test]
fn plan_copies_many_losses() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    for lost in 1..100 {
        let survey = survey([store(lost + 1, "a"), store(lost + 2, "b")]);
        let plan = turns.plan_copies(&survey, &NO_LIMITS);
        complete_transfers(&mut turns, &plan);
        let known = holders(&mut turns, "a");
        assert!(known.len() <= 8 && known.contains(&VmId(lost + 1)), "{known:?}");
        assert!(known.contains(&VmId(lost + 2)), "{known:?}");
    }
}

#[test]
fn plan_copies_unreadable() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    keep(&mut turns, "b", "", &[2, 3]);
    let survey = survey([store(3, "c"), store(4, "d")]);
    let plan = turns.plan_copies(&survey, &NO_LIMITS);
    let copied: Vec<&str> =
        plan.iter().flat_map(|copy| &copy.turns).map(|holding| holding.turn.as_str()).collect();
    assert_eq!(copied, ["b"]);
}

/// The texts of a chain are copied to the same store, so that a reader needs only one request.
#[test]
fn plan_copies_chain_on_one_store() {
    let mut turns = Turns::default();
    let mut previous = String::new();
    for number in 0..50 {
        let turn = format!("t{number}");
        keep(&mut turns, &turn, &previous, &[1, 2]);
        previous = turn;
    }
    let others = (3..9).map(|vm| store(vm, &format!("d{vm}")));
    let survey = survey(others.chain([store(1, "a")]));
    let plan = turns.plan_copies(&survey, &NO_LIMITS);
    assert_eq!(plan.len(), 1);
    assert_eq!(plan[0].turns.len(), 50);
}

#[test]
fn plan_copies_other_domain() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    let near = (3..9).map(|vm| store(vm, "a"));
    let survey = survey(near.chain([store(1, "a"), store(9, "b")]));
    assert_eq!(targets(&turns.plan_copies(&survey, &NO_LIMITS)), [9]);
}

/// Texts are copied within the region, even to a failing store in the same domain, since copies
/// between regions can delay elections.
#[test]
fn plan_copies_own_region() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[5, 2]);
    let remote = (6..12).map(|vm| remote_store(vm, &format!("n{vm}")));
    let alive: Vec<_> = remote.chain([store(5, "a"), store(3, "a")]).collect();
    assert_eq!(targets(&turns.plan_copies(&survey(alive.clone()), &NO_LIMITS)), [3]);
    let failing = CopySurvey { failing: BTreeSet::from([VmId(3)]), ..survey(alive) };
    assert_eq!(targets(&turns.plan_copies(&failing, &NO_LIMITS)), [3]);
}

/// Texts are copied within the region of most holders, regardless of their ids; on a tie, within
/// the region with more stores.
#[test]
fn plan_copies_majority_region() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 7, 8]);
    let north =
        [remote_store(1, "n"), remote_store(2, "m"), remote_store(3, "o"), remote_store(4, "p")];
    let south = [store(7, "a"), store(8, "b"), store(9, "c")];
    let survey = CopySurvey { copies: 4, ..survey(north.into_iter().chain(south)) };
    assert_eq!(targets(&turns.plan_copies(&survey, &NO_LIMITS)), [9]);
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[7, 1]);
    let plan = turns.plan_copies(&survey, &NO_LIMITS);
    assert!(matches!(targets(&plan)[..], [2..=4]), "{plan:?}");
}

#[test]
fn plan_copies_only_other_region() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    let survey = survey([store(1, "a"), remote_store(2, "n"), remote_store(3, "m")]);
    assert_eq!(turns.plan_copies(&survey, &NO_LIMITS), []);
    keep(&mut turns, "b", "", &[1, 9]);
    let plan = turns.plan_copies(&survey, &NO_LIMITS);
    assert!(matches!(targets(&plan)[..], [2 | 3]), "{plan:?}");
}

/// A store that recently failed to take texts, such as one with a full disk, must not be chosen
/// while the region has another.
#[test]
fn plan_copies_failing_store() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 9]);
    let alive = [store(1, "a"), store(2, "b"), store(3, "c")];
    let first = turns.plan_copies(&survey(alive.clone()), &NO_LIMITS)[0].target;
    let failing = CopySurvey { failing: BTreeSet::from([first]), ..survey(alive) };
    let second = turns.plan_copies(&failing, &NO_LIMITS)[0].target;
    assert!(second != first && second != VmId(1));
}

/// Deferred turns are skipped, so that they don't block the others, but their holders stay
/// required.
#[test]
fn plan_copies_deferred() {
    let mut turns = Turns::default();
    for turn in ["a", "b", "c"] {
        keep(&mut turns, turn, "", &[1, 9]);
    }
    let survey = survey([store(1, "a"), store(2, "b")]);
    let survey = CopySurvey { deferred: BTreeSet::from(["a".into()]), ..survey };
    let plan = turns.plan_copies(&survey, &same_limits(BatchSize { texts: 1, ..UNLIMITED }));
    assert_eq!(plan[0].turns[0].turn, "b");
    assert_eq!(turns.required_holders(&survey), BTreeSet::from([VmId(1), VmId(9)]));
}

/// A transfer is limited by both the number and the total length of its texts, but has at least
/// one.
#[test]
fn plan_copies_limit() {
    let mut turns = Turns::default();
    for number in 0..40 {
        keep(&mut turns, &number.to_string(), "", &[1, 9]);
    }
    let survey = survey([store(1, "a"), store(2, "b")]);
    let count = |limit| turns.plan_copies(&survey, &same_limits(limit))[0].turns.len();
    assert_eq!(count(BatchSize { bytes: 3 * TEXT_BYTES, ..UNLIMITED }), 3);
    assert_eq!(count(BatchSize { bytes: 1, ..UNLIMITED }), 1);
    assert_eq!(count(BatchSize { texts: 7, ..UNLIMITED }), 7);
}

/// The cross-region limit applies only if there is no target in the region of the texts.
#[test]
fn plan_copies_cross_region_limit() {
    let mut turns = Turns::default();
    for number in 0..40 {
        keep(&mut turns, &number.to_string(), "", &[1, 9]);
    }
    let limits = Limits { cross_region: BatchSize { texts: 2, ..UNLIMITED }, ..NO_LIMITS };
    let plan = turns.plan_copies(&survey([store(1, "a"), remote_store(2, "n")]), &limits);
    assert_eq!((plan[0].cross_region, plan[0].turns.len()), (true, 2));
    let plan = turns.plan_copies(&survey([store(1, "a"), store(2, "b")]), &limits);
    assert_eq!((plan[0].cross_region, plan[0].turns.len()), (false, 40));
}

/// Texts that one more lost disk would lose waited behind others.
#[test]
fn plan_copies_last_copy_first() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2, 9]);
    keep(&mut turns, "b", "", &[1, 8, 9]);
    let limits = same_limits(BatchSize { texts: 1, ..UNLIMITED });
    let alive = [store(1, "a"), store(2, "b"), store(3, "c")];
    // Both texts have the same target.
    let failing = BTreeSet::from([VmId(2)]);
    let survey = CopySurvey { copies: 3, failing, ..survey(alive) };
    let plan = turns.plan_copies(&survey, &limits);
    assert!(plan[0].is_last_copy());
    assert_eq!(plan[0].turns[0].turn, "b");
}

/// Texts of old turns were copied before those of new ones, which callers need for longer.
#[test]
fn plan_copies_longest_kept_first() {
    let mut turns = Turns::default();
    for (turn, previous, now) in [("a", "", 1), ("b", "", 2), ("c", "", 3), ("d", "a", 4)] {
        keep_at(&mut turns, now, turn, previous, &[1, 9]);
    }
    let plan = turns.plan_copies(&survey([store(1, "a"), store(2, "b")]), &NO_LIMITS);
    let order: Vec<&str> = plan[0].turns.iter().map(|holding| holding.turn.as_str()).collect();
    assert_eq!(order, ["a", "d", "c", "b"]);
}

/// Texts that no caller may name any more took the time of others.
#[test]
fn plan_copies_no_longer_kept() {
    let mut turns = Turns::default();
    keep_at(&mut turns, 1, "old", "", &[1, 9]);
    keep_at(&mut turns, 1, "held", "", &[1, 9]);
    let ask = Reserve {
        turn: "x".to_owned(),
        previous: "held".to_owned(),
        now_ms: 59_000,
        lasts_ms: 20_000,
        ..Reserve::default()
    };
    apply(&mut turns, Body::Reserve(ask));
    keep_at(&mut turns, 70_000, "new", "", &[1, 9]);
    let survey = survey([store(1, "a"), store(2, "b")]);
    let plan = turns.plan_copies(&survey, &NO_LIMITS);
    let mut order: Vec<&str> = plan[0].turns.iter().map(|holding| holding.turn.as_str()).collect();
    order.sort_unstable();
    assert_eq!(order, ["held", "new"]);
    assert_eq!(turns.required_holders(&survey), BTreeSet::from([VmId(1), VmId(9)]));
}

/// Many texts of a store's own region kept it from fetching those of another one.
#[test]
fn plan_copies_both_ways() {
    let mut turns = Turns::default();
    for number in 0..40 {
        keep(&mut turns, &format!("a{number}"), "", &[1, 9]);
        keep(&mut turns, &format!("b{number}"), "", &[3, 9]);
    }
    let limits = same_limits(BatchSize { texts: 10, ..UNLIMITED });
    let plan =
        turns.plan_copies(&survey([store(1, "a"), store(2, "b"), remote_store(3, "n")]), &limits);
    let ways: Vec<_> = plan.iter().map(|copy| (copy.cross_region, copy.turns.len())).collect();
    assert!(ways.contains(&(false, 10)) && ways.contains(&(true, 10)), "{ways:?}");
}

#[test]
fn split_parts() {
    let mut turns = Turns::default();
    for number in 0..7 {
        keep(&mut turns, &number.to_string(), "", &[1, 9]);
    }
    let plan = turns.plan_copies(&survey([store(1, "a"), store(2, "b")]), &NO_LIMITS);
    let sizes = |limit| -> Vec<usize> {
        let parts = plan[0].clone().split(limit);
        let turns: Vec<_> = parts.iter().flat_map(|part| part.turns.clone()).collect();
        assert_eq!(turns, plan[0].turns);
        parts.iter().map(|part| part.turns.len()).collect()
    };
    assert_eq!(sizes(BatchSize { texts: 3, ..UNLIMITED }), [3, 3, 1]);
    assert_eq!(sizes(BatchSize { bytes: 2 * TEXT_BYTES, ..UNLIMITED }), [2, 2, 2, 1]);
    assert_eq!(sizes(BatchSize { bytes: 1, ..UNLIMITED }), [1; 7]);
    assert_eq!(sizes(UNLIMITED), [7]);
}

#[test]
fn plan_copies_retiring_holder() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    let survey = survey([retiring(store(1, "a")), store(2, "b"), store(3, "c")]);
    let plan = turns.plan_copies(&survey, &NO_LIMITS);
    assert_eq!(targets(&plan), [3]);
    assert_eq!(plan[0].sources, [VmId(1), VmId(2)]);
    assert!(turns.required_holders(&survey).contains(&VmId(1)));
    complete_transfers(&mut turns, &plan);
    assert_eq!(turns.required_holders(&survey), BTreeSet::new());
}

/// A retiring store can be a source of texts, but never a target.
#[test]
fn plan_copies_only_retiring() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    let alive = [retiring(store(1, "a")), retiring(store(4, "d")), store(3, "c"), store(5, "e")];
    let survey = survey(alive);
    let plan = turns.plan_copies(&survey, &NO_LIMITS);
    assert_eq!(plan[0].sources, [VmId(1)]);
    complete_transfers(&mut turns, &plan);
    let plan = turns.plan_copies(&survey, &NO_LIMITS);
    complete_transfers(&mut turns, &plan);
    let on = holders(&mut turns, "a");
    assert!(on.contains(&VmId(3)) && on.contains(&VmId(5)) && !on.contains(&VmId(4)), "{on:?}");
}

/// A retiring holder must not be removed while too few other stores are available for a copy of its
/// texts.
#[test]
fn required_holders_others_unavailable() {
    let mut turns = Turns::default();
    keep(&mut turns, "a", "", &[1, 2]);
    let survey = survey([retiring(store(1, "a")), store(2, "b")]);
    assert!(turns.required_holders(&survey).contains(&VmId(1)));
    assert_eq!(turns.plan_copies(&survey, &NO_LIMITS), []);
}

/// A randomly generated store of the property test.
#[derive(Clone, Debug)]
struct RandomStore {
    domain: u32,
    region: u32,
    retiring: bool,
    alive: bool,
    failing: bool,
}

fn any_store() -> impl Strategy<Value = RandomStore> {
    let flags = (prop::bool::weighted(0.2), prop::bool::weighted(0.7), prop::bool::weighted(0.2));
    (0..3_u32, 0..2_u32, flags).prop_map(|(domain, region, (retiring, alive, failing))| {
        RandomStore { domain, region, retiring, alive, failing }
    })
}

fn random_survey(stores: &[RandomStore], copies: usize) -> CopySurvey {
    let alive = stores.iter().zip(1..).filter(|(store, _)| store.alive);
    let alive = alive.map(|(store, vm)| StoreInfo {
        vm: VmId(vm),
        domain: format!("{}{}", store.region, store.domain).into(),
        region: store.region.to_string().into(),
        retiring: store.retiring,
    });
    let failing = stores.iter().zip(1..).filter(|(store, _)| store.failing);
    let failing = failing.map(|(_, vm)| VmId(vm)).collect();
    CopySurvey { alive: alive.collect(), copies, failing, deferred: BTreeSet::new() }
}

/// Checks that targets are neither retiring nor sources, that sources are available with those in
/// the target's region first, and that texts with the same sources share a target within `limit` for
/// each way.
fn check_plan(
    plan: &[Transfer],
    survey: &CopySurvey,
    limit: BatchSize,
) -> Result<(), TestCaseError> {
    let find = |vm: VmId| survey.alive.iter().find(|store| store.vm == vm);
    let mut counts: BTreeMap<(VmId, bool), usize> = BTreeMap::new();
    let mut sources = BTreeSet::new();
    for copy in plan {
        *counts.entry((copy.target, copy.cross_region)).or_default() += copy.turns.len();
        prop_assert!(sources.insert(&copy.sources));
        let region = |vm: VmId| find(vm).map(|store| store.region.clone());
        let is_remote = |vm: &VmId| region(*vm) != region(copy.target);
        prop_assert!(copy.sources.iter().map(is_remote).is_sorted());
        prop_assert_eq!(copy.cross_region, copy.sources.iter().all(is_remote));
        prop_assert!(find(copy.target).is_some_and(|store| !store.retiring));
        prop_assert!(!copy.sources.is_empty() && !copy.sources.contains(&copy.target));
        prop_assert!(copy.sources.iter().all(|vm| find(*vm).is_some()));
        for holding in &copy.turns {
            prop_assert!(holding.holders.contains(&copy.target));
        }
    }
    prop_assert!(counts.values().all(|count| *count <= limit.texts));
    Ok(())
}

/// Repeated plans copy every readable text to enough serving stores, without superfluous copies.
#[test]
fn plan_copies_any() {
    let mut runner = TestRunner::new(fixed(SEED, cases(CASES)));
    let stores = prop::collection::vec(any_store(), 1..9);
    let texts = prop::collection::vec(prop::collection::vec(1..10_u32, 1..4), 0..40);
    let strategy = (stores, texts, 1..4_usize, 1..9_usize);
    let property =
        |(stores, texts, copies, limit_texts): (Vec<RandomStore>, Vec<Vec<u32>>, usize, usize)| {
            let survey = random_survey(&stores, copies);
            let limit = BatchSize { texts: limit_texts, ..UNLIMITED };
            let mut turns = Turns::default();
            for (number, holders) in texts.iter().enumerate() {
                keep(&mut turns, &number.to_string(), "", holders);
            }
            let mut left = texts.len() * copies;
            loop {
                let plan = turns.plan_copies(&survey, &same_limits(limit));
                check_plan(&plan, &survey, limit)?;
                let copied = complete_transfers(&mut turns, &plan);
                if copied == 0 {
                    break;
                }
                prop_assert!(copied <= left, "more texts were copied than needed");
                left -= copied;
            }
            let serving = survey.alive.iter().filter(|store| !store.retiring);
            let serving: BTreeSet<VmId> = serving.map(|store| store.vm).collect();
            for (number, before) in texts.iter().enumerate() {
                let readable =
                    before.iter().any(|vm| survey.alive.iter().any(|store| store.vm.0 == *vm));
                let on = holders(&mut turns, &number.to_string());
                let on = on.iter().filter(|vm| serving.contains(vm)).count();
                prop_assert!(!readable || on >= copies.min(serving.len()), "{number}: {on}");
            }
            Ok(())
        };
    runner.run(&strategy, property).expect("the property holds");
}
