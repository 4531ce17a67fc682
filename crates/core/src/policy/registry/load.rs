//! Load of one endpoint: reports, corrected by the calls that this process has sent since.

use std::collections::VecDeque;

use super::announce::LoadReport;
use crate::prelude::*;

/// Age above which a load report is stale.
pub const STALE_AFTER: Duration = Duration::from_secs(5);

/// Maximum number of changes kept since the last report; older ones are added to its total.
const MAX_CHANGES: usize = 512;

/// Weight of the newest sample in the moving average of the service time.
const SERVICE_GAIN: f64 = 0.05;

/// Estimated load of one endpoint at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadView {
    /// Calls expected to run or wait at the endpoint.
    pub total: u32,
    /// Calls of this process in flight there.
    pub own: u32,
    /// Prompt tokens of this process that were sent there and aren't prefilled yet.
    pub prefill_tokens: u64,
    /// Tokens in the prefix cache, as last reported.
    pub cached_tokens: u64,
    /// Age of the last report; [`Duration::MAX`] without one.
    pub age: Duration,
    /// Whether the last report is missing or older than [`STALE_AFTER`].
    pub stale: bool,
    /// Moving average of the seconds from dispatch to last byte; `None` before the first call
    /// finished.
    pub service_time: Option<f64>,
}

impl LoadView {
    /// Returns the calls of other processes.
    pub fn others(&self) -> u32 {
        self.total - self.own
    }
}

#[derive(Clone, Copy, Debug)]
struct Change {
    at: Time,
    delta: i64,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    total: i64,
    cached: u64,
    at: Time,
    received: Time,
}

/// Tracks one endpoint's load between reports.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    report: Option<Report>,
    changes: VecDeque<Change>,
    own: u32,
    prefill_tokens: u64,
    service_time: Option<f64>,
}

impl LoadTracker {
    /// Applies a report, and drops the changes that it already includes. A report older than the
    /// last one is ignored.
    pub fn record_report(&mut self, now: Time, load: LoadReport) {
        let at = now - load.age;
        if self.report.is_some_and(|old| old.at > at) {
            return;
        }
        let total = i64::from(load.running) + i64::from(load.waiting);
        self.report = Some(Report { total, cached: load.cached_tokens, at, received: now });
        while self.changes.front().is_some_and(|change| change.at <= at) {
            self.changes.pop_front();
        }
    }

    /// Counts a call as sent, with `prefill_tokens` prompt tokens to prefill.
    pub fn record_sent(&mut self, now: Time, prefill_tokens: u64) {
        self.own += 1;
        self.prefill_tokens += prefill_tokens;
        self.push(Change { at: now, delta: 1 });
    }

    /// Counts prompt tokens as prefilled.
    pub fn record_prefilled(&mut self, prefill_tokens: u64) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Counts a call as ended. `service_time` is its duration in seconds if it ran to its end.
    pub fn record_finished(&mut self, now: Time, service_time: Option<f64>) {
        self.own = self.own.saturating_sub(1);
        self.push(Change { at: now, delta: -1 });
        if let Some(sample) = service_time {
            let mean = self.service_time.unwrap_or(sample);
            self.service_time = Some(mean + SERVICE_GAIN * (sample - mean));
        }
    }

    /// Returns the estimated load at `now`.
    ///
    /// A report lacks the calls that were sent after it was written. Without adding this process's
    /// own, a burst would go to whichever endpoint last reported itself idle.
    pub fn view(&self, now: Time) -> LoadView {
        let changed: i64 = self.changes.iter().map(|change| change.delta).sum();
        let total = self.report.map_or(0, |report| report.total + changed);
        LoadView {
            total: u32::try_from(total.max(0)).unwrap_or(u32::MAX).max(self.own),
            own: self.own,
            prefill_tokens: self.prefill_tokens,
            cached_tokens: self.report.map_or(0, |report| report.cached),
            age: self.report.map_or(Duration::MAX, |report| now.since(report.at)),
            stale: self.report.is_none_or(|report| {
                now.since(report.at) > STALE_AFTER || now.since(report.received) > STALE_AFTER
            }),
            service_time: self.service_time,
        }
    }

    fn push(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() <= MAX_CHANGES {
            return;
        }
        let Some(oldest) = self.changes.pop_front() else { return };
        if let Some(report) = &mut self.report {
            report.total += oldest.delta;
        }
    }
}
