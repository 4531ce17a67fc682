//! Rate limit for loads from the weight store.

use crate::prelude::*;

/// Limits concurrent loads and the interval between two starts.
///
/// Without a limit, a change of the bundle makes all engines fetch weights at once. The
/// rate-limited weight store then slows all of them down, and no engine has the new version for
/// minutes.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    max_concurrent: usize,
    min_interval: Duration,
    next_start: Time,
}

impl LoadLimiter {
    /// Allows at most `max_concurrent` loads, started at least `min_interval` apart.
    pub fn new(max_concurrent: usize, min_interval: Duration) -> LoadLimiter {
        LoadLimiter { max_concurrent, min_interval, next_start: Time::ZERO }
    }

    /// Starts a load while `running` others are in progress. Returns false if it must wait.
    pub fn try_start(&mut self, running: usize, now: Time) -> bool {
        if running >= self.max_concurrent || now < self.next_start {
            return false;
        }
        self.next_start = now + self.min_interval;
        true
    }
}
