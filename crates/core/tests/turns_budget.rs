//! Token budgets of programs, shared by all entry VMs.

use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, PromptRun, Reserve, Settle};
use proptest::prelude::*;

fn apply(turns: &mut Turns, body: Body) -> Reply {
    turns.apply(&Command { body: Some(body) }).body.expect("every command is answered")
}

fn reserve(turns: &mut Turns, turn: &str, most: u64, budget: u64) -> Reply {
    let ask = Reserve {
        turn: turn.to_owned(),
        program: "p".to_owned(),
        budget: Some(budget),
        most,
        ..Reserve::default()
    };
    apply(turns, Body::Reserve(ask))
}

fn settle(turns: &mut Turns, turn: &str, tokens: u64) {
    let settle =
        Settle { turn: turn.to_owned(), program: "p".to_owned(), tokens, ..Settle::default() };
    apply(turns, Body::Settle(settle));
}

fn granted(reply: &Reply) -> bool {
    matches!(reply, Reply::Reserved(_))
}

#[test]
fn reserve_within_budget() {
    let mut turns = Turns::default();
    assert!(granted(&reserve(&mut turns, "a", 60, 100)));
    settle(&mut turns, "a", 40);
    assert!(granted(&reserve(&mut turns, "b", 60, 100)));
}

/// Two concurrent reservations that each fit the budget must not exceed it together.
#[test]
fn reserve_concurrent() {
    let mut turns = Turns::default();
    assert!(granted(&reserve(&mut turns, "a", 60, 100)));
    let second = reserve(&mut turns, "b", 60, 100);
    assert!(matches!(second, Reply::Spent(spent) if spent.spent == 60));
}

/// The entry is killed in the middle of a stream, so the tokens used are unknown. The turn keeps
/// counting with its full reservation.
#[test]
fn reserve_after_lost_entry() {
    let mut turns = Turns::default();
    assert!(granted(&reserve(&mut turns, "lost", 80, 100)));
    assert!(!granted(&reserve(&mut turns, "next", 30, 100)));
    assert!(granted(&reserve(&mut turns, "small", 20, 100)));
}

/// A reservation that is retried after a lost reply counts once.
#[test]
fn reserve_retry() {
    let mut turns = Turns::default();
    assert!(granted(&reserve(&mut turns, "a", 60, 100)));
    assert!(granted(&reserve(&mut turns, "a", 60, 100)));
    assert!(granted(&reserve(&mut turns, "b", 40, 100)), "the retry was reserved twice");
}

#[test]
fn settle_retry() {
    let mut turns = Turns::default();
    reserve(&mut turns, "a", 60, 100);
    settle(&mut turns, "a", 50);
    settle(&mut turns, "a", 50);
    assert!(granted(&reserve(&mut turns, "b", 50, 100)));
}

#[test]
fn reserve_reports_new_program() {
    let mut turns = Turns::default();
    let first = reserve(&mut turns, "a", 10, 100);
    assert!(matches!(first, Reply::Reserved(reserved) if !reserved.under_way));
    let second = reserve(&mut turns, "b", 10, 100);
    assert!(matches!(second, Reply::Reserved(reserved) if reserved.under_way));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Tokens used and reserved never exceed the budget, also after a restored snapshot.
    #[test]
    fn reserve_never_exceeds(steps in prop::collection::vec((0_u8..4, 1_u64..50, 0.0..1.0_f64), 1..80)) {
        let mut turns = Turns::default();
        let (mut open, mut used, budget) = (Vec::<(String, u64)>::new(), 0, 300);
        for (number, (kind, most, part)) in steps.into_iter().enumerate() {
            match kind {
                0 | 1 => {
                    let turn = format!("t{number}");
                    if granted(&reserve(&mut turns, &turn, most, budget)) {
                        open.push((turn, most));
                    }
                }
                2 => if let Some((turn, most)) = open.pop() {
                    let tokens = (most as f64 * part) as u64;
                    used += tokens;
                    settle(&mut turns, &turn, tokens);
                },
                _ => turns = Turns::restore(&turns.snapshot()).expect("a valid snapshot"),
            }
            let reserved: u64 = open.iter().map(|(_, most)| most).sum();
            prop_assert!(used + reserved <= budget);
        }
    }
}

fn ran(prompt: u64, endpoint: &str) -> Option<PromptRun> {
    Some(PromptRun { prompt, endpoint: endpoint.to_owned(), tokens: 100 })
}

fn settle_ran(turns: &mut Turns, turn: &str, run: Option<PromptRun>) {
    let settle =
        Settle { turn: turn.to_owned(), program: "p".to_owned(), ran: run, ..Settle::default() };
    apply(turns, Body::Settle(settle));
}

fn last_run(turns: &mut Turns, turn: &str, prompts: Vec<u64>) -> Option<PromptRun> {
    let ask =
        Reserve { turn: turn.to_owned(), program: "p".to_owned(), prompts, ..Reserve::default() };
    match apply(turns, Body::Reserve(ask)) {
        Reply::Reserved(reserved) => reserved.ran,
        other => panic!("{other:?}"),
    }
}

/// An entry VM that has not seen the program needs the endpoint of its last run. Otherwise the turn
/// may go to an endpoint without the cached prompt, which processes the whole history again.
#[test]
fn reserve_reports_last_run() {
    let mut turns = Turns::default();
    assert_eq!(last_run(&mut turns, "a", vec![1, 2]), None);
    settle_ran(&mut turns, "a", ran(2, "x"));
    assert_eq!(last_run(&mut turns, "b", vec![1, 2]), ran(2, "x"));
    settle_ran(&mut turns, "b", ran(2, "y"));
    assert_eq!(last_run(&mut turns, "c", vec![1, 2]), ran(2, "y"));
}

#[test]
fn reserve_reports_run_of_parent() {
    let mut turns = Turns::default();
    last_run(&mut turns, "a", vec![1, 2]);
    settle_ran(&mut turns, "a", ran(2, "x"));
    assert_eq!(last_run(&mut turns, "helper", vec![1, 2, 3]), ran(2, "x"));
    settle_ran(&mut turns, "helper", ran(3, "z"));
    assert_eq!(last_run(&mut turns, "helper-2", vec![1, 2, 3]), ran(3, "z"));
}

/// The number of runs stored for each program is bounded, and the newest are kept.
#[test]
fn settle_runs_are_bounded() {
    let mut turns = Turns::default();
    for prompt in 0..100 {
        let turn = prompt.to_string();
        last_run(&mut turns, &turn, vec![prompt]);
        settle_ran(&mut turns, &turn, ran(prompt, "x"));
    }
    assert_eq!(last_run(&mut turns, "old", vec![50]), None);
    assert_eq!(last_run(&mut turns, "new", vec![99]), ran(99, "x"));
}

#[test]
fn restore_keeps_runs() {
    let mut turns = Turns::default();
    last_run(&mut turns, "a", vec![2]);
    settle_ran(&mut turns, "a", ran(2, "x"));
    let mut restored = Turns::restore(&turns.snapshot()).expect("a valid snapshot");
    assert_eq!(last_run(&mut restored, "b", vec![2]), ran(2, "x"));
}
