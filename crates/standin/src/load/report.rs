//! Measurements of a load run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Upper bound of the histograms: one hour. Longer latencies are counted as this.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// How a call or a program ended, as seen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Answered in full.
    Finished,
    /// Refused without being run.
    Refused,
    /// No full answer was received, so it may have run.
    Unknown,
}

/// Counts and latencies of a load run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Programs started.
    pub begun: u64,
    /// Programs with an answer to every call.
    pub finished: u64,
    /// Programs ended by a refused call.
    pub refused: u64,
    /// Programs ended by a call with an unknown outcome.
    pub unknown: u64,
    /// Calls answered.
    pub calls: u64,
    /// Retries of refused calls.
    pub retries: u64,
    /// Tokens received in answers.
    pub tokens: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Time from a program's first call to its last answer.
    pub program: Latency,
    /// Time from a call's start to its full answer, retries included.
    pub call: Latency,
    /// Time from a call's start to the first token of its stream.
    pub first_token: Latency,
    /// Time between consecutive tokens of a stream.
    pub token_gap: Latency,
}

/// Latency percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest sample.
    pub max_ms: f64,
}

/// Collects the measurements during a run.
pub(super) struct Recorder {
    pub(super) report: LoadReport,
    pub(super) program: Samples,
    pub(super) call: Samples,
    pub(super) first_token: Samples,
    pub(super) token_gap: Samples,
}

/// Histogram of latencies in microseconds.
pub(super) struct Samples(Histogram<u64>);

impl Samples {
    fn new() -> Samples {
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
