//! Tests of the detection of pauses of the process.

use gypsumglade_core::policy::stall::{StallDetector, TICK};
use gypsumglade_core::prelude::*;

#[test]
fn stalls_unchanged_while_ticking() {
    let mut now = Time::from_millis(5_000);
    let mut detector = StallDetector::new(now);
    let before = detector.stalls(now);
    for _ in 0..100 {
        // Delay of a busy CPU, within the tolerance.
        now = now + TICK + Duration::from_millis(60);
        detector.tick(now);
    }
    assert_eq!(detector.stalls(now), before);
}

/// A VM is suspended for six seconds while streams are in flight. The pause is counted even before
/// the next tick, because streams may end earlier and their times are invalid.
#[test]
fn stalls_counts_pause_before_next_tick() {
    let start = Time::from_millis(5_000);
    let mut detector = StallDetector::new(start);
    let before = detector.stalls(start);
    let resumed = start + Duration::from_secs(6);
    assert_ne!(detector.stalls(resumed), before);
    detector.tick(resumed);
    let after = detector.stalls(resumed);
    assert_ne!(after, before);
    detector.tick(resumed + TICK);
    assert_eq!(detector.stalls(resumed + TICK), after);
}

#[test]
fn stalls_ignores_backward_clock() {
    let start = Time::from_millis(5_000);
    let mut detector = StallDetector::new(start);
    let before = detector.stalls(start);
    detector.tick(Time::from_millis(1_000));
    assert_eq!(detector.stalls(Time::from_millis(1_050)), before);
}
