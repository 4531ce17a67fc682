//! The process's monotonic clock, in the core's unit.

use std::time::Instant;

use gypsumglade_core::prelude::*;

/// Reads monotonic time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the time now.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    /// Returns milliseconds of wall time since the Unix epoch, for records that outlive the process.
    pub fn wall_millis() -> u64 {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
