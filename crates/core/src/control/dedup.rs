//! Records of past orders and versions, which make resent orders idempotent.

use indexmap::IndexMap;

use crate::bundle::{Digest, Version};
use crate::prelude::*;
use crate::wire::control as wire;

/// Maximum number of recorded orders, and of recorded versions.
pub const MAX_DEDUP_RECORDS: usize = 20_000;

/// The first answer to an order.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct OrderRecord {
    /// Digest of the order's fields, which tells a resend from a reused order id.
    pub fingerprint: Digest,
    pub answer: wire::Answer,
}

/// The content and the revision that a version was accepted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VersionRecord {
    pub digest: Digest,
    pub revision: RevisionNumber,
}

/// Bounded records of orders and versions, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct DedupRecords {
    pub orders: IndexMap<CompactString, OrderRecord>,
    pub versions: IndexMap<CompactString, VersionRecord>,
    /// Highest version whose record was evicted. Versions up to it are rejected.
    ///
    /// Without it, an old signed bundle could be replayed once its record is evicted.
    pub floor: Option<Version>,
}

impl DedupRecords {
    /// Records the first answer of an order, and evicts the oldest record if there are too many.
    pub fn add_order(&mut self, id: &str, fingerprint: Digest, answer: wire::Answer) {
        self.orders.insert(id.into(), OrderRecord { fingerprint, answer });
        if self.orders.len() > MAX_DEDUP_RECORDS {
            self.orders.shift_remove_index(0);
        }
    }

    /// Records the content of a version, and evicts the oldest record if there are too many.
    pub fn add_version(&mut self, version: &str, record: VersionRecord) {
        self.versions.insert(version.into(), record);
        if self.versions.len() <= MAX_DEDUP_RECORDS {
            return;
        }
        let Some((dropped, _)) = self.versions.shift_remove_index(0) else { return };
        let dropped = dropped.parse().ok();
        self.floor = self.floor.take().max(dropped);
    }

    /// Returns `true` if a version is so old that its record may have been evicted.
    pub fn is_too_old(&self, version: &Version) -> bool {
        self.floor.as_ref().is_some_and(|floor| version <= floor)
    }
}
