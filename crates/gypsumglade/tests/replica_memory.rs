//! Memory of a host is bounded by bytes.

use std::path::PathBuf;

use bytes::Bytes;
use gypsumglade::replica::{ByteBudget, Event, Host, HostSettings, Outbound};
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::LogIndex;
use gypsumglade_core::wire::replication::message::Body;
use gypsumglade_core::wire::replication::{Append, Batch, Chunk, Entry, EntryKind, Message};
use prost::Message as _;
use tokio::sync::mpsc;

const GROUP: GroupId = GroupId(1);
const LEADER: VmId = VmId(1);
const FOLLOWER: VmId = VmId(2);

async fn started(
    vm: VmId,
    members: Vec<VmId>,
    folder: Option<PathBuf>,
) -> (Host, mpsc::Receiver<Event>, mpsc::Receiver<Outbound>) {
    let (outbound, batches) = mpsc::channel(1_000);
    let settings = HostSettings { vm, folder, ..HostSettings::default() };
    let (host, events) = Host::start(settings, outbound).await.expect("the host starts");
    host.create(GROUP, members).await.expect("created");
    (host, events, batches)
}

/// Proposes until `bytes` are committed, and returns the last index. Consumes events as an owner does,
/// and records whether a snapshot was requested.
async fn propose(
    host: &Host,
    events: &mut mpsc::Receiver<Event>,
    bytes: usize,
) -> (LogIndex, bool) {
    const ENTRY: usize = 100_000;
    let (mut last, mut asked) = (LogIndex(0), false);
    for _ in 0..bytes / ENTRY {
        last = loop {
            match host.propose(GROUP, Bytes::from(vec![7; ENTRY])).await {
                Ok(index) => break index,
                Err(_) => tokio::task::yield_now().await,
            }
        };
        // The last entry's events may come later; a request for a snapshot comes well before.
        while let Ok(event) = events.try_recv() {
            asked |= matches!(event, Event::NeedSnapshot { .. });
        }
    }
    (last, asked)
}

/// A store exceeded its memory while it took a snapshot: a small entry that was kept retained the whole
/// frame that it had arrived in, with chunks of other groups' snapshots.
#[tokio::test]
async fn receive_keeps_no_frame() {
    let (host, _events, _batches) = started(FOLLOWER, vec![LEADER, FOLLOWER], None).await;
    let entry = Entry { term: 2, index: 2, kind: EntryKind::Command.into(), data: "one".into() };
    let append = Append { prev_index: 1, prev_term: 1, entries: vec![entry], ..Append::default() };
    let piece = Chunk { data: Bytes::from(vec![0; 200_000]), ..Chunk::default() };
    let message = |term, body| Message { group: GROUP.0, term, body: Some(body) };
    let messages = vec![message(2, Body::Append(append)), message(1, Body::Chunk(piece))];
    let batch = Bytes::from(Batch { messages, pulse: None }.encode_to_vec());

    host.receive(LEADER, batch.clone());

    let status = host.status().await;
    assert_eq!(status.groups[0].last.index, LogIndex(2), "the entry was taken");
    assert_eq!(status.held.cache, 3, "and is held for reading");
    assert!(batch.is_unique(), "its frame is still held");
}

/// After a restart, a store of 130 MB read back, replayed and snapshotted a log of 64 MB at once.
#[tokio::test]
async fn snapshot_asked_by_state_size() {
    let folder = tempfile::tempdir().expect("a folder");
    let data = Some(folder.path().join("data"));
    let (host, mut events, _batches) = started(LEADER, vec![LEADER], data).await;
    let (index, asked) = propose(&host, &mut events, 6_000_000).await;
    assert!(asked, "6 MB of log and no state");

    host.snapshot(GROUP, index, Bytes::from(vec![1; 5_000_000])).await;
    let (index, asked) = propose(&host, &mut events, 6_000_000).await;
    assert!(!asked, "6 MB of log and 5 MB of state");
    let (_, asked) = propose(&host, &mut events, 6_000_000).await;
    assert!(asked, "12 MB of log and 5 MB of state, by few entries");
    assert!(index > LogIndex(60));
}

/// A store accepted batches until its memory was full, while the thread of its replicas was starved.
#[test]
fn try_take_up_to_limit() {
    let budget = ByteBudget::new(1_000);
    assert!(budget.try_acquire(5_000), "a long one has room when nothing waits");
    assert!(!budget.try_acquire(1));
    budget.release(5_000);
    let taken = (0..100).filter(|_| budget.try_acquire(300)).count();
    assert_eq!((taken, budget.used()), (3, 900));
}

/// Batches and proposals were added to the count and never removed, so a host accepted no more after
/// 8 MB.
#[tokio::test]
async fn receive_and_propose_give_back() {
    let (host, mut events, _batches) = started(LEADER, vec![LEADER], None).await;
    propose(&host, &mut events, 20_000_000).await;
    for _ in 0..200 {
        host.receive(FOLLOWER, Bytes::from(vec![0; 100_000]));
        host.status().await;
    }
    assert_eq!(host.status().await.held.inbox, 0);
}
