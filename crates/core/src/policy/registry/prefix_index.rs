//! Which endpoints hold a prefix: the way from a prefix to its endpoints.
//!
//! An endpoint's hints say what it holds. Where there are more endpoints than a routing decision
//! draws, the draw misses the one that holds a program's history more often than not, and the whole
//! prompt is read again elsewhere.

use std::collections::{HashMap, VecDeque};

use super::EndpointKey;

/// Endpoints remembered for one prefix, the latest first. A prefix that more of them hold is found
/// in any draw.
const MAX_ENDPOINTS: usize = 8;
/// Prefixes remembered; the oldest go first. Each turn adds one: some minutes of one process's turns.
const MAX_PREFIXES: usize = 32_768;

/// Endpoints by the prefixes that they are expected to hold.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixIndex {
    by_prefix: HashMap<u64, Vec<EndpointKey>>,
    insertion_order: VecDeque<u64>,
}

impl PrefixIndex {
    /// Notes that an endpoint holds a prefix.
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

    /// Returns the endpoints that held a prefix when it was last noted, latest first. Some may be
    /// gone, or have evicted it since.
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
