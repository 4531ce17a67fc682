//! Bounds on time.

use gypsumglade_core::lease::LeaseSettings;
use gypsumglade_core::prelude::*;

use super::Findings;

/// How long the process waits for others, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct TimeoutSettings {
    /// Connecting to an endpoint or a peer.
    pub connect_ms: u64,
    /// A whole call to an endpoint, when the caller gave no deadline.
    pub endpoint_ms: u64,
    /// Silence within an answer, after which the endpoint counts as hung.
    pub silence_ms: u64,
    /// One call to another VM of the system.
    pub peer_ms: u64,
    /// A planned stop: requests in flight get this long to finish.
    pub drain_ms: u64,
    /// Without confirmation of its revision for this long, an entry takes no new work.
    pub lease_ms: u64,
    /// Pause between two confirmations of the revision.
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

/// Longest timeout that is taken for meant, one hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

impl TimeoutSettings {
    /// Returns the bound on a connect.
    pub fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns the bound on a whole call to an endpoint.
    pub fn endpoint(&self) -> Duration {
        Duration::from_millis(self.endpoint_ms)
    }

    /// Returns the bound on silence within an answer.
    pub fn silence(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }

    /// Returns the bound on a call to another VM.
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

    /// Returns the times of the configuration lease.
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
        // A bundle must be in force everywhere within 12 s, and the lease bounds that.
        findings.check_range("timeouts.lease_ms", self.lease_ms, 1_000..=10_000, "milliseconds");
        findings.check_range("timeouts.confirm_ms", self.confirm_ms, 50..=5_000, "milliseconds");
    }
}
