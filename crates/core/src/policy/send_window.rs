//! Limit of the requests in flight to one server, adapted to how fast it answers.
//!
//! A server that gets more requests than it can handle answers them after their callers have given
//! up, and the callers' retries keep it busy with such requests even when the load has fallen again.
//! Each sender therefore lets its window grow while answers are fast, and shrinks it when they are
//! slow. The sum of all windows settles at what the server can answer in time.

use crate::prelude::*;

/// Answers that take the server longer than this shrink the window: several times the duration of a
/// commit between regions, and short enough that callers still have time for their work.
pub const SLOW_ANSWER: Duration = Duration::from_millis(150);
/// Largest window, and the initial one.
pub const MAX_WINDOW: usize = 256;
/// Smallest window: a lone request is never refused. A server that is slow for one request of each
/// sender is too slow for their number.
const MIN_WINDOW: f64 = 1.0;
/// Growth with each fast answer. It is the same for each, so that windows keep the proportions of what
/// their senders have to send.
const INCREASE: f64 = 0.2;
/// Factor by which a slow answer shrinks the window.
const SLOW_FACTOR: f64 = 0.7;
/// Factor by which a request without an answer shrinks the window.
const TIMEOUT_FACTOR: f64 = 0.5;

/// Adaptive limit of the requests in flight.
#[derive(Clone, Copy, Debug)]
pub struct SendWindow {
    size: f64,
    /// Requests that were sent before this time don't shrink the window again.
    last_decrease: Time,
}

impl Default for SendWindow {
    fn default() -> SendWindow {
        SendWindow { size: MAX_WINDOW as f64, last_decrease: Time::ZERO }
    }
}

impl SendWindow {
    /// Returns whether another request may be sent while `in_flight` are. `random`, between zero and
    /// one, decides for the fractional part of a window.
    pub fn allows(&self, in_flight: usize, random: f64) -> bool {
        in_flight as f64 + random < self.size
    }

    /// Adapts the window to the answer to a request that was sent at `sent` and that the server
    /// `took` so long for, while `in_flight` requests were in flight, itself included.
    pub fn answered(&mut self, now: Time, sent: Time, took: Duration, in_flight: usize) {
        if took < SLOW_ANSWER {
            self.size = (self.size + INCREASE).min(MAX_WINDOW as f64);
            return;
        }
        // A window that was not used up says nothing about what the server can handle.
        self.decrease(now, sent, self.size.min(in_flight as f64) * SLOW_FACTOR);
    }

    /// Adapts the window to a request that was sent at `sent` and got no answer in time.
    ///
    /// The server may be overloaded or not there at all, so the window shrinks from its size.
    pub fn timed_out(&mut self, now: Time, sent: Time) {
        self.decrease(now, sent, self.size * TIMEOUT_FACTOR);
    }

    /// Shrinks the window once for all requests that were in flight at the same time.
    fn decrease(&mut self, now: Time, sent: Time, size: f64) {
        if sent >= self.last_decrease {
            self.last_decrease = now;
            self.size = size.max(MIN_WINDOW);
        }
    }
}
