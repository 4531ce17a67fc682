//! How fast endpoints may fetch weights from the rate-limited weight store.

use crate::prelude::*;

/// Staggers loads: a number at once, and a pause between two starts.
///
/// The failure: after a change of bundle every engine fetches new weights at the same time, the
/// store slows all of them down, and for minutes no engine has the new version.
#[derive(Clone, Debug)]
pub struct Pace {
    at_once: usize,
    pause: Duration,
    next: Time,
}

impl Pace {
    /// Lets at most `at_once` loads run, with `pause` between two starts.
    pub fn new(at_once: usize, pause: Duration) -> Pace {
        Pace { at_once, pause, next: Time::ZERO }
    }

    /// Takes leave to start a load while `running` others run; false if it must wait.
    pub fn start(&mut self, running: usize, now: Time) -> bool {
        if running >= self.at_once || now < self.next {
            return false;
        }
        self.next = now + self.pause;
        true
    }
}
