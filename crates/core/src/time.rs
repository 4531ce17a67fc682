//! Monotonic time as the core sees it: a number that callers pass in.
//!
//! The core never reads a clock, so every decision can be replayed in a test.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, in microseconds since an arbitrary start.
///
/// Points of two processes must never be compared: their clocks share no start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The clock's start.
    pub const ZERO: Time = Time(0);
    /// Later than any point a process can reach.
    pub const MAX: Time = Time(u64::MAX);

    /// Returns the point `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the whole milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns how long ago `earlier` was, or zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, delay: Duration) -> Time {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, delay: Duration) -> Time {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
