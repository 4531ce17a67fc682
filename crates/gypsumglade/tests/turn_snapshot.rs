//! A store with an unreadable snapshot of kept turns.

mod store_support;

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gypsumglade::directory::Directory;
use gypsumglade::replica::{Host, HostSettings};
use gypsumglade::settings::Settings;
use gypsumglade::store::Store;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, KeptQuery, Reserve};
use store_support::StoreSetup;
use tokio::sync::mpsc;

const PEERS: u16 = 7_311;
const VM: VmId = VmId(77);
/// Time for the store to become leader and answer; an election takes a third of a second.
const WATCHED: Duration = Duration::from_secs(2);

fn ip() -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | (process[2] & 63), process[3], 1)
}

fn settings(folder: &Path) -> Settings {
    StoreSetup { first: false, ..StoreSetup::alone(ip(), PEERS, folder) }.settings()
}

/// Creates a folder in which the turn group's snapshot is invalid.
async fn spoil(folder: &Path) {
    let (outbound, _batches) = mpsc::channel(16);
    let folder = Some(folder.to_path_buf());
    let settings = HostSettings { vm: VM, folder, ..HostSettings::default() };
    let (host, _events) = Host::start(settings, outbound).await.expect("the host starts");
    host.create(GroupId::TURNS, vec![VM]).await.expect("created");
    let index = loop {
        match host.propose(GroupId::TURNS, Bytes::new()).await {
            Ok(index) => break index,
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    host.snapshot(GroupId::TURNS, index, Bytes::from_static(b"no state of turns")).await;
    host.stop().await;
}

/// A store took an unreadable snapshot for an empty one: turns were unknown to callers, and their texts
/// were dropped by the holders.
#[tokio::test]
async fn unreadable_snapshot_is_not_answered_from() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    spoil(folder.path()).await;
    let settings = settings(folder.path());
    let directory = Arc::new(Directory::new(&settings));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let store = Store::start(settings, directory, log).await.expect("a store starts");
    let turns = &store.state().turns;
    let reserve = Reserve {
        turn: "next".to_owned(),
        program: "p".to_owned(),
        previous: "kept".to_owned(),
        ..Reserve::default()
    };
    let until = Instant::now() + WATCHED;
    while Instant::now() < until {
        let command = Command { body: Some(Body::Reserve(reserve.clone())) };
        let asking = tokio::time::timeout(Duration::from_millis(500), turns.ask(command));
        if let Ok(reply) = asking.await {
            assert!(!matches!(reply.body, Some(Reply::Unknown(_))), "told that it is unknown");
        }
        let query = KeptQuery { turns: vec!["kept".to_owned()] };
        let asking = tokio::time::timeout(Duration::from_millis(500), turns.still_kept(&query));
        if let Ok(reply) = asking.await {
            assert!(!reply.leads, "told that it is not kept: {reply:?}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    store.stop().await;
}
