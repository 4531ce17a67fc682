//! Assignment of turns to engines, compared with entry VMs that choose engines by themselves.

use std::collections::BTreeMap;

use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::batch::BatchCost;
use gypsumglade_core::policy::registry::{
    Announcement, CacheEvents, DispatchLoad, EndpointKind, LoadReport, ModelId, Registry,
    RegistrySettings,
};
use gypsumglade_core::policy::route::{
    Place, RouteRequest, RouteSettings, Router, SharedPrefix, Target,
};
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::{AssignRequest, Assignments, LoadCost, Offer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 59;
const SLOTS: u32 = 6;
const ENTRIES: usize = 171;
/// Duration of a turn at an engine, in milliseconds.
const TURN_MS: u64 = 400;
/// Mean share of the slots that are in use.
const LOAD: f64 = 0.85;
const PROMPT: SharedPrefix = SharedPrefix { hash: 7, tokens: 12_000 };
const COST: LoadCost = LoadCost { token: 7e-6, call: 0.02, wait: 0.07 };
const LASTS: Duration = Duration::from_secs(3);

fn name(engine: usize) -> EndpointName {
    compact_str::format_compact!("engine-{engine}")
}

fn offers() -> Vec<Offer> {
    let offer = |engine| Offer { endpoint: name(engine), slots: SLOTS, base: 0.2, cached: 0 };
    (0..ENGINES).map(offer).collect()
}

fn request(turn: usize) -> AssignRequest {
    AssignRequest {
        turn: compact_str::format_compact!("turn-{turn}"),
        offers: offers(),
        cost: COST,
        lasts: LASTS,
        ..AssignRequest::default()
    }
}

/// Chooses the engines of turns.
enum Placement {
    /// The turn group's leader assigns them.
    Leader(Box<Assignments>),
    /// Each entry VM chooses, from the loads that came with its own answers.
    Entries(Vec<(Registry, Router)>),
}

fn entry(seed: u64) -> (Registry, Router) {
    let max_lease = Duration::from_secs(60);
    let mut registry = Registry::new(RegistrySettings { max_lease, ..RegistrySettings::default() });
    for engine in 0..ENGINES {
        registry.announce(
            Time::ZERO,
            Announcement {
                name: name(engine),
                incarnation: 1,
                sequence: 1,
                kind: EndpointKind::Engine {
                    models: vec![ModelId::new("advice", "1")],
                    slots: SLOTS,
                    prefill_rate: f64::INFINITY,
                    decode_rate: f64::INFINITY,
                    cache_tokens: 200_000,
                },
                address: "10.0.0.1:80".into(),
                domain: DomainId(0),
                region: RegionId(0),
                fencing: false,
                lease: Duration::from_secs(60),
                leaving: false,
                load: None,
                cache_events: CacheEvents::default(),
            },
        );
    }
    (registry, Router::new(RouteSettings::default(), seed))
}

fn route_request(turn: u64) -> RouteRequest {
    RouteRequest {
        target: Target::Model(ModelId::new("advice", "1")),
        program: turn,
        prompt_tokens: 1_000,
        prior_tokens: 0,
        expected_output: 100,
        bytes: None,
        batch: Some(BatchCost { base: 0.002, slope: 0.0002 }),
        prefill_seconds: Some(COST.token),
        last_runs: Vec::new(),
        shared_prefixes: Vec::new(),
        class: Class::Normal,
        place: Place::default(),
        excluded: Vec::new(),
        isolate: false,
    }
}

/// Replays ten seconds of turns that arrive at random entry VMs at a constant rate. Returns the share
/// of them whose engine had no free slot.
fn share_without_slot(mut placement: Placement) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let rate = LOAD * (ENGINES as f64) * f64::from(SLOTS) / TURN_MS as f64;
    let mut running = vec![0u32; ENGINES];
    let mut ends: BTreeMap<(u64, usize), (usize, usize, Option<_>)> = BTreeMap::new();
    let (mut turns, mut without_slot, mut due) = (0, 0, 0.0);
    for ms in 11_000..21_000u64 {
        let now = Time::from_millis(ms);
        while let Some(end) = ends.first_entry().filter(|end| end.key().0 <= ms) {
            let ((_, turn), (engine, from, dispatch)) = end.remove_entry();
            running[engine] -= 1;
            match &mut placement {
                Placement::Leader(assignments) => assignments.release(&request(turn).turn),
                Placement::Entries(entries) => {
                    let registry = &mut entries[from].0;
                    registry.finished(now, dispatch.expect("dispatched"));
                }
            }
        }
        due += rate;
        while due >= 1.0 {
            due -= 1.0;
            let from = rng.random_range(0..ENTRIES);
            let (engine, dispatch) = match &mut placement {
                Placement::Leader(assignments) => {
                    let assigned = assignments.assign(now, &request(turns)).expect("assigned");
                    let engine = (0..ENGINES).find(|engine| name(*engine) == assigned.endpoint);
                    (engine.expect("an engine"), None)
                }
                Placement::Entries(entries) => {
                    let (registry, router) = &mut entries[from];
                    let choice = router.choose(now, registry, &route_request(turns as u64));
                    let key = choice.expect("an engine").endpoint;
                    let chosen = registry.get(key).expect("known").name.clone();
                    let engine = (0..ENGINES).find(|engine| name(*engine) == chosen);
                    let engine = engine.expect("an engine");
                    let dispatch = registry.dispatched(now, key, DispatchLoad::default());
                    let load = LoadReport { running: running[engine] + 1, ..LoadReport::default() };
                    registry.load_reported(now, key, load);
                    (engine, Some(dispatch))
                }
            };
            without_slot += usize::from(running[engine] >= SLOTS);
            running[engine] += 1;
            ends.insert((ms + TURN_MS, turns), (engine, from, dispatch));
            turns += 1;
        }
    }
    without_slot as f64 / turns as f64
}

/// Guards against turns that queue at some engines while others have free slots, at many entry VMs
/// that each send few calls.
#[test]
fn assign_high_load_many_entries() {
    let share = share_without_slot(Placement::Leader(Box::default()));
    assert!(share < 0.01, "{share:.3} of the turns found no slot");
}

/// The load that the assignment is for: without it, the same turns wait.
#[test]
fn choose_high_load_many_entries() {
    let entries = (0..ENTRIES as u64).map(entry).collect();
    let share = share_without_slot(Placement::Entries(entries));
    assert!(share > 0.1, "only {share:.3} of the turns found no slot");
}

/// Guards against prompts that are prefilled again at one engine after another.
#[test]
fn assign_engine_with_prompt() {
    let mut assignments = Assignments::default();
    let now = Time::from_millis(1_000);
    let with_prompt = |turn| AssignRequest { prefixes: vec![PROMPT], ..request(turn) };
    let first = assignments.assign(now, &with_prompt(0)).expect("assigned");
    assert_eq!(first.cached, 0);
    let second = assignments.assign(now, &with_prompt(1)).expect("assigned");
    assert_eq!((second.endpoint, second.cached), (first.endpoint, PROMPT.tokens));
}

/// Guards against an engine with a popular prompt that gets more calls than it can run.
#[test]
fn assign_popular_prompt() {
    let mut assignments = Assignments::default();
    let now = Time::from_millis(1_000);
    for turn in 0..ENGINES * SLOTS as usize {
        let request = AssignRequest { prefixes: vec![PROMPT], ..request(turn) };
        assignments.assign(now, &request).expect("assigned");
    }
    let most = (0..ENGINES).map(|engine| assignments.calls(&name(engine))).max();
    assert!(most <= Some(SLOTS + 2), "{most:?} calls at one engine");
}

/// Guards against a prompt that is believed cached long after its engine evicted it.
#[test]
fn assign_prompt_long_ago() {
    let mut assignments = Assignments::default();
    let request = |turn| AssignRequest { prefixes: vec![PROMPT], ..request(turn) };
    assignments.assign(Time::from_millis(1_000), &request(0)).expect("assigned");
    let later = assignments.assign(Time::from_millis(60_000), &request(1)).expect("assigned");
    assert_eq!(later.cached, 0);
}

/// Guards against a conversation that is read again elsewhere because its engine was not offered.
#[test]
fn assign_last_engine_not_offered() {
    let mut assignments = Assignments::default();
    let last = EndpointName::from("engine-elsewhere");
    let last_run = Some((last.clone(), 11_000));
    let request = AssignRequest { prefixes: vec![PROMPT], last_run, ..request(0) };
    let assigned = assignments.assign(Time::from_millis(1_000), &request).expect("assigned");
    assert_eq!((assigned.endpoint, assigned.cached), (last, 11_000));
}

/// Guards against a turn that counts twice because its reservation was repeated.
#[test]
fn assign_repeated_turn() {
    let mut assignments = Assignments::default();
    let now = Time::from_millis(1_000);
    let first = assignments.assign(now, &request(0)).expect("assigned");
    assert_eq!(assignments.assign(now, &request(0)), Some(first.clone()));
    assert_eq!(assignments.calls(&first.endpoint), 1);
    assignments.release(&request(0).turn);
    assignments.release(&request(0).turn);
    assert_eq!(assignments.calls(&first.endpoint), 0);
}

/// Guards against engines that seem loaded for ever after the entry VMs of their turns have died.
#[test]
fn assign_after_lost_turns() {
    let mut assignments = Assignments::default();
    for turn in 0..100 {
        assignments.assign(Time::from_millis(1_000), &request(turn)).expect("assigned");
    }
    assignments.assign(Time::from_millis(1_000) + LASTS * 2, &request(100)).expect("assigned");
    let calls: u32 = (0..ENGINES).map(|engine| assignments.calls(&name(engine))).sum();
    assert_eq!(calls, 1);
}

#[test]
fn assign_no_offers() {
    let none = AssignRequest { offers: Vec::new(), ..request(0) };
    assert_eq!(Assignments::default().assign(Time::ZERO, &none), None);
}
