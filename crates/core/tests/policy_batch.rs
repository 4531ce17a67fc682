//! How much slower engines are found to be for each request that they run.

use gypsumglade_core::policy::batch::BatchFit;

/// A token's seconds on an engine like the users': 0.87 ms alone, 0.04 ms for each further request.
fn token(beside: f64) -> f64 {
    0.000_87 + 0.000_04 * beside
}

#[test]
fn cost_unknown_before_streams() {
    assert_eq!(BatchFit::default().cost(), None);
}

#[test]
fn cost_follows_streams() {
    let mut fit = BatchFit::default();
    for round in 0..200 {
        let beside = f64::from(round % 20);
        fit.observe(beside, token(beside));
    }
    let cost = fit.cost().expect("streams were seen");
    assert!((cost.alone - 0.000_87).abs() < 0.000_02, "{cost:?}");
    assert!((cost.slope - 0.000_04).abs() < 0.000_002, "{cost:?}");
}

#[test]
fn cost_from_alike_streams_is_prior() {
    let mut fit = BatchFit::default();
    for _ in 0..50 {
        fit.observe(4.0, token(4.0));
    }
    let cost = fit.cost().expect("streams were seen");
    assert!(cost.slope > 0.000_02 && cost.slope < 0.000_06, "{cost:?}");
}

/// A pool's engines turn slow for a while for reasons of their own while they are idle, so that
/// few requests go with long times. More requests must never seem to make an engine faster.
#[test]
fn cost_never_falls_with_load() {
    let mut fit = BatchFit::default();
    for round in 0..100 {
        let beside = f64::from(round % 10);
        fit.observe(beside, 0.004 - 0.000_3 * beside);
    }
    let cost = fit.cost().expect("streams were seen");
    assert!(cost.slope >= 0.0 && cost.alone > 0.0, "{cost:?}");
}
