//! Load of one endpoint: lagging reports, corrected by what this process itself has in flight.

use std::collections::VecDeque;

use super::announce::LoadReport;
use crate::prelude::*;

/// Age past which a load report no longer counts as news.
pub const STALE_AFTER: Duration = Duration::from_secs(5);

/// Own changes remembered past the last report; older ones are folded into it.
const MAX_CHANGES: usize = 512;

/// Weight of the newest sample in the mean service time.
const SERVICE_GAIN: f64 = 0.05;

/// Load of one endpoint at one moment, as well as this process knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadView {
    /// Calls believed to run or wait there.
    pub total: u32,
    /// Calls of this process among them.
    pub own: u32,
    /// Own prompt tokens sent there and not yet filled.
    pub prefill_tokens: u64,
    /// Prefix tokens held, as last reported.
    pub cached_tokens: u64,
    /// Age of the last report; the longest there is before the first.
    pub age: Duration,
    /// True when no report is recent enough to be trusted.
    pub stale: bool,
    /// Mean seconds from dispatch to last byte, if any call finished yet.
    pub service_time: Option<f64>,
}

impl LoadView {
    /// Returns the calls there that aren't of this process.
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

/// Keeps one endpoint's load between reports.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    report: Option<Report>,
    changes: VecDeque<Change>,
    own: u32,
    prefill_tokens: u64,
    service_time: Option<f64>,
}

impl LoadTracker {
    /// Takes a report in and forgets the own changes that it already contains.
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

    /// Counts a call sent.
    pub fn record_sent(&mut self, now: Time, prefill_tokens: u64) {
        self.own += 1;
        self.prefill_tokens += prefill_tokens;
        self.push(Change { at: now, delta: 1 });
    }

    /// Counts a call's prompt as filled.
    pub fn record_prefilled(&mut self, prefill_tokens: u64) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Counts a call as over, `service_time` seconds after it was sent when it ran to its end.
    pub fn record_finished(&mut self, now: Time, service_time: Option<f64>) {
        self.own = self.own.saturating_sub(1);
        self.push(Change { at: now, delta: -1 });
        if let Some(sample) = service_time {
            let mean = self.service_time.unwrap_or(sample);
            self.service_time = Some(mean + SERVICE_GAIN * (sample - mean));
        }
    }

    /// Returns the load as known at `now`.
    ///
    /// A report says what was true when the endpoint wrote it. Calls sent since then are missing
    /// from it, and a burst would all go to the same idle-looking endpoint; adding the own changes
    /// after the report's instant closes that window for this process's share of the calls.
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
