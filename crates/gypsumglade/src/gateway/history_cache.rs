//! Histories of turns that ended here, so that the next turn need not fetch them.
//!
//! A conversation grows with each turn. Fetched whole from the turn group before each turn, histories
//! would be most of what crosses the link between regions, and delay commits behind them. Nothing rests
//! on the cache: the turn group says whether a turn is still kept.

use std::collections::HashMap;
use std::sync::Mutex;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use tokio::time::Instant;

/// How long a history waits for the next turn.
const TTL: Duration = Duration::from_secs(10);
/// Most bytes of all histories.
const MAX_BYTES: usize = 2 << 20;

#[derive(Debug)]
struct Entry {
    history: Bytes,
    expires: Instant,
}

/// Histories by the turn that ends each.
#[derive(Debug, Default)]
pub(super) struct HistoryCache {
    entries: Mutex<HashMap<CompactString, Entry>>,
}

impl HistoryCache {
    /// Returns everything up to the end of a turn, if it ended here lately.
    pub(super) fn get(&self, turn: &str) -> Option<Bytes> {
        let entries = self.entries.lock().expect("no panic while held");
        let found = entries.get(turn).filter(|entry| entry.expires > Instant::now());
        found.map(|entry| entry.history.clone())
    }

    /// Takes the history of a turn in the place of the one that it continues: few turns are
    /// continued twice, and those fetch it.
    pub(super) fn put(&self, turn: CompactString, previous: &str, history: Bytes) {
        let now = Instant::now();
        let mut entries = self.entries.lock().expect("no panic while held");
        entries.remove(previous);
        entries.retain(|_, entry| entry.expires > now);
        let held: usize = entries.values().map(|entry| entry.history.len()).sum();
        if held + history.len() <= MAX_BYTES {
            entries.insert(turn, Entry { history, expires: now + TTL });
        }
    }
}
