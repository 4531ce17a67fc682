//! Batches outgoing messages for each peer VM.

use std::collections::BTreeMap;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::replication as wire;
use prost::Message;
use tokio::sync::mpsc;

use super::event::Outbound;

/// Length in bytes at which a batch is sent without waiting for [`Outbox::flush`].
const BATCH_BYTES: usize = 128 * 1024;

/// Collects messages until [`Outbox::flush`].
#[derive(Debug)]
pub(super) struct Outbox {
    sender: mpsc::Sender<Outbound>,
    batches: BTreeMap<VmId, Pending>,
}

#[derive(Debug, Default)]
struct Pending {
    batch: wire::Batch,
    bytes: usize,
}

impl Outbox {
    pub(super) fn new(sender: mpsc::Sender<Outbound>) -> Outbox {
        Outbox { sender, batches: BTreeMap::new() }
    }

    /// Sends a chunk of a snapshot in a batch of its own, so that it doesn't delay other messages.
    pub(super) fn push_bulk(&mut self, to: VmId, message: wire::Message) {
        let batch = wire::Batch { messages: vec![message], pulse: None };
        send(&self.sender, Outbound { to, batch: batch.encode_to_vec().into(), bulk: true });
    }

    pub(super) fn push(&mut self, to: VmId, message: wire::Message) {
        let pending = self.batches.entry(to).or_default();
        pending.bytes += message.encoded_len();
        pending.batch.messages.push(message);
        if pending.bytes >= BATCH_BYTES {
            send(&self.sender, pending.take(to));
        }
    }

    pub(super) fn pulse(&mut self, to: VmId, pulse: wire::Pulse) {
        self.batches.entry(to).or_default().batch.pulse = Some(pulse);
    }

    pub(super) fn flush(&mut self) {
        for (&to, pending) in &mut self.batches {
            if !pending.batch.messages.is_empty() || pending.batch.pulse.is_some() {
                send(&self.sender, pending.take(to));
            }
        }
    }
}

impl Pending {
    fn take(&mut self, to: VmId) -> Outbound {
        let batch = Bytes::from(std::mem::take(self).batch.encode_to_vec());
        Outbound { to, batch, bulk: false }
    }
}

fn send(sender: &mpsc::Sender<Outbound>, outbound: Outbound) {
    // If the queue is full, the batch is dropped: messages are repeated until they are answered, and
    // waiting would delay the heartbeats to all other VMs.
    let _ = sender.try_send(outbound);
}
