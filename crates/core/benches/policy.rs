//! Cost of one decision: routing by number of candidates, admission by number of organisations.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::admission::{
    Admission, AdmissionDecision, AdmissionRequest, AdmissionSettings,
};
use gypsumglade_core::policy::priority::Priority;
use gypsumglade_core::policy::registry::{
    Announcement, CacheEvents, DispatchLoad, EndpointKind, LoadReport, ModelId, Registry,
};
use gypsumglade_core::policy::route::{
    LastRun, Place, RouteRequest, RouteSettings, Router, Target,
};
use gypsumglade_core::prelude::*;

fn announcement(index: u32, sequence: u64) -> Announcement {
    Announcement {
        name: compact_str::format_compact!("engine-{index}"),
        incarnation: 1,
        sequence,
        kind: EndpointKind::Engine {
            models: vec![ModelId::new("advice", "1")],
            slots: 16,
            prefill_rate: 8_000.0,
            decode_rate: 32.0,
            cache_tokens: 400_000,
        },
        address: "10.20.30.40:8000".into(),
        domain: DomainId((index % 11) as u16),
        region: RegionId((index % 4) as u16),
        fencing: true,
        lease: Duration::from_secs(10),
        leaving: false,
        load: Some(LoadReport {
            running: index % 16,
            waiting: 0,
            cached_tokens: 200_000,
            age: Duration::ZERO,
        }),
        cache_events: CacheEvents::default(),
    }
}

fn ask() -> RouteRequest {
    RouteRequest {
        target: Target::Model(ModelId::new("advice", "1")),
        program: 7,
        prompt_tokens: 20_000,
        prior_tokens: 19_000,
        expected_output: 190,
        batch: None,
        prefill_seconds: None,
        bytes: None,
        last_runs: vec![LastRun { endpoint: "engine-3".into(), tokens: 19_000, at: Time::ZERO }],
        shared_prefixes: Vec::new(),
        class: Class::Normal,
        place: Place::default(),
        excluded: Vec::new(),
        isolate: false,
    }
}

fn route(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for count in [10, 100, 1_000, 5_900] {
        let mut registry = Registry::default();
        for index in 0..count {
            registry.announce(Time::ZERO, announcement(index, 1));
        }
        for index in 0..count {
            registry.announce(Time::from_millis(9_900), announcement(index, 2));
        }
        let now = Time::from_millis(10_100);
        let mut router = Router::new(RouteSettings::default(), 1);
        let ask = ask();
        group.bench_function(BenchmarkId::new("choose", count), |bench| {
            bench.iter(|| router.choose(now, black_box(&registry), black_box(&ask)));
        });
    }
    group.finish();
}

fn dispatch(criterion: &mut Criterion) {
    let mut registry = Registry::default();
    registry.announce(Time::ZERO, announcement(0, 1));
    let key = registry.candidates(&ModelId::new("advice", "1"))[0];
    let load = DispatchLoad { prefill_tokens: 1_000, isolated: false };
    criterion.bench_function("registry/dispatched_finished", |bench| {
        bench.iter(|| {
            let call = registry.dispatched(Time::ZERO, key, load);
            registry.finished(Time::ZERO, call);
        });
    });
}

fn offer(org: u32) -> AdmissionRequest {
    AdmissionRequest {
        org: compact_str::format_compact!("org{org}"),
        class: Class::Normal,
        under_way: true,
        priority: Priority(1),
        deadline: Some(Time::from_millis(3_600_000)),
        service_time: Duration::from_secs(5),
    }
}

fn admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for orgs in [10, 100, 1_000, 4_500] {
        let mut settings = AdmissionSettings { queue: 1_000_000, ..AdmissionSettings::default() };
        settings.limit.start = 100.0;
        settings.features.early_shedding = false;
        let mut admission = Admission::new(settings);
        let mut running = std::collections::VecDeque::new();
        for index in 0..orgs * 2 + 100 {
            if let AdmissionDecision::Now(ticket) = admission.admit(Time::ZERO, offer(index % orgs))
            {
                running.push_back(ticket);
            }
        }
        let mut index = 0;
        group.bench_function(BenchmarkId::new("offer_release", orgs), |bench| {
            bench.iter(|| {
                index += 1;
                black_box(admission.admit(Time::ZERO, offer(index % orgs)));
                let Some(ticket) = running.pop_front() else { return };
                running.extend(admission.release(Time::ZERO, ticket));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, route, dispatch, admit);
criterion_main!(benches);
