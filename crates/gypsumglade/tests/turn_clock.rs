//! Retention of turns while the wall clocks of stores differ.

mod store_support;

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gypsumglade::clock::Clock;
use gypsumglade::directory::Directory;
use gypsumglade::replica::{Host, HostSettings};
use gypsumglade::settings::Settings;
use gypsumglade::store::Store;
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, Kept, Reserve, Settle};
use store_support::StoreSetup;
use tokio::sync::mpsc;

const PEERS: u16 = 7_312;
const VM: VmId = VmId(77);
/// Error of a wall clock.
const OFF_MS: u64 = 3_600_000;
/// Retention of the turns that must be found.
const RETENTION_MS: u64 = 60_000;
/// Number of polls for an expected state.
const LOOKS: usize = 200;
const PAUSE: Duration = Duration::from_millis(20);

/// Returns an address that is unique to this process and test.
fn ip(test: u8) -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | (process[2] & 63), process[3], test)
}

fn settings(test: u8, folder: &Path) -> Settings {
    StoreSetup { first: false, ..StoreSetup::alone(ip(test), PEERS, folder) }.settings()
}

fn settle(turn: &str, retention_ms: u64, now_ms: u64) -> Command {
    let kept = Kept { retention_ms, holders: vec![VM.0], bytes: 1, ..Kept::default() };
    let (turn, program) = (turn.to_owned(), "p".to_owned());
    let settle = Settle { turn, program, now_ms, kept: Some(kept), ..Settle::default() };
    Command { body: Some(Body::Settle(settle)) }
}

/// Creates a folder with a turn kept by a leader with this wall clock, and starts a store on it.
async fn start(test: u8, folder: &Path, wall: u64) -> Store {
    let mut turns = Turns::default();
    turns.apply(&settle("kept", RETENTION_MS, wall));
    let (outbound, _batches) = mpsc::channel(16);
    let host =
        HostSettings { vm: VM, folder: Some(folder.to_path_buf()), ..HostSettings::default() };
    let (host, _events) = Host::start(host, outbound).await.expect("the host starts");
    host.create(GroupId::TURNS, vec![VM]).await.expect("created");
    let index = loop {
        match host.propose(GroupId::TURNS, Bytes::new()).await {
            Ok(index) => break index,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    };
    host.snapshot(GroupId::TURNS, index, turns.snapshot()).await;
    host.stop().await;
    let settings = settings(test, folder);
    let directory = Arc::new(Directory::new(&settings));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Store::start(settings, directory, log).await.expect("a store starts")
}

/// Retries until the group reports the outcome of the command.
async fn ask(store: &Store, command: Command) -> Reply {
    for _ in 0..LOOKS {
        match store.state().turns.ask(command.clone()).await.body {
            None | Some(Reply::NotLeader(_) | Reply::Uncertain(_)) => {}
            Some(reply) => return reply,
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("the group doesn't answer");
}

fn reserve(turn: &str, previous: &str) -> Command {
    let (turn, previous) = (turn.to_owned(), previous.to_owned());
    let program = "p".to_owned();
    let reserve = Reserve { turn, program, previous, ..Reserve::default() };
    Command { body: Some(Body::Reserve(reserve)) }
}

/// Leadership moves to a store whose wall clock is ahead. Turns that had just been kept were unknown.
#[tokio::test]
async fn lead_with_clock_ahead() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let store = start(1, folder.path(), Clock::wall_millis() - OFF_MS).await;
    let reply = ask(&store, reserve("next", "kept")).await;
    assert!(matches!(reply, Reply::Reserved(_)), "forgotten too early: {reply:?}");
    store.stop().await;
}

/// The former leader's wall clock was ahead. The group's time stood still until the other clocks caught
/// up, and nothing expired meanwhile.
#[tokio::test]
async fn lead_after_clock_ahead() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let store = start(2, folder.path(), Clock::wall_millis() + OFF_MS).await;
    let short = u64::try_from(PAUSE.as_millis()).expect("short");
    assert!(matches!(ask(&store, settle("short", short, 0)).await, Reply::Settled(_)));
    let mut looks = 0;
    while !matches!(ask(&store, reserve("next", "short")).await, Reply::Unknown(_)) {
        looks += 1;
        assert!(looks < LOOKS, "kept for good");
        tokio::time::sleep(PAUSE).await;
    }
    store.stop().await;
}
