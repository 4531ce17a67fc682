//! Turns whose stream outlasts the retention of the turn that they continue.

use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, Kept, Reserve, Settle};

const RETENTION_MS: u64 = 60_000;
/// A gateway's default limit on the duration of a request, in milliseconds.
const MAX_STREAM_MS: u64 = 300_000;

fn apply(turns: &mut Turns, body: Body) -> Reply {
    turns.apply(&Command { body: Some(body) }).body.expect("every command is answered")
}

fn reserve(turns: &mut Turns, now_ms: u64, turn: &str, previous: &str) -> Reply {
    let (turn, previous) = (turn.to_owned(), previous.to_owned());
    let program = "p".to_owned();
    let ask =
        Reserve { turn, previous, program, now_ms, lasts_ms: MAX_STREAM_MS, ..Reserve::default() };
    apply(turns, Body::Reserve(ask))
}

fn settle(turns: &mut Turns, now_ms: u64, turn: &str, previous: &str) {
    let kept = Kept {
        previous: previous.to_owned(),
        retention_ms: RETENTION_MS,
        holders: vec![1, 2, 3],
        bytes: 18_000,
    };
    let turn = turn.to_owned();
    let settle =
        Settle { turn, program: "p".to_owned(), now_ms, kept: Some(kept), ..Settle::default() };
    apply(turns, Body::Settle(settle));
}

/// A stream ends after the retention and grace of the previous turn, which was kept when the stream
/// began. The caller must be able to continue the conversation.
#[test]
fn chain_after_longest_stream() {
    let mut turns = Turns::default();
    settle(&mut turns, 1, "first", "");
    let began = RETENTION_MS - 1;
    assert!(matches!(reserve(&mut turns, began, "second", "first"), Reply::Reserved(_)));
    let ended = began + MAX_STREAM_MS;
    // Commands of other turns remove expired state.
    reserve(&mut turns, ended - 1, "other", "");
    // Its holders ask whether to keep its text, and the state is restored from a snapshot.
    assert_eq!(turns.still_kept(&["first".to_owned()]).len(), 1);
    turns = Turns::restore(&turns.snapshot()).expect("a valid snapshot");
    assert!(matches!(reserve(&mut turns, ended - 1, "late", "first"), Reply::Unknown(_)));
    settle(&mut turns, ended, "second", "first");
    let next = reserve(&mut turns, ended + 1, "third", "second");
    assert!(
        matches!(next, Reply::Reserved(_)),
        "the turn that just ended can't be continued: {next:?}"
    );
}
