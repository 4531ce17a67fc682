//! Timeouts and lease lengths.

use gypsumglade_core::lease::LeaseSettings;
use gypsumglade_core::prelude::*;

use super::Findings;

/// Timeouts and intervals, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct TimeoutSettings {
    /// Timeout for connecting to an endpoint. Validated, but not applied by any code at present.
    pub connect_ms: u64,
    /// Timeout of a whole call to an endpoint, if the caller gave no deadline. Validated, but not
    /// applied by any code at present.
    pub endpoint_ms: u64,
    /// Time without data within an answer after which the endpoint is considered hung.
    pub silence_ms: u64,
    /// Timeout of a call to another VM.
    pub peer_ms: u64,
    /// Time that requests in flight get to finish at a planned stop.
    pub drain_ms: u64,
    /// Length of the configuration lease: an entry whose revision was not confirmed for this long
    /// accepts no new work.
    pub lease_ms: u64,
    /// Interval between two confirmations of the revision.
    pub confirm_ms: u64,
}

impl Default for TimeoutSettings {
    fn default() -> TimeoutSettings {
        TimeoutSettings {
            connect_ms: 1_000,
            endpoint_ms: 300_000,
            silence_ms: 30_000,
            peer_ms: 2_000,
            drain_ms: 60_000,
            lease_ms: 5_000,
            confirm_ms: 1_000,
        }
    }
}

/// Maximum timeout, one hour; a larger value is taken for a mistake.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

impl TimeoutSettings {
    /// Returns the timeout for connecting to an endpoint.
    pub fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns the default timeout of a whole call to an endpoint.
    pub fn endpoint(&self) -> Duration {
        Duration::from_millis(self.endpoint_ms)
    }

    /// Returns the longest allowed time without data within an answer.
    pub fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    /// Returns the timeout of a call to another VM.
    pub fn peer(&self) -> Duration {
        Duration::from_millis(self.peer_ms)
    }

    /// Returns how long a planned stop waits for requests in flight.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns the length of the configuration lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// Returns the length and renewal interval of the configuration lease.
    pub fn config_lease(&self) -> LeaseSettings {
        LeaseSettings {
            length_ms: self.lease_ms,
            interval_ms: self.confirm_ms,
            ..LeaseSettings::default()
        }
    }

    pub(super) fn check(&self, findings: &mut Findings) {
        for (place, value) in [
            ("timeouts.connect_ms", self.connect_ms),
            ("timeouts.endpoint_ms", self.endpoint_ms),
            ("timeouts.silence_ms", self.silence_ms),
            ("timeouts.peer_ms", self.peer_ms),
            ("timeouts.drain_ms", self.drain_ms),
        ] {
            findings.check_range(place, value, 1..=MAX_TIMEOUT_MS, "milliseconds");
        }
        // A bundle must be in force everywhere within 12 s, which a longer lease would delay.
        findings.check_range("timeouts.lease_ms", self.lease_ms, 1_000..=10_000, "milliseconds");
        findings.check_range("timeouts.confirm_ms", self.confirm_ms, 50..=5_000, "milliseconds");
    }
}
