//! Noticing that a process stood still.

use gypsumglade_core::policy::stall::{StallDetector, TICK};
use gypsumglade_core::prelude::*;

#[test]
fn stalls_unchanged_while_ticking() {
    let mut now = Time::from_millis(5_000);
    let mut detector = StallDetector::new(now);
    let before = detector.stalls(now);
    for _ in 0..100 {
        // A busy processor comes to it late.
        now = now + TICK + Duration::from_millis(60);
        detector.tick(now);
    }
    assert_eq!(detector.stalls(now), before);
}

/// A VM is suspended for six seconds with streams under way. When it goes on, the streams' events are
/// all there and the streams end before the clock is looked at again. Their times say nothing of the
/// engines, and must not be learnt from; those of later streams do.
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
