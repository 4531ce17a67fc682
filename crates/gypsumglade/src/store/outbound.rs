//! Carries replication batches to the other stores.

use std::collections::HashMap;
use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::{Bytes, BytesMut};
use gypsumglade_core::prelude::*;
use jsonrpsee::core::params::ArrayParams;
use tokio::sync::{Semaphore, mpsc};

use super::context::StoreContext;
use crate::replica::Outbound;
use crate::rpc::Method;

/// Batches that may wait for one peer; beyond it they are dropped, and replication repeats them.
pub(super) const BUFFER: usize = 256;
/// Longest wait for a peer to take a batch.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Calls under way to one peer.
///
/// With one call at a time a link of 16 ms carries 60 batches a second. A leader under load makes
/// 200, so they queued for seconds: heartbeats came late and every election was lost again.
const CALLS: usize = 8;
/// Bytes after which waiting batches go out in more than one call.
const CALL_BYTES: usize = 256 * 1024;

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
        let _ = queue.try_send(batch.batch);
    }
}

async fn send_to_peer(context: Arc<StoreContext>, to: VmId, mut batches: mpsc::Receiver<Bytes>) {
    let calls = Arc::new(Semaphore::new(CALLS));
    while let Some(first) = batches.recv().await {
        // Waits before it gathers: what comes in meanwhile goes out with it.
        let Ok(call) = Arc::clone(&calls).acquire_owned().await else { return };
        let batch = gather(first, &mut batches);
        let Some(address) = context.directory.store(to) else { continue };
        let mut parameters = ArrayParams::new();
        let text = STANDARD.encode(&batch);
        if parameters.insert(context.vm).and_then(|()| parameters.insert(text)).is_err() {
            continue;
        }
        let peers = context.peers.clone();
        tokio::spawn(async move {
            // Replication repeats what was lost.
            let _ = peers.call(address, Method::Replication, parameters, TIMEOUT).await;
            drop(call);
        });
    }
}

/// Joins the batches that wait into one. The encoding allows it: messages written one after another
/// read as one that holds the lists of both, and the later of two pulses.
pub fn gather(first: Bytes, waiting: &mut mpsc::Receiver<Bytes>) -> Bytes {
    let Ok(second) = waiting.try_recv() else { return first };
    let mut joined = BytesMut::from(first.as_ref());
    joined.extend_from_slice(&second);
    while joined.len() < CALL_BYTES {
        let Ok(next) = waiting.try_recv() else { break };
        joined.extend_from_slice(&next);
    }
    joined.freeze()
}
