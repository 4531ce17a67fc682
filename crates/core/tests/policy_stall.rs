//! Noticing that a process stood still.

use gypsumglade_core::policy::stall::{StallDetector, TICK};
use gypsumglade_core::prelude::*;

#[test]
fn stalls_unchanged_while_ticking() {
    let mut now = Time::from_millis(5_000);
    let mut watch = StallDetector::new(now);
    let before = watch.stalls(now);
    for _ in 0..100 {
        // A busy processor comes to it late.
        now = now + TICK + Duration::from_millis(60);
        watch.tick(now);
    }
    assert_eq!(watch.stalls(now), before);
}

/// A VM is suspended for six seconds with streams under way. When it goes on, the streams' events are
/// all there and the streams end before the clock is looked at again. Their times say nothing of the
/// engines, and must not be learnt from; those of later streams do.
#[test]
fn stalls_counts_stand_before_next_look() {
    let start = Time::from_millis(5_000);
    let mut watch = StallDetector::new(start);
    let before = watch.stalls(start);
    let back = start + Duration::from_secs(6);
    assert_ne!(watch.stalls(back), before);
    watch.tick(back);
    let after = watch.stalls(back);
    assert_ne!(after, before);
    watch.tick(back + TICK);
    assert_eq!(watch.stalls(back + TICK), after);
}

#[test]
fn stalls_survives_clock_that_goes_back() {
    let start = Time::from_millis(5_000);
    let mut watch = StallDetector::new(start);
    let before = watch.stalls(start);
    watch.tick(Time::from_millis(1_000));
    assert_eq!(watch.stalls(Time::from_millis(1_050)), before);
}
