//! Outlier ejection: an endpoint that keeps failing gets no work for a while, then comes back slowly.

use crate::prelude::*;

/// When an endpoint is ejected and how it comes back.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Failures in a row that eject.
    pub failures: u32,
    /// First time out; doubles with each ejection.
    pub ejection: Duration,
    /// Longest time out.
    pub longest: Duration,
    /// Time over which a new or returned endpoint's share grows to the whole.
    pub ramp: Duration,
    /// Share that an endpoint starts with.
    pub floor: f64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            failures: 3,
            ejection: Duration::from_secs(5),
            longest: Duration::from_secs(120),
            ramp: Duration::from_secs(10),
            floor: 0.1,
        }
    }
}

/// Failures of one endpoint, as this VM saw them.
#[derive(Clone, Debug)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until: Time,
    since: Time,
}

impl Health {
    /// Starts the slow start of an endpoint that just appeared.
    pub fn joined(now: Time) -> Health {
        Health { failures: 0, ejections: 0, until: Time::ZERO, since: now }
    }

    /// Counts a success, which ends a run of failures.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Counts a failure; enough of them in a row eject.
    ///
    /// A broken endpoint answers fastest of all, so that by load alone it draws every call to
    /// itself. The time out grows with each ejection and is bounded, and one call at a time finds
    /// out whether the endpoint is well again.
    pub fn failed(&mut self, now: Time, settings: &HealthSettings) {
        if now < self.until {
            return;
        }
        self.failures += 1;
        let enough = if self.ejections > 0 { 1 } else { settings.failures };
        if self.failures < enough {
            return;
        }
        let factor = 1 << self.ejections.min(16);
        self.until = now + (settings.ejection * factor).min(settings.longest);
        self.since = self.until;
        self.ejections += 1;
        self.failures = 0;
    }

    /// Returns true while the endpoint is timed out.
    pub fn ejected(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns the share of its slots that the endpoint may fill at `now`, up to one.
    ///
    /// A domain that comes back with empty queues and empty memory looks best to every VM at once;
    /// without the ramp all of them send their backlog in the same second.
    pub fn share(&self, now: Time, settings: &HealthSettings) -> f64 {
        let grown = now.since(self.since).as_secs_f64() / settings.ramp.as_secs_f64().max(1e-9);
        grown.clamp(settings.floor, 1.0)
    }
}
