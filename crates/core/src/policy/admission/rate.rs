//! Rate at which calls are over, which turns a queue length into a wait.

use crate::prelude::*;

/// Length of one counting window.
const WINDOW: Duration = Duration::from_secs(5);

/// How long a finished window's rate is believed.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Calls over a second while others wait.
///
/// Only windows with a queue count: without one the rate shows what callers ask for, not what the
/// endpoints can do, and the first burst after a quiet hour would be shed for nothing.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    start: Time,
    count: u32,
    last: Option<(Time, f64)>,
}

impl Rate {
    /// Starts a new window: the queue was empty until now.
    pub fn idle(&mut self, now: Time) {
        self.start = now;
        self.count = 0;
    }

    /// Counts one call that ended while others waited.
    pub fn count(&mut self, now: Time) {
        let age = now.since(self.start);
        if age >= WINDOW {
            self.last = Some((now, f64::from(self.count) / age.as_secs_f64()));
            self.start = now;
            self.count = 0;
        }
        self.count += 1;
    }

    /// Returns calls a second, or `fallback` while too little was seen.
    ///
    /// A window that stays open long past its length means that the endpoints have stopped, and
    /// its own low rate is the honest one.
    pub fn get(&self, now: Time, fallback: f64) -> f64 {
        let age = now.since(self.start);
        match self.last {
            _ if age > WINDOW * 2 => f64::from(self.count) / age.as_secs_f64(),
            Some((at, last)) if now.since(at) < MAX_AGE => last,
            _ => fallback,
        }
    }
}
