//! Memory of a restarting host, in a separate process, since the peak counts everything in it.

use std::time::Duration;

use bytes::Bytes;
use gypsumglade::replica::{Event, Host, HostSettings};
use gypsumglade_core::prelude::*;
use tokio::sync::mpsc;

const GROUP: GroupId = GroupId(1);
/// Size of an entry, and the number written: together more than the memory that a start may use.
const ENTRY: usize = 20_000;
const ENTRIES: usize = 2_500;
/// Memory that a start may use beyond the peak of writing, in kB.
const MOST: u64 = 8 * 1024;

/// Returns the peak of this process's memory, in kB.
fn peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a process has a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

async fn start(settings: &HostSettings) -> (Host, mpsc::Receiver<Event>) {
    let (outbound, _) = mpsc::channel(16);
    let (host, events) = Host::start(settings.clone(), outbound).await.expect("the host starts");
    host.create(GROUP, vec![VmId(1)]).await.expect("created");
    (host, events)
}

/// A store exceeded its memory while it read its log back, at every restart.
#[tokio::test]
async fn start_takes_little_memory() {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = HostSettings {
        vm: VmId(1),
        folder: Some(folder.path().join("data")),
        snapshot_min: u64::MAX,
        snapshot_bytes: u64::MAX,
        ..HostSettings::default()
    };
    let (host, mut events) = start(&settings).await;
    let mut sent = 0;
    while sent < ENTRIES {
        match host.propose(GROUP, Bytes::from(vec![sent as u8; ENTRY])).await {
            Ok(_) => sent += 1,
            Err(_) => tokio::task::yield_now().await,
        }
        while events.try_recv().is_ok() {}
    }
    host.stop().await;
    drop((host, events));
    let written = peak();

    let (_host, mut events) = start(&settings).await;
    // Simulates an owner that does something else first.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut read = 0;
    while read < ENTRIES {
        if let Some(Event::Committed { .. }) = events.recv().await {
            read += 1;
        }
    }

    let took = peak() - written;
    assert!(took < MOST, "a start took {took} kB beyond the peak of writing");
}
