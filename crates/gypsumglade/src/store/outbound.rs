//! Carries replication batches to the other stores.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use gypsumglade_core::prelude::*;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::context::StoreContext;
use crate::replica::Outbound;
use crate::rpc::Link;

/// Batches that may wait for one peer; beyond it they are dropped, and replication repeats them.
pub(super) const BUFFER: usize = 256;
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

/// Bytes that wait for each peer.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    peers: Arc<Mutex<BTreeMap<VmId, Arc<AtomicUsize>>>>,
}

impl Queues {
    /// Returns how many bytes wait for each peer.
    pub fn waiting(&self) -> Vec<(VmId, usize)> {
        let peers = self.peers.lock().expect("no panic while held");
        peers.iter().map(|(&vm, bytes)| (vm, bytes.load(Ordering::Relaxed))).collect()
    }

    fn peer(&self, vm: VmId) -> Arc<AtomicUsize> {
        Arc::clone(self.peers.lock().expect("no panic while held").entry(vm).or_default())
    }
}

/// Sends batches, none waiting for another peer's.
pub(super) async fn send_batches(
    context: Arc<StoreContext>,
    mut batches: mpsc::Receiver<Outbound>,
) {
    let mut queues: HashMap<VmId, mpsc::Sender<Bytes>> = HashMap::new();
    while let Some(batch) = batches.recv().await {
        let to = batch.to;
        let queue = queues.entry(to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(BUFFER);
            tokio::spawn(send_to_peer(Arc::clone(&context), to, receiver));
            sender
        });
        // A full queue means a slow or silent peer; what is dropped is repeated.
        let bytes = batch.batch.len();
        let waiting = context.queues.peer(to);
        waiting.fetch_add(bytes, Ordering::Relaxed);
        if queue.try_send(batch.batch).is_err() {
            waiting.fetch_sub(bytes, Ordering::Relaxed);
        }
    }
}

/// Keeps a link to one peer and sends it what comes.
async fn send_to_peer(context: Arc<StoreContext>, to: VmId, mut batches: mpsc::Receiver<Bytes>) {
    let waiting = context.queues.peer(to);
    let taken = |bytes: usize| {
        waiting.fetch_sub(bytes, Ordering::Relaxed);
    };
    loop {
        let Some(address) = context.directory.store(to) else {
            // Replication repeats what it can't send now; what waits would be old by then.
            let Some(batch) = batches.recv().await else { return };
            taken(batch.len());
            continue;
        };
        match context.peers.open_link(address, context.vm).await {
            Ok(link) => {
                if carry(link, &mut batches, &taken).await == Carried::Ended {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
        while let Ok(batch) = batches.try_recv() {
            taken(batch.len());
        }
    }
}

/// Why a link carries no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Carried {
    /// It broke, or the peer fell silent.
    Broken,
    /// Nothing more will come: the process stops.
    Ended,
}

/// Sends batches until the link breaks or the peer falls silent on it. Connections may go silent
/// without a reset; only the answers that stay away show it.
async fn carry(
    mut link: Link,
    batches: &mut mpsc::Receiver<Bytes>,
    taken: &impl Fn(usize),
) -> Carried {
    let mut unanswered: VecDeque<Instant> = VecDeque::new();
    loop {
        let oldest = unanswered.front().copied().unwrap_or_else(Instant::now);
        tokio::select! {
            first = batches.recv(), if unanswered.len() < FRAMES => {
                let Some(first) = first else { return Carried::Ended };
                let batch = gather(first, batches);
                taken(batch.len());
                unanswered.push_back(Instant::now());
                match tokio::time::timeout(TIMEOUT, link.send(batch)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => return Carried::Broken,
                }
            }
            answered = link.answered() => {
                if !answered {
                    return Carried::Broken;
                }
                unanswered.pop_front();
            }
            () = tokio::time::sleep_until(oldest + TIMEOUT), if !unanswered.is_empty() => {
                return Carried::Broken;
            }
        }
    }
}

/// Joins the batches that wait into one. The encoding allows it: messages written one after another
/// read as one that holds the lists of both, and the later of two pulses.
pub fn gather(first: Bytes, waiting: &mut mpsc::Receiver<Bytes>) -> Bytes {
    let Ok(second) = waiting.try_recv() else { return first };
    let mut joined = BytesMut::from(first.as_ref());
    joined.extend_from_slice(&second);
    while joined.len() < FRAME_BYTES {
        let Ok(next) = waiting.try_recv() else { break };
        joined.extend_from_slice(&next);
    }
    joined.freeze()
}
