//! Tests of overload control: the slowdown estimate and the admission of turns.

use gypsumglade_core::policy::overload::{PoolLoad, PoolSlowdown, ProgramStatus, admit};
use gypsumglade_core::prelude::*;

fn status(rank: u8, under_way: bool) -> ProgramStatus {
    ProgramStatus { rank, under_way }
}

fn load(calls: u64) -> PoolLoad {
    PoolLoad { calls, slots: 100, slowdown: 1.0 }
}

#[test]
fn admit_new_with_room() {
    assert_eq!(admit(load(50), status(0, false), 0.0), Ok(()));
    assert_eq!(admit(load(50), status(1, false), 0.0), Ok(()));
}

#[test]
fn admit_under_way_always() {
    assert_eq!(admit(load(500), status(5, true), 0.0), Ok(()));
}

#[test]
fn admit_refuses_less_urgent_first() {
    assert!(admit(load(85), status(1, false), 0.0).is_err());
    assert!(admit(load(85), status(0, false), 0.0).is_ok());
}

#[test]
fn admit_never_below_half() {
    assert!(admit(load(55), status(9, false), 0.0).is_ok());
}

#[test]
fn admit_spreads_retries() {
    let soon = admit(load(200), status(0, false), 0.0).expect_err("the pool is full");
    let late = admit(load(200), status(0, false), 1.0).expect_err("the pool is full");
    assert!(soon < late && late < Duration::from_secs(1));
}

/// New programs are refused while engines are slow, even if slots are free, since all programs on
/// these engines would end late.
#[test]
fn admit_slow_engines() {
    let slow = PoolLoad { slowdown: 2.5, ..load(45) };
    assert!(admit(slow, status(0, false), 0.0).is_err());
    assert!(admit(slow, status(0, true), 0.0).is_ok());
}

/// Idle engines give no new samples that could correct an old slowdown. New programs must be
/// admitted nevertheless.
#[test]
fn admit_idle_slow_engines() {
    let idle = PoolLoad { slowdown: 3.8, ..load(0) };
    assert_eq!(admit(idle, status(1, false), 0.0), Ok(()));
}

#[test]
fn ratio_follows_burst() {
    let mut slowdown = PoolSlowdown::default();
    assert_eq!(slowdown.ratio(), 1.0);
    for _ in 0..50 {
        slowdown.observe(Duration::from_millis(20));
    }
    assert!(slowdown.ratio() < 1.05);
    for _ in 0..15 {
        slowdown.observe(Duration::from_millis(50));
    }
    assert!(slowdown.ratio() > 1.8, "{}", slowdown.ratio());
    for _ in 0..40 {
        slowdown.observe(Duration::from_millis(21));
    }
    assert!(slowdown.ratio() < 1.2, "{}", slowdown.ratio());
}

#[test]
fn ratio_forgets_faster_engines() {
    let mut slowdown = PoolSlowdown::default();
    slowdown.observe(Duration::from_millis(10));
    for _ in 0..1_000 {
        slowdown.observe(Duration::from_millis(30));
    }
    assert!(slowdown.ratio() < 1.1, "{}", slowdown.ratio());
}

#[test]
fn admit_unknown_load() {
    assert!(admit(PoolLoad::default(), status(0, false), 0.0).is_ok());
}

/// A burst of twice the capacity, in ticks of 100 ms. Each program takes four turns of one tick, a
/// slot runs one turn per tick, and a program is in time within eight ticks. If everything is
/// admitted, the queue grows and few programs are in time.
#[test]
fn admit_replays_burst() {
    let unbounded = replay(|_, _| true);
    let bounded = replay(|load, under_way| admit(load, status(0, under_way), 0.0).is_ok());
    assert!(bounded > 2 * unbounded, "in time: {bounded} with admission, {unbounded} without");
}

/// Returns the number of programs that end in time.
fn replay(admits: impl Fn(PoolLoad, bool) -> bool) -> usize {
    const SLOTS: usize = 40;
    const ARRIVALS: usize = 20;
    const TURNS: usize = 4;
    const MAX_TICKS: usize = 8;
    let mut waiting: Vec<(usize, usize)> = Vec::new();
    let mut in_time = 0;
    for tick in 0..60 {
        for _ in 0..ARRIVALS {
            let load = PoolLoad { calls: waiting.len() as u64, slots: SLOTS as u64, slowdown: 1.0 };
            if admits(load, false) {
                waiting.push((tick, TURNS));
            }
        }
        // Engines run requests in the order of arrival.
        let served = waiting.len().min(SLOTS);
        let mut next: Vec<(usize, usize)> = waiting.split_off(served);
        for (start, left) in waiting.drain(..) {
            match left {
                1 if tick - start < MAX_TICKS => in_time += 1,
                1 => {}
                _ => next.push((start, left - 1)),
            }
        }
        waiting = next;
    }
    in_time
}

/// After a pause of the entry VM, the delayed events of a stream arrive at once and look extremely
/// fast. One such stream must not make the pool seem overloaded.
#[test]
fn ratio_ignores_delayed_stream() {
    let mut slowdown = PoolSlowdown::default();
    for _ in 0..50 {
        slowdown.observe(Duration::from_millis(20));
    }
    slowdown.observe(Duration::from_micros(200));
    for _ in 0..10 {
        slowdown.observe(Duration::from_millis(20));
    }
    assert!(slowdown.ratio() < 1.2, "{}", slowdown.ratio());
}

#[test]
fn ratio_learns_faster_engines() {
    let mut slowdown = PoolSlowdown::default();
    slowdown.observe(Duration::from_millis(60));
    for _ in 0..60 {
        slowdown.observe(Duration::from_millis(20));
    }
    assert!(slowdown.ratio() < 1.1, "{}", slowdown.ratio());
}

/// Two of nine engines are five times slower under high load. They must not cause new programs to
/// be refused while the other engines are nearly as fast as when idle.
#[test]
fn ratio_few_slow_engines() {
    let mut slowdown = PoolSlowdown::default();
    for _ in 0..50 {
        slowdown.observe(Duration::from_millis(20));
    }
    for stream in 0..90 {
        let slow = stream % 9 < 2;
        slowdown.observe(Duration::from_millis(if slow { 130 } else { 26 }));
    }
    let slowed = PoolLoad { calls: 180, slots: 576, slowdown: slowdown.ratio() };
    assert_eq!(admit(slowed, status(0, false), 0.0), Ok(()), "{slowed:?}");
}
