//! How much slower engines are found to be for each request that they run.

use gypsumglade_core::policy::batch::{BatchFit, PrefillFit};

/// A token's seconds on an engine like the users': 0.87 ms alone, 0.04 ms for each further request.
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
    let cost = fit.cost(64).expect("streams were seen");
    assert!((cost.base - 0.000_87).abs() < 0.000_02, "{cost:?}");
    assert!((cost.slope - 0.000_04).abs() < 0.000_002, "{cost:?}");
}

#[test]
fn cost_from_equal_loads_is_prior() {
    let mut fit = BatchFit::default();
    for _ in 0..50 {
        fit.observe(4.0, token_seconds(4.0));
    }
    let cost = fit.cost(64).expect("streams were seen");
    // Twice as long with 64 beside as alone.
    assert!((cost.slope * 64.0 / cost.base - 1.0).abs() < 0.05, "{cost:?}");
}

/// A pool's engines turn slow for a while for reasons of their own while they are idle, so that
/// few requests go with long times. More requests must never seem to make an engine faster.
#[test]
fn cost_never_falls_with_load() {
    let mut fit = BatchFit::default();
    for round in 0..100 {
        let others = f64::from(round % 10);
        fit.observe(others, 0.004 - 0.000_3 * others);
    }
    let cost = fit.cost(64).expect("streams were seen");
    assert!(cost.slope >= 0.0 && cost.base > 0.0, "{cost:?}");
}

/// A prompt's first event on an engine like the users': 30 ms, and 1 ms for each 50 tokens to read.
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
    let token = fit.token_time().expect("streams were seen");
    assert!((token * 50_000.0 - 1.0).abs() < 0.05, "{token}");
}

/// Engines are replaced by ones that read five times more slowly. Placed by the old speed, prompts
/// go where they must be read again because it seems to cost nothing.
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
    let token = fit.token_time().expect("streams were seen");
    assert!((token * 10_000.0 - 1.0).abs() < 0.2, "{token}");
}

/// Events that were held up come all at once, or clocks jump: figures that can't be are passed over,
/// and no figure makes reading cost less than nothing or without end.
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
    let token = fit.token_time().expect("streams were seen");
    assert!((token * 50_000.0 - 1.0).abs() < 0.05, "{token}");
}

/// Returns how many times longer than alone a token takes beside this many, as streams showed.
fn slowdown(fit: &BatchFit, others: f64) -> f64 {
    let cost = fit.cost(64).expect("streams were seen");
    cost.token_time(others) / cost.token_time(0.0)
}

/// Callers of two entry VMs are turned away for twenty seconds while the engines stand nearly idle. An
/// entry VM stood still for a moment, and when it went on, all events of a short stream were there at
/// once: it seemed that engines generate in no time when they are idle.
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

/// A burst fills engines with 30 requests each, which makes their tokens take two and a half times as
/// long; after it they are as before. Taken late, the burst is over before anyone is turned away.
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
