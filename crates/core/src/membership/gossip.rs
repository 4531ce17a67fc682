//! News waiting to be passed on, a bounded number of times each.

use std::collections::BTreeMap;

use prost::Message;

use super::member::{Merged, Record};
use crate::prelude::*;
use crate::wire::membership as wire;

/// How often a piece of news is passed on, for each power of ten of the members.
const RETRANSMIT_FACTOR: f64 = 4.0;
/// Bytes of a datagram that changed profiles may fill; news of liveness goes before them.
///
/// Profiles carry load and change all the time, so they get a bounded share: without one, a
/// fleet whose load moves would fill each datagram to its limit.
const MAX_PROFILE_BYTES: usize = 400;

/// News about VMs, one piece for each; the newest state is read when it is sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Gossip {
    queue: BTreeMap<VmId, PendingUpdate>,
}

#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    sent: u32,
    /// News of liveness, which goes before changed profiles.
    urgent: bool,
    /// The receivers may not have the profile. An objection is told without it, in a fraction of
    /// the bytes: under loss, objections are most of what there is to tell.
    profile: bool,
}

impl Gossip {
    /// Passes this on from now.
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

    /// Returns true when there is news of liveness to spread.
    pub fn has_urgent(&self) -> bool {
        self.queue.values().any(|update| update.urgent)
    }

    /// Fills a datagram up to `room` bytes with the news passed on least often so far.
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

/// Returns the bytes that one rumour adds to a datagram: itself, its tag and its length.
pub(super) fn rumour_bytes(rumour: &wire::Rumour) -> usize {
    let length = rumour.encoded_len();
    length + prost::length_delimiter_len(length) + 1
}
