//! A bound on bytes that wait.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that wait for somebody, up to a limit.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    held: AtomicUsize,
}

impl ByteBudget {
    /// Starts with nothing that waits.
    pub const fn new(limit: usize) -> ByteBudget {
        ByteBudget { limit, held: AtomicUsize::new(0) }
    }

    /// Notes that `bytes` wait from now on, and tells whether there was room for them. What is longer
    /// than the limit has room while nothing else waits, for it would never have any otherwise.
    pub fn try_take(&self, bytes: usize) -> bool {
        let fits = |held: usize| (held == 0 || held + bytes <= self.limit).then_some(held + bytes);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok()
    }

    /// Notes that `bytes` wait no more.
    pub fn give(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Returns the bytes that wait.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}
