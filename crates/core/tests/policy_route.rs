//! Tests of routing: the effect of each cost term, and endpoints that must not be chosen.

use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::batch::BatchCost;
use gypsumglade_core::policy::registry::{
    Announced, Announcement, CacheEvents, DispatchLoad, EndpointKey, EndpointKind, LoadReport,
    ModelId, Registry, RegistrySettings,
};
use gypsumglade_core::policy::route::{
    Choice, LastRun, Place, Prefix, RouteError, RouteRequest, RouteSettings, Router, SharedPrefix,
    Target,
};
use gypsumglade_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Time at which endpoints that were announced at zero have completed their slow start.
const NOW: Time = Time::from_millis(11_000);

fn config() -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|count| count.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    }
}

fn engine(index: u32, domain: u16, sequence: u64) -> Announcement {
    Announcement {
        name: compact_str::format_compact!("engine-{index}"),
        incarnation: 1,
        sequence,
        kind: EndpointKind::Engine {
            models: vec![ModelId::new("advice", "1")],
            slots: 4,
            prefill_rate: 8_000.0,
            decode_rate: 32.0,
            cache_tokens: 200_000,
        },
        address: "10.0.0.1:80".into(),
        domain: DomainId(domain),
        region: RegionId(domain / 2),
        fencing: true,
        lease: Duration::from_secs(10),
        leaving: false,
        load: Some(LoadReport::default()),
        cache_events: CacheEvents::default(),
    }
}

fn key(result: Announced) -> EndpointKey {
    match result {
        Announced::New(key) | Announced::Renewed(key) => key,
        other => panic!("{other:?}"),
    }
}

/// Registers engines, the first two in one region and the third in the other.
fn fleet(count: u32) -> (Registry, Vec<EndpointKey>) {
    let mut registry = Registry::default();
    for index in 0..count {
        registry.announce(Time::ZERO, engine(index, index as u16 % 3, 1));
    }
    let renew = |index| {
        key(registry.announce(Time::from_millis(10_900), engine(index, index as u16 % 3, 2)))
    };
    let keys = (0..count).map(renew).collect();
    (registry, keys)
}

fn request() -> RouteRequest {
    RouteRequest {
        target: Target::Model(ModelId::new("advice", "1")),
        program: 9,
        prompt_tokens: 20_500,
        prior_tokens: 20_000,
        expected_output: 100,
        batch: None,
        prefill_seconds: None,
        bytes: None,
        last_runs: Vec::new(),
        shared_prefixes: Vec::new(),
        class: Class::Normal,
        place: Place::default(),
        excluded: Vec::new(),
        isolate: false,
    }
}

fn last_run_on(index: u32) -> Vec<LastRun> {
    let endpoint = compact_str::format_compact!("engine-{index}");
    vec![LastRun { endpoint, tokens: 20_000, at: Time::from_millis(10_000) }]
}

fn router() -> Router {
    Router::new(RouteSettings::default(), 1)
}

fn fill(registry: &mut Registry, key: EndpointKey, calls: u32) {
    for _ in 0..calls {
        registry.dispatched(NOW, key, DispatchLoad::default());
    }
}

#[test]
fn choose_own_engine_while_cheaper() {
    let (mut registry, keys) = fleet(2);
    let request = RouteRequest { last_runs: last_run_on(1), ..request() };
    fill(&mut registry, keys[1], 4);
    let choice = router().choose(NOW, &registry, &request).expect("an engine is available");
    assert_eq!((choice.endpoint, choice.prefix), (keys[1], Prefix::Resident(20_000)));
}

#[test]
fn choose_other_engine_under_load() {
    let (mut registry, keys) = fleet(2);
    let request = RouteRequest { last_runs: last_run_on(1), ..request() };
    fill(&mut registry, keys[1], 60);
    let choice = router().choose(NOW, &registry, &request).expect("an engine is available");
    assert_eq!((choice.endpoint, choice.prefix), (keys[0], Prefix::Absent));
}

#[test]
fn choose_avoids_paid_link() {
    let (mut registry, keys) = fleet(3);
    fill(&mut registry, keys[0], 4);
    fill(&mut registry, keys[1], 4);
    let choice = router().choose(NOW, &registry, &request()).expect("an engine is available");
    assert_ne!(choice.endpoint, keys[2]);
}

/// Routes a call away from a full engine, with `rate` bytes per second between engines of the
/// region.
fn choose_past_full_engine(rate: f64) -> Choice {
    let (mut registry, keys) = fleet(3);
    fill(&mut registry, keys[0], 100);
    let mut settings = RouteSettings { import: true, ..RouteSettings::default() };
    settings.links.region.rate = rate;
    let request = RouteRequest { last_runs: last_run_on(0), ..request() };
    Router::new(settings, 1).choose(NOW, &registry, &request).expect("an engine is available")
}

#[test]
fn choose_imports_over_fast_link() {
    let choice = choose_past_full_engine(12.5e9);
    assert!(matches!(choice.prefix, Prefix::Import { tokens: 20_000, .. }));
    assert_eq!(choice.prefill_tokens, 500);
}

#[test]
fn choose_refills_where_import_is_slower() {
    let choice = choose_past_full_engine(1.25e9);
    assert_eq!((choice.prefix, choice.prefill_tokens), (Prefix::Absent, 20_500));
}

// The load reports of an engine stop while it looks idle. The old report must not make it preferred
// over engines with current reports, or all VMs would send their calls there.
#[test]
fn choose_frozen_report_is_no_advantage() {
    let (mut registry, keys) = fleet(2);
    for sequence in 3..20 {
        let now = Time::from_millis(11_000 + sequence * 500);
        let age = Duration::from_millis(sequence * 500 + 100);
        let frozen = LoadReport { age, ..LoadReport::default() };
        let fresh = LoadReport { running: 4, waiting: 2, ..LoadReport::default() };
        registry.announce(now, Announcement { load: Some(frozen), ..engine(0, 0, sequence) });
        registry.announce(now, Announcement { load: Some(fresh), ..engine(1, 1, sequence) });
    }
    let now = Time::from_millis(20_600);
    registry.dispatched(now, keys[0], DispatchLoad::default());
    let choice = router().choose(now, &registry, &request()).expect("an engine is available");
    assert_eq!(choice.endpoint, keys[1]);
}

#[test]
fn choose_isolated_call_runs_alone() {
    let (mut registry, keys) = fleet(2);
    fill(&mut registry, keys[0], 1);
    let request = RouteRequest { isolate: true, ..request() };
    let choice = router().choose(NOW, &registry, &request).expect("an engine is idle");
    assert_eq!(choice.endpoint, keys[1]);
    registry.dispatched(NOW, keys[1], DispatchLoad { prefill_tokens: 0, isolated: true });
    let normal = RouteRequest { isolate: false, last_runs: last_run_on(1), ..request.clone() };
    let other = router().choose(NOW, &registry, &normal).expect("the other engine is available");
    assert_eq!(other.endpoint, keys[0]);
    let none = router().choose(NOW, &registry, &request);
    assert!(matches!(none, Err(RouteError::NoneAvailable { .. })));
}

#[test]
fn choose_without_engines() {
    let refused = router().choose(NOW, &Registry::default(), &request());
    assert!(matches!(refused, Err(RouteError::NoEndpoint { .. })));
}

proptest! {
    #![proptest_config(config())]

    // An endpoint that leaves, is excluded or is ejected is never chosen. A usable endpoint is
    // found even if it isn't in the sample.
    #[test]
    fn choose_only_usable(
        states in proptest::collection::vec(0..4_u8, 1..60),
        sample in 1..8_usize,
        seed in 0..1_000_u64,
    ) {
        let (mut registry, keys) = fleet(states.len() as u32);
        let mut request = request();
        for (index, state) in states.iter().enumerate() {
            let name = compact_str::format_compact!("engine-{index}");
            match state {
                0 => {}
                1 => drop(registry.leave(NOW, &name, 1)),
                2 => request.excluded.push(name),
                _ => for _ in 0..3 {
                    let call = registry.dispatched(NOW, keys[index], DispatchLoad::default());
                    registry.failed(NOW, call);
                },
            }
        }
        let mut router = Router::new(RouteSettings { sample_size: sample, ..RouteSettings::default() }, seed);
        let chosen = router.choose(NOW, &registry, &request).ok().map(|choice| choice.endpoint);
        let usable = |key: &EndpointKey| states[keys.iter().position(|k| k == key).unwrap()] == 0;
        prop_assert_eq!(chosen.is_some(), states.contains(&0));
        prop_assert!(chosen.iter().all(usable));
    }

    #[test]
    fn choose_same_seed_same_choice(seed in 0..1_000_u64) {
        let (registry, _) = fleet(40);
        let settings = RouteSettings { sample_size: 4, ..RouteSettings::default() };
        let mut a = Router::new(settings.clone(), seed);
        let mut b = Router::new(settings, seed);
        for _ in 0..5 {
            prop_assert_eq!(
                a.choose(NOW, &registry, &request()),
                b.choose(NOW, &registry, &request())
            );
        }
    }
}

/// Routes 20 calls with one busy engine and one that has just returned, and returns the number of
/// calls that the latter gets.
fn sent_to_recovered(settings: RegistrySettings) -> u32 {
    let mut registry = Registry::new(settings);
    registry.announce(Time::ZERO, engine(0, 0, 1));
    let busy = LoadReport { running: 40, ..LoadReport::default() };
    registry.announce(NOW, Announcement { load: Some(busy), ..engine(0, 0, 2) });
    let back = key(registry.announce(NOW, engine(1, 1, 1)));
    let mut router = router();
    for _ in 0..20 {
        let choice = router.choose(NOW, &registry, &request()).expect("an engine is available");
        registry.dispatched(NOW, choice.endpoint, DispatchLoad::default());
    }
    registry.get(back).map_or(0, |endpoint| endpoint.load(NOW).own)
}

// A domain that returns with empty queues is the cheapest for every VM. Without a slow start, all
// of them would send their calls there at once and overload it.
#[test]
fn choose_slow_start_limits_calls() {
    assert_eq!(sent_to_recovered(RegistrySettings::default()), 1);
}

#[test]
fn choose_slow_start_mutation() {
    let mut settings = RegistrySettings::default();
    settings.health.min_share = 1.0;
    assert_eq!(sent_to_recovered(settings), 20);
}

/// Returns two engines with 64 slots: the first runs `others` requests and has the shared prefix
/// cached, the second runs two.
fn loaded_engines(others: u32, age: Duration) -> (Registry, Vec<EndpointKey>) {
    let mut registry = Registry::default();
    let loads = [others, 2];
    for index in 0..loads.len() {
        let mut announcement = engine(index as u32, 0, 1);
        registry.announce(Time::ZERO, announcement.clone());
        announcement.sequence = 2;
        announcement.kind = EndpointKind::Engine {
            models: vec![ModelId::new("advice", "1")],
            slots: 64,
            prefill_rate: 146_000.0,
            decode_rate: 1_000.0,
            cache_tokens: 800_000,
        };
        announcement.load = None;
        registry.announce(Time::from_millis(9_000), announcement);
    }
    let names = ["engine-0", "engine-1"];
    let keys: Vec<_> = names.iter().filter_map(|name| registry.key(name)).collect();
    for (key, running) in keys.iter().zip(loads) {
        registry.load_reported(NOW, *key, LoadReport { running, age, ..LoadReport::default() });
    }
    registry.expect_prefix(NOW, keys[0], 7, 12_600);
    (registry, keys)
}

fn batched_request() -> RouteRequest {
    RouteRequest {
        prompt_tokens: 14_280,
        prior_tokens: 0,
        expected_output: 255,
        batch: Some(BatchCost { base: 0.000_87, slope: 0.000_04 }),
        shared_prefixes: vec![SharedPrefix { hash: 7, tokens: 12_600 }],
        ..request()
    }
}

/// Each concurrent request slows an engine down, long before its slots are full. A new program goes
/// to a less loaded engine even if another one has its prefix cached.
#[test]
fn choose_avoids_loaded_engine() {
    let (registry, keys) = loaded_engines(20, Duration::ZERO);
    let choice =
        router().choose(NOW, &registry, &batched_request()).expect("an engine is available");
    assert_eq!(choice.endpoint, keys[1]);
    let without_batch = RouteRequest { batch: None, ..batched_request() };
    let choice = router().choose(NOW, &registry, &without_batch).expect("an engine is available");
    assert_eq!(choice.endpoint, keys[0]);
}

#[test]
fn choose_keeps_prefix_under_low_load() {
    let (registry, keys) = loaded_engines(5, Duration::ZERO);
    let choice =
        router().choose(NOW, &registry, &batched_request()).expect("an engine is available");
    assert_eq!(choice.endpoint, keys[0]);
}

/// Load reports lose weight with age, relative to the usual service time, since they don't show the
/// calls that other VMs have sent since. The cached prefix decides here.
#[test]
fn choose_ignores_old_reports() {
    let (registry, keys) = loaded_engines(20, Duration::from_secs(4));
    let settings = RouteSettings { service_time: 0.3, ..RouteSettings::default() };
    let choice = Router::new(settings, 1).choose(NOW, &registry, &batched_request());
    assert_eq!(choice.expect("an engine is available").endpoint, keys[0]);
}

/// Only a small sample of engines is compared. The engine that has the prefix cached must be
/// considered even if it isn't in the sample, or each turn would prefill the whole history again.
#[test]
fn choose_finds_holder_outside_sample() {
    let (mut registry, keys) = fleet(96);
    registry.expect_prefix(NOW, keys[93], 7, 20_000);
    let shared = vec![SharedPrefix { hash: 7, tokens: 20_000 }];
    let request = RouteRequest { prior_tokens: 0, shared_prefixes: shared, ..request() };
    let settings = RouteSettings { sample_size: 2, ..RouteSettings::default() };
    for seed in 0..20 {
        let choice = Router::new(settings.clone(), seed).choose(NOW, &registry, &request);
        assert_eq!(choice.expect("an engine is available").endpoint, keys[93]);
    }
}

/// An engine that has left must not be chosen because of a prefix that it had cached.
#[test]
fn choose_skips_holder_that_left() {
    let (mut registry, keys) = fleet(96);
    registry.expect_prefix(NOW, keys[93], 7, 20_000);
    registry.leave(NOW, "engine-93", 1);
    let shared = vec![SharedPrefix { hash: 7, tokens: 20_000 }];
    let request = RouteRequest { prior_tokens: 0, shared_prefixes: shared, ..request() };
    let choice = router().choose(NOW, &registry, &request).expect("an engine is available");
    assert_ne!(choice.endpoint, keys[93]);
}
