//! Queue of membership updates to gossip, each a bounded number of times.

use std::collections::BTreeMap;

use prost::Message;

use super::member::{Merged, Record};
use crate::prelude::*;
use crate::wire::membership as wire;

/// Number of times that an update is sent, multiplied by the decimal logarithm of the number of
/// members.
const RETRANSMIT_FACTOR: f64 = 4.0;
/// Maximum size of the profile updates in one datagram, in bytes.
///
/// Profiles carry load and change all the time. Without a limit they would fill every datagram.
const MAX_PROFILE_BYTES: usize = 400;

/// Updates to gossip, at most one for each VM. The state that is sent is read from the record when
/// a datagram is filled.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    queue: BTreeMap<VmId, PendingUpdate>,
}

#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    /// Number of datagrams that carried the update.
    sent: u32,
    /// Whether the liveness changed. Such updates are sent before changed profiles.
    urgent: bool,
    /// Whether the profile is included. Changes of liveness leave it out, since they are frequent
    /// under packet loss and much smaller without it.
    profile: bool,
}

impl Gossip {
    /// Queues an update, unless it is stale or would replace a more urgent one.
    pub fn add(&mut self, vm: VmId, merged: Merged) {
        if merged == Merged::Stale {
            return;
        }
        let before = self.queue.get(&vm);
        let urgent = merged != Merged::Profile;
        if !urgent && before.is_some_and(|update| update.urgent) {
            return;
        }
        let unsent = before.is_some_and(|update| update.profile);
        let profile = unsent || merged != Merged::Liveness;
        self.queue.insert(vm, PendingUpdate { sent: 0, urgent, profile });
    }

    /// Returns `true` if a change of liveness is queued.
    pub fn has_urgent(&self) -> bool {
        self.queue.values().any(|update| update.urgent)
    }

    /// Fills a datagram up to `max_bytes` with queued updates: changes of liveness first, then
    /// those sent least often.
    pub fn fill(
        &mut self,
        datagram: &mut wire::Datagram,
        records: &BTreeMap<VmId, Record>,
        max_bytes: usize,
    ) {
        let limit =
            (RETRANSMIT_FACTOR * ((records.len() + 1).max(10) as f64).log10()).ceil() as u32;
        let mut order: Vec<(VmId, PendingUpdate)> =
            self.queue.iter().map(|(vm, update)| (*vm, *update)).collect();
        order.sort_unstable_by_key(|(vm, update)| (!update.urgent, update.sent, *vm));
        let mut size = datagram.encoded_len();
        let mut profiles = 0;
        for (vm, update) in order {
            let Some(record) = records.get(&vm) else {
                self.queue.remove(&vm);
                continue;
            };
            let alive = record.member.liveness == wire::Liveness::Alive;
            let rumour = record.rumour(alive && update.profile);
            let bytes = rumour_bytes(&rumour);
            let full = !update.urgent && profiles + bytes > MAX_PROFILE_BYTES;
            if size + bytes > max_bytes || full {
                break;
            }
            size += bytes;
            profiles += if update.urgent { 0 } else { bytes };
            datagram.rumours.push(rumour);
            self.count_sent(vm, limit);
        }
    }

    fn count_sent(&mut self, vm: VmId, limit: u32) {
        let Some(update) = self.queue.get_mut(&vm) else { return };
        update.sent += 1;
        if update.sent >= limit {
            self.queue.remove(&vm);
        }
    }
}

/// Returns the encoded size of a rumour within a datagram, with its tag and length.
pub(super) fn rumour_bytes(rumour: &wire::Rumour) -> usize {
    let length = rumour.encoded_len();
    length + prost::length_delimiter_len(length) + 1
}
