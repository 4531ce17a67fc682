//! Outlier ejection: an endpoint that keeps failing gets no work for a while, then comes back slowly.

use crate::prelude::*;

/// When an endpoint is ejected and how it comes back.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Failures in a row that eject.
    pub max_failures: u32,
    /// First time out; doubles with each ejection.
    pub base_ejection: Duration,
    /// Longest time out.
    pub max_ejection: Duration,
    /// Time over which a new or returned endpoint's share grows to the whole.
    pub ramp_time: Duration,
    /// Share that an endpoint starts with.
    pub min_share: f64,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            max_failures: 3,
            base_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(120),
            ramp_time: Duration::from_secs(10),
            min_share: 0.1,
        }
    }
}

/// Failures of one endpoint, as this VM saw them.
#[derive(Clone, Debug)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Time,
    ramp_start: Time,
}

impl Health {
    /// Starts the slow start of an endpoint that just appeared.
    pub fn new(now: Time) -> Health {
        Health { failures: 0, ejections: 0, ejected_until: Time::ZERO, ramp_start: now }
    }

    /// Counts a success, which ends a run of failures.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Counts a failure; enough of them in a row eject.
    ///
    /// A broken endpoint answers fastest of all, so that by load alone it draws every call to
    /// itself. The time out grows with each ejection and is bounded, and one call at a time finds
    /// out whether the endpoint is well again.
    pub fn record_failure(&mut self, now: Time, settings: &HealthSettings) {
        if now < self.ejected_until {
            return;
        }
        self.failures += 1;
        let threshold = if self.ejections > 0 { 1 } else { settings.max_failures };
        if self.failures < threshold {
            return;
        }
        let multiplier = 1 << self.ejections.min(16);
        self.ejected_until = now + (settings.base_ejection * multiplier).min(settings.max_ejection);
        self.ramp_start = self.ejected_until;
        self.ejections += 1;
        self.failures = 0;
    }

    /// Returns true while the endpoint is timed out.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns the share of its slots that the endpoint may fill at `now`, up to one.
    ///
    /// A domain that comes back with empty queues and empty memory looks best to every VM at once;
    /// without the ramp all of them send their backlog in the same second.
    pub fn slot_share(&self, now: Time, settings: &HealthSettings) -> f64 {
        let share =
            now.since(self.ramp_start).as_secs_f64() / settings.ramp_time.as_secs_f64().max(1e-9);
        share.clamp(settings.min_share, 1.0)
    }
}
