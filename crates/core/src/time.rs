//! Monotonic time, passed in by the users of this crate.
//!
//! The core never reads a clock, so tests can replay every decision.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time of a process's monotonic clock, in microseconds since an arbitrary start.
///
/// Times of different processes must not be compared, since their clocks start differently.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time(0);
    /// A time that is never reached.
    pub const MAX: Time = Time(u64::MAX);

    /// Returns the time `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the whole milliseconds since the start of the clock.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
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
