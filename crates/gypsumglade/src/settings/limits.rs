//! Bounds on size and concurrency.

use gypsumglade_core::prelude::*;

use super::Findings;

/// What the callers' interface accepts before it refuses with `not-run`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Largest sum of request headers, in bytes.
    pub header_bytes: u64,
    /// Calls in flight to endpoints at one time.
    pub concurrent: u64,
    /// Calls that wait for an endpoint at one time.
    pub queue: u64,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            // A history of 140,000 tokens is some 0.6 MB of text.
            body_bytes: 4 << 20,
            header_bytes: 16 << 10,
            concurrent: 2_048,
            queue: 1_024,
        }
    }
}

impl LimitSettings {
    pub(super) fn check(&self, findings: &mut Findings) {
        findings.check_range("limits.body_bytes", self.body_bytes, 1_024..=64 << 20, "bytes");
        findings.check_range("limits.header_bytes", self.header_bytes, 1_024..=1 << 20, "bytes");
        findings.check_range("limits.concurrent", self.concurrent, 1..=65_536, "calls");
        findings.check_range("limits.queue", self.queue, 0..=65_536, "calls");
    }
}
