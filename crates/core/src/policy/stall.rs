//! Notices when a process stood still, so that it doesn't take its own stand for endpoints' slowness.
//!
//! A stream that was under way while a VM was suspended, or its processor was taken away, seems to have
//! taken an engine all that time. Learnt from, a stand of some seconds makes engines seem many times
//! slower than alone, and the VM turns new programs away after it is back, while engines have slots free.

use crate::prelude::*;

/// Pause between two looks at the clock.
pub const TICK: Duration = Duration::from_millis(100);
/// How late a look may come before the process counts as having stood still: more than a busy
/// processor delays it, less than callers notice.
const TOLERANCE: Duration = Duration::from_millis(150);

/// How often a process had stood still at some moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StallCount(u64);

/// Counts how often a process stood still.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    stalls: StallCount,
    last_tick: Time,
}

impl StallDetector {
    /// Starts at `now`.
    pub fn new(now: Time) -> StallDetector {
        StallDetector { stalls: StallCount::default(), last_tick: now }
    }

    /// Looks at the clock, every [`TICK`].
    pub fn tick(&mut self, now: Time) {
        self.stalls = self.stalls(now);
        self.last_tick = now;
    }

    /// Returns how often the process has stood still. It counts a stand that no look has noticed yet:
    /// what waited during the stand may run before the next look does.
    pub fn stalls(&self, now: Time) -> StallCount {
        match now.since(self.last_tick) > TICK + TOLERANCE {
            true => StallCount(self.stalls.0 + 1),
            false => self.stalls,
        }
    }
}
