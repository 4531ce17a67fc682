//! Bounds of admission, with their defaults in one place.

use super::LimitSettings;
use crate::prelude::*;

/// Bounds of admission.
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// The adaptive concurrency limit.
    pub limit: LimitSettings,
    /// Share of the limit that only urgent calls use.
    pub reserve: f64,
    /// Calls that one organisation may have waiting.
    pub org_queue: u32,
    /// Calls that may wait in all.
    pub queue: u32,
    /// Longest that the first call of a program waits.
    pub max_wait: Duration,
    /// Seconds of service that an organisation's turn pays for; longer calls skip turns.
    pub quantum: f64,
    /// Urgent starts in a row while others wait.
    pub urgent_run: u32,
    /// Starts in a row of programs under way while new ones wait.
    pub under_way_run: u32,
    /// Shortest and longest advice of when to come back.
    pub retry_range: [Duration; 2],
    /// Parts that tests and the benchmark can switch off.
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

/// Parts of admission that can be switched off one at a time.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct AdmissionFeatures {
    /// Organisations take turns; off, all calls share one queue.
    pub fair: bool,
    /// Programs under way come before new ones.
    pub under_way: bool,
    /// Urgent calls come first.
    pub urgent: bool,
    /// Calls that cannot make their deadline are shed early.
    pub early_shedding: bool,
}

impl Default for AdmissionFeatures {
    fn default() -> Self {
        AdmissionFeatures { fair: true, under_way: true, urgent: true, early_shedding: true }
    }
}
