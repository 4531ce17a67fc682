//! Timeout of an attempt, after which a call that may be repeated is sent to another endpoint.
//!
//! An endpoint may run a call and lose the answer, or hang. Without this timeout, the caller would
//! notice only at its deadline, when no time is left for another attempt.

use crate::prelude::*;

/// Weight of the newest response in the moving average.
const GAIN: f64 = 0.05;
/// Timeout in multiples of the mean response time. If response times vary as much as their mean,
/// about one response in fifty takes longer.
const TIMEOUT_FACTOR: f64 = 5.0;
/// Shortest timeout, so that a short network delay isn't taken for a lost answer.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Moving average of a route's response times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseTime {
    /// Mean in seconds; `None` before the first response.
    mean: Option<f64>,
}

impl ResponseTime {
    /// Adds the response time of an answered call.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let mean = self.mean.unwrap_or(took);
        self.mean = Some(mean + GAIN * (took - mean));
    }

    /// Returns the timeout of an attempt of a call that has `time_left` and may make
    /// `further_attempts` after this one.
    ///
    /// The timeout is at most an equal share of the time left, so that each further attempt keeps
    /// its share. The last attempt gets all of it.
    pub fn attempt_timeout(&self, time_left: Duration, further_attempts: u32) -> Duration {
        if further_attempts == 0 {
            return time_left;
        }
        let share = time_left / (further_attempts + 1);
        let usual =
            self.mean.map(|mean| Duration::from_secs_f64(mean * TIMEOUT_FACTOR).max(MIN_TIMEOUT));
        usual.map_or(share, |usual| usual.min(share))
    }
}
