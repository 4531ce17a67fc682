//! Invalid input to a program group: damaged entries and snapshots, and arbitrary requests.

#[path = "support/property.rs"]
mod property;
mod support;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program::{Effect, Input, Sequencer, Settings, State};
use gypsumglade_core::wire::program as wire;
use property::{cases, fixed};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use prost::Message as _;
use support::*;

/// Number of generated cases, unless the environment sets another.
const CASES: u32 = 512;

/// Returns a group with turns, calls, a child, an engine crash, an ended program and a lost VM.
fn group() -> Group {
    let mut group = Group::with_settings(1, Settings { escrow_turns: 2, ..Settings::default() });
    group.run_turn("p", "k1", "a", "b");
    group.run_turn("p", "k2", "c", "d");
    let grant = group.grant(call("p", "k3"));
    group.ask(ENTRY, not_run("p", &grant.dispatch));
    let mut child = begin_turn("p/c", "k1", &[user("e")]);
    child.parent = "p".into();
    group.grant(wire::request::Body::BeginTurn(child));
    let grant = group.grant(turn("q", "k1", &[user("f")]));
    group.ask(ENTRY, started("q", &grant.dispatch, "e2"));
    group.ask(ENTRY, crashed("q", &grant.dispatch, "e2"));
    group.grant(turn("r", "k1", &[user("g")]));
    group.run_turn("s", "k1", "h", "i");
    group.ask(ENTRY, end("s"));
    group.step(0, Input::VmGone { vm: ENTRY });
    group
}

/// Damage to a byte string: some bytes are overwritten, and the end may be cut off.
#[derive(Clone, Debug)]
struct Damage {
    at: Index,
    cut: Option<Index>,
    bytes: Vec<(Index, u8)>,
}

fn damage() -> impl Strategy<Value = Damage> {
    let bytes = vec((any::<Index>(), any::<u8>()), 1..4);
    (any::<Index>(), proptest::option::weighted(0.2, any::<Index>()), bytes)
        .prop_map(|(at, cut, bytes)| Damage { at, cut, bytes })
}

impl Damage {
    fn apply(&self, original: &[u8]) -> Bytes {
        let mut bytes = original.to_vec();
        for (at, value) in self.bytes.iter().filter(|_| !original.is_empty()) {
            let at = at.index(bytes.len());
            bytes[at] = *value;
        }
        if let Some(cut) = &self.cut {
            bytes.truncate(cut.index(original.len() + 1));
        }
        bytes.into()
    }
}

/// A sequencer that a log is replayed into, and its effects.
struct Replay {
    sequencer: Sequencer,
    effects: Vec<Effect>,
}

impl Replay {
    fn new() -> Replay {
        Replay { sequencer: Sequencer::new(GroupId(1), Settings::default()), effects: vec![] }
    }

    fn step(&mut self, input: Input) {
        self.sequencer.step(Time::from_millis(90_000), input, &mut self.effects);
    }

    fn halted(&self) -> bool {
        self.effects.iter().any(|effect| matches!(effect, Effect::Halt { .. }))
    }
}

proptest! {
    #![proptest_config(fixed(74, cases(CASES)))]

    #[test]
    fn committed_survives_any_bytes(entries in vec(vec(any::<u8>(), 0..60), 1..6)) {
        let mut replay = Replay::new();
        replay.step(Input::Leading { term: 1 });
        for (index, data) in entries.into_iter().enumerate() {
            replay.step(Input::Committed { index: index as u64 + 1, data: data.into() });
        }
        replay.step(Input::Tick);
    }

    #[test]
    fn committed_survives_a_damaged_entry(damage in damage(), leads in any::<bool>()) {
        // A damaged entry is applied or halts the replica, but never causes a panic. Unless the
        // replica halts, its state can be saved and restored.
        let log = group().log;
        let mut replay = Replay::new();
        if leads {
            replay.step(Input::Leading { term: 1 });
        }
        let damaged = damage.at.index(log.len());
        for (index, data) in log.iter().enumerate() {
            let data = if index == damaged { damage.apply(data) } else { data.clone() };
            replay.step(Input::Committed { index: index as u64 + 1, data });
        }
        replay.step(Input::Tick);
        if !replay.halted() {
            let snapshot = replay.sequencer.state().snapshot();
            prop_assert!(State::new().restore(&snapshot).is_ok());
        }
    }

    #[test]
    fn restored_survives_any_bytes(data in vec(any::<u8>(), 0..200)) {
        let mut replay = Replay::new();
        replay.step(Input::Restored { index: 9, data: data.into() });
        replay.step(Input::Leading { term: 1 });
        replay.step(Input::Tick);
    }

    #[test]
    fn restored_survives_a_damaged_snapshot(damage in damage()) {
        let snapshot = group().leader().state().snapshot();
        let mut replay = Replay::new();
        replay.step(Input::Restored { index: 9, data: damage.apply(&snapshot) });
        replay.step(Input::Leading { term: 1 });
        replay.step(Input::Tick);
        for program in ["p", "p/c", "q", "r", "s"] {
            let _ = replay.sequencer.state().history(&name(program));
        }
    }

    #[test]
    fn request_survives_any_numbers(numbers in vec(any_number(), 8)) {
        let mut group = group();
        let mut turn = begin_turn("t", "k1", &[user("a")]);
        turn.turn = numbers[0];
        turn.max_output = numbers[1];
        turn.max_micros = numbers[2];
        turn.deadline_ms = numbers[3];
        turn.idle_ms = numbers[4];
        turn.prompt_tokens = numbers[5];
        turn.budget = Some(wire::Budget {
            tokens: numbers[6],
            calls: numbers[7],
            millis: numbers[6],
            micros: numbers[7],
        });
        group.send(ENTRY, wire::request::Body::BeginTurn(turn));
        let dispatch = group.leader().state().snapshot();
        prop_assert!(State::new().restore(&dispatch).is_ok());
        for text in ["g1.t1.7", "g1.t1.8", "g1.t1.9"] {
            let usage = wire::Usage {
                prompt_tokens: numbers[0],
                output_tokens: numbers[1],
                micros: numbers[2],
                cached_tokens: numbers[3],
            };
            let mut settle = settle("t", text, gypsumglade_core::wire::common::Outcome::Done);
            settle.usage = Some(usage);
            settle.status = numbers[4] as u32;
            group.send(ENTRY, wire::request::Body::Settle(settle));
        }
        group.step(0, Input::Scores { scores: vec![score(numbers[5]), score(numbers[6])] });
        group.advance(1_000);
    }

    #[test]
    fn request_survives_any_bytes(bytes in vec(any::<u8>(), 0..80)) {
        let Ok(request) = wire::Request::decode(bytes.as_slice()) else { return Ok(()) };
        let mut group = group();
        let body = request.body.unwrap_or_else(|| end("p"));
        group.send(OTHER, body);
        group.advance(100);
    }

    #[test]
    fn begin_survives_any_messages(text in prop_oneof![".{0,60}", "[\\[\\]{}\":,a0 ]{0,60}"]) {
        let mut group = group();
        let mut turn = begin_turn("p", "k9", &[]);
        turn.messages = Bytes::from(text);
        let before = group.history("p");
        let reply = group.ask(ENTRY, wire::request::Body::BeginTurn(turn));
        if let support::ReplyBody::Refused(_) = reply {
            prop_assert_eq!(group.history("p"), before);
        }
    }
}

/// Generates numbers of all sizes, including the limits of `u32` and `u64`.
fn any_number() -> impl Strategy<Value = u64> {
    prop_oneof![
        Just(0),
        Just(1),
        0..5_000_u64,
        Just(u64::from(u32::MAX)),
        Just(u64::MAX),
        any::<u64>()
    ]
}

fn score(number: u64) -> wire::Score {
    let mut score =
        wire::Score { digest: Bytes::from(vec![number as u8; 32]), ..Default::default() };
    score.deaths = number as u32;
    score
}

#[test]
fn scores_at_the_maximum_do_not_overflow() {
    // A faulty store can report a score of 2^32-1 deaths, which enters the log. The next crash
    // must not overflow it, since that would hit every replica and again after each restart.
    let mut group = Group::new(1);
    let crash = |group: &mut Group, program: &str| {
        let grant = group.grant(turn(program, "k1", &[user("deadly")]));
        group.ask(ENTRY, started(program, &grant.dispatch, "e1"));
        group.ask(ENTRY, crashed(program, &grant.dispatch, "e1"));
    };
    let grant = group.grant(turn("b", "k1", &[user("deadly")]));
    crash(&mut group, "a");
    let scored = group.effects.iter().find_map(|effect| match effect {
        Effect::Scored { score } => Some(score.clone()),
        _ => None,
    });
    let mut score = scored.expect("the crash is scored");
    (score.deaths, score.blame, score.at_ms) = (u32::MAX, u32::MAX, u64::MAX);
    group.step(0, Input::Scores { scores: vec![score] });
    group.ask(ENTRY, started("b", &grant.dispatch, "e2"));
    group.ask(ENTRY, crashed("b", &grant.dispatch, "e2"));
    let reply = group.ask(ENTRY, turn("c", "k1", &[user("deadly")]));
    let support::ReplyBody::Refused(refused) = reply else { panic!("{reply:?}") };
    assert_eq!(refused.code(), wire::Refusal::Quarantined);
}
