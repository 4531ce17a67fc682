//! Settings of admission control.

use super::LimitSettings;
use crate::prelude::*;

/// Limits of admission control.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// Settings of the adaptive concurrency limit.
    pub limit: LimitSettings,
    /// Share of the limit that is reserved for urgent calls.
    pub reserve: f64,
    /// Maximum number of queued calls of one organisation.
    pub org_queue: u32,
    /// Maximum number of queued calls in total.
    pub queue: u32,
    /// Longest wait of a program's first call.
    pub max_wait: Duration,
    /// Seconds of service that an organisation's turn pays for; longer calls skip turns.
    pub quantum: f64,
    /// Maximum number of urgent calls started in a row while other calls wait.
    pub urgent_run: u32,
    /// Maximum number of calls of programs under way started in a row while new programs wait.
    pub under_way_run: u32,
    /// Shortest and longest retry delay that callers are given.
    pub retry_range: [Duration; 2],
    /// Features that tests and benchmarks can disable.
    #[doc(hidden)]
    pub features: AdmissionFeatures,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            limit: LimitSettings::default(),
            reserve: 0.05,
            org_queue: 256,
            queue: 4096,
            max_wait: Duration::from_secs(20),
            quantum: 4.0,
            urgent_run: 16,
            under_way_run: 32,
            retry_range: [Duration::from_secs(1), Duration::from_secs(60)],
            features: AdmissionFeatures::default(),
        }
    }
}

/// Features of admission control that can be disabled one at a time.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct AdmissionFeatures {
    /// Organisations take turns; when disabled, all calls share one queue.
    pub fair: bool,
    /// Calls of programs under way start before those of new programs.
    pub under_way: bool,
    /// Urgent calls start first.
    pub urgent: bool,
    /// Calls that can't meet their deadline are shed before it.
    pub early_shedding: bool,
}

impl Default for AdmissionFeatures {
    fn default() -> Self {
        AdmissionFeatures { fair: true, under_way: true, urgent: true, early_shedding: true }
    }
}
