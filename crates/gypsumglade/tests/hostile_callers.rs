//! Callers of the chat interface that stop short of the end of what they send, against real processes.
//!
//! A test checks what doesn't depend on the machine's speed: that the process lives, its memory and
//! descriptors, and that an ordinary call is answered while the crowd is still connected.

#[path = "support/crowd.rs"]
mod crowd;
#[path = "fault_run/fleet.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod fleet;
#[path = "fault_run/outside.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod outside;

use std::sync::{Arc, Mutex, PoisonError};

use crowd::{Crowd, Script, Watch};
use fleet::{Fleet, PATIENCE, Role};
use gypsumglade::demo::caller::ChatCall;
use gypsumglade::embedded::wait_until;
use outside::Outside;

/// Limits of a machine on which a small crowd shows what has no bound.
const SMALL: &str = "limits: { memory_mb: 64, open_files: 500 }\n";
/// Memory of that machine.
const MOST_MEMORY: u64 = 64_000_000;
/// Descriptors of that machine that are not kept for files.
const MOST_DESCRIPTORS: usize = 300;
/// Largest body that callers may send.
const BODY_BYTES: usize = 4 << 20;
/// Connections that send no body: more than the machine has descriptors for.
const MANY: usize = 400;
/// Bodies at once: more than the memory of the machine.
const BODIES: usize = 24;
/// VM that the crowd calls.
const VM: u32 = 2;
/// Seed of the loopback network, which only tells runs apart.
const SEED: u64 = 69;

/// Fleets run one at a time, since two would slow each other down.
static TURN: Mutex<()> = Mutex::new(());

/// Returns the head of a chat call with a header that names its framing.
fn head(framing: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: any\r\nAuthorization: Bearer {}\r\n\
         Content-Type: application/json\r\n{framing}\r\n",
        fleet::API_KEY
    )
}

/// Plays one kind of client against an entry of a small machine.
fn play(count: usize, script: &Script) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let fleet = Arc::new(Fleet::start_with(SEED, SMALL));
        let outside = Outside::start(&fleet).await;
        outside.roll(&fleet, "1.0.0", "first").await;
        fleet.wait_ready().await;
        let process = fleet.id(Role::Entry(VM));
        let watch = Watch::start(process);
        let crowd = Crowd::start(&fleet.callers_address(VM), count, script);
        crowd.until_quiet(process).await;
        assert!(wait_until(PATIENCE, async || is_served(&fleet).await).await, "no ordinary call");
        let peak = watch.stop();
        println!("{peak:?}");
        assert!(fleet.is_alive(Role::Entry(VM)), "the process has ended");
        assert!(peak.memory <= MOST_MEMORY, "{peak:?}");
        assert!(peak.descriptors <= MOST_DESCRIPTORS, "{peak:?}");
        drop(crowd);
    });
}

async fn is_served(fleet: &Fleet) -> bool {
    let call = ChatCall {
        program: "ordinary",
        agent: "kit-planner",
        turn: 1,
        model: "advisor",
        says: "hello",
        key: Some("ordinary-1"),
        ..ChatCall::default()
    };
    fleet.caller(VM).chat(&call).await.is_ok_and(|answer| answer.status.is_success())
}

/// Connections that sent nothing took all descriptors.
#[test]
fn chat_silent_connections() {
    play(MANY, &Script::once(""));
}

/// Heads without their end took all descriptors.
#[test]
fn chat_heads_unfinished() {
    let head = head("");
    play(MANY, &Script::once(format!("{}\r\nX-More: {}", head.trim_end(), "a".repeat(15_000))));
}

/// Large bodies short of their end had no bound in all.
#[test]
fn chat_bodies_whole() {
    let start = head(&format!("Content-Length: {BODY_BYTES}\r\n"));
    play(BODIES, &Script { start, piece: vec![b'a'; BODY_BYTES - 1], pieces: 1 });
}

/// Each chunk of a body took the memory of an item of its own.
#[test]
fn chat_bodies_in_small_chunks() {
    const CHUNKS: usize = 1_024;
    let piece = "1\r\na\r\n".repeat(CHUNKS).into_bytes();
    let start = head("Transfer-Encoding: chunked\r\n");
    play(4, &Script { start, piece, pieces: BODY_BYTES / 4 / CHUNKS });
}
