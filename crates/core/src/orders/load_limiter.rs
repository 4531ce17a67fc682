//! How fast endpoints may fetch weights from the rate-limited weight store.

use crate::prelude::*;

/// Staggers loads: a number at once, and a pause between two starts.
///
/// The failure: after a change of bundle every engine fetches new weights at the same time, the
/// store slows all of them down, and for minutes no engine has the new version.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    max_concurrent: usize,
    min_interval: Duration,
    next_start: Time,
}

impl LoadLimiter {
    /// Lets at most `at_once` loads run, with `pause` between two starts.
    pub fn new(max_concurrent: usize, min_interval: Duration) -> LoadLimiter {
        LoadLimiter { max_concurrent, min_interval, next_start: Time::ZERO }
    }

    /// Takes leave to start a load while `running` others run; false if it must wait.
    pub fn try_start(&mut self, running: usize, now: Time) -> bool {
        if running >= self.max_concurrent || now < self.next_start {
            return false;
        }
        self.next_start = now + self.min_interval;
        true
    }
}
