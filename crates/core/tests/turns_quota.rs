//! Rate limits of organisations, counted by the turn group.

use std::collections::BTreeMap;

use gypsumglade_core::turns::{Grants, Turns};
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, Draw, Granted, Limit, Limited, Reserve, Settle};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WINDOW_MS: u64 = 5_000;

fn limit(requests: u64, overdraft: u64) -> Limit {
    Limit { revision: 1, requests, overdraft, window_ms: WINDOW_MS }
}

fn draw(organisation: &str, limit: Limit) -> Draw {
    Draw {
        organisation: organisation.to_owned(),
        requests: 1,
        limit: Some(limit),
        under_way: false,
    }
}

fn apply(turns: &mut Turns, body: Body) -> Reply {
    turns.apply(&Command { body: Some(body) }).body.expect("every command is answered")
}

/// Reserves a turn of a program. Program and turn are unique by their names.
fn reserve(turns: &mut Turns, now_ms: u64, program: &str, turn: &str, draw: Draw) -> Reply {
    let (program, turn) = (program.to_owned(), turn.to_owned());
    let draw = Some(draw);
    apply(turns, Body::Reserve(Reserve { turn, program, now_ms, draw, ..Reserve::default() }))
}

fn settle(turns: &mut Turns, now_ms: u64, program: &str, turn: &str) {
    let (program, turn) = (program.to_owned(), turn.to_owned());
    apply(turns, Body::Settle(Settle { turn, program, now_ms, tokens: 10, ..Settle::default() }));
}

fn is_granted(reply: &Reply) -> bool {
    matches!(reply, Reply::Reserved(_))
}

fn limited(reply: Reply) -> Limited {
    match reply {
        Reply::Limited(limited) => limited,
        other => panic!("expected a refusal by the limit, got {other:?}"),
    }
}

#[test]
fn reserve_below_limit() {
    let mut turns = Turns::default();
    for number in 0..10 {
        let turn = format!("t{number}");
        assert!(is_granted(&reserve(&mut turns, 1_000, "p", &turn, draw("a", limit(10, 0)))));
    }
    let refused = limited(reserve(&mut turns, 1_000, "p", "t10", draw("a", limit(10, 0))));
    assert_eq!((refused.used, refused.limit), (10, 10));
    let other = reserve(&mut turns, 1_000, "q", "u", draw("b", limit(10, 0)));
    assert!(is_granted(&other), "the limit of one organisation doesn't affect another");
}

/// A refused caller that returned at the stated time was refused again.
#[test]
fn reserve_after_stated_delay() {
    let mut turns = Turns::default();
    for number in 0..10 {
        reserve(
            &mut turns,
            1_000 + 200 * number,
            "p",
            &format!("t{number}"),
            draw("a", limit(10, 0)),
        );
    }
    let refused = limited(reserve(&mut turns, 3_000, "p", "next", draw("a", limit(10, 0))));
    let back = 3_000 + refused.retry_ms;
    assert!(is_granted(&reserve(&mut turns, back, "p", "next", draw("a", limit(10, 0)))));
}

/// A reservation that is retried after a lost reply was counted twice.
#[test]
fn reserve_retry_counts_once() {
    let mut turns = Turns::default();
    for _ in 0..5 {
        assert!(is_granted(&reserve(&mut turns, 1_000, "p", "t", draw("a", limit(2, 0)))));
    }
    assert!(is_granted(&reserve(&mut turns, 1_000, "p", "u", draw("a", limit(2, 0)))));
}

/// Entry VMs with an older bundle stated the former, higher limit, and undid the lower one.
#[test]
fn reserve_newest_limit_counts() {
    let mut turns = Turns::default();
    let old = limit(10, 0);
    let new = Limit { revision: 2, ..limit(2, 0) };
    assert!(is_granted(&reserve(&mut turns, 1_000, "p", "t0", draw("a", new))));
    assert!(is_granted(&reserve(&mut turns, 1_000, "p", "t1", draw("a", old))));
    limited(reserve(&mut turns, 1_000, "p", "t2", draw("a", old)));
}

/// A new leader counted a window from zero, so each election doubled the limit.
#[test]
fn restore_keeps_counts() {
    let mut turns = Turns::default();
    for number in 0..10 {
        reserve(&mut turns, 1_000, "p", &format!("t{number}"), draw("a", limit(10, 0)));
    }
    let mut turns = Turns::restore(&turns.snapshot()).expect("readable");
    limited(reserve(&mut turns, 1_100, "p", "next", draw("a", limit(10, 0))));
}

/// Requests granted while the leader's command was under way were not counted.
#[test]
fn grants_pending_until_applied() {
    let (mut turns, mut grants) = (Turns::default(), Grants::default());
    let request = draw("a", limit(3, 0));
    for _ in 0..3 {
        assert!(turns.check_draw(1_000, &request, grants.pending("a")).is_ok());
        grants.add(&request);
    }
    assert!(turns.check_draw(1_000, &request, grants.pending("a")).is_err());
    let draws = grants.take();
    assert!(turns.check_draw(1_000, &request, grants.pending("a")).is_err(), "while proposed");
    apply(&mut turns, Body::Granted(Granted { draws: draws.clone(), now_ms: 1_000 }));
    grants.applied(&draws);
    assert_eq!(grants.pending("a"), 0);
    assert!(turns.check_draw(1_000, &request, 0).is_err(), "once applied");
}

/// A report that could not be committed is reported again.
#[test]
fn grants_put_back() {
    let mut grants = Grants::default();
    grants.add(&draw("a", limit(3, 0)));
    let lost = grants.take();
    grants.put_back(lost.clone());
    assert_eq!((grants.take(), grants.pending("a")), (lost, 1));
}

/// Programs of a hot organisation, and how many of them got all of their requests.
#[derive(Debug, Default)]
struct Outcome {
    finished: usize,
    /// Programs that were refused a request after their first.
    broken: usize,
    /// Requests of programs that were not broken.
    useful: u64,
}

/// Plays an organisation that begins programs at several times its limit for 20 s. Each program
/// needs 4 to 16 requests, one every 200 ms. Refused first requests are not retried.
fn play_hot_organisation(seed: u64, requests: u64, overload: f64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut turns, mut outcome) = (Turns::default(), Outcome::default());
    let own = limit(requests, requests / 20);
    let per_second = requests as f64 / (WINDOW_MS as f64 / 1e3) / 10.0 * overload;
    let mut due: BTreeMap<(u64, usize), (u64, u64)> = BTreeMap::new();
    let mut at = 0.0;
    for program in 0..(20.0 * per_second) as usize {
        at += random.random_range(0.0..2.0) / per_second * 1e3;
        due.insert((1_000 + at as u64, program), (random.random_range(4..=16), 0));
    }
    while let Some(((now, program), (needed, done))) = due.pop_first() {
        let (name, turn) = (format!("p{program}"), format!("p{program}-{done}"));
        let granted = is_granted(&reserve(&mut turns, now, &name, &turn, draw("hot", own)));
        if !granted {
            outcome.broken += usize::from(done > 0);
            continue;
        }
        settle(&mut turns, now, &name, &turn);
        if done + 1 == needed {
            outcome.finished += 1;
            outcome.useful += needed;
        } else {
            due.insert((now + 200, program), (needed, done + 1));
        }
    }
    outcome
}

/// An organisation at five times its limit lost nearly all of its programs half-way when any request
/// over the limit was refused.
#[test]
fn reserve_hot_organisation_finishes_what_begins() {
    for seed in 0..5 {
        let outcome = play_hot_organisation(seed, 600, 5.0);
        let windows = 20_000 / WINDOW_MS;
        assert!(outcome.broken * 20 <= outcome.finished, "seed {seed}: {outcome:?}");
        assert!(outcome.useful * 10 >= 7 * 600 * windows, "seed {seed}: {outcome:?}");
    }
}

/// Programs were refused although the organisation stayed below its limit.
#[test]
fn reserve_below_limit_refuses_nothing() {
    for seed in 0..5 {
        let outcome = play_hot_organisation(seed, 600, 0.5);
        assert_eq!(outcome.broken, 0, "seed {seed}: {outcome:?}");
        let expected = (20.0 * 600.0 / 5.0 / 10.0 * 0.5) as usize;
        assert_eq!(outcome.finished, expected, "seed {seed}");
    }
}

proptest! {
    /// No window of any alignment holds more requests than the limit and what programs under way may
    /// exceed it by, whatever the arrivals, restarts and reports of grants.
    #[test]
    fn window_never_exceeds_limit(
        gaps in prop::collection::vec((0_u64..400, 0_u8..10), 1..400),
        requests in 1_u64..40,
        overdraft in 0_u64..10,
    ) {
        let (mut turns, mut grants) = (Turns::default(), Grants::default());
        let mut granted = Vec::new();
        let mut now = 1_000;
        for (number, (gap, action)) in gaps.into_iter().enumerate() {
            now += gap;
            let under_way = Draw { under_way: true, ..draw("a", limit(requests, overdraft)) };
            match action {
                0 => turns = Turns::restore(&turns.snapshot()).expect("readable"),
                1..4 => {
                    let draws = grants.take();
                    grants.applied(&draws);
                    apply(&mut turns, Body::Granted(Granted { draws, now_ms: now }));
                }
                4..7 => {
                    if turns.check_draw(now, &under_way, grants.pending("a")).is_ok() {
                        grants.add(&under_way);
                        granted.push(now);
                    }
                }
                _ => {
                    // The leader reports its grants with each reservation.
                    let draws = grants.take();
                    grants.applied(&draws);
                    let turn = format!("t{number}");
                    let reserve = Reserve {
                        program: turn.clone(),
                        turn,
                        now_ms: now,
                        draw: Some(draw("a", limit(requests, overdraft))),
                        granted: draws,
                        ..Reserve::default()
                    };
                    if is_granted(&apply(&mut turns, Body::Reserve(reserve))) {
                        granted.push(now);
                    }
                }
            }
        }
        for (first, start) in granted.iter().enumerate() {
            let inside = granted[first..].iter().take_while(|at| **at <= start + WINDOW_MS);
            prop_assert!(inside.count() as u64 <= requests + overdraft, "from {start} ms");
        }
    }
}
