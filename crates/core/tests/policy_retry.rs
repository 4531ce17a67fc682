//! Tests of retry budgets, jitter and hedges, and of the retention of prompt caches during pauses.

use gypsumglade_core::policy::retention::{CacheUse, Retention, RetentionPolicy, RetentionRequest};
use gypsumglade_core::policy::retry::{
    Failure, RetryDecision, RetryPolicy, RetryRequest, RetrySettings, StopReason,
};
use gypsumglade_core::prelude::*;

fn request(org: &str) -> RetryRequest {
    RetryRequest {
        org: org.into(),
        attempts: 1,
        repeatable: true,
        failure: Failure::NotRun,
        deadline: None,
        retry_after: None,
    }
}

fn without(switch: impl Fn(&mut RetrySettings)) -> RetryPolicy {
    let mut settings = RetrySettings::default();
    switch(&mut settings);
    RetryPolicy::new(settings, 3)
}

/// Returns the number of retries that failing calls cause.
fn retry_storm(retries: &mut RetryPolicy, calls: u32) -> u32 {
    let org = OrgName::const_new("a");
    let mut sent = 0;
    for _ in 0..calls {
        retries.record_call(&org);
        if matches!(retries.decide(Time::ZERO, &request("a")), RetryDecision::At(_)) {
            sent += 1;
        }
    }
    sent
}

// After the loss of a failure domain every call fails, and retries could overload the other
// domains. The budget limits them to a tenth of the calls plus one burst.
#[test]
fn decide_storm_stays_in_budget() {
    let sent = retry_storm(&mut RetryPolicy::new(RetrySettings::default(), 3), 1_000);
    assert!((100..=112).contains(&sent), "{sent} retries");
}

#[test]
fn decide_storm_mutation() {
    let sent = retry_storm(&mut without(|settings| settings.safeguards.budget = false), 1_000);
    assert_eq!(sent, 1_000);
}

/// Returns the largest number of retries within an interval of 100 ms.
fn peak(retries: &mut RetryPolicy) -> usize {
    let mut counts = [0; 200];
    for index in 0..1_000 {
        let retry_after = Some(Duration::from_secs(10));
        let request = RetryRequest { retry_after, ..request(&format!("org{index}")) };
        if let RetryDecision::At(at) = retries.decide(Time::ZERO, &request) {
            counts[(at.as_millis() / 100) as usize] += 1;
        }
    }
    counts.into_iter().max().unwrap_or(0)
}

// A thousand callers get the same retry delay. Without jitter all of them return at the same time
// and overload the store again.
#[test]
fn decide_retries_are_spread() {
    assert!(peak(&mut RetryPolicy::new(RetrySettings::default(), 3)) < 50);
}

#[test]
fn decide_spread_mutation() {
    assert_eq!(peak(&mut without(|settings| settings.safeguards.jitter = false)), 1_000);
}

// The answer of a deposit is lost. A second attempt could charge the customer twice.
#[test]
fn decide_unknown_not_repeatable() {
    let request = RetryRequest { repeatable: false, failure: Failure::Unknown, ..request("a") };
    let decision = RetryPolicy::new(RetrySettings::default(), 3).decide(Time::ZERO, &request);
    assert_eq!(decision, RetryDecision::Stop(StopReason::NotRepeatable));
}

#[test]
fn decide_deadline_stops() {
    let request = RetryRequest { deadline: Some(Time::ZERO), ..request("a") };
    let decision = RetryPolicy::new(RetrySettings::default(), 3).decide(Time::ZERO, &request);
    assert_eq!(decision, RetryDecision::Stop(StopReason::Deadline));
}

#[test]
fn hedge_only_repeatable() {
    let org = OrgName::const_new("a");
    let usual = Duration::from_millis(300);
    let mut retries = RetryPolicy::new(RetrySettings::default(), 3);
    assert_eq!(retries.hedge(Time::ZERO, &org, false, usual), None);
    assert_eq!(retries.hedge(Time::ZERO, &org, true, usual), Some(Time::from_millis(300)));
    let mut unguarded = without(|settings| settings.safeguards.repeatable = false);
    assert!(unguarded.hedge(Time::ZERO, &org, false, usual).is_some());
}

fn pause(tool: &str, pressure: f64) -> RetentionRequest {
    RetentionRequest {
        tool: tool.into(),
        paused: Duration::ZERO,
        tokens: 20_000,
        prefill_rate: 8_000.0,
        pressure,
        move_time: None,
    }
}

fn trained_policy() -> RetentionPolicy {
    let mut policy = RetentionPolicy::default();
    for _ in 0..50 {
        policy.record("search", Duration::from_millis(400));
        policy.record("export", Duration::from_secs(400));
    }
    policy
}

#[test]
fn decide_keeps_through_short_pause() {
    let kept = trained_policy().decide(Time::ZERO, &pause("search", 1.0));
    assert!(matches!(kept, Retention::Keep { .. }));
}

#[test]
fn decide_drops_in_long_pause() {
    assert_eq!(trained_policy().decide(Time::ZERO, &pause("export", 1.0)), Retention::Drop);
}

#[test]
fn decide_keeps_where_room_is_free() {
    let kept = trained_policy().decide(Time::ZERO, &pause("export", 0.5));
    assert!(matches!(kept, Retention::Keep { .. }));
}

#[test]
fn decide_moves_when_cheaper_than_refill() {
    let request = RetentionRequest { move_time: Some(0.5), ..pause("export", 1.0) };
    assert_eq!(trained_policy().decide(Time::ZERO, &request), Retention::Move);
}

#[test]
fn record_call_counts_refill_as_waste() {
    let mut cache = CacheUse::default();
    cache.record_call(1_200, 1_000, 400);
    let expected = CacheUse { filled: 800, reused: 400, refilled: 600, dropped: 0 };
    assert_eq!(cache, expected);
}
