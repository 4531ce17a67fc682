//! Who may wait for a replicated group, and for how long.

use gypsumglade_core::policy::group_health::{
    Decision, GroupHealth, HealthChange, LOST_AFTER, RefusalReason, RequestEnd, RequestId,
    WaitRequest,
};
use gypsumglade_core::prelude::*;

const START: Time = Time::from_millis(5_000);
const LEFT: Duration = Duration::from_secs(3);
const NEED: WaitRequest = WaitRequest { time_left: LEFT, bytes: 1_000, jitter: 0.5 };

fn asked(admission: Decision) -> (RequestId, Duration) {
    match admission {
        Decision::Proceed { id: ask, timeout: patience } => (ask, patience),
        Decision::Refuse { .. } => panic!("{admission:?}"),
    }
}

fn refused(admission: Decision) -> Duration {
    match admission {
        Decision::Refuse { retry_after: after, reason: RefusalReason::Lost } => after,
        _ => panic!("{admission:?}"),
    }
}

/// Returns the knowledge of a group that has been silent since [`START`], and a time when it is lost.
fn lost() -> (GroupHealth, Time) {
    let mut health = GroupHealth::default();
    let (ask, patience) = asked(health.admit(START, NEED));
    assert_eq!(health.end(START + patience, ask, RequestEnd::TimedOut), None);
    let now = START + LOST_AFTER;
    assert!(health.is_lost(now));
    (health, now)
}

/// One caller comes after another while nobody leads, and each was held as if it were the first.
#[test]
fn admit_holds_for_rest_of_election() {
    let mut health = GroupHealth::default();
    let (first, whole) = asked(health.admit(START, NEED));
    assert!(whole <= LEFT / 4);
    health.end(START + whole, first, RequestEnd::TimedOut);
    let (_, rest) = asked(health.admit(START + whole, NEED));
    assert!(rest <= LOST_AFTER - whole, "{rest:?}");
}

/// A caller has little time left. Held for a quarter of it, it would be refused by a group that is only
/// busy; held for all of it, it could not come back.
#[test]
fn admit_short_of_time() {
    let mut health = GroupHealth::default();
    let left = Duration::from_millis(300);
    let (_, patience) = asked(health.admit(START, WaitRequest { time_left: left, ..NEED }));
    assert!(patience > left / 3 && patience <= left / 2, "{patience:?}");
}

/// The group is known to be lost, and callers were held all the same.
#[test]
fn admit_one_probe_once_lost() {
    let (mut health, now) = lost();
    asked(health.admit(now, NEED));
    for _ in 0..100 {
        let after = refused(health.admit(now, NEED));
        assert!(after > Duration::ZERO && after <= LEFT / 3, "{after:?}");
    }
}

/// A caller finds no answer. Those who come while it waits must know of the silence as well.
#[test]
fn admit_refused_while_first_still_waits() {
    let mut health = GroupHealth::default();
    health.begin(START, 0);
    let now = START + LOST_AFTER;
    asked(health.admit(now, NEED));
    refused(health.admit(now, NEED));
}

/// Somebody leads again, and callers were refused until the next probe was due.
#[test]
fn admit_probe_at_once_when_found() {
    let (mut health, now) = lost();
    let (probe, patience) = asked(health.admit(now, NEED));
    let now = now + patience;
    health.end(now, probe, RequestEnd::TimedOut);
    refused(health.admit(now, WaitRequest { time_left: LEFT, ..NEED }));
    health.leader_found();
    asked(health.admit(now, NEED));
}

#[test]
fn end_answered_admits_all() {
    let (mut health, now) = lost();
    let (probe, _) = asked(health.admit(now, NEED));
    let change = health.end(now, probe, RequestEnd::Answered);
    assert_eq!(change, None, "its loss was never told");
    for _ in 0..100 {
        asked(health.admit(now, NEED));
    }
}

#[test]
fn end_tells_loss_and_return_once() {
    let (mut health, now) = lost();
    let asks: Vec<RequestId> = (0..3).map(|_| health.begin(now, 0)).collect();
    assert_eq!(
        health.end(now, asks[0], RequestEnd::TimedOut),
        Some(HealthChange::Lost(LOST_AFTER))
    );
    assert_eq!(health.end(now, asks[1], RequestEnd::TimedOut), None);
    let back = now + LOST_AFTER;
    let change = health.end(back, asks[2], RequestEnd::Answered);
    assert_eq!(change, Some(HealthChange::Recovered(LOST_AFTER * 2)));
}

/// Callers leave early while the group is well. Taken for silence, the next one would be refused.
#[test]
fn end_dropped_says_nothing() {
    let mut health = GroupHealth::default();
    let (ask, _) = asked(health.admit(START, NEED));
    health.end(START + Duration::from_millis(10), ask, RequestEnd::Cancelled);
    let later = START + Duration::from_secs(60);
    assert_eq!(health.silence(later), Duration::ZERO);
    let (_, patience) = asked(health.admit(later, NEED));
    assert!(patience >= LEFT / 5, "{patience:?}");
}

/// An ask that has waited since before the last answer is no sign of a longer silence.
#[test]
fn silence_counts_from_last_answer() {
    let mut health = GroupHealth::default();
    health.begin(START, 0);
    let late = START + Duration::from_secs(10);
    let other = health.begin(late, 0);
    health.end(late, other, RequestEnd::Answered);
    assert_eq!(health.silence(late), Duration::ZERO);
    assert!(!health.is_lost(late + Duration::from_millis(500)));
}

/// Callers with large prompts pile up before the silence is known. Their bytes and their number are
/// bounded, or the process ends for its memory.
#[test]
fn admit_bounds_bytes_and_count() {
    for bytes in [100, 1_000_000] {
        let need = WaitRequest { bytes, ..NEED };
        let mut health = GroupHealth::default();
        let admitted = (0..10_000)
            .filter(|_| matches!(health.admit(START, need), Decision::Proceed { .. }))
            .count();
        assert!(admitted > 4, "{admitted} of {bytes}");
        assert!(admitted <= 1_000 && admitted * bytes <= 10_000_000, "{admitted} of {bytes}");
        let reason = match health.admit(START, need) {
            Decision::Refuse { reason, .. } => reason,
            admission @ Decision::Proceed { .. } => panic!("{admission:?}"),
        };
        assert_eq!(reason, RefusalReason::Crowded);
    }
}

/// Callers who were refused in one moment come back in one moment, and are all held or refused again.
#[test]
fn pause_spreads_callers() {
    let (health, now) = lost();
    for now in [START + LOST_AFTER / 2, now, now + LOST_AFTER] {
        let pause = |spread| health.retry_after(now, WaitRequest { jitter: spread, ..NEED });
        let (first, last) = (pause(0.0).min(pause(1.0)), pause(0.0).max(pause(1.0)));
        assert!(last - first >= Duration::from_millis(80), "{first:?} to {last:?}");
        assert!(first >= Duration::from_millis(100) && last <= LEFT / 3, "{first:?} to {last:?}");
    }
}
