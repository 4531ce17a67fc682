//! Turns that callers continue.

use bytes::Bytes;
use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, Kept, Reserve, Settle};

const RETENTION: u64 = 60_000;

fn apply(turns: &mut Turns, body: Body) -> Reply {
    turns.apply(&Command { body: Some(body) }).body.expect("every command is answered")
}

fn keep(turns: &mut Turns, now: u64, turn: &str, previous: &str, text: &str) {
    let (input, output) = (format!("<{text}>"), format!("[{text}]"));
    let kept = Kept {
        previous: previous.to_owned(),
        input: input.into(),
        output: output.into(),
        retention_ms: RETENTION,
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

fn history(turns: &mut Turns, now: u64, previous: &str, held: bool) -> Option<Bytes> {
    let ask = Reserve {
        turn: format!("after-{previous}-{now}"),
        program: "p".to_owned(),
        previous: previous.to_owned(),
        now_ms: now,
        held,
        ..Reserve::default()
    };
    match apply(turns, Body::Reserve(ask)) {
        Reply::Reserved(reserved) => Some(reserved.history),
        Reply::Unknown(_) => None,
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn history_of_start() {
    let mut turns = Turns::default();
    assert_eq!(history(&mut turns, 1, "", false), Some(Bytes::new()));
}

#[test]
fn history_in_order() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "", "one");
    keep(&mut turns, 2, "b", "a", "two");
    assert_eq!(history(&mut turns, 3, "b", false).expect("kept"), "<one>[one]<two>[two]");
}

/// Sub-agents continue the turn that started them, several at a time. Each must get its parent's
/// history and none of its siblings'.
#[test]
fn history_of_forks() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "root", "", "root");
    keep(&mut turns, 2, "left", "root", "left");
    keep(&mut turns, 2, "right", "root", "right");
    assert_eq!(history(&mut turns, 3, "left", false).expect("kept"), "<root>[root]<left>[left]");
    assert_eq!(history(&mut turns, 3, "right", false).expect("kept"), "<root>[root]<right>[right]");
}

#[test]
fn history_unknown() {
    let mut turns = Turns::default();
    assert_eq!(history(&mut turns, 1, "never", false), None);
    assert_eq!(history(&mut turns, 1, "never", true), None, "held or not");
}

/// A caller pauses for nearly a minute before each turn. The first turn would be forgotten by its
/// own time while the conversation goes on.
#[test]
fn history_kept_with_chain() {
    let mut turns = Turns::default();
    keep(&mut turns, 0, "a", "", "one");
    keep(&mut turns, RETENTION - 1, "b", "a", "two");
    keep(&mut turns, 2 * RETENTION - 2, "c", "b", "three");
    let found = history(&mut turns, 3 * RETENTION - 3, "c", false).expect("kept");
    assert_eq!(found, "<one>[one]<two>[two]<three>[three]");
}

#[test]
fn history_expired() {
    let mut turns = Turns::default();
    keep(&mut turns, 0, "a", "", "one");
    assert!(history(&mut turns, RETENTION - 1, "a", false).is_some());
    assert!(history(&mut turns, RETENTION, "a", false).is_none());
}

/// Leadership moves to a store whose clock is behind. What had expired must not come back.
#[test]
fn history_clock_behind() {
    let mut turns = Turns::default();
    keep(&mut turns, 0, "a", "", "one");
    assert!(history(&mut turns, RETENTION, "a", false).is_none());
    assert!(history(&mut turns, RETENTION - 5_000, "a", false).is_none());
}

#[test]
fn history_held_is_not_sent() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "", "one");
    assert_eq!(history(&mut turns, 2, "a", true), Some(Bytes::new()));
}

#[test]
fn restore_whole() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "", "one");
    keep(&mut turns, 2, "b", "a", "two");
    let mut restored = Turns::restore(&turns.snapshot()).expect("readable");
    assert_eq!(history(&mut restored, 3, "b", false).expect("kept"), "<one>[one]<two>[two]");
    assert_eq!(restored.kept(), 2);
}

#[test]
fn restore_damaged() {
    assert!(Turns::restore(&Bytes::from_static(b"\xff\xff\xff")).is_err());
}
