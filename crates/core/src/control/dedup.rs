//! What the control group remembers of past orders, so that a resend changes nothing.

use indexmap::IndexMap;

use crate::bundle::{Digest, Version};
use crate::prelude::*;
use crate::wire::control as wire;

/// Orders and versions remembered: two days at 10,000 changes a day.
pub const MAX_DEDUP_RECORDS: usize = 20_000;

/// The answer that an order got.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct OrderRecord {
    /// Digest of the order's meaning, to tell a resend from an order id used twice.
    pub fingerprint: Digest,
    pub answer: wire::Answer,
}

/// The revision that took a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VersionRecord {
    pub digest: Digest,
    pub revision: RevisionNumber,
}

/// Bounded memory of orders and versions, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct DedupRecords {
    pub orders: IndexMap<CompactString, OrderRecord>,
    pub versions: IndexMap<CompactString, VersionRecord>,
    /// Highest version whose record was dropped.
    ///
    /// Without it an old signed bundle could be sent again once its version is forgotten, and
    /// old content would come back in force without anyone signing that. No version up to this
    /// one is accepted any more, so forgetting is safe.
    pub floor: Option<Version>,
}

impl DedupRecords {
    /// Remembers the first answer of an order.
    pub fn add_order(&mut self, id: &str, fingerprint: Digest, answer: wire::Answer) {
        self.orders.insert(id.into(), OrderRecord { fingerprint, answer });
        if self.orders.len() > MAX_DEDUP_RECORDS {
            self.orders.shift_remove_index(0);
        }
    }

    /// Remembers which content took a version.
    pub fn add_version(&mut self, version: &str, record: VersionRecord) {
        self.versions.insert(version.into(), record);
        if self.versions.len() <= MAX_DEDUP_RECORDS {
            return;
        }
        let Some((dropped, _)) = self.versions.shift_remove_index(0) else { return };
        let dropped = dropped.parse().ok();
        self.floor = self.floor.take().max(dropped);
    }

    /// Returns true when this version is too old to tell whether it was accepted before.
    pub fn is_too_old(&self, version: &Version) -> bool {
        self.floor.as_ref().is_some_and(|floor| version <= floor)
    }
}
