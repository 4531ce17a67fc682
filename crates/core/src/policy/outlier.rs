//! Outlier ejection and slow start: an endpoint that keeps failing gets no calls for some time, and
//! then a growing share.

use crate::prelude::*;

/// Settings of ejection and slow start.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Consecutive failures that eject an endpoint.
    pub max_failures: u32,
    /// Duration of the first ejection; doubles with each further one.
    pub base_ejection: Duration,
    /// Longest duration of an ejection.
    pub max_ejection: Duration,
    /// Duration of slow start, in which the share of a new or returned endpoint grows to one.
    pub ramp_time: Duration,
    /// Share of its slots that an endpoint may use at the start.
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

/// Health of one endpoint, as seen by this VM.
#[derive(Clone, Debug)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Time,
    ramp_start: Time,
}

impl Health {
    /// Creates the health of a new endpoint, which begins with slow start.
    pub fn new(now: Time) -> Health {
        Health { failures: 0, ejections: 0, ejected_until: Time::ZERO, ramp_start: now }
    }

    /// Counts a success, which ends a series of failures and shortens the next ejection.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Counts a failure, which may eject the endpoint.
    ///
    /// A broken endpoint often answers fastest and would attract all calls by its low load. The
    /// duration of ejections grows up to a limit. After the first ejection, a single failure is
    /// enough for the next.
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

    /// Returns true while the endpoint is ejected.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns the share of its slots that the endpoint may use at `now`.
    ///
    /// An endpoint that comes back with empty queues and caches looks best to every VM. Without
    /// slow start, all of them would send their backlog at once.
    pub fn slot_share(&self, now: Time, settings: &HealthSettings) -> f64 {
        let share =
            now.since(self.ramp_start).as_secs_f64() / settings.ramp_time.as_secs_f64().max(1e-9);
        share.clamp(settings.min_share, 1.0)
    }
}
