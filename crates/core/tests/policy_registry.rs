//! Tests of the endpoint registry: properties, and mutations that switch off a safeguard.

use gypsumglade_core::policy::registry::{
    Announced, Announcement, CacheEvent, CacheEvents, DispatchLoad, EndpointKind, Ignored,
    LoadReport, ModelId, Registry, RegistrySettings, SummaryNumber, home,
};
use gypsumglade_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|count| count.parse().ok());
    Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn engine(incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        name: "engine-a".into(),
        incarnation,
        sequence,
        kind: EndpointKind::Engine {
            models: vec![ModelId::new("advice", "1")],
            slots: 4,
            prefill_rate: 8_000.0,
            decode_rate: 32.0,
            cache_tokens: 100_000,
        },
        address: "10.0.0.1:80".into(),
        domain: DomainId(0),
        region: RegionId(0),
        fencing: true,
        lease: Duration::from_secs(3),
        leaving: false,
        load: None,
        cache_events: CacheEvents::default(),
    }
}

fn report(running: u32, age: u64) -> Option<LoadReport> {
    let age = Duration::from_millis(age);
    Some(LoadReport { running, waiting: 0, cached_tokens: 60_000, age })
}

fn new_key(result: Announced) -> gypsumglade_core::policy::registry::EndpointKey {
    match result {
        Announced::New(key) | Announced::Renewed(key) | Announced::Leaving(key) => key,
        Announced::Replaced { new, .. } => new,
        Announced::Ignored(reason) => panic!("ignored: {reason:?}"),
    }
}

fn without(switch: impl Fn(&mut RegistrySettings)) -> Registry {
    let mut settings = RegistrySettings::default();
    switch(&mut settings);
    Registry::new(settings)
}

#[derive(Clone, Debug)]
enum Step {
    Announce { incarnation: u64, sequence: u64, leaving: bool },
    Leave { incarnation: u64 },
    Wait(u64),
    Expire,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..4_u64, 1..8_u64, proptest::bool::weighted(0.2)).prop_map(
            |(incarnation, sequence, leaving)| Step::Announce { incarnation, sequence, leaving }
        ),
        1 => (1..4_u64).prop_map(|incarnation| Step::Leave { incarnation }),
        3 => (0..2_500_u64).prop_map(Step::Wait),
        1 => Just(Step::Expire),
    ]
}

/// Runs steps and returns an error if a closed endpoint is offered for new work.
///
/// The expected state is the newest incarnation, whether it announced that it leaves, and the lease
/// after its last announcement with a new sequence number.
fn check_steps(mut registry: Registry, steps: &[Step]) -> Result<(), String> {
    let model_id = ModelId::new("advice", "1");
    let mut now = at(1_000);
    let (mut newest, mut last_sequence, mut has_left, mut lease_end) = (0, 0, false, Time::ZERO);
    for step in steps {
        match step {
            Step::Wait(millis) => now = now + Duration::from_millis(*millis),
            Step::Expire => drop(registry.expire(now)),
            Step::Leave { incarnation } => {
                registry.leave(now, "engine-a", *incarnation);
                if *incarnation > newest {
                    (newest, last_sequence, lease_end) = (*incarnation, 0, Time::ZERO);
                }
                has_left |= newest == *incarnation;
            }
            Step::Announce { incarnation, sequence, leaving } => {
                let announcement =
                    Announcement { leaving: *leaving, ..engine(*incarnation, *sequence) };
                registry.announce(now, announcement);
                if *incarnation > newest {
                    (newest, last_sequence, has_left, lease_end) =
                        (*incarnation, 0, false, Time::ZERO);
                }
                if *incarnation == newest
                    && *sequence > last_sequence
                    && !(has_left && lease_end <= now)
                {
                    last_sequence = *sequence;
                    has_left |= *leaving;
                    lease_end = now + Duration::from_secs(3);
                }
            }
        }
        let open =
            registry.candidates(&model_id).iter().any(|key| registry.is_available(now, *key));
        if open && (has_left || lease_end <= now) {
            return Err(format!("available at {now} after {step:?}"));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    // Announcements, replays and old incarnations arrive in any order. None may open an endpoint
    // that leaves or whose lease has expired, because turns sent there would hang.
    #[test]
    fn announce_any_order(steps in proptest::collection::vec(step(), 1..40)) {
        prop_assert_eq!(check_steps(Registry::default(), &steps), Ok(()));
    }

    #[test]
    fn home_moves_only_from_lost(names in 1..60_u32, vms in 2..20_u32, lost in 0..20_u32) {
        let all: Vec<VmId> = (0..vms).map(VmId).collect();
        let lost = VmId(lost % vms);
        let rest: Vec<VmId> = all.iter().copied().filter(|vm| *vm != lost).collect();
        for name in (0..names).map(|name| format!("engine-{name}")) {
            let before = home(&name, &all);
            if before != Some(lost) {
                prop_assert_eq!(before, home(&name, &rest));
            }
        }
    }
}

#[test]
fn announce_lease_mutation() {
    let steps = [Step::Announce { incarnation: 1, sequence: 1, leaving: false }, Step::Wait(3_000)];
    assert_eq!(check_steps(Registry::default(), &steps), Ok(()));
    assert!(check_steps(without(|settings| settings.safeguards.lease = false), &steps).is_err());
}

#[test]
fn announce_sticky_mutation() {
    let steps = [
        Step::Announce { incarnation: 1, sequence: 1, leaving: true },
        Step::Announce { incarnation: 1, sequence: 2, leaving: false },
    ];
    assert_eq!(check_steps(Registry::default(), &steps), Ok(()));
    assert!(check_steps(without(|settings| settings.safeguards.sticky = false), &steps).is_err());
}

#[test]
fn announce_replay_mutation() {
    let steps = [
        Step::Announce { incarnation: 2, sequence: 1, leaving: false },
        Step::Wait(2_900),
        Step::Announce { incarnation: 1, sequence: 9, leaving: false },
        Step::Wait(200),
    ];
    assert_eq!(check_steps(Registry::default(), &steps), Ok(()));
    assert!(check_steps(without(|settings| settings.safeguards.replay = false), &steps).is_err());
}

#[test]
fn announce_address_mutation() {
    // A second process announces a live endpoint's name from another address. The name keeps its
    // address until its lease expires.
    let impostor = || Announcement { address: "10.9.9.9:80".into(), ..engine(5, 1) };
    let mut registry = Registry::default();
    registry.announce(at(0), engine(4, 1));
    assert_eq!(registry.announce(at(10), impostor()), Announced::Ignored(Ignored::AddressTaken));
    let mut open = without(|settings| settings.safeguards.address = false);
    open.announce(at(0), engine(4, 1));
    assert!(matches!(open.announce(at(10), impostor()), Announced::Replaced { .. }));
}

#[test]
fn leave_before_announcement() {
    let mut registry = Registry::default();
    registry.leave(at(0), "engine-a", 4);
    let result = registry.announce(at(10), engine(4, 1));
    assert_eq!(result, Announced::Ignored(Ignored::Left));
}

#[test]
fn announce_restart_replaces() {
    let mut registry = Registry::default();
    let old = new_key(registry.announce(at(0), engine(1, 7)));
    let call = registry.dispatched(at(1), old, DispatchLoad::default());
    let new = new_key(registry.announce(at(2), engine(2, 1)));
    registry.finished(at(3), call);
    assert!(!registry.is_available(at(3), old));
    assert_eq!(registry.get(new).map(|endpoint| endpoint.load(at(3)).own), Some(0));
}

// Calls sent after a load report was written are added to the reported load. Otherwise all calls of
// a burst would go to the same idle engine. Calls sent before the report must not count twice.
#[test]
fn load_report_corrected() {
    let mut registry = Registry::default();
    let key = new_key(registry.announce(at(0), engine(1, 1)));
    registry.dispatched(at(100), key, DispatchLoad::default());
    registry.dispatched(at(600), key, DispatchLoad::default());
    registry.announce(at(1_000), Announcement { load: report(3, 500), ..engine(1, 2) });
    let load = registry.get(key).map(|endpoint| endpoint.load(at(1_000)));
    assert_eq!(load.map(|load| (load.total, load.own)), Some((4, 2)));
}

// The capacity estimate in docs/design/registry.md uses this size.
#[test]
fn endpoint_state_size() {
    let size = std::mem::size_of::<gypsumglade_core::policy::registry::Endpoint>();
    assert!(size <= 320, "{size} bytes");
}

#[test]
fn finished_twice_counts_once() {
    let mut registry = Registry::default();
    let key = new_key(registry.announce(at(0), engine(1, 1)));
    let call = registry.dispatched(at(1), key, DispatchLoad::default());
    registry.dispatched(at(1), key, DispatchLoad::default());
    registry.finished(at(2), call);
    registry.finished(at(3), call);
    assert_eq!(registry.get(key).map(|endpoint| endpoint.load(at(3)).own), Some(1));
}

#[test]
fn cache_events_gap_drops_hints() {
    let mut registry = Registry::default();
    let filled = |program, first| CacheEvents {
        first,
        events: vec![CacheEvent::Filled { program, tokens: 50 }],
        age: Duration::from_secs(1),
    };
    let announcement = Announcement { cache_events: filled(7, 0), ..engine(1, 1) };
    let key = new_key(registry.announce(at(2_000), announcement));
    let hint = registry.get(key).and_then(|endpoint| endpoint.hint(7));
    assert_eq!(hint.map(|hint| (hint.tokens, hint.at)), Some((50, at(1_000))));
    let after_gap = Announcement { cache_events: filled(8, 5), ..engine(1, 2) };
    registry.announce(at(2_500), after_gap);
    assert_eq!(registry.get(key).and_then(|endpoint| endpoint.hint(7)), None);
}

#[test]
fn failed_ejects_then_returns_slowly() {
    let mut registry = Registry::default();
    let settings = registry.settings().health.clone();
    let key = new_key(registry.announce(at(0), engine(1, 1)));
    for _ in 0..settings.max_failures {
        let call = registry.dispatched(at(1), key, DispatchLoad::default());
        registry.failed(at(2), call);
    }
    let health =
        registry.get(key).map(|endpoint| endpoint.health.clone()).expect("the endpoint is known");
    let back = at(2) + settings.base_ejection;
    assert!(health.is_ejected(at(3)));
    assert!(!health.is_ejected(back));
    assert_eq!(health.slot_share(back, &settings), settings.min_share);
    assert_eq!(health.slot_share(back + settings.ramp_time, &settings), 1.0);
}

fn named(name: &str, sequence: u64) -> Announcement {
    Announcement { name: name.into(), load: report(12, 0), ..engine(1, sequence) }
}

/// Returns the registries of the home VM of the named endpoints, which is VM 1, and of another VM.
fn home_and_other(names: &[&str]) -> (Registry, Registry) {
    let (mut local, mut remote) = (Registry::default(), Registry::default());
    for name in names {
        local.announce(at(0), named(name, 1));
        remote.announce(at(0), named(name, 1));
    }
    local.assign_homes(&[VmId(1)]);
    remote.assign_homes(&[VmId(1)]);
    (local, remote)
}

fn number(sequence: u32) -> SummaryNumber {
    SummaryNumber { incarnation: 3, sequence }
}

// A delayed summary that arrives after a later one is ignored. Otherwise it would extend the lease
// of an endpoint that may be gone.
#[test]
fn apply_summary_replay_ignored() {
    let (mut local, mut remote) = home_and_other(&["engine-a"]);
    let early = local.summarise(at(0), VmId(1), number(1));
    local.leave(at(100), "engine-a", 1);
    let late = local.summarise(at(100), VmId(1), number(2));
    assert_eq!(remote.apply_summary(at(200), &late), Ok(()));
    assert_eq!(remote.apply_summary(at(2_900), &early), Ok(()));
    let key = remote.key("engine-a").expect("the endpoint is known");
    assert_eq!(remote.get(key).map(|endpoint| endpoint.lease_end), Some(at(3_000)));
}

// An endpoint announces itself to its home VM only. Summaries renew its lease and update its load
// on the other VMs.
#[test]
fn apply_summary_renews_and_reports() {
    let (mut local, mut remote) = home_and_other(&["engine-a", "engine-b"]);
    let busy = Announcement { load: report(30, 0), ..named("engine-a", 2) };
    local.announce(at(2_000), busy);
    local.leave(at(2_000), "engine-b", 1);
    let summary = local.summarise(at(2_000), VmId(1), number(1));
    assert_eq!(remote.apply_summary(at(2_100), &summary), Ok(()));
    let (a, b) = (
        remote.key("engine-a").expect("the endpoint is known"),
        remote.key("engine-b").expect("the endpoint is known"),
    );
    assert_eq!(
        (remote.is_available(at(4_900), a), remote.is_available(at(2_100), b)),
        (true, false)
    );
    assert_eq!(remote.get(a).map(|endpoint| endpoint.load(at(2_100)).total), Some(30));
}

// A lease that is about to expire must not be rounded down to zero, which means that the endpoint
// leaves. The other VMs would stop using it.
#[test]
fn summarise_short_lease_is_not_leaving() {
    let (local, mut remote) = home_and_other(&["engine-a"]);
    let summary = local.summarise(at(2_990), VmId(1), number(1));
    assert_eq!(remote.apply_summary(at(2_995), &summary), Ok(()));
    let key = remote.key("engine-a").expect("the endpoint is known");
    assert!(remote.is_available(at(2_999), key));
}

#[test]
fn apply_summary_other_roster_refused() {
    let (mut local, mut remote) = home_and_other(&["engine-a", "engine-b"]);
    local.announce(at(100), Announcement { incarnation: 2, ..named("engine-a", 1) });
    local.assign_homes(&[VmId(1)]);
    let summary = local.summarise(at(100), VmId(1), number(1));
    let refused = remote.apply_summary(at(200), &summary);
    assert_eq!(refused.map_err(|error| error.home), Err(VmId(1)));
}

// The limit of 10 KB/s per VM at 390 VMs and 5,900 endpoints in docs/design/registry.md depends on
// this size.
#[test]
fn summarise_size_at_target() {
    let names: Vec<String> = (0..16).map(|index| format!("engine-{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let (local, _) = home_and_other(&names);
    let size = prost::Message::encoded_len(&local.summarise(at(0), VmId(1), number(100_000)));
    assert_eq!(size, 68);
}
