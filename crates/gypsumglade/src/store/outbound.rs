//! Carries replication batches to the other stores.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::{Bytes, BytesMut};
use gypsumglade_core::prelude::*;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::context::StoreContext;
use crate::replica::Outbound;
use crate::rpc::Link;

/// Batches that may wait to be told apart by peer; beyond it they are dropped. Each is of 256 KB at
/// most, so they hold 16 MB even while no thread of the runtime gets to run.
pub(super) const BUFFER: usize = 64;
/// Bytes that may wait for one peer; beyond it batches are dropped, and replication repeats them.
const QUEUE_BYTES: usize = 1024 * 1024;
/// Bytes of pieces of snapshots that may wait for one peer.
const BULK_BYTES: usize = 512 * 1024;
/// Bytes that only small batches may use of the queue: heartbeats and votes must get through to a
/// peer that is behind, or its leader is deposed on top.
const RESERVE_BYTES: usize = 128 * 1024;
/// Bytes up to which a batch is small.
const SMALL_BYTES: usize = 4 * 1024;
/// Longest wait for a peer to take a batch, before another link is opened.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a link could not be opened.
const PAUSE: Duration = Duration::from_millis(100);
/// Frames under way to one peer.
///
/// With one at a time, a link between regions carries fewer batches a second than a leader under load
/// makes: they queue for seconds, heartbeats come late and every election is lost again.
const FRAMES: usize = 32;
/// Bytes after which waiting batches go out in more than one frame.
const FRAME_BYTES: usize = 256 * 1024;
/// Bytes under way to one peer. What is handed to the kernel can't be overtaken any more: at this
/// size it delays a heartbeat by less than a tenth of a second on a link between regions.
const UNANSWERED_BYTES: usize = 512 * 1024;

/// Batches that wait for each peer.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    peers: Arc<Mutex<BTreeMap<VmId, Arc<PeerQueue>>>>,
}

impl Queues {
    /// Returns how many bytes wait for each peer.
    pub fn waiting(&self) -> Vec<(VmId, usize)> {
        let peers = self.peers.lock().expect("no panic while held");
        peers.iter().map(|(&vm, queue)| (vm, queue.bytes())).collect()
    }

    /// Returns a peer's queue, and whether it is a new one.
    fn peer(&self, vm: VmId) -> (Arc<PeerQueue>, bool) {
        let mut peers = self.peers.lock().expect("no panic while held");
        let new = !peers.contains_key(&vm);
        (Arc::clone(peers.entry(vm).or_default()), new)
    }
}

/// Batches that wait for one peer, bounded by bytes. Pieces of snapshots wait apart, so that
/// heartbeats, votes and entries never stand behind them.
#[derive(Debug, Default)]
pub struct PeerQueue {
    waiting: Mutex<Waiting>,
    news: Notify,
}

#[derive(Debug, Default)]
struct Waiting {
    small: VecDeque<Bytes>,
    small_bytes: usize,
    bulk: VecDeque<Bytes>,
    bulk_bytes: usize,
}

/// What goes to a peer at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// One batch, or several that were joined.
    pub bytes: Bytes,
    /// Whether it is a piece of a snapshot.
    pub bulk: bool,
}

impl PeerQueue {
    /// Adds a batch, and tells whether there was room for it.
    pub fn push(&self, batch: Bytes, bulk: bool) -> bool {
        let mut waiting = self.waiting();
        let (taken, limit) = match (bulk, batch.len() <= SMALL_BYTES) {
            (true, _) => (waiting.bulk_bytes, BULK_BYTES),
            (false, true) => (waiting.small_bytes, QUEUE_BYTES + RESERVE_BYTES),
            (false, false) => (waiting.small_bytes, QUEUE_BYTES),
        };
        if taken > 0 && taken + batch.len() > limit {
            return false;
        }
        if bulk {
            waiting.bulk_bytes += batch.len();
            waiting.bulk.push_back(batch);
        } else {
            waiting.small_bytes += batch.len();
            waiting.small.push_back(batch);
        }
        drop(waiting);
        self.news.notify_one();
        true
    }

    /// Takes what goes next: all that waits but pieces of snapshots, or one of these, if `bulk` may go.
    ///
    /// Batches are joined, which their encoding allows: messages written one after another read as one
    /// that holds the lists of both, and the later of two pulses.
    pub fn take(&self, bulk: bool) -> Option<Frame> {
        let mut waiting = self.waiting();
        if waiting.small.is_empty() {
            let bytes = if bulk { waiting.bulk.pop_front() } else { None }?;
            waiting.bulk_bytes -= bytes.len();
            return Some(Frame { bytes, bulk: true });
        }
        let bytes = waiting.join();
        Some(Frame { bytes, bulk: false })
    }

    /// Returns the bytes that wait.
    pub fn bytes(&self) -> usize {
        let waiting = self.waiting();
        waiting.small_bytes + waiting.bulk_bytes
    }

    /// Drops all that waits.
    fn clear(&self) {
        *self.waiting() = Waiting::default();
    }

    /// Resolves with what goes next.
    async fn next(&self, bulk: bool) -> Frame {
        loop {
            let news = self.news.notified();
            if let Some(frame) = self.take(bulk) {
                return frame;
            }
            news.await;
        }
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().expect("no panic while held")
    }
}

impl Waiting {
    fn join(&mut self) -> Bytes {
        let first = self.small.pop_front().unwrap_or_default();
        self.small_bytes -= first.len();
        if self.small.is_empty() {
            return first;
        }
        let mut joined = BytesMut::from(first.as_ref());
        while joined.len() < FRAME_BYTES {
            let Some(next) = self.small.pop_front() else { break };
            self.small_bytes -= next.len();
            joined.extend_from_slice(&next);
        }
        joined.freeze()
    }
}

/// Sends batches, none waiting for another peer's.
pub(super) async fn send_batches(
    context: Arc<StoreContext>,
    mut batches: mpsc::Receiver<Outbound>,
) {
    while let Some(batch) = batches.recv().await {
        let (queue, new) = context.queues.peer(batch.to);
        if new {
            tokio::spawn(send_to_peer(Arc::clone(&context), batch.to, Arc::clone(&queue)));
        }
        // A full queue means a slow or silent peer; what is dropped is repeated.
        queue.push(batch.batch, batch.bulk);
    }
}

/// Keeps a link to one peer and sends it what comes, until the process ends.
async fn send_to_peer(context: Arc<StoreContext>, to: VmId, queue: Arc<PeerQueue>) {
    loop {
        let Some(address) = context.directory.store(to) else {
            // Replication repeats what it can't send now; what waits would be old by then.
            queue.next(true).await;
            continue;
        };
        match context.peers.open_link(address, context.vm).await {
            Ok(link) => carry(link, &queue).await,
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
        queue.clear();
    }
}

/// A frame that the peer hasn't taken yet.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Instant,
    bytes: usize,
    bulk: bool,
}

/// Sends batches until the link breaks or the peer falls silent on it. Connections may go silent
/// without a reset; only the answers that stay away show it.
async fn carry(mut link: Link, queue: &PeerQueue) {
    let mut unanswered: VecDeque<Sent> = VecDeque::new();
    loop {
        let oldest = unanswered.front().map_or_else(Instant::now, |sent| sent.at);
        let under_way: usize = unanswered.iter().map(|sent| sent.bytes).sum();
        let open = unanswered.len() < FRAMES && under_way < UNANSWERED_BYTES;
        // A second piece on its way would only stand before heartbeats for longer.
        let bulk = !unanswered.iter().any(|sent| sent.bulk);
        tokio::select! {
            frame = queue.next(bulk), if open => {
                let sent = Sent { at: Instant::now(), bytes: frame.bytes.len(), bulk: frame.bulk };
                unanswered.push_back(sent);
                match tokio::time::timeout(TIMEOUT, link.send(frame.bytes)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => return,
                }
            }
            answered = link.acknowledged() => {
                if !answered {
                    return;
                }
                unanswered.pop_front();
            }
            () = tokio::time::sleep_until(oldest + TIMEOUT), if !unanswered.is_empty() => return,
        }
    }
}
