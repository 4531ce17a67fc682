//! A limit on the bytes held in a queue.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the bytes held in a queue, up to a limit.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes, all of them free.
    pub const fn new(limit: usize) -> ByteBudget {
        ByteBudget { limit, used: AtomicUsize::new(0) }
    }

    /// Takes `bytes` from the budget, or returns `false` if they don't fit. A single item above the limit
    /// fits while nothing else is held, as it could never be accepted otherwise.
    pub fn try_acquire(&self, bytes: usize) -> bool {
        let fits = |used: usize| (used == 0 || used + bytes <= self.limit).then_some(used + bytes);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_ok()
    }

    /// Returns `bytes` to the budget.
    pub fn release(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}
