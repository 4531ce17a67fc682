//! Index from prefixes to the endpoints that hold them.
//!
//! A random sample of many endpoints is unlikely to contain the one that holds a program's prefix;
//! without the index, the whole prompt would be prefilled elsewhere.

use std::collections::{HashMap, VecDeque};

use super::EndpointKey;

/// Maximum number of endpoints for one prefix. A prefix that more of them hold is likely to be
/// found by the random sample.
const MAX_ENDPOINTS: usize = 8;
/// Maximum number of prefixes, which covers some minutes of one process's turns; the oldest are
/// removed first.
const MAX_PREFIXES: usize = 32_768;

/// Endpoints by the prefixes that they are expected to hold.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixIndex {
    by_prefix: HashMap<u64, Vec<EndpointKey>>,
    insertion_order: VecDeque<u64>,
}

impl PrefixIndex {
    /// Records that an endpoint holds a prefix.
    pub(super) fn insert(&mut self, prefix: u64, key: EndpointKey) {
        let Some(keys) = self.by_prefix.get_mut(&prefix) else {
            self.evict_if_full();
            self.by_prefix.insert(prefix, vec![key]);
            self.insertion_order.push_back(prefix);
            return;
        };
        keys.retain(|known| *known != key);
        keys.insert(0, key);
        keys.truncate(MAX_ENDPOINTS);
    }

    /// Returns the endpoints last known to hold a prefix, latest first. Some may have evicted it or
    /// been removed since.
    pub(super) fn endpoints(&self, prefix: u64) -> &[EndpointKey] {
        self.by_prefix.get(&prefix).map_or(&[], Vec::as_slice)
    }

    fn evict_if_full(&mut self) {
        if self.insertion_order.len() < MAX_PREFIXES {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.by_prefix.remove(&oldest);
        }
    }
}
