//! Limits on request size and concurrency.

use gypsumglade_core::prelude::*;

use super::Findings;

/// Limits of the callers' interface; requests beyond them are refused with `not-run`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum total size of the request headers, in bytes.
    pub header_bytes: u64,
    /// Maximum number of calls in flight to endpoints.
    pub concurrent: u64,
    /// Maximum number of calls that wait for an endpoint.
    pub queue: u64,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            // Leaves ample room for a long history: 140,000 tokens are about 0.6 MB of text.
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
