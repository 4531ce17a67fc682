//! How long to wait for an answer before a call that may be repeated is sent to another endpoint.
//!
//! An endpoint may run a call and lose the answer, or hang. The caller hears nothing until its time is
//! over, and by then nobody can help it. A call that may run twice is sent once more while it still has
//! time.

use crate::prelude::*;

/// Weight of the newest answer in the mean time.
const GAIN: f64 = 0.05;
/// How many times longer than answers take on the mean a call is waited for: of answers that vary as
/// much as their mean, one in fifty takes longer.
const HEDGE_FACTOR: f64 = 5.0;
/// Shortest wait: less would take a moment's delay on the way for a lost answer.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(100);

/// How long a route's answers take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseTime {
    /// Mean seconds, if any answer came yet.
    mean: Option<f64>,
}

impl ResponseTime {
    /// Takes the time that an answer took.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let mean = self.mean.unwrap_or(took);
        self.mean = Some(mean + GAIN * (took - mean));
    }

    /// Returns how long to wait for an attempt of a call that has `time_left`, and may have `further_attempts`
    /// attempts after this one. Each of those keeps its equal part of the time.
    pub fn hedge_delay(&self, time_left: Duration, further_attempts: u32) -> Duration {
        if further_attempts == 0 {
            return time_left;
        }
        let share = time_left / (further_attempts + 1);
        let usual =
            self.mean.map(|mean| Duration::from_secs_f64(mean * HEDGE_FACTOR).max(MIN_HEDGE_DELAY));
        usual.map_or(share, |usual| usual.min(share))
    }
}
