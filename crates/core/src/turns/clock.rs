//! The group's time, with which the leader stamps its commands.

use crate::prelude::*;

/// A leader's clock: the group's time when it became leader, plus the time since then.
///
/// The wall clocks of stores differ. With the leader's wall clock, a leader that is ahead would
/// expire turns too early, and the group's time would then stand still until its successor's clock
/// caught up. Time without a leader isn't counted, so turns are never kept for too short a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderClock {
    /// The group's time when the leader started, in milliseconds.
    group: u64,
    start: Time,
}

impl LeaderClock {
    /// Starts the clock of a new leader.
    ///
    /// `group` is the group's time after all commands of earlier leaders are applied. The first
    /// leader has none and starts from `wall`, its wall clock in milliseconds.
    pub fn start(group: Option<u64>, wall: u64, now: Time) -> LeaderClock {
        LeaderClock { group: group.unwrap_or(wall), start: now }
    }

    /// Returns the group's time, in milliseconds.
    ///
    /// `now` must come from a clock that also counts while the VM is suspended.
    pub fn millis(&self, now: Time) -> u64 {
        let since = u64::try_from(now.since(self.start).as_millis()).unwrap_or(u64::MAX);
        self.group.saturating_add(since)
    }
}
