//! Sends replication batches to the other stores.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::{Bytes, BytesMut};
use gypsumglade_core::prelude::*;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::context::StoreContext;
use crate::replica::Outbound;
use crate::rpc::Link;

/// Batches that wait to be moved to the queue of their peer. Further ones are dropped, so that
/// memory stays bounded while the runtime is blocked.
pub(super) const CHANNEL_CAPACITY: usize = 64;
/// Bytes of batches queued for one peer. Further batches are dropped, and replication repeats them.
const QUEUE_BYTES: usize = 1024 * 1024;
/// Bytes of snapshot chunks queued for one peer.
const BULK_BYTES: usize = 512 * 1024;
/// Additional bytes reserved for small batches: heartbeats and votes must reach a peer that is
/// behind, or it would start an election.
const RESERVE_BYTES: usize = 128 * 1024;
/// Largest size of a small batch.
const SMALL_BYTES: usize = 4 * 1024;
/// Longest wait for a peer to accept or acknowledge a frame before the link is reopened.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed attempt to open a link.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Frames in flight to one peer.
///
/// With a single frame, the round trip between regions would limit throughput below what a loaded
/// leader produces, and queued heartbeats would arrive too late to prevent elections.
const MAX_IN_FLIGHT: usize = 32;
/// Size from which no further batch is joined to a frame.
const FRAME_BYTES: usize = 256 * 1024;
/// Bytes in flight to one peer. Heartbeats queue behind them in the kernel's buffers, so this
/// bounds the delay of a heartbeat on a link between regions.
const MAX_IN_FLIGHT_BYTES: usize = 512 * 1024;

/// Queues of batches, one for each peer.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    peers: Arc<Mutex<BTreeMap<VmId, Arc<PeerQueue>>>>,
}

impl Queues {
    /// Returns the number of queued bytes for each peer.
    pub fn waiting(&self) -> Vec<(VmId, usize)> {
        let peers = self.peers.lock().expect("no panic while held");
        peers.iter().map(|(&vm, queue)| (vm, queue.bytes())).collect()
    }

    /// Returns a peer's queue, and whether it was newly created.
    fn peer(&self, vm: VmId) -> (Arc<PeerQueue>, bool) {
        let mut peers = self.peers.lock().expect("no panic while held");
        let new = !peers.contains_key(&vm);
        (Arc::clone(peers.entry(vm).or_default()), new)
    }
}

/// Queue of batches for one peer, bounded by bytes.
///
/// Snapshot chunks are queued apart, so that heartbeats, votes and entries never wait behind them.
#[derive(Debug, Default)]
pub struct PeerQueue {
    waiting: Mutex<Waiting>,
    ready: Notify,
}

#[derive(Debug, Default)]
struct Waiting {
    regular: VecDeque<Bytes>,
    regular_bytes: usize,
    bulk: VecDeque<Bytes>,
    bulk_bytes: usize,
}

/// Bytes sent to a peer as one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// One or more encoded batches.
    pub bytes: Bytes,
    /// Whether the frame is a snapshot chunk.
    pub bulk: bool,
}

impl PeerQueue {
    /// Adds a batch. Returns `false` if the queue is full and the batch was dropped.
    pub fn push(&self, batch: Bytes, bulk: bool) -> bool {
        let mut waiting = self.waiting();
        let (taken, limit) = match (bulk, batch.len() <= SMALL_BYTES) {
            (true, _) => (waiting.bulk_bytes, BULK_BYTES),
            (false, true) => (waiting.regular_bytes, QUEUE_BYTES + RESERVE_BYTES),
            (false, false) => (waiting.regular_bytes, QUEUE_BYTES),
        };
        if taken > 0 && taken + batch.len() > limit {
            return false;
        }
        if bulk {
            waiting.bulk_bytes += batch.len();
            waiting.bulk.push_back(batch);
        } else {
            waiting.regular_bytes += batch.len();
            waiting.regular.push_back(batch);
        }
        drop(waiting);
        self.ready.notify_one();
        true
    }

    /// Removes the next frame: queued batches first, or a snapshot chunk if `bulk` is set.
    ///
    /// Batches are joined by concatenation. Protocol Buffers decode the result as one batch with
    /// the messages of all and the last pulse.
    pub fn take(&self, bulk: bool) -> Option<Frame> {
        let mut waiting = self.waiting();
        if waiting.regular.is_empty() {
            let bytes = if bulk { waiting.bulk.pop_front() } else { None }?;
            waiting.bulk_bytes -= bytes.len();
            return Some(Frame { bytes, bulk: true });
        }
        let bytes = waiting.join();
        Some(Frame { bytes, bulk: false })
    }

    /// Returns the number of queued bytes.
    pub fn bytes(&self) -> usize {
        let waiting = self.waiting();
        waiting.regular_bytes + waiting.bulk_bytes
    }

    /// Drops all queued batches.
    fn clear(&self) {
        *self.waiting() = Waiting::default();
    }

    /// Waits for the next frame.
    async fn next(&self, bulk: bool) -> Frame {
        loop {
            let ready = self.ready.notified();
            if let Some(frame) = self.take(bulk) {
                return frame;
            }
            ready.await;
        }
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().expect("no panic while held")
    }
}

impl Waiting {
    fn join(&mut self) -> Bytes {
        let first = self.regular.pop_front().unwrap_or_default();
        self.regular_bytes -= first.len();
        if self.regular.is_empty() {
            return first;
        }
        let mut joined = BytesMut::from(first.as_ref());
        while joined.len() < FRAME_BYTES {
            let Some(next) = self.regular.pop_front() else { break };
            self.regular_bytes -= next.len();
            joined.extend_from_slice(&next);
        }
        joined.freeze()
    }
}

/// Moves batches to the queues of their peers, each of which is sent by a task of its own.
pub(super) async fn send_batches(
    context: Arc<StoreContext>,
    mut batches: mpsc::Receiver<Outbound>,
) {
    while let Some(batch) = batches.recv().await {
        let (queue, new) = context.queues.peer(batch.to);
        if new {
            tokio::spawn(send_to_peer(Arc::clone(&context), batch.to, Arc::clone(&queue)));
        }
        // A full queue means a slow or unresponsive peer; replication repeats dropped batches.
        queue.push(batch.batch, batch.bulk);
    }
}

/// Keeps a link to one peer and sends its queue, until the process ends.
async fn send_to_peer(context: Arc<StoreContext>, to: VmId, queue: Arc<PeerQueue>) {
    loop {
        let Some(address) = context.directory.store(to) else {
            // Replication repeats dropped batches; queued ones would be stale once the address is
            // known.
            queue.next(true).await;
            continue;
        };
        match context.peers.open_link(address, context.vm).await {
            Ok(link) => send_frames(link, &queue).await,
            Err(_) => tokio::time::sleep(RECONNECT_PAUSE).await,
        }
        queue.clear();
    }
}

/// A frame that the peer has not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct SentFrame {
    at: Instant,
    bytes: usize,
    bulk: bool,
}

/// Sends frames until the link fails or an acknowledgement times out.
///
/// A connection can fail without a reset, which only missing acknowledgements show.
async fn send_frames(mut link: Link, queue: &PeerQueue) {
    let mut in_flight: VecDeque<SentFrame> = VecDeque::new();
    loop {
        let oldest = in_flight.front().map_or_else(Instant::now, |sent| sent.at);
        let in_flight_bytes: usize = in_flight.iter().map(|sent| sent.bytes).sum();
        let has_room = in_flight.len() < MAX_IN_FLIGHT && in_flight_bytes < MAX_IN_FLIGHT_BYTES;
        // A second chunk in flight would delay heartbeats for longer.
        let bulk = !in_flight.iter().any(|sent| sent.bulk);
        tokio::select! {
            frame = queue.next(bulk), if has_room => {
                let sent = SentFrame { at: Instant::now(), bytes: frame.bytes.len(), bulk: frame.bulk };
                in_flight.push_back(sent);
                match tokio::time::timeout(PEER_TIMEOUT, link.send(frame.bytes)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => return,
                }
            }
            answered = link.acknowledged() => {
                if !answered {
                    return;
                }
                in_flight.pop_front();
            }
            () = tokio::time::sleep_until(oldest + PEER_TIMEOUT), if !in_flight.is_empty() => return,
        }
    }
}
