//! Chains of turns that callers continue, and their retention.

use bytes::Bytes;
use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, Copied, Holding, Kept, PromptRun, Reserve, Settle};

const RETENTION_MS: u64 = 60_000;

fn apply(turns: &mut Turns, body: Body) -> Reply {
    turns.apply(&Command { body: Some(body) }).body.expect("every command is answered")
}

/// Stores that hold the texts of all turns.
const HOLDERS: [u32; 2] = [3, 8];
/// Bytes of each turn's text.
const TEXT_BYTES: u64 = 18_000;

fn keep(turns: &mut Turns, now: u64, turn: &str, previous: &str) {
    let kept = Kept {
        previous: previous.to_owned(),
        retention_ms: RETENTION_MS,
        holders: HOLDERS.to_vec(),
        bytes: TEXT_BYTES,
    };
    let settle = Settle {
        turn: turn.to_owned(),
        program: "p".to_owned(),
        tokens: 0,
        kept: Some(kept),
        now_ms: now,
        ran: None,
    };
    apply(turns, Body::Settle(settle));
}

fn reserve(turns: &mut Turns, now: u64, previous: &str, held: bool) -> Reply {
    let ask = Reserve {
        turn: format!("after-{previous}-{now}"),
        program: "p".to_owned(),
        previous: previous.to_owned(),
        now_ms: now,
        held,
        ..Reserve::default()
    };
    apply(turns, Body::Reserve(ask))
}

/// Returns the chain that ends with `previous`, oldest turn first, or `None` if it is not kept. The
/// chain is empty if the entry already holds it.
fn chain(turns: &mut Turns, now: u64, previous: &str, held: bool) -> Option<Vec<String>> {
    match reserve(turns, now, previous, held) {
        Reply::Reserved(reserved) => {
            assert!(reserved.chain.iter().all(|turn| turn.holders == HOLDERS));
            Some(reserved.chain.into_iter().map(|turn| turn.turn).collect())
        }
        Reply::Unknown(_) => None,
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn chain_of_start() {
    let mut turns = Turns::default();
    assert_eq!(chain(&mut turns, 1, "", false), Some(Vec::new()));
}

#[test]
fn chain_in_order() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "");
    keep(&mut turns, 2, "b", "a");
    assert_eq!(chain(&mut turns, 3, "b", false).expect("kept"), ["a", "b"]);
}

/// Several turns may continue the same one. Each has its parent's history and not its siblings'.
#[test]
fn chain_of_forks() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "root", "");
    keep(&mut turns, 2, "left", "root");
    keep(&mut turns, 2, "right", "root");
    assert_eq!(chain(&mut turns, 3, "left", false).expect("kept"), ["root", "left"]);
    assert_eq!(chain(&mut turns, 3, "right", false).expect("kept"), ["root", "right"]);
}

#[test]
fn chain_unknown() {
    let mut turns = Turns::default();
    assert_eq!(chain(&mut turns, 1, "never", false), None);
    assert_eq!(
        chain(&mut turns, 1, "never", true),
        None,
        "a caller that holds the text doesn't make the turn known"
    );
}

/// Each new turn extends the retention of its whole chain.
#[test]
fn chain_retained_with_last() {
    let mut turns = Turns::default();
    keep(&mut turns, 0, "a", "");
    keep(&mut turns, RETENTION_MS - 1, "b", "a");
    keep(&mut turns, 2 * RETENTION_MS - 2, "c", "b");
    let found = chain(&mut turns, 3 * RETENTION_MS - 3, "c", false).expect("kept");
    assert_eq!(found, ["a", "b", "c"]);
}

#[test]
fn chain_expired() {
    let mut turns = Turns::default();
    keep(&mut turns, 0, "a", "");
    assert!(chain(&mut turns, RETENTION_MS - 1, "a", false).is_some());
    assert!(chain(&mut turns, RETENTION_MS, "a", false).is_none());
}

/// A turn that was reserved just before the previous one expires, and settled after that, still has
/// its whole chain.
#[test]
fn chain_expired_while_continued() {
    let mut turns = Turns::default();
    keep(&mut turns, 0, "a", "");
    assert!(chain(&mut turns, RETENTION_MS - 1, "a", false).is_some());
    keep(&mut turns, RETENTION_MS + 10_000, "b", "a");
    let found = chain(&mut turns, 2 * RETENTION_MS, "b", false).expect("kept");
    assert_eq!(found, ["a", "b"]);
}

/// A new leader with a clock that is behind must not restore expired turns.
#[test]
fn chain_clock_behind() {
    let mut turns = Turns::default();
    keep(&mut turns, 0, "a", "");
    assert!(chain(&mut turns, RETENTION_MS, "a", false).is_none());
    assert!(chain(&mut turns, RETENTION_MS - 5_000, "a", false).is_none());
}

#[test]
fn chain_held_is_not_sent() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "");
    assert_eq!(chain(&mut turns, 2, "a", true), Some(Vec::new()));
}

/// Holders delete texts of turns that are not kept. Turns whose retention was extended, or that a
/// turn in flight may still continue, must be reported as kept.
#[test]
fn still_kept_with_chain() {
    let mut turns = Turns::default();
    keep(&mut turns, 0, "a", "");
    keep(&mut turns, 0, "alone", "");
    keep(&mut turns, RETENTION_MS - 1, "b", "a");
    chain(&mut turns, RETENTION_MS + 1_000, "", false);
    let asked = ["a", "alone", "never"].map(str::to_owned);
    let left: Vec<(String, bool)> = turns
        .still_kept(&asked)
        .into_iter()
        .map(|kept| (kept.turn, kept.left_ms > RETENTION_MS))
        .collect();
    assert_eq!(left, [("a".to_owned(), true), ("alone".to_owned(), false)]);
    chain(&mut turns, 2 * RETENTION_MS, "", false);
    let kept: Vec<String> = turns.still_kept(&asked).into_iter().map(|kept| kept.turn).collect();
    assert_eq!(kept, ["a"]);
}

#[test]
fn copied_changes_holders() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "");
    let moved = Holding { turn: "a".to_owned(), holders: vec![3, 9], bytes: TEXT_BYTES };
    let gone = Holding { turn: "never".to_owned(), ..moved.clone() };
    let copied = Copied { turns: vec![moved.clone(), gone], now_ms: 2 };
    assert!(matches!(apply(&mut turns, Body::Copied(copied)), Reply::Settled(_)));
    let Reply::Reserved(reserved) = reserve(&mut turns, 3, "a", false) else {
        panic!("the turn is not kept")
    };
    // The previous holder may only be unavailable, so it stays listed last.
    let known = Holding { holders: vec![3, 9, 8], ..moved };
    assert_eq!(reserved.chain, [known]);
    assert_eq!(turns.kept(), 1);
}

#[test]
fn restore_whole() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "");
    keep(&mut turns, 2, "b", "a");
    let mut restored = Turns::restore(&turns.snapshot()).expect("a valid snapshot");
    assert_eq!(restored.snapshot(), turns.snapshot());
    assert_eq!(chain(&mut restored, 3, "b", false).expect("kept"), ["a", "b"]);
    assert_eq!(restored.kept(), 2);
}

#[test]
fn restore_damaged() {
    assert!(Turns::restore(&Bytes::from_static(b"\xff\xff\xff")).is_err());
}

/// Each voter holds the state and a snapshot in memory, so neither may grow with the callers'
/// texts.
#[test]
fn snapshot_without_text() {
    const TURNS: usize = 1_000;
    const MAX_TURN_BYTES: usize = 256;
    let mut turns = Turns::default();
    for number in 0..TURNS {
        keep(&mut turns, 1, &format!("{number:016x}"), &format!("{:016x}", number / 2));
    }
    assert!(turns.snapshot().len() < TURNS * MAX_TURN_BYTES);
}

/// Runs are most of a program's state and useless once engines have evicted the prompts, so they
/// expire before the budgets do.
#[test]
fn runs_expire_before_budgets() {
    const PROGRAMS: usize = 100;
    let mut turns = Turns::default();
    for number in 0..PROGRAMS {
        let turn = number.to_string();
        let ask = Reserve { turn: turn.clone(), program: turn.clone(), ..Reserve::default() };
        apply(&mut turns, Body::Reserve(Reserve { now_ms: 1, ..ask }));
        for prompt in 0..16 {
            let ran = PromptRun { prompt, endpoint: "engine".to_owned(), tokens: 10_000 };
            let (turn, program) = (turn.clone(), turn.clone());
            let settle = Settle { turn, program, now_ms: 1, ran: Some(ran), ..Settle::default() };
            apply(&mut turns, Body::Settle(settle));
        }
    }
    let busy = turns.snapshot().len();
    chain(&mut turns, 60_000, "", false);
    assert_eq!(turns.programs(), PROGRAMS + 1, "the budgets of programs must still be kept");
    assert!(turns.snapshot().len() < busy / 4);
}
