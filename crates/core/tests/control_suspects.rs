//! Requests under which endpoints have ended, as the control group records them.

use gypsumglade_core::control::suspects::{
    MAX_SUSPECTS, QUARANTINE_CRASHES, QUARANTINE_MS, QUARANTINED_RETENTION_MS,
    RESOURCE_QUARANTINE_MS, RequestDigest, SUSPECT_RETENTION_MS,
};
use gypsumglade_core::control::{Control, Spare, TrialRequest, Trials};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body;
use gypsumglade_core::wire::control::{ClearSuspect, Command, Crash, Suspect};
use proptest::prelude::*;

const START_MS: u64 = 1_000_000;

fn digest(number: u16) -> RequestDigest {
    let [high, low] = number.to_be_bytes();
    std::array::from_fn(|index| if index == 0 { high } else { low })
}

fn apply(control: &mut Control, body: Body) -> Option<AnswerBody> {
    control.apply(&Command { body: Some(body) }).body
}

/// Reports that an endpoint ended under a request.
fn crash(control: &mut Control, request: u16, endpoint: &str, now_ms: u64) -> Suspect {
    let digest = digest(request).to_vec().into();
    let crash =
        Crash { endpoint: endpoint.into(), incarnation: 1, digest, now_ms, ..Crash::default() };
    report(control, crash)
}

fn report(control: &mut Control, crash: Crash) -> Suspect {
    match apply(control, Body::Crash(crash)) {
        Some(AnswerBody::Suspect(suspect)) => suspect,
        other => panic!("{other:?}"),
    }
}

/// Number of the resource that the requests of [`crash_at`] are for.
const RESOURCE: u16 = 1_000;
/// Time for which the runs of [`crash_at`] last.
const RAN_MS: u64 = 100;

/// Reports that an endpoint ended under a request for [`RESOURCE`].
fn crash_at(control: &mut Control, request: u16, endpoint: &str, now_ms: u64) -> Suspect {
    let crash = Crash {
        endpoint: endpoint.into(),
        incarnation: 1,
        digest: digest(request).to_vec().into(),
        resource: digest(RESOURCE).to_vec().into(),
        ran_ms: RAN_MS,
        now_ms,
    };
    report(control, crash)
}

fn clear(control: &mut Control, request: u16) {
    let digest = digest(request).to_vec().into();
    let clear = ClearSuspect { digest, now_ms: START_MS };
    apply(control, Body::ClearSuspect(clear));
}

fn quarantined(control: &mut Control, request: u16) {
    for number in 0..QUARANTINE_CRASHES {
        crash(control, request, &format!("{request}-{number}"), START_MS);
    }
}

fn status(control: &Control, request: u16) -> Suspect {
    control.suspects().status(START_MS, &digest(request))
}

/// A request went on crashing endpoints, or was refused before the third one.
#[test]
fn crash_of_third_endpoint() {
    let mut control = Control::new();
    assert_eq!(crash(&mut control, 1, "a", START_MS).quarantine_ms, 0);
    assert_eq!(crash(&mut control, 1, "b", START_MS).quarantine_ms, 0);
    let third = crash(&mut control, 1, "c", START_MS);
    assert_eq!((third.crashes, third.quarantine_ms), (QUARANTINE_CRASHES, QUARANTINE_MS));
}

/// A report that was sent again counted as another crash.
#[test]
fn crash_reported_again() {
    let mut control = Control::new();
    for _ in 0..5 {
        assert_eq!(crash(&mut control, 1, "a", START_MS).crashes, 1);
    }
}

/// Requests that had run beside a crashing one were refused as well.
#[test]
fn crash_beside_quarantined_request() {
    let mut control = Control::new();
    for endpoint in ["a", "b"] {
        crash(&mut control, 2, endpoint, START_MS);
        crash(&mut control, 1, endpoint, START_MS);
    }
    assert_eq!(status(&control, 2).crashes, 2);
    let seen = control.suspects().change();
    crash(&mut control, 1, "c", START_MS);
    assert_eq!(status(&control, 2).crashes, 0, "explained by the quarantined request");
    let (changed, _) = control.suspects().changes_since(START_MS, seen);
    assert_eq!(changed.len(), 2, "entry VMs learn of both");
    crash(&mut control, 2, "d", START_MS);
    assert_eq!(status(&control, 2).crashes, 1, "nothing else explains it");
}

/// Of two requests that ran together at every crash, the one that was reported first was refused,
/// and the other one went on crashing endpoints.
#[test]
fn crash_of_requests_that_ran_together() {
    for order in [[1, 2], [2, 1]] {
        let mut control = Control::new();
        for endpoint in ["a", "b", "c"] {
            order
                .iter()
                .for_each(|request| drop(crash(&mut control, *request, endpoint, START_MS)));
        }
        let told_apart = [1, 2].map(|request| status(&control, request).quarantine_ms > 0);
        assert_eq!(told_apart, [false, false], "either may have done it");
        assert!(crash(&mut control, 1, "d", START_MS).quarantine_ms > 0);
        assert_eq!(status(&control, 2).crashes, 0);
    }
}

/// Two requests that crash endpoints were not both refused, since they had run together once.
#[test]
fn crash_of_two_bad_requests() {
    let mut control = Control::new();
    for (request, endpoint) in [(1, "a"), (2, "a"), (1, "b"), (1, "c"), (2, "d"), (2, "e")] {
        crash(&mut control, request, endpoint, START_MS);
    }
    crash(&mut control, 2, "f", START_MS);
    crash(&mut control, 1, "g", START_MS);
    assert!([1, 2].iter().all(|request| status(&control, *request).quarantine_ms > 0));
}

/// Of two crashing requests at one service of few endpoints, the one that was found first was sent on
/// again, since the other one explained its crashes.
#[test]
fn crash_of_two_requests_at_few_endpoints() {
    let mut control = Control::new();
    // Times in milliseconds, as two requests came to three endpoints that were replaced.
    let runs = [
        (1, "a", 0),
        (2, "a", 0),
        (2, "b", 130),
        (1, "b", 130),
        (2, "c", 3_470),
        (1, "d", 3_690),
        (1, "e", 7_920),
    ];
    for (request, endpoint, after) in runs {
        crash(&mut control, request, endpoint, START_MS + after);
    }
    let quarantined = [1, 2].map(|request| status(&control, request).quarantine_ms > 0);
    assert_eq!(quarantined, [true, true]);
    let restored = Control::restore(&control.snapshot()).expect("it is whole");
    let restored = [1, 2].map(|request| status(&restored, request).quarantine_ms > 0);
    assert_eq!(restored, quarantined);
}

/// A request that is answered between unrelated crashes was refused in the end.
#[test]
fn clear_of_answered_request() {
    let mut control = Control::new();
    for endpoint in ["a", "b", "c", "d"] {
        assert_eq!(crash(&mut control, 1, endpoint, START_MS).crashes, 1);
        clear(&mut control, 1);
        assert_eq!(status(&control, 1).crashes, 0);
    }
}

/// A late answer of another copy lifted a quarantine.
#[test]
fn clear_of_quarantined_request() {
    let mut control = Control::new();
    quarantined(&mut control, 1);
    clear(&mut control, 1);
    assert!(status(&control, 1).quarantine_ms > 0);
}

/// A quarantine never ended, or cost three endpoints again when it had.
#[test]
fn status_after_quarantine() {
    let mut control = Control::new();
    quarantined(&mut control, 1);
    let suspects = control.suspects();
    let later = START_MS + QUARANTINE_MS;
    assert_eq!(suspects.status(later - 1, &digest(1)).quarantine_ms, 1);
    assert_eq!(suspects.status(later, &digest(1)).quarantine_ms, 0);
    assert_eq!(suspects.status(START_MS + QUARANTINED_RETENTION_MS, &digest(1)).crashes, 0);
    assert_eq!(crash(&mut control, 1, "d", later).quarantine_ms, QUARANTINE_MS);
}

/// A request was suspected for good after one crash.
#[test]
fn status_after_retention() {
    let mut control = Control::new();
    crash(&mut control, 1, "a", START_MS);
    let later = START_MS + SUSPECT_RETENTION_MS;
    assert_eq!(control.suspects().status(later - 1, &digest(1)).crashes, 1);
    assert_eq!(control.suspects().status(later, &digest(1)).crashes, 0);
    assert_eq!(crash(&mut control, 1, "b", later).crashes, 1);
}

/// A new leader, or a store that was restarted, had forgotten what requests crashed.
#[test]
fn restore_of_suspects() {
    let mut control = Control::new();
    quarantined(&mut control, 1);
    crash(&mut control, 2, "a", START_MS);
    let mut restored = Control::restore(&control.snapshot()).expect("it is whole");
    for request in [1, 2] {
        assert_eq!(status(&restored, request), status(&control, request));
    }
    assert_eq!(restored.suspects().change(), control.suspects().change());
    assert_eq!(crash(&mut restored, 2, "a", START_MS).crashes, 1, "counted before");
}

/// An entry VM missed a change, or got all requests after each one.
#[test]
fn changes_since_known_change() {
    let mut control = Control::new();
    crash(&mut control, 1, "a", START_MS);
    crash(&mut control, 2, "a", START_MS);
    let seen = control.suspects().change();
    assert_eq!(control.suspects().changes_since(START_MS, seen), (Vec::new(), true));
    clear(&mut control, 1);
    crash(&mut control, 3, "b", START_MS);
    let (changed, delta) = control.suspects().changes_since(START_MS, seen);
    let changed: Vec<_> = changed.iter().map(|suspect| suspect.crashes).collect();
    assert_eq!((changed, delta), (vec![0, 1], true), "cleared, and new");
    let restored = Control::restore(&control.snapshot()).expect("it is whole");
    let (all, delta) = restored.suspects().changes_since(START_MS, seen);
    assert_eq!((all.len(), delta), (2, false), "a restored store knows no earlier changes");
}

/// A crash of many busy endpoints filled the memory, or pushed a quarantine out.
#[test]
fn crash_of_many_requests() {
    let mut control = Control::new();
    quarantined(&mut control, 0);
    for request in 1..=MAX_SUSPECTS as u16 + 10 {
        crash(&mut control, request, "a", START_MS + 1);
    }
    assert_eq!(control.suspects().all().len(), MAX_SUSPECTS);
    assert!(status(&control, 0).quarantine_ms > 0);
}

/// A request that came with another content each time went on crashing endpoints.
#[test]
fn crash_of_resource_with_other_contents() {
    let mut control = Control::new();
    for (number, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(status(&control, RESOURCE).quarantine_ms, 0);
        crash_at(&mut control, number as u16, endpoint, START_MS + number as u64 * RAN_MS);
    }
    let suspects = control.suspects();
    let now = START_MS + 2 * RAN_MS;
    assert_eq!(suspects.status(now, &digest(RESOURCE)).quarantine_ms, RESOURCE_QUARANTINE_MS);
    let restored = Control::restore(&control.snapshot()).expect("it is whole");
    let status = |control: &Control| control.suspects().status(now, &digest(RESOURCE));
    assert_eq!(status(&restored), status(&control));
}

/// A resource was refused since endpoints that ended together had run requests for it.
#[test]
fn crash_of_resource_at_once() {
    let mut control = Control::new();
    for (number, endpoint) in ["a", "b", "c", "d"].into_iter().enumerate() {
        crash_at(&mut control, number as u16, endpoint, START_MS + number as u64);
    }
    assert_eq!(status(&control, RESOURCE).quarantine_ms, 0);
}

/// A resource was refused for the crashes of one content.
#[test]
fn crash_of_resource_with_one_content() {
    let mut control = Control::new();
    for (number, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        crash_at(&mut control, 1, endpoint, START_MS + number as u64 * RAN_MS);
    }
    assert!(status(&control, 1).quarantine_ms > 0);
    assert_eq!(status(&control, RESOURCE).quarantine_ms, 0);
}

/// A resource at which requests are answered between crashes was refused.
#[test]
fn clear_of_answered_resource() {
    let mut control = Control::new();
    for number in 0..6 {
        let now = START_MS + u64::from(number) * RAN_MS;
        crash_at(&mut control, number, &format!("endpoint-{number}"), now);
        clear(&mut control, RESOURCE);
    }
    assert_eq!(status(&control, RESOURCE), status(&Control::new(), RESOURCE));
}

/// A harmless request beside crashes of a resource was refused with it.
#[test]
fn crash_beside_quarantined_resource() {
    let mut control = Control::new();
    for (number, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        let now = START_MS + number as u64 * RAN_MS;
        if number > 0 {
            crash(&mut control, 50, endpoint, now);
        }
        crash_at(&mut control, number as u16, endpoint, now);
    }
    assert_eq!(status(&control, 50).crashes, 0, "explained by the resource");
}

fn trial(request: u16, crashes: u32, endpoint: &str, id: u64) -> TrialRequest {
    let lasts = Duration::from_secs(1);
    TrialRequest { digest: digest(request), crashes, endpoint: endpoint.into(), id, lasts }
}

/// Copies of a request that were sent at the same time each crashed an endpoint.
#[test]
fn begin_of_second_copy() {
    let mut trials = Trials::default();
    assert!(trials.begin(Time::ZERO, trial(1, 1, "a", 1)));
    assert!(trials.begin(Time::ZERO, trial(1, 1, "a", 1)), "the same one, asked for again");
    assert!(!trials.begin(Time::ZERO, trial(1, 1, "b", 2)));
    trials.end(&digest(1), 2);
    assert!(!trials.begin(Time::ZERO, trial(1, 1, "b", 2)), "another one's end");
    trials.end(&digest(1), 1);
    assert!(trials.begin(Time::ZERO, trial(1, 1, "b", 2)));
}

/// Two suspects crashed an endpoint together, and both were refused.
#[test]
fn begin_beside_other_suspect() {
    let mut trials = Trials::default();
    assert!(trials.begin(Time::ZERO, trial(1, 2, "a", 1)));
    assert!(!trials.begin(Time::ZERO, trial(2, 2, "a", 2)));
    assert!(trials.begin(Time::ZERO, trial(2, 2, "b", 2)), "at another endpoint");
    assert!(trials.begin(Time::ZERO, trial(3, 1, "a", 3)), "it was beside one crash only");
}

/// A trial whose entry VM was lost blocked the request for good.
#[test]
fn begin_after_lost_trial() {
    let mut trials = Trials::default();
    assert!(trials.begin(Time::ZERO, trial(1, 2, "a", 1)));
    let later = Time::ZERO + Duration::from_secs(1);
    assert!(trials.begin(later, trial(1, 2, "a", 2)));
}

/// A crashing request ended the last endpoint of a pool, and nobody else was served.
#[test]
fn spare_of_small_pool() {
    let mut trials = Trials::default();
    let pool = || [("a", 1), ("b", 1), ("c", 1)].into_iter();
    assert_eq!(trials.spare("a", pool()), Spare::Free);
    trials.record_end(Time::ZERO, "c", 1);
    assert!(trials.begin(Time::ZERO, trial(1, 1, "a", 1)));
    assert_eq!(trials.spare("a", pool()), Spare::Free, "beside the first one");
    assert_eq!(trials.spare("b", pool()), Spare::Busy, "the other one may end");
    trials.record_end(Time::ZERO, "a", 1);
    trials.end(&digest(1), 1);
    assert_eq!(trials.spare("b", pool()), Spare::Last);
    let replaced = [("a", 2), ("b", 1)].into_iter();
    assert_eq!(trials.spare("b", replaced), Spare::Free, "a new incarnation runs");
}

proptest! {
    /// A replica that was restored from a snapshot recorded other crashes or quarantines afterwards.
    #[test]
    fn restore_between_crashes(
        runs in prop::collection::vec((0u16..6, 0u8..6, 0u64..1_500), 1..60),
        cut in 0usize..60,
    ) {
        let mut control = Control::new();
        let mut restored = None;
        let mut now = START_MS;
        for (number, (request, endpoint, after)) in runs.into_iter().enumerate() {
            now += after;
            // An endpoint that ended is replaced within a second.
            let endpoint = format!("{endpoint}-{}", now / 1_000);
            if number == cut {
                restored = Some(Control::restore(&control.snapshot()).expect("it is whole"));
            }
            for replica in restored.iter_mut().chain([&mut control]) {
                match request {
                    5 => clear(replica, number as u16 % 5),
                    _ => drop(crash_at(replica, request, &endpoint, now)),
                }
            }
        }
        if let Some(restored) = restored {
            prop_assert_eq!(restored.snapshot(), control.snapshot());
        }
    }
}
