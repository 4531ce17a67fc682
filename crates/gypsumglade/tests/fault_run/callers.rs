//! Callers that run programs, retry failed calls, and record the outcomes that they were given.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use gypsumglade::demo::caller::{ChatCall, HttpAnswer};
use gypsumglade::embedded::wait_until;
use gypsumglade_standin::engine::{Message, answer_text};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::fleet::{Fleet, PATIENCE, VMS};

/// Number of answered calls between two faults.
pub const CALLS_BETWEEN_FAULTS: u64 = 30;
/// Number of concurrent programs.
const WORKERS: u64 = 8;
/// Number of turns of a program.
const TURNS: u64 = 4;
/// Turn after which a program makes its deposit.
const DEPOSIT_AFTER: u64 = 2;
/// Tokens of each answer, as counted by the stand-in.
const ANSWER_TOKENS: u64 = 12;
/// Maximum number of attempts at a call.
const SENDS: usize = 40;
/// Maximum number of attempts at a deposit; one in doubt stays in doubt.
const DEPOSIT_SENDS: usize = 8;
/// Delay before a retry.
const PAUSE: Duration = Duration::from_millis(250);
/// Timeout of one attempt.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Final outcomes, as reported to callers.
#[derive(Debug, Default)]
pub struct Seen {
    pub finished: Vec<String>,
    pub given_up: Vec<String>,
    pub deposits: Vec<Deposit>,
    pub turns: u64,
    pub wrong: Vec<String>,
}

/// Outcome of one caller's deposit.
#[derive(Clone, Debug)]
pub struct Deposit {
    /// Key of the deposit at the service.
    pub key: String,
    pub told: Told,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Done,
    NotRun,
    Unknown,
}

pub struct Load {
    calls: Arc<AtomicU64>,
    stop: CancellationToken,
    workers: Vec<JoinHandle<Seen>>,
}

impl Load {
    pub fn start(fleet: &Arc<Fleet>, seed: u64) -> Load {
        let calls = Arc::new(AtomicU64::new(0));
        let stop = CancellationToken::new();
        let workers = (0..WORKERS).map(|number| {
            let worker = Worker {
                fleet: Arc::clone(fleet),
                calls: Arc::clone(&calls),
                rng: ChaCha8Rng::seed_from_u64(seed ^ (number + 1)),
                seen: Seen::default(),
            };
            tokio::spawn(worker.run(number, stop.clone()))
        });
        let workers = workers.collect();
        Load { calls, stop, workers }
    }

    /// Waits for this many more answers to callers.
    pub async fn wait_calls(&self, more: u64) {
        let wanted = self.calls.load(Ordering::Relaxed) + more;
        let answered = wait_until(PATIENCE, async || self.calls.load(Ordering::Relaxed) >= wanted);
        assert!(answered.await, "callers get no answers any more");
    }

    /// Waits for the programs under way, and returns what callers observed.
    pub async fn finish(self) -> Seen {
        self.stop.cancel();
        let mut all = Seen::default();
        for worker in self.workers {
            let seen = worker.await.expect("a worker ends");
            all.finished.extend(seen.finished);
            all.given_up.extend(seen.given_up);
            all.deposits.extend(seen.deposits);
            all.wrong.extend(seen.wrong);
            all.turns += seen.turns;
        }
        all
    }
}

struct Worker {
    fleet: Arc<Fleet>,
    calls: Arc<AtomicU64>,
    rng: ChaCha8Rng,
    seen: Seen,
}

impl Worker {
    async fn run(mut self, number: u64, stop: CancellationToken) -> Seen {
        let mut count = 0;
        while !stop.is_cancelled() {
            count += 1;
            let program = format!("p{number}-{count}");
            match self.program(&program).await {
                Some(()) => self.seen.finished.push(program),
                None => self.seen.given_up.push(program),
            }
        }
        self.seen
    }

    /// Runs one program; `None` if it was abandoned.
    async fn program(&mut self, program: &str) -> Option<()> {
        let mut history = Vec::new();
        for turn in 1..=TURNS {
            let says = format!("turn {turn} of {program}: {:x}", self.rng.random::<u32>());
            history.push(Message { role: "user".into(), content: Value::from(says.as_str()) });
            let text = self.turn(program, turn, &says).await?;
            let expected = answer_text(&history, ANSWER_TOKENS);
            if text != expected {
                let wrong = format!("{program} turn {turn}: got {text:?}, not {expected:?}");
                self.seen.wrong.push(wrong);
                return None;
            }
            self.seen.turns += 1;
            history.push(Message { role: "assistant".into(), content: Value::from(text) });
            if turn == DEPOSIT_AFTER {
                self.deposit(program).await;
            }
        }
        Some(())
    }

    async fn turn(&mut self, program: &str, turn: u64, says: &str) -> Option<String> {
        let key = format!("{program}-{turn}");
        for _ in 0..SENDS {
            let call = ChatCall {
                program,
                agent: "kit-planner",
                turn,
                model: "advisor",
                says,
                stream: self.rng.random(),
                key: Some(&key),
                output: ANSWER_TOKENS,
                ..ChatCall::default()
            };
            let caller = self.fleet.caller(self.rng.random_range(1..=VMS));
            let answer = tokio::time::timeout(SEND_TIMEOUT, caller.chat(&call)).await;
            match answer.map(|answer| answer.map(|answer| self.read(program, &answer))) {
                Ok(Ok(Read::Whole(text))) => return Some(text),
                Ok(Ok(Read::Final)) => return None,
                Ok(Ok(Read::Again(_)) | Err(_)) | Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
        None
    }

    async fn deposit(&mut self, program: &str) {
        let key = format!("deposit-{program}");
        let mark = ["", "", "", "#late-2500", "#crossed"][self.rng.random_range(0..5_usize)];
        let body = json!({"for": program, "mark": mark});
        let mut told = Told::NotRun;
        for _ in 0..DEPOSIT_SENDS {
            let caller = self.fleet.caller(self.rng.random_range(1..=VMS));
            let path = "booking/deposit";
            let sending = caller.tool(program, "kit-planner", path, &key, body.clone());
            let answer = tokio::time::timeout(SEND_TIMEOUT, sending).await;
            match answer.map(|answer| answer.map(|answer| self.read(program, &answer))) {
                Ok(Ok(Read::Whole(receipt))) => {
                    self.check_receipt(program, &service_key(program, &key), &receipt);
                    told = Told::Done;
                    break;
                }
                Ok(Ok(Read::Final)) => break,
                Ok(Ok(Read::Again(Told::NotRun))) if told == Told::NotRun => {}
                Ok(Ok(Read::Again(_)) | Err(_)) | Err(_) => told = Told::Unknown,
            }
            tokio::time::sleep(PAUSE).await;
        }
        let key = service_key(program, &key);
        self.seen.deposits.push(Deposit { key, told });
    }

    /// Checks that a receipt is the caller's own, also if the service swaps answers.
    fn check_receipt(&mut self, program: &str, key: &str, receipt: &str) {
        let named: Value = serde_json::from_str(receipt).unwrap_or_default();
        if named["key"] != key {
            self.seen.wrong.push(format!("{program}: a receipt of another: {receipt}"));
        }
    }

    /// Reads an answer's status, its outcome, and whether it is complete.
    fn read(&mut self, program: &str, answer: &HttpAnswer) -> Read {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let text = String::from_utf8_lossy(&answer.body);
        if answer.status.is_success() {
            let stream = answer.headers.get("content-type").is_some_and(|kind| {
                kind.to_str().is_ok_and(|kind| kind.starts_with("text/event-stream"))
            });
            if stream && !text.trim_end().ends_with("data: [DONE]") {
                return Read::Again(Told::Unknown);
            }
            let chat = answer.text();
            return Read::Whole(if chat.is_empty() { text.into_owned() } else { chat });
        }
        let body = answer.json();
        let outcome = body.pointer("/error/outcome").and_then(Value::as_str);
        let told = match outcome {
            Some("not-run") => Told::NotRun,
            Some("unknown") => Told::Unknown,
            _ => {
                self.seen.wrong.push(format!("{program}: no outcome in {} {text}", answer.status));
                Told::Unknown
            }
        };
        match answer.status.as_u16() {
            429 | 502 | 503 | 504 => Read::Again(told),
            _ => {
                self.seen.wrong.push(format!("{program}: {} {text}", answer.status));
                Read::Final
            }
        }
    }
}

enum Read {
    Whole(String),
    Again(Told),
    Final,
}

/// Key under which the entry passes a deposit on to the service; see `entry/tool.rs`.
fn service_key(program: &str, key: &str) -> String {
    let text = format!("lens-rental\n{program}\n{key}");
    hex::encode(&Sha256::digest(text.as_bytes())[..16])
}
