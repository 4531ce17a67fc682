//! Metrics of a process, exported in the Prometheus format.
//!
//! docs/OPERATING.md lists the names for operators.

use anyhow::Context as _;
use gypsumglade_core::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider as _, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, IntGauge, Registry, TextEncoder};

/// Bucket bounds of the histogram of program durations, in seconds.
const PROGRAM_SECONDS: [f64; 14] =
    [0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 600.0, 1_800.0, 3_600.0];
/// Bucket bounds of the latency histograms of calls, in seconds.
const CALL_SECONDS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.59, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0];

/// Bucket bounds of the histogram of replicated commits, in seconds, from a disk sync to an election.
const COMMIT_SECONDS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Histogram of the time from a proposal to its outcome, by kind of group.
#[derive(Clone, Debug)]
pub struct CommitLatency(Histogram<f64>);

impl CommitLatency {
    /// Records one proposal.
    pub fn record(&self, group: GroupId, took: Duration, outcome: &'static str) {
        let labels = [label("group", group_name(group)), label("outcome", outcome)];
        self.0.record(took.as_secs_f64(), &labels);
    }
}

/// Instruments of an entry VM's requests for its configuration lease.
#[derive(Clone, Debug)]
pub struct LeaseMetrics {
    requests: Counter<u64>,
    update_bytes: Counter<u64>,
    seconds: Histogram<f64>,
}

impl LeaseMetrics {
    /// Records a request, and the size of the update that answered it, if any.
    pub fn request(&self, took: Duration, outcome: &'static str, update_bytes: usize) {
        let labels = [label("outcome", outcome)];
        self.requests.add(1, &labels);
        self.seconds.record(took.as_secs_f64(), &labels);
        self.update_bytes.add(update_bytes as u64, &[]);
    }
}

/// Returns a group's kind, as used in metrics and logs.
pub fn group_name(group: GroupId) -> &'static str {
    match group {
        GroupId::CONTROL => "control",
        GroupId::TURNS => "turns",
        _ => "programs",
    }
}

/// Returns the resident memory of this process in bytes, or `None` if it can't be read.
fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(RESIDENT_FIELD)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}

/// Index of the number of resident pages in `/proc/self/statm`.
const RESIDENT_FIELD: usize = 1;

/// Metric instruments of a process.
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would stop the export of metrics.
    _provider: SdkMeterProvider,
    program_seconds: Histogram<f64>,
    call_seconds: Histogram<f64>,
    first_token: Histogram<f64>,
    turn_wait: Histogram<f64>,
    cache_tokens: Counter<u64>,
    output_tokens: Counter<u64>,
    outcomes: Counter<u64>,
    shed: Counter<u64>,
    limits: Counter<u64>,
    retries: Counter<u64>,
    quota: Counter<u64>,
    broken_attempts: Counter<u64>,
    trials: Counter<u64>,
    region_bytes: Counter<u64>,
    commits: CommitLatency,
    leases: LeaseMetrics,
    resident: IntGauge,
    waiting: UpDownCounter<i64>,
    in_flight: UpDownCounter<i64>,
}

/// Outcome of prefix tokens in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheUse {
    /// Computed and stored in an engine's prefix cache.
    Filled,
    /// Found in the cache by a later call.
    Reused,
    /// Computed again, although the same program had computed them before.
    Refilled,
    /// Freed at the end of a program, or left in an engine that the program moved away from.
    Dropped,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// Fails if the exporter can't be set up, which is a bug.
    pub fn new() -> anyhow::Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("can't set up the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("gypsumglade");
        let seconds = |name: &'static str, bounds: &[f64]| {
            meter.f64_histogram(name).with_unit("s").with_boundaries(bounds.to_vec()).build()
        };
        let count = |name: &'static str| meter.u64_counter(name).build();
        let resident = IntGauge::new("process_resident_memory_bytes", "memory in use")?;
        registry.register(Box::new(resident.clone()))?;
        Ok(Metrics {
            program_seconds: seconds("program_latency", &PROGRAM_SECONDS),
            call_seconds: seconds("call_latency", &CALL_SECONDS),
            first_token: seconds("first_token_latency", &CALL_SECONDS),
            turn_wait: seconds("turn_wait", &CALL_SECONDS),
            cache_tokens: count("prefix_cache_tokens"),
            output_tokens: count("output_tokens"),
            outcomes: count("call_outcomes"),
            shed: count("calls_shed"),
            limits: count("limits_reached"),
            retries: count("call_retries"),
            quota: count("quota_requests"),
            broken_attempts: count("broken_attempts"),
            trials: count("suspect_trials"),
            region_bytes: count("region_link_bytes"),
            commits: CommitLatency(seconds("replica_commit", &COMMIT_SECONDS)),
            leases: LeaseMetrics {
                requests: count("lease_requests"),
                update_bytes: count("bundle_update_bytes"),
                seconds: seconds("lease_request", &CALL_SECONDS),
            },
            resident,
            waiting: meter.i64_up_down_counter("calls_waiting").build(),
            in_flight: meter.i64_up_down_counter("calls_in_flight").build(),
            registry,
            _provider: provider,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Fails if a metric can't be encoded, which is a bug.
    pub fn page(&self) -> anyhow::Result<String> {
        if let Some(bytes) = resident_bytes() {
            self.resident.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(String::from_utf8(page)?)
    }

    /// Returns the histogram in which replicas record the duration of proposals.
    pub fn commits(&self) -> CommitLatency {
        self.commits.clone()
    }

    /// Returns the instruments for requests of the configuration lease.
    pub fn leases(&self) -> LeaseMetrics {
        self.leases.clone()
    }

    /// Returns the counter of limits that callers reach.
    pub fn limits(&self) -> Counter<u64> {
        self.limits.clone()
    }

    /// Records a program's time from first call to last answer.
    pub fn program(&self, seconds: f64) {
        self.program_seconds.record(seconds, &[]);
    }

    /// Records a call's time and outcome; `kind` is `model` or `tool`.
    pub fn call(&self, seconds: f64, kind: &'static str, outcome: &'static str) {
        let labels = [label("kind", kind), label("outcome", outcome)];
        self.call_seconds.record(seconds, &labels);
        self.outcomes.add(1, &labels);
    }

    /// Records the time to the first token of a stream.
    pub fn first_token(&self, seconds: f64, model: &str) {
        self.first_token.record(seconds, &[label("model", model)]);
    }

    /// Records how long a turn waited for a step of the turn group, and the outcome.
    pub fn turn_wait(&self, seconds: f64, step: &'static str, outcome: &'static str) {
        self.turn_wait.record(seconds, &[label("step", step), label("outcome", outcome)]);
    }

    /// Counts prefix tokens by their outcome.
    pub fn cache(&self, tokens: u64, usage: CacheUse) {
        let name = match usage {
            CacheUse::Filled => "filled",
            CacheUse::Reused => "reused",
            CacheUse::Refilled => "refilled",
            CacheUse::Dropped => "dropped",
        };
        self.cache_tokens.add(tokens, &[label("use", name)]);
    }

    /// Counts generated tokens.
    pub fn output(&self, tokens: u64, model: &str) {
        self.output_tokens.add(tokens, &[label("model", model)]);
    }

    /// Counts a call that was shed before it ran.
    pub fn shed(&self, reason: &'static str) {
        self.shed.add(1, &[label("reason", reason)]);
    }

    /// Counts a retry of a call.
    pub fn retry(&self, reason: &'static str) {
        self.retries.add(1, &[label("reason", reason)]);
    }

    /// Counts a request of an organisation with a rate limit, by outcome.
    pub fn quota(&self, outcome: &'static str) {
        self.quota.add(1, &[label("outcome", outcome)]);
    }

    /// Counts an attempt that an endpoint broke off, by the endpoint's state afterwards.
    pub fn broken_attempt(&self, endpoint: &'static str) {
        self.broken_attempts.add(1, &[label("endpoint", endpoint)]);
    }

    /// Counts a suspected request that asked leave to run, by outcome.
    pub fn trial(&self, outcome: &'static str) {
        self.trials.add(1, &[label("outcome", outcome)]);
    }

    /// Counts bytes sent between regions, by class of traffic.
    pub fn region_link(&self, bytes: u64, class: &'static str) {
        self.region_bytes.add(bytes, &[label("class", class)]);
    }

    /// Adds `change` to the number of calls that wait for an endpoint.
    pub fn waiting(&self, change: i64) {
        self.waiting.add(change, &[]);
    }

    /// Adds `change` to the number of calls in flight.
    pub fn in_flight(&self, change: i64) {
        self.in_flight.add(change, &[]);
    }
}

fn label(name: &'static str, value: &str) -> KeyValue {
    KeyValue::new(name, value.to_owned())
}
