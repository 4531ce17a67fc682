//! Detects pauses of this process, such as a suspended VM or a lack of CPU time.
//!
//! Streams that were in flight during a pause seem to have taken that long at the engine. Their
//! times must not be learned: engines would look overloaded, and new programs would be turned away
//! after the pause although engines have free slots.

use crate::prelude::*;

/// Interval between calls of [`StallDetector::tick`].
pub const TICK: Duration = Duration::from_millis(100);
/// Delay of a tick that is tolerated: above the scheduling delay of a busy CPU, but short enough to
/// be negligible for callers.
const TOLERANCE: Duration = Duration::from_millis(150);

/// Number of stalls detected up to some moment. If it changes during a measurement, the measurement
/// is invalid.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StallCount(u64);

/// Counts the stalls of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    stalls: StallCount,
    last_tick: Time,
}

impl StallDetector {
    /// Creates a detector whose first tick is at `now`.
    pub fn new(now: Time) -> StallDetector {
        StallDetector { stalls: StallCount::default(), last_tick: now }
    }

    /// Checks for a stall; has to be called every [`TICK`].
    pub fn tick(&mut self, now: Time) {
        self.stalls = self.stalls(now);
        self.last_tick = now;
    }

    /// Returns the number of stalls up to `now`. It includes a stall that the next tick will count,
    /// because tasks that were waiting may run before that tick.
    pub fn stalls(&self, now: Time) -> StallCount {
        match now.since(self.last_tick) > TICK + TOLERANCE {
            true => StallCount(self.stalls.0 + 1),
            false => self.stalls,
        }
    }
}
