//! How long an answer is waited for.

use gypsumglade_core::policy::attempt_timeout::ResponseTime;
use gypsumglade_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LEFT: Duration = Duration::from_millis(1_500);

fn used_to(millis: u64) -> ResponseTime {
    let mut time = ResponseTime::default();
    for _ in 0..100 {
        time.observe(Duration::from_millis(millis));
    }
    time
}

/// An endpoint runs a lookup and its answer is lost. Waited for until its time is over, the caller's
/// program fails; asked again elsewhere after a few times what lookups take, it goes on.
#[test]
fn patience_leaves_time_for_another() {
    let patience = used_to(50).attempt_timeout(LEFT, 1);
    assert!(patience >= Duration::from_millis(200), "{patience:?}");
    assert!(patience <= Duration::from_millis(300), "{patience:?}");
}

#[test]
fn patience_whole_on_last_attempt() {
    assert_eq!(used_to(50).attempt_timeout(LEFT, 0), LEFT);
}

#[test]
fn patience_before_answers_is_equal_part() {
    assert_eq!(ResponseTime::default().attempt_timeout(LEFT, 2), LEFT / 3);
}

/// Endpoints are loaded and all answers slow. Sent once more after the time that they took when idle,
/// calls would double the load that slows them.
#[test]
fn patience_grows_with_load() {
    let mut time = used_to(20);
    for _ in 0..100 {
        time.observe(Duration::from_millis(120));
    }
    assert!(time.attempt_timeout(LEFT, 1) > Duration::from_millis(500));
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn patience_never_past_time_left(
        took in prop::collection::vec(0..100_000_u64, 0..20),
        left in 0..10_000_u64,
        further in 0..5_u32,
    ) {
        let mut time = ResponseTime::default();
        took.into_iter().for_each(|took| time.observe(Duration::from_millis(took)));
        let left = Duration::from_millis(left);
        prop_assert!(time.attempt_timeout(left, further) <= left);
    }
}
