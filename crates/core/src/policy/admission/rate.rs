//! Completion rate of calls, which converts a queue length into an expected wait.

use crate::prelude::*;

/// Length of one counting window.
const WINDOW: Duration = Duration::from_secs(5);

/// Age up to which the rate of a finished window is used.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Calls completed per second while others wait.
///
/// Windows count only while there is a queue. Without one, the rate shows the demand rather than
/// the capacity of the endpoints, and the first burst after a quiet period would be shed
/// needlessly.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    start: Time,
    count: u32,
    last: Option<(Time, f64)>,
}

impl Rate {
    /// Starts a new window, because the queue was empty until now.
    pub fn idle(&mut self, now: Time) {
        self.start = now;
        self.count = 0;
    }

    /// Counts a call that ended while others waited.
    pub fn count(&mut self, now: Time) {
        let age = now.since(self.start);
        if age >= WINDOW {
            self.last = Some((now, f64::from(self.count) / age.as_secs_f64()));
            self.start = now;
            self.count = 0;
        }
        self.count += 1;
    }

    /// Returns the completed calls per second, or `fallback` if no recent window is known.
    ///
    /// The rate of the current window is used once it lasts more than twice its length: calls have
    /// stopped completing, and an older rate would be too high.
    pub fn get(&self, now: Time, fallback: f64) -> f64 {
        let age = now.since(self.start);
        match self.last {
            _ if age > WINDOW * 2 => f64::from(self.count) / age.as_secs_f64(),
            Some((at, last)) if now.since(at) < MAX_AGE => last,
            _ => fallback,
        }
    }
}
