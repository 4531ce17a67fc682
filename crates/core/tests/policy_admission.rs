//! Tests of admission: fair queueing, starvation bounds, load shedding and the concurrency limit.

use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::admission::{
    Admission, AdmissionDecision, AdmissionRequest, AdmissionSettings, LimitSettings, ShedReason,
    Signal, Ticket,
};
use gypsumglade_core::policy::priority::Priority;
use gypsumglade_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|count| count.parse().ok());
    Config {
        cases: cases.unwrap_or(128),
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Allows one call at a time without a reserve, so that calls start in the order of the decisions.
fn settings() -> AdmissionSettings {
    let limit = LimitSettings { start: 1.0, min: 1.0, max: 1.0, ..LimitSettings::default() };
    let patience = Duration::from_secs(3_600);
    AdmissionSettings { limit, reserve: 0.0, max_wait: patience, ..AdmissionSettings::default() }
}

fn request(org: &str) -> AdmissionRequest {
    AdmissionRequest {
        org: org.into(),
        class: Class::Normal,
        under_way: true,
        priority: Priority(1),
        deadline: None,
        service_time: Duration::from_secs(1),
    }
}

fn admit(admission: &mut Admission, now: Time, request: AdmissionRequest) -> Ticket {
    match admission.admit(now, request) {
        AdmissionDecision::Now(ticket) | AdmissionDecision::Queued(ticket) => ticket,
        AdmissionDecision::Shed { reason, .. } => panic!("shed: {reason}"),
    }
}

/// Releases running calls one at a time and returns the waiting calls in the order of their start.
fn start_order(admission: &mut Admission, first: Ticket) -> Vec<Ticket> {
    let mut order = Vec::new();
    let mut running = first;
    let mut now = at(0);
    loop {
        now = now + Duration::from_secs(1);
        let started = admission.release(now, running);
        let Some(next) = started.first() else { return order };
        order.push(*next);
        running = *next;
    }
}

proptest! {
    #![proptest_config(config())]

    // One organisation sends many calls at once. A call of another one waits only for earlier calls
    // of its own organisation and for as many of each other organisation.
    #[test]
    fn admit_flood_is_fair(flood in 1..200_u32, others in 1..8_u32, each in 1..6_u32) {
        let mut admission = Admission::new(settings());
        let first = admit(&mut admission, at(0), request("flood"));
        for _ in 0..flood {
            admit(&mut admission, at(0), request("flood"));
        }
        let mut tickets = Vec::new();
        for org in 0..others {
            for _ in 0..each {
                let request = request(&format!("org{org}"));
                tickets.push(admit(&mut admission, at(0), request));
            }
        }
        let order = start_order(&mut admission, first);
        let last = order.iter().rposition(|ticket| tickets.contains(ticket)).expect("all started");
        prop_assert!(last <= (each * (others + 1)) as usize);
        prop_assert_eq!(order.len(), (flood + others * each) as usize);
    }

    // Urgent calls and programs under way keep arriving. A waiting call of a new program must still
    // start after a bounded number of other calls.
    #[test]
    fn release_starvation_bound(urgencies in proptest::collection::vec(proptest::bool::ANY, 700)) {
        let mut admission = Admission::new(settings());
        let mut running = admit(&mut admission, at(0), request("a"));
        let new =
            admit(&mut admission, at(0), AdmissionRequest { under_way: false, ..request("b") });
        let mut count = 0;
        for urgent in urgencies {
            let class = if urgent { Class::Urgent } else { Class::Normal };
            admit(&mut admission, at(1), AdmissionRequest { class, ..request("a") });
            admit(&mut admission, at(1), request("a"));
            let started = admission.release(at(2), running);
            running = started[0];
            count += 1;
            if running == new {
                break;
            }
            if admission.waiting() > 200 {
                // Keeps the calls within the queue limit of the organisation.
                let more = admission.release(at(2), running);
                running = more[0];
                count += 1;
                if running == new {
                    break;
                }
            }
        }
        let bounds = settings();
        prop_assert_eq!(running, new);
        prop_assert!(count <= (bounds.urgent_run + 1) * (bounds.under_way_run + 1));
    }

    // Each call is started, cancelled or expired exactly once, or shed, in any order of events.
    #[test]
    fn admit_every_ticket_settles(steps in proptest::collection::vec(0..6_u8, 1..200)) {
        let mut admission = Admission::new(AdmissionSettings { org_queue: 8, ..settings() });
        let mut now = at(0);
        let (mut running, mut waiting) = (Vec::new(), Vec::new());
        for (index, step) in steps.iter().enumerate() {
            now = now + Duration::from_millis(700);
            let mut started = Vec::new();
            match step {
                0..=2 => {
                    let deadline = Some(now + Duration::from_secs(u64::from(*step) * 5 + 2));
                    match admission
                        .admit(now, AdmissionRequest { deadline, ..request(["a", "b"][index % 2]) })
                    {
                        AdmissionDecision::Now(ticket) => running.push(ticket),
                        AdmissionDecision::Queued(ticket) => waiting.push(ticket),
                        AdmissionDecision::Shed { retry_after, .. } => prop_assert!(retry_after >= Duration::from_secs(1)),
                    }
                }
                3 => if let Some(ticket) = running.pop() { started = admission.release(now, ticket) },
                4 => if let Some(ticket) = waiting.pop() { started = admission.cancel(now, ticket) },
                _ => for expired in admission.expire(now) {
                    prop_assert!(waiting.contains(&expired.ticket));
                    waiting.retain(|ticket| *ticket != expired.ticket);
                },
            }
            for ticket in started {
                prop_assert!(waiting.contains(&ticket));
                waiting.retain(|other| *other != ticket);
                running.push(ticket);
            }
            prop_assert_eq!(admission.waiting() as usize, waiting.len());
            prop_assert_eq!(admission.running() as usize, running.len());
        }
    }
}

// Organisations share service time, not numbers of calls: with calls of both waiting all the time,
// their sums of seconds differ by at most one call.
#[test]
fn release_shares_by_seconds() {
    let mut admission = Admission::new(settings());
    let mut running = admit(&mut admission, at(0), request("c"));
    let long = Duration::from_secs(12);
    let mut seconds = std::collections::HashMap::new();
    for _ in 0..100 {
        let ticket = admit(
            &mut admission,
            at(0),
            AdmissionRequest { service_time: long, ..request("long") },
        );
        seconds.insert(ticket, (0, 12));
        for _ in 0..2 {
            let service = Duration::from_secs(4);
            let ticket = admit(
                &mut admission,
                at(0),
                AdmissionRequest { service_time: service, ..request("short") },
            );
            seconds.insert(ticket, (1, 4));
        }
    }
    let mut sums = [0_u32, 0];
    for _ in 0..120 {
        running = admission.release(at(1), running)[0];
        let (org, cost) = seconds[&running];
        sums[org] += cost;
    }
    assert!(sums[0].abs_diff(sums[1]) <= 12, "{sums:?}");
}

#[test]
fn admit_flood_unfair_mutation() {
    let mut unfair = settings();
    unfair.features.fair = false;
    let mut admission = Admission::new(unfair);
    let first = admit(&mut admission, at(0), request("flood"));
    for _ in 0..100 {
        admit(&mut admission, at(0), request("flood"));
    }
    let other = admit(&mut admission, at(0), request("other"));
    let order = start_order(&mut admission, first);
    assert_eq!(order.iter().position(|ticket| *ticket == other), Some(100));
}

#[test]
fn admit_urgent_first() {
    let mut admission = Admission::new(settings());
    let first = admit(&mut admission, at(0), request("a"));
    let new = admit(&mut admission, at(0), AdmissionRequest { under_way: false, ..request("a") });
    let under_way = admit(&mut admission, at(0), request("a"));
    let urgent =
        admit(&mut admission, at(0), AdmissionRequest { class: Class::Urgent, ..request("a") });
    assert_eq!(start_order(&mut admission, first), vec![urgent, under_way, new]);
}

// A call that can't finish before its deadline is refused at once with a retry delay, not only when
// its deadline has passed.
#[test]
fn admit_deadline_shed_at_once() {
    let mut admission = Admission::new(settings());
    admit(&mut admission, at(0), request("a"));
    admit(&mut admission, at(0), request("a"));
    let deadline = Some(at(2_500));
    let answer = admission.admit(at(0), AdmissionRequest { deadline, ..request("a") });
    let retry_after = Duration::from_secs(2);
    assert_eq!(answer, AdmissionDecision::Shed { retry_after, reason: ShedReason::Deadline });
}

#[test]
fn expire_before_deadline() {
    let mut admission = Admission::new(settings());
    admit(&mut admission, at(0), request("a"));
    let deadline = Some(at(5_000));
    let ticket = admit(&mut admission, at(0), AdmissionRequest { deadline, ..request("a") });
    assert_eq!(admission.next_expiry(), Some(at(4_000)));
    assert!(admission.expire(at(3_999)).is_empty());
    let expired: Vec<Ticket> =
        admission.expire(at(4_000)).iter().map(|expired| expired.ticket).collect();
    assert_eq!(expired, vec![ticket]);
}

#[test]
fn observe_limit_falls_and_recovers() {
    let limit = LimitSettings { start: 100.0, max: 200.0, ..LimitSettings::default() };
    let mut admission = Admission::new(AdmissionSettings { limit, ..settings() });
    for second in 0..30 {
        for _ in 0..20 {
            admission.observe(at(second * 1_000), Signal::Overloaded);
        }
    }
    let low = admission.limit();
    assert!(low < 90);
    for index in 0..400 {
        admit(&mut admission, at(40_000), request(&format!("org{index}")));
    }
    for _ in 0..2_000 {
        admission.observe(at(41_000), Signal::Waited(Duration::ZERO));
    }
    assert!(admission.limit() > low);
}

#[test]
fn release_starvation_mutation() {
    let unbounded = AdmissionSettings {
        urgent_run: u32::MAX,
        under_way_run: u32::MAX,
        org_queue: 2_000,
        ..settings()
    };
    let mut admission = Admission::new(unbounded);
    let mut running = admit(&mut admission, at(0), request("a"));
    let new = admit(&mut admission, at(0), AdmissionRequest { under_way: false, ..request("b") });
    for _ in 0..1_000 {
        admit(&mut admission, at(1), request("a"));
        running = admission.release(at(2), running)[0];
        assert_ne!(running, new);
    }
}

#[test]
fn admit_deadline_late_mutation() {
    let mut late = settings();
    late.features.early_shedding = false;
    let mut admission = Admission::new(late);
    admit(&mut admission, at(0), request("a"));
    admit(&mut admission, at(0), request("a"));
    let deadline = Some(at(2_500));
    let ticket = admit(&mut admission, at(0), AdmissionRequest { deadline, ..request("a") });
    assert!(admission.expire(at(2_400)).is_empty());
    assert_eq!(admission.expire(at(2_500)).first().map(|expired| expired.ticket), Some(ticket));
}

// The limit follows the capacity at once when all engines of a model return. If it grew step by
// step, calls would be shed while engines are idle.
#[test]
fn resize_follows_capacity() {
    let limit = LimitSettings { min: 2.0, ..LimitSettings::default() };
    let mut admission = Admission::new(AdmissionSettings { limit, ..settings() });
    admission.resize(40.0);
    assert_eq!(admission.limit(), 40);
    admission.resize(0.0);
    assert_eq!(admission.limit(), 2);
    admission.resize(40.0);
    assert_eq!(admission.limit(), 40);
}

// A caller that returns after the retry delay is admitted or queued if calls end at a steady rate;
// otherwise it would be refused again and again.
#[test]
fn admit_retry_after_is_sufficient() {
    for waiting in 1..30 {
        let mut admission = Admission::new(settings());
        let mut running = admit(&mut admission, at(0), request("a"));
        for _ in 0..waiting {
            admit(&mut admission, at(0), request("a"));
        }
        let in_time = |now: Time| AdmissionRequest {
            deadline: Some(now + Duration::from_millis(2_500)),
            ..request("a")
        };
        let AdmissionDecision::Shed { retry_after, .. } = admission.admit(at(0), in_time(at(0)))
        else {
            panic!("not shed behind {waiting} waiting calls");
        };
        let mut now = at(0);
        while now < at(0) + retry_after {
            now = now + Duration::from_secs(1);
            running = admission.release(now, running).first().copied().unwrap_or(running);
        }
        let answer = admission.admit(now, in_time(now));
        assert!(
            !matches!(answer, AdmissionDecision::Shed { .. }),
            "{waiting}: {answer:?} after {retry_after:?}"
        );
    }
}
