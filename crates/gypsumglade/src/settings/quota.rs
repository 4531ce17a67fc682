//! How the rate limits of organisations are enforced.

use gypsumglade_core::bundle::RateLimit;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Limit;

use super::Findings;

/// Window of the rate limits, and how far programs under way may exceed them.
///
/// Must be the same on all VMs. See docs/design/quotas.md.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct QuotaSettings {
    /// Length of the window in which requests are counted, in seconds.
    pub window_s: f64,
    /// Part of the limit by which the requests in a window may exceed it.
    pub over: f64,
    /// Number of requests in a window that may exceed the limit besides.
    pub slack: u64,
}

impl Default for QuotaSettings {
    fn default() -> QuotaSettings {
        QuotaSettings { window_s: 5.0, over: 0.0, slack: 0 }
    }
}

impl QuotaSettings {
    /// Returns an organisation's limit for the requests in a window.
    ///
    /// Programs under way may use most of what is allowed beyond the limit. The rest covers grants
    /// that are lost with a leader.
    pub fn limit(&self, rate: RateLimit, revision: RevisionNumber) -> Limit {
        let requests = rate.per_second * self.window_s + rate.burst;
        let excess = requests * self.over + self.slack as f64;
        Limit {
            revision: revision.0,
            requests: requests as u64,
            overdraft: (excess * OVERDRAFT_SHARE) as u64,
            window_ms: (self.window_s * MILLIS) as u64,
        }
    }

    pub(super) fn check(&self, findings: &mut Findings) {
        if !(0.1..=MAX_WINDOW_S).contains(&self.window_s) {
            findings.add("quota.window_s", self.window_s, "0.1 to 600 seconds");
        }
        findings.check_range("quota.slack", self.slack, 0..=MAX_SLACK, "requests");
        if !(0.0..=1.0).contains(&self.over) {
            findings.add("quota.over", self.over, "0 to 1");
        }
    }
}

/// Part of the allowed excess that programs under way may use.
const OVERDRAFT_SHARE: f64 = 0.75;
/// Maximum length of the window, in seconds.
const MAX_WINDOW_S: f64 = 600.0;
/// Maximum number of requests that may exceed a limit.
const MAX_SLACK: u64 = 1_000_000;
/// Milliseconds in a second.
const MILLIS: f64 = 1e3;
