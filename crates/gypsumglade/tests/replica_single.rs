//! A group with a single voter.

use bytes::Bytes;
use gypsumglade::replica::{Event, Host, HostSettings};
use gypsumglade_core::prelude::*;
use tokio::sync::mpsc;

const GROUP: GroupId = GroupId(1);

async fn started(settings: HostSettings) -> (Host, mpsc::Receiver<Event>) {
    let (outbound, _) = mpsc::channel(16);
    Host::start(settings, outbound).await.expect("the host starts")
}

/// Consumes events until `count` commands are committed.
async fn committed(events: &mut mpsc::Receiver<Event>, count: usize) -> Vec<Bytes> {
    let mut commands = Vec::new();
    while commands.len() < count {
        if let Some(Event::Committed { data, .. }) = events.recv().await {
            commands.push(data);
        }
    }
    commands
}

#[tokio::test]
async fn propose_single_voter() {
    let settings = HostSettings { vm: VmId(1), ..HostSettings::default() };
    let (host, mut events) = started(settings).await;
    host.create(GROUP, vec![VmId(1)]).await.expect("created");

    let leader = events.recv().await;
    assert!(matches!(leader, Some(Event::Leader { group: GROUP, .. })), "{leader:?}");
    let index = host.propose(GROUP, Bytes::from_static(b"one")).await.expect("committed");
    let barrier = host.read_barrier(GROUP).await.expect("readable");

    assert!(barrier >= index);
    assert_eq!(committed(&mut events, 1).await, [Bytes::from_static(b"one")]);
}

#[tokio::test]
async fn start_after_restart_replays() {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = HostSettings {
        vm: VmId(1),
        folder: Some(folder.path().join("data")),
        cache_bytes: 64,
        ..HostSettings::default()
    };
    let (host, mut events) = started(settings.clone()).await;
    host.create(GROUP, vec![VmId(1)]).await.expect("created");
    let commands: Vec<_> = (0..50u8).map(|n| Bytes::from(vec![n; 40])).collect();
    for command in &commands {
        while host.propose(GROUP, command.clone()).await.is_err() {
            events.recv().await;
        }
    }
    host.stop().await;

    let (host, mut events) = started(settings).await;
    host.create(GROUP, vec![VmId(1)]).await.expect("already there");

    assert_eq!(committed(&mut events, commands.len()).await, commands);
}
