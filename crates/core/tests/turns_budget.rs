//! Token budgets that entry VMs share.

use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, Reserve, Settle};
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

/// Two entries ask at once for turns of one program that together exceed its budget. Each by itself
/// fits; if both ran, the program would have more than it was signed off for.
#[test]
fn reserve_two_at_once() {
    let mut turns = Turns::default();
    assert!(granted(&reserve(&mut turns, "a", 60, 100)));
    let second = reserve(&mut turns, "b", 60, 100);
    assert!(matches!(second, Reply::Spent(spent) if spent.spent == 60));
}

/// An entry is killed in the middle of a stream. Nobody knows what it handed out, so its turn goes
/// on counting with the most that it could have.
#[test]
fn reserve_after_lost_entry() {
    let mut turns = Turns::default();
    assert!(granted(&reserve(&mut turns, "lost", 80, 100)));
    assert!(!granted(&reserve(&mut turns, "next", 30, 100)));
    assert!(granted(&reserve(&mut turns, "small", 20, 100)));
}

/// The answer to a reservation is lost and the entry asks again, perhaps another store.
#[test]
fn reserve_again() {
    let mut turns = Turns::default();
    assert!(granted(&reserve(&mut turns, "a", 60, 100)));
    assert!(granted(&reserve(&mut turns, "a", 60, 100)));
    assert!(granted(&reserve(&mut turns, "b", 40, 100)), "set aside once");
}

#[test]
fn settle_again() {
    let mut turns = Turns::default();
    reserve(&mut turns, "a", 60, 100);
    settle(&mut turns, "a", 50);
    settle(&mut turns, "a", 50);
    assert!(granted(&reserve(&mut turns, "b", 50, 100)));
}

#[test]
fn reserve_tells_new_programs() {
    let mut turns = Turns::default();
    let first = reserve(&mut turns, "a", 10, 100);
    assert!(matches!(first, Reply::Reserved(reserved) if !reserved.under_way));
    let second = reserve(&mut turns, "b", 10, 100);
    assert!(matches!(second, Reply::Reserved(reserved) if reserved.under_way));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever is asked, resent, settled, lost or restored from a snapshot, the tokens handed out
    /// never exceed the budget.
    #[test]
    fn reserve_never_exceeds(steps in prop::collection::vec((0_u8..4, 1_u64..50, 0.0..1.0_f64), 1..80)) {
        let mut turns = Turns::default();
        let (mut open, mut handed, budget) = (Vec::<(String, u64)>::new(), 0, 300);
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
                    handed += tokens;
                    settle(&mut turns, &turn, tokens);
                },
                _ => turns = Turns::restore(&turns.snapshot()).expect("readable"),
            }
            let in_doubt: u64 = open.iter().map(|(_, most)| most).sum();
            prop_assert!(handed + in_doubt <= budget);
        }
    }
}
