//! The group's time, as its leader gives it to commands.

use crate::prelude::*;

/// A leader's clock: the group's time at the start of its lead, and what has passed since.
///
/// Wall clocks of stores differ. Were commands given the leader's, one that is ahead would have all turns
/// forgotten too early, and the group's time stand still until the others' clocks had come that far. The
/// time without a leader isn't counted, so turns are kept a little longer and never shorter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderClock {
    /// The group's time at the start, in milliseconds.
    group: u64,
    start: Time,
}

impl LeaderClock {
    /// Starts a lead. `group` is the group's time once all that earlier leaders committed is applied; the
    /// first leader of all has none and takes its wall clock.
    pub fn start(group: Option<u64>, wall: u64, now: Time) -> LeaderClock {
        LeaderClock { group: group.unwrap_or(wall), start: now }
    }

    /// Returns the group's time, in milliseconds. `now` must count the time that the VM is suspended.
    pub fn millis(&self, now: Time) -> u64 {
        let since = u64::try_from(now.since(self.start).as_millis()).unwrap_or(u64::MAX);
        self.group.saturating_add(since)
    }
}
