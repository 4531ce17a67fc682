//! Cache of the histories of turns that ended at this gateway.
//!
//! A history grows with each turn, and fetching it from the stores before each turn would fill the link
//! between regions. The cache is only an optimisation: the turn group decides whether a turn is still
//! kept.

use std::collections::HashMap;
use std::sync::Mutex;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::QualifiedId;
use tokio::time::Instant;

/// How long a history stays in the cache.
const TTL: Duration = Duration::from_secs(10);
/// Most bytes of all cached histories together.
const MAX_BYTES: usize = 2 << 20;

#[derive(Debug)]
struct Entry {
    history: Bytes,
    expires: Instant,
}

/// Histories by the id of their last turn.
#[derive(Debug, Default)]
pub(super) struct HistoryCache {
    entries: Mutex<HashMap<QualifiedId, Entry>>,
}

impl HistoryCache {
    /// Returns the history that ends with a turn, unless it has expired or was never cached.
    pub(super) fn get(&self, turn: &QualifiedId) -> Option<Bytes> {
        let entries = self.entries.lock().expect("no panic while held");
        let found = entries.get(turn).filter(|entry| entry.expires > Instant::now());
        found.map(|entry| entry.history.clone())
    }

    /// Caches the history that ends with `turn` and removes that of `previous`, since few turns are
    /// continued more than once. Does nothing if the cache is full.
    pub(super) fn put(&self, turn: QualifiedId, previous: Option<&QualifiedId>, history: Bytes) {
        let now = Instant::now();
        let mut entries = self.entries.lock().expect("no panic while held");
        if let Some(previous) = previous {
            entries.remove(previous);
        }
        entries.retain(|_, entry| entry.expires > now);
        let held: usize = entries.values().map(|entry| entry.history.len()).sum();
        if held + history.len() <= MAX_BYTES {
            entries.insert(turn, Entry { history, expires: now + TTL });
        }
    }
}
