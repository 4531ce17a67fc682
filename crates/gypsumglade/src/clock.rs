//! The process's clock, in the core's unit.

use gypsumglade_core::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Reads the time since the process started, the time that its VM was suspended included.
///
/// Leases rest on it. The steady clock of the standard library stands still while a VM is suspended:
/// a leader that wakes after five seconds would take its lease for fresh, and answer reads that miss
/// what another leader has committed meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        Clock { start: since_boot() }
    }

    /// Returns the time now.
    pub fn now(&self) -> Time {
        Time::ZERO + since_boot().saturating_sub(self.start)
    }

    /// Returns milliseconds of wall time since the Unix epoch, for records that outlive the process.
    pub fn wall_millis() -> u64 {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
