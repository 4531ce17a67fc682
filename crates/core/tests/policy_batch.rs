//! Tests of the estimates of decode and prefill speed.

use gypsumglade_core::policy::batch::{BatchFit, PrefillFit};

/// Returns the seconds per token beside `others` requests: 0.87 ms alone, and 0.04 ms more for each
/// other request.
fn token_seconds(others: f64) -> f64 {
    0.000_87 + 0.000_04 * others
}

#[test]
fn cost_unknown_before_streams() {
    assert_eq!(BatchFit::default().cost(64), None);
}

#[test]
fn cost_follows_streams() {
    let mut fit = BatchFit::default();
    for round in 0..200 {
        let others = f64::from(round % 20);
        fit.observe(others, token_seconds(others));
    }
    let cost = fit.cost(64).expect("streams were observed");
    assert!((cost.base - 0.000_87).abs() < 0.000_02, "{cost:?}");
    assert!((cost.slope - 0.000_04).abs() < 0.000_002, "{cost:?}");
}

#[test]
fn cost_from_equal_loads_is_prior() {
    let mut fit = BatchFit::default();
    for _ in 0..50 {
        fit.observe(4.0, token_seconds(4.0));
    }
    let cost = fit.cost(64).expect("streams were observed");
    // The prior: twice as long per token with 64 other requests as alone.
    assert!((cost.slope * 64.0 / cost.base - 1.0).abs() < 0.05, "{cost:?}");
}

/// Idle engines may be slow for other reasons, so that low load goes with long times. The estimate
/// must not conclude that load makes engines faster.
#[test]
fn cost_never_falls_with_load() {
    let mut fit = BatchFit::default();
    for round in 0..100 {
        let others = f64::from(round % 10);
        fit.observe(others, 0.004 - 0.000_3 * others);
    }
    let cost = fit.cost(64).expect("streams were observed");
    assert!(cost.slope >= 0.0 && cost.base > 0.0, "{cost:?}");
}

/// Returns the seconds to the first event: 30 ms, and 1 ms for each 50 uncached tokens.
fn first_event_seconds(uncached: f64) -> f64 {
    0.030 + uncached / 50_000.0
}

#[test]
fn token_time_unknown_before_streams() {
    assert_eq!(PrefillFit::default().token_time(), None);
}

#[test]
fn token_time_follows_streams() {
    let mut fit = PrefillFit::default();
    for round in 0..100 {
        let uncached = f64::from(round % 10) * 400.0;
        fit.observe(uncached, first_event_seconds(uncached));
    }
    let token = fit.token_time().expect("streams were observed");
    assert!((token * 50_000.0 - 1.0).abs() < 0.05, "{token}");
}

/// Engines are replaced by ones with a fifth of the prefill speed. With the old estimate, prompts
/// would be sent to engines that have to prefill them again.
#[test]
fn token_time_follows_slower_engines() {
    let mut fit = PrefillFit::default();
    for round in 0..200 {
        let uncached = f64::from(round % 10) * 400.0;
        fit.observe(uncached, first_event_seconds(uncached));
    }
    for round in 0..300 {
        let uncached = f64::from(round % 10) * 400.0;
        fit.observe(uncached, 0.030 + uncached / 10_000.0);
    }
    let token = fit.token_time().expect("streams were observed");
    assert!((token * 10_000.0 - 1.0).abs() < 0.2, "{token}");
}

/// Delayed events and clock jumps give impossible times, which must not change the estimate.
#[test]
fn token_time_ignores_invalid_streams() {
    let mut fit = PrefillFit::default();
    for round in 0..100 {
        let uncached = f64::from(round % 10) * 400.0;
        fit.observe(uncached, first_event_seconds(uncached));
    }
    for invalid in [f64::INFINITY, f64::NAN, 0.0, -1.0] {
        fit.observe(500.0, invalid);
    }
    fit.observe(f64::NAN, 0.1);
    let token = fit.token_time().expect("streams were observed");
    assert!((token * 50_000.0 - 1.0).abs() < 0.05, "{token}");
}

/// Returns the estimated time per token beside `others` requests, relative to that of a request
/// that runs alone.
fn slowdown(fit: &BatchFit, others: f64) -> f64 {
    let cost = fit.cost(64).expect("streams were observed");
    cost.token_time(others) / cost.token_time(0.0)
}

/// After a pause of the entry VM, the delayed events of a stream arrive at once and look extremely
/// fast. One such stream must not make the pool seem overloaded.
#[test]
fn slowdown_ignores_delayed_stream() {
    let mut fit = BatchFit::default();
    for _ in 0..50 {
        fit.observe(3.0, 0.020);
    }
    fit.observe(0.0, 0.000_2);
    for _ in 0..10 {
        fit.observe(3.0, 0.020);
    }
    assert!(slowdown(&fit, 3.0) < 1.2, "{}", slowdown(&fit, 3.0));
}

#[test]
fn slowdown_forgets_faster_engines() {
    let mut fit = BatchFit::default();
    fit.observe(3.0, 0.010);
    for _ in 0..1_000 {
        fit.observe(3.0, 0.030);
    }
    assert!(slowdown(&fit, 3.0) < 1.1, "{}", slowdown(&fit, 3.0));
}

#[test]
fn slowdown_learns_faster_engines() {
    let mut fit = BatchFit::default();
    fit.observe(3.0, 0.060);
    for _ in 0..60 {
        fit.observe(3.0, 0.020);
    }
    assert!(slowdown(&fit, 3.0) < 1.1, "{}", slowdown(&fit, 3.0));
}

/// A burst with 30 requests on each engine makes tokens take two and a half times as long. The
/// estimate has to rise within the burst and fall after it.
#[test]
fn slowdown_follows_burst() {
    let mut fit = BatchFit::default();
    for _ in 0..50 {
        fit.observe(2.0, 0.020);
    }
    assert!(slowdown(&fit, 2.0) < 1.05);
    for _ in 0..15 {
        fit.observe(30.0, 0.050);
    }
    assert!(slowdown(&fit, 30.0) > 1.8, "{}", slowdown(&fit, 30.0));
    assert!(slowdown(&fit, 2.0) < 1.2, "{}", slowdown(&fit, 2.0));
}
