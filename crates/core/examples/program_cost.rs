//! What a program group costs: memory for each program and key, and entries and grants a second.
//!
//! Run with `cargo run --release -p gypsumglade-core --example program_cost`. The results and what
//! follows from them are in docs/measurements/programs.md.

use std::time::Instant;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program::{Effect, Input, QualifiedName, RequestToken, Sequencer, Settings};
use gypsumglade_core::wire::common::Outcome;
use gypsumglade_core::wire::program as wire;
use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::request::Body;

/// Programs of each run.
const PROGRAMS: usize = 10_000;
/// Bytes of one user message and of one answer.
const TEXT: usize = 400;
/// Turns, or service calls, of each program in the larger runs.
const CALLS: usize = 8;
/// Turns of the long program, and bytes of each of their messages: 600 KB in all.
const LONG_TURNS: usize = 76;
/// Bytes of each message of the long program.
const LONG_TEXT: usize = 3_950;
/// Scans for what is due that are timed.
const SCANS: u32 = 10;
/// The VM that asks.
const VM: VmId = VmId(1);

/// A group of one replica whose log commits at once.
struct Bench {
    sequencer: Sequencer,
    now: Time,
    index: u64,
    token: u64,
    entries: u64,
    bytes: u64,
    /// Grants that did not wait for a commit.
    early: u64,
}

impl Bench {
    fn new(escrow_turns: u64) -> Bench {
        let settings = Settings { escrow_turns, ..Settings::default() };
        let sequencer = Sequencer::new(GroupId(1), settings);
        let now = Time::from_millis(1);
        let mut bench =
            Bench { sequencer, now, index: 0, token: 0, entries: 0, bytes: 0, early: 0 };
        bench.step(Input::Leading { term: 1 });
        bench
    }

    /// Takes an input and commits what follows from it; returns the last reply.
    fn step(&mut self, input: Input) -> Option<ReplyBody> {
        self.now = self.now + Duration::from_micros(10);
        let mut out = vec![];
        let mut reply = None;
        self.sequencer.step(self.now, input, &mut out);
        let granted = |effect: &Effect| match effect {
            Effect::Reply { reply, .. } => matches!(reply.body, Some(ReplyBody::Grant(_))),
            _ => false,
        };
        self.early += out.iter().filter(|effect| granted(effect)).count() as u64;
        while let Some(effect) = out.pop() {
            match effect {
                Effect::Propose { data, .. } => {
                    self.index += 1;
                    self.entries += 1;
                    self.bytes += data.len() as u64;
                    let input = Input::Committed { index: self.index, data };
                    self.sequencer.step(self.now, input, &mut out);
                }
                Effect::Reply { reply: got, .. } => reply = got.body,
                _ => {}
            }
        }
        reply
    }

    fn ask(&mut self, body: Body) -> Option<ReplyBody> {
        self.token += 1;
        let token = RequestToken(self.token);
        let request = wire::Request { body: Some(body) };
        self.step(Input::Request { token, from: VM, request })
    }

    fn turn(&mut self, program: usize, turn: usize) {
        let user = serde_json::json!([{"role": "user", "content": "u".repeat(TEXT)}]);
        let begin = wire::BeginTurn {
            program: program_ref(program),
            key: format!("turn-{turn}"),
            messages: Bytes::from(user.to_string()),
            budget: Some(wire::Budget { tokens: 1_000_000, calls: 200, ..Default::default() }),
            max_output: 100,
            ..wire::BeginTurn::default()
        };
        let reply = self.ask(Body::BeginTurn(begin));
        let answer = serde_json::json!({"role": "assistant", "content": "a".repeat(TEXT)});
        self.settle(program, reply, answer.to_string());
    }

    fn call(&mut self, program: usize, call: usize) {
        let begin = wire::BeginCall {
            program: program_ref(program),
            key: format!("call-{call}"),
            service: "booking".into(),
            operation: "reserve".into(),
            digest: Bytes::from_static(b"0123456789abcdef"),
            ..wire::BeginCall::default()
        };
        let reply = self.ask(Body::BeginCall(begin));
        self.settle(program, reply, "{\"booked\":true}".into());
    }

    fn settle(&mut self, program: usize, reply: Option<ReplyBody>, answer: String) {
        let Some(ReplyBody::Grant(grant)) = reply else { panic!("no grant: {reply:?}") };
        let settle = wire::Settle {
            program: program_ref(program),
            dispatch: grant.dispatch,
            outcome: Outcome::Done.into(),
            answer: Bytes::from(answer),
            status: 200,
            endpoint: "engine-1".into(),
            ..wire::Settle::default()
        };
        self.ask(Body::Settle(settle));
    }
}

fn program_ref(program: usize) -> Option<wire::ProgramRef> {
    let name =
        QualifiedName { org: "organisation".into(), program: format!("program-{program}").into() };
    Some(name.to_wire())
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    let digits: String = line.chars().filter(char::is_ascii_digit).collect();
    digits.parse::<u64>().unwrap_or(0) * 1_024
}

/// Runs one load and prints what it cost.
fn measure(name: &str, escrow_turns: u64, calls: usize, load: impl Fn(&mut Bench, usize)) -> Bench {
    let before = resident();
    let mut bench = Bench::new(escrow_turns);
    let start = Instant::now();
    for program in 0..PROGRAMS {
        load(&mut bench, program);
    }
    let seconds = start.elapsed().as_secs_f64();
    let grown = resident().saturating_sub(before);
    let total = (PROGRAMS * calls) as f64;
    println!(
        "{name}: {:.0} bytes a program, {:.0} calls/s, {:.2} entries a call, {:.0} log bytes a \
         call, {:.2} commits waited for before a grant",
        grown as f64 / PROGRAMS as f64,
        total / seconds,
        bench.entries as f64 / total,
        bench.bytes as f64 / total,
        1.0 - bench.early as f64 / total
    );
    bench
}

fn main() {
    // Each load in turn; earlier ones stay in memory, so that freed pages are not counted twice.
    let eight_turns = |b: &mut Bench, p| (0..CALLS).for_each(|turn| b.turn(p, turn));
    let eight_calls = |b: &mut Bench, p| (0..CALLS).for_each(|call| b.call(p, call));
    let _one = measure("one turn a program", 0, 1, |b, p| b.turn(p, 0));
    let turns = measure("eight turns a program", 0, CALLS, eight_turns);
    let few = measure("the same, escrow of 4 turns", 4, CALLS, eight_turns);
    let many = measure("the same, escrow of 16 turns", 16, CALLS, eight_turns);
    let _call = measure("one service call a program", 0, 1, |b, p| b.call(p, 0));
    let _calls = measure("eight service calls a program", 0, CALLS, eight_calls);
    print_escrow(4, &few);
    print_escrow(16, &many);
    print_snapshot(&turns);
    print_scan(turns);
    print_long();
}

/// Prints what an escrow holds that a leader change may cost.
fn print_escrow(turns: u64, bench: &Bench) {
    let name = QualifiedName { org: "organisation".into(), program: "program-0".into() };
    let held = bench.sequencer.state().consumed(&name).unwrap_or_default().1;
    println!(
        "left in an escrow of {turns} turns after the eighth: {} of 1000000 tokens, {} of 200 calls",
        held.tokens, held.calls
    );
}

/// Prints what a snapshot costs, and one program's history.
fn print_snapshot(turns: &Bench) {
    let start = Instant::now();
    let snapshot = turns.sequencer.state().snapshot();
    let taken = start.elapsed().as_secs_f64();
    let mut state = gypsumglade_core::program::State::new();
    let start = Instant::now();
    let restored = state.restore(&snapshot);
    assert!(restored.is_ok(), "a snapshot restores");
    println!(
        "snapshot of eight turns: {:.0} bytes a program, taken in {taken:.3} s, restored in {:.3} s",
        snapshot.len() as f64 / PROGRAMS as f64,
        start.elapsed().as_secs_f64()
    );
    let name = QualifiedName { org: "organisation".into(), program: "program-0".into() };
    let memory = turns.sequencer.state().history_memory(&name).unwrap_or(0);
    println!("history of eight turns of {TEXT} + {TEXT} bytes of text: {memory} bytes");
}

/// Prints what a look for deadlines, idle programs and lost grants costs.
fn print_scan(mut idle: Bench) {
    let start = Instant::now();
    for _ in 0..SCANS {
        idle.now = idle.now + Duration::from_millis(500);
        let mut out = vec![];
        idle.sequencer.step(idle.now, Input::Tick, &mut out);
    }
    let scan = start.elapsed().as_secs_f64() / f64::from(SCANS);
    println!("scan of {PROGRAMS} live programs, twice a second: {:.2} ms", scan * 1_000.0);
}

/// Prints what one turn costs at the end of a long history, sent in part and in whole.
fn print_long() {
    let mut bench = Bench::new(0);
    let user = |text: String| serde_json::json!({"role": "user", "content": text});
    let answer = serde_json::json!({"role": "assistant", "content": "a".repeat(LONG_TEXT)});
    let mut whole = vec![];
    for turn in 0..LONG_TURNS {
        let message = user(format!("{turn}{}", "u".repeat(LONG_TEXT)));
        bench.long_turn(turn, std::slice::from_ref(&message), &answer);
        whole.extend([message, answer.clone()]);
    }
    let start = Instant::now();
    bench.long_turn(LONG_TURNS, &[user("part".into())], &answer);
    let part = start.elapsed().as_secs_f64();
    whole.extend([user("part".into()), answer.clone(), user("whole".into())]);
    let start = Instant::now();
    bench.long_turn(LONG_TURNS + 1, &whole, &answer);
    let all = start.elapsed().as_secs_f64();
    let bytes = serde_json::Value::from(whole).to_string().len();
    println!(
        "turn after {bytes} bytes of history: {:.2} ms sent in part, {:.2} ms in whole",
        part * 1_000.0,
        all * 1_000.0
    );
}

impl Bench {
    fn long_turn(&mut self, turn: usize, list: &[serde_json::Value], answer: &serde_json::Value) {
        let begin = wire::BeginTurn {
            program: program_ref(0),
            key: format!("turn-{turn}"),
            messages: Bytes::from(serde_json::Value::from(list.to_vec()).to_string()),
            max_output: 100,
            ..wire::BeginTurn::default()
        };
        let reply = self.ask(Body::BeginTurn(begin));
        self.settle(0, reply, answer.to_string());
    }
}
