//! A bound on bytes that wait.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that wait for somebody, up to a limit.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Starts with nothing that waits.
    pub const fn new(limit: usize) -> ByteBudget {
        ByteBudget { limit, used: AtomicUsize::new(0) }
    }

    /// Notes that `bytes` wait from now on, and tells whether there was room for them. What is longer
    /// than the limit has room while nothing else waits, for it would never have any otherwise.
    pub fn try_acquire(&self, bytes: usize) -> bool {
        let fits = |used: usize| (used == 0 || used + bytes <= self.limit).then_some(used + bytes);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok()
    }

    /// Notes that `bytes` wait no more.
    pub fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Returns the bytes that wait.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}
