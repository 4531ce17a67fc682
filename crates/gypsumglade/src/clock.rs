//! Monotonic clock of the process.

use gypsumglade_core::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that counts from the start of the process, including time in which the VM was
/// suspended.
///
/// Leases depend on this. The standard library's `Instant` doesn't advance while a VM is suspended,
/// so that a resumed leader could consider an expired lease valid and serve stale reads.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Clock {
        Clock { start: since_boot() }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Time {
        Time::ZERO + since_boot().saturating_sub(self.start)
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch, for records that outlive the
    /// process.
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
