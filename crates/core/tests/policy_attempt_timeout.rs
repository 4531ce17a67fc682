//! Tests of the timeout of an attempt.

use gypsumglade_core::policy::attempt_timeout::ResponseTime;
use gypsumglade_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const TIME_LEFT: Duration = Duration::from_millis(1_500);

fn observed(millis: u64) -> ResponseTime {
    let mut time = ResponseTime::default();
    for _ in 0..100 {
        time.observe(Duration::from_millis(millis));
    }
    time
}

/// The answer of a lookup is lost. The attempt times out after a few usual response times, so that
/// time is left for another endpoint.
#[test]
fn attempt_timeout_leaves_time_for_another() {
    let timeout = observed(50).attempt_timeout(TIME_LEFT, 1);
    assert!(timeout >= Duration::from_millis(200), "{timeout:?}");
    assert!(timeout <= Duration::from_millis(300), "{timeout:?}");
}

#[test]
fn attempt_timeout_is_all_time_left_on_last_attempt() {
    assert_eq!(observed(50).attempt_timeout(TIME_LEFT, 0), TIME_LEFT);
}

#[test]
fn attempt_timeout_before_answers_is_equal_part() {
    assert_eq!(ResponseTime::default().attempt_timeout(TIME_LEFT, 2), TIME_LEFT / 3);
}

/// The timeout follows slow answers of loaded endpoints. With the timeout of idle endpoints,
/// further attempts would double their load.
#[test]
fn attempt_timeout_grows_with_load() {
    let mut time = observed(20);
    for _ in 0..100 {
        time.observe(Duration::from_millis(120));
    }
    assert!(time.attempt_timeout(TIME_LEFT, 1) > Duration::from_millis(500));
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn attempt_timeout_never_past_time_left(
        millis in prop::collection::vec(0..100_000_u64, 0..20),
        time_left in 0..10_000_u64,
        further in 0..5_u32,
    ) {
        let mut time = ResponseTime::default();
        millis.into_iter().for_each(|millis| time.observe(Duration::from_millis(millis)));
        let time_left = Duration::from_millis(time_left);
        prop_assert!(time.attempt_timeout(time_left, further) <= time_left);
    }
}
