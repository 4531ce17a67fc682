//! What a load run measured.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest latency that a histogram tells apart, in microseconds: one hour.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// How a call or a program ended, as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The whole answer came.
    Finished,
    /// Surely not run.
    Refused,
    /// It may have run.
    Unknown,
}

/// Counts and percentiles of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Programs begun.
    pub begun: u64,
    /// Programs whose every call was answered.
    pub finished: u64,
    /// Programs given up after a refusal.
    pub refused: u64,
    /// Programs with a call whose outcome is unknown.
    pub unknown: u64,
    /// Calls answered.
    pub calls: u64,
    /// Calls sent again after a refusal.
    pub retries: u64,
    /// Tokens received in answers.
    pub tokens: u64,
    /// Seconds that the run took.
    pub seconds: f64,
    /// From a program's first call to its last answer.
    pub program: Latency,
    /// Whole calls.
    pub call: Latency,
    /// From a call's start to the first token of its stream.
    pub first_token: Latency,
    /// Between two tokens of one stream.
    pub token_gap: Latency,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Count of samples.
    pub count: u64,
    /// Half are below.
    pub p50_ms: f64,
    /// 95 in 100 are below.
    pub p95_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
    /// The largest.
    pub max_ms: f64,
}

/// Samples while a run goes on.
pub(super) struct Recorder {
    pub(super) report: LoadReport,
    pub(super) program: Samples,
    pub(super) call: Samples,
    pub(super) first_token: Samples,
    pub(super) token_gap: Samples,
}

/// One histogram.
pub(super) struct Samples(Histogram<u64>);

impl Samples {
    fn new() -> Samples {
        // The bounds are constants that the library accepts.
        Samples(
            Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("valid histogram bounds"),
        )
    }

    pub(super) fn add(&mut self, sample: Duration) {
        let micros = u64::try_from(sample.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        self.0.saturating_record(micros.max(1));
    }

    fn latency(&self) -> Latency {
        let millis = |micros: u64| micros as f64 / 1_000.0;
        Latency {
            count: self.0.len(),
            p50_ms: millis(self.0.value_at_quantile(0.5)),
            p95_ms: millis(self.0.value_at_quantile(0.95)),
            p99_ms: millis(self.0.value_at_quantile(0.99)),
            max_ms: millis(self.0.max()),
        }
    }
}

impl Recorder {
    pub(super) fn new() -> Recorder {
        Recorder {
            report: LoadReport::default(),
            program: Samples::new(),
            call: Samples::new(),
            first_token: Samples::new(),
            token_gap: Samples::new(),
        }
    }

    pub(super) fn end(&mut self, end: End) {
        match end {
            End::Finished => self.report.finished += 1,
            End::Refused => self.report.refused += 1,
            End::Unknown => self.report.unknown += 1,
        }
    }

    pub(super) fn finish(&self, elapsed: Duration) -> LoadReport {
        LoadReport {
            seconds: elapsed.as_secs_f64(),
            program: self.program.latency(),
            call: self.call.latency(),
            first_token: self.first_token.latency(),
            token_gap: self.token_gap.latency(),
            ..self.report.clone()
        }
    }
}
