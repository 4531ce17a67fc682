//! Turns that callers continue.

use bytes::Bytes;
use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, Kept, Reserve, Settle, TextQuery};

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

fn history(turns: &mut Turns, now: u64, previous: &str, held: bool) -> Option<Bytes> {
    match reserve(turns, now, previous, held) {
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

/// A store that lost its disk is sent the group's state without text. Until the text has come it
/// must not hand out a history with holes, nor say that the turn is not kept: its asker is told
/// that it can't be told, and asks again.
#[test]
fn history_without_text() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "", "one");
    keep(&mut turns, 2, "b", "a", "two");
    let mut light = Turns::restore(&turns.snapshot_textless()).expect("readable");
    assert!(light.snapshot().len() < turns.snapshot().len());
    assert!(matches!(reserve(&mut light, 3, "b", false), Reply::Uncertain(_)));
    assert!(matches!(reserve(&mut light, 3, "b", true), Reply::Reserved(_)), "the asker has it");
    assert!(matches!(reserve(&mut light, 3, "never", false), Reply::Unknown(_)));

    assert_eq!(light.lacking("", 10), ["a", "b"]);
    assert_eq!(light.lacking("a", 10), ["b"]);
    let query = TextQuery { turns: vec!["a".to_owned(), "b".to_owned(), "gone".to_owned()] };
    assert!(light.texts(&query).turns.is_empty());
    light.fill(turns.texts(&query));
    assert!(light.lacking("", 10).is_empty());
    assert_eq!(history(&mut light, 4, "b", false).expect("kept"), "<one>[one]<two>[two]");
}

/// One store has a turn's text and another does not. What a command does to the budgets must be the
/// same at both, or they would part for good.
#[test]
fn reserve_alike_without_text() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "", "one");
    let mut light = Turns::restore(&turns.snapshot_textless()).expect("readable");
    for store in [&mut turns, &mut light] {
        reserve(store, 2, "a", false);
    }
    light.fill(turns.texts(&TextQuery { turns: vec!["a".to_owned()] }));
    assert_eq!(light.snapshot(), turns.snapshot());
}

#[test]
fn lacking_ends_with_retention() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "", "one");
    let mut light = Turns::restore(&turns.snapshot_textless()).expect("readable");
    reserve(&mut light, 2 * RETENTION, "", false);
    assert!(light.lacking("", 10).is_empty());
}

/// A store is restarted before all text has come, from the snapshot that it wrote meanwhile.
#[test]
fn restore_still_lacking() {
    let mut turns = Turns::default();
    keep(&mut turns, 1, "a", "", "one");
    let light = Turns::restore(&turns.snapshot_textless()).expect("readable");
    let again = Turns::restore(&light.snapshot()).expect("readable");
    assert_eq!(again.lacking("", 10), ["a"]);
}
