//! Planned orders: changes of a model or its version without interruption of service.

use gypsumglade_core::bundle::Bundle;
use gypsumglade_core::orders::{Engine, LoadLimiter, ModelVersion, Mutation, Order, Planner};
use gypsumglade_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

fn bundle(version: u32) -> Bundle {
    let yaml = format!(
        "version: \"{version}\"\nmodels:\n  - {{name: advisor, version: \"{version}\", \
         input_micros: 1, output_micros: 1, context_tokens: 1000, endpoints: [\"adv-*\"]}}\n"
    );
    Bundle::parse(yaml.as_bytes()).expect("a valid bundle")
}

fn advisor(version: u32) -> ModelVersion {
    ModelVersion { model: "advisor".into(), version: version.to_compact_string() }
}

fn engines(count: usize, slots: usize) -> Vec<Engine> {
    let engine = |index: usize| Engine {
        name: format!("adv-{index}").into(),
        loaded: vec![advisor(1)],
        slots,
        pending: None,
        leaving: false,
    };
    (0..count).map(engine).collect()
}

/// Lets the engine execute its pending order, or lose it.
fn finish(engine: &mut Engine, lost: bool) {
    match engine.pending.take() {
        Some(Order::Load { version, .. }) if !lost => engine.loaded.push(version),
        Some(Order::Drop { version, .. }) if !lost => {
            engine.loaded.retain(|held| *held != version);
        }
        _ => {}
    }
}

fn assign(engines: &mut [Engine], orders: Vec<Order>) {
    for order in orders {
        let (Order::Load { endpoint, .. } | Order::Drop { endpoint, .. }) = &order;
        let engine = engines.iter_mut().find(|engine| engine.name == *endpoint);
        engine.expect("an order for a known engine").pending = Some(order);
    }
}

/// Replaces version 1 by 2 while engines finish or lose orders as `events` say. Returns the
/// smallest number of engines that served the model at any time, and the engines at the end.
fn replace_version(
    mutation: Mutation,
    mut fleet: Vec<Engine>,
    events: &[(usize, bool)],
) -> (usize, Vec<Engine>) {
    let limiter = LoadLimiter::new(2, Duration::from_secs(1));
    let mut planner = Planner::with_mutation(limiter, mutation);
    let mut min_serving = fleet.len();
    for (second, (index, lost)) in events.iter().enumerate() {
        let now = Time::from_millis(1_000 * second as u64);
        let orders = planner.plan(&bundle(2), &fleet, now);
        assign(&mut fleet, orders);
        let loads = fleet.iter().filter(|e| matches!(e.pending, Some(Order::Load { .. })));
        assert!(loads.count() <= 2, "more than two loads run at once");
        let index = index % fleet.len();
        finish(&mut fleet[index], *lost);
        // A version with a pending drop doesn't count: it may be gone at any moment.
        let serves = |engine: &&Engine| {
            let dropped = match &engine.pending {
                Some(Order::Drop { version, .. }) => Some(version),
                _ => None,
            };
            engine.loaded.iter().any(|held| Some(held) != dropped)
        };
        min_serving = min_serving.min(fleet.iter().filter(serves).count());
    }
    (min_serving, fleet)
}

fn run(mutation: Mutation, slots: usize) -> Result<(), String> {
    let config = Config {
        cases: 150,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let events = prop::collection::vec((0..10_usize, prop::bool::weighted(0.2)), 300);
    let result = TestRunner::new(config).run(&(2..10_usize, events), |(count, events)| {
        let (min_serving, fleet) = replace_version(mutation, engines(count, slots), &events);
        let changing = if slots == 1 { (count / 4).max(1) } else { 0 };
        prop_assert!(min_serving >= count - changing, "{min_serving} of {count} engines served");
        let done = fleet.iter().all(|engine| engine.loaded == [advisor(2)]);
        prop_assert!(done, "the change did not finish: {fleet:?}");
        Ok(())
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn plan_swaps_version_with_room_for_both() {
    // With room for both versions, no engine may be without one at any time, even if orders are
    // lost.
    assert_eq!(run(Mutation::None, 2), Ok(()));
}

#[test]
fn plan_swaps_version_without_room_for_both() {
    // With room for one version, at most a quarter of the engines (at least one) may change at
    // once.
    assert_eq!(run(Mutation::None, 1), Ok(()));
}

#[test]
fn plan_dropping_first_is_caught() {
    assert!(run(Mutation::DropFirst, 2).is_err());
    assert!(run(Mutation::DropFirst, 1).is_err());
}

#[test]
fn plan_keeps_a_lone_engine_serving() {
    let mut planner = Planner::new(LoadLimiter::new(1, Duration::ZERO));
    assert_eq!(planner.plan(&bundle(2), &engines(1, 1), Time::ZERO), []);
}

#[test]
fn plan_drops_a_retired_model() {
    let mut planner = Planner::new(LoadLimiter::new(1, Duration::ZERO));
    let retired = Bundle::parse(b"version: \"2\"\n").expect("a valid bundle");
    let drop = Order::Drop { endpoint: "adv-0".into(), version: advisor(1) };
    assert_eq!(planner.plan(&retired, &engines(1, 1), Time::ZERO), [drop]);
}

#[test]
fn plan_staggers_loads() {
    let mut planner = Planner::new(LoadLimiter::new(9, Duration::from_secs(10)));
    let fleet = engines(9, 2);
    let first = planner.plan(&bundle(2), &fleet, Time::ZERO).len();
    let soon = planner.plan(&bundle(2), &fleet, Time::from_millis(9_999)).len();
    let later = planner.plan(&bundle(2), &fleet, Time::from_millis(10_000)).len();
    assert_eq!((first, soon, later), (1, 0, 1));
}
