//! Retention of cached prefixes during tool calls: keep, drop or move them.
//!
//! While a program waits for a tool, its prefix takes memory that running programs could use; if it
//! is dropped, it has to be prefilled again afterwards. Which of them costs less depends on the
//! length of the pause, which is learned for each tool. See docs/design/routing.md.

use std::collections::HashMap;

use crate::prelude::*;

/// Lower bound of the first bucket, in seconds.
const MIN_PAUSE: f64 = 0.05;
/// Ratio between the bounds of neighbouring buckets.
const BUCKET_FACTOR: f64 = 1.5;
const BUCKET_COUNT: usize = 32;

/// Number of samples at which all counts are halved, so that recent pauses outweigh older ones.
const HALVE_AT: f64 = 200.0;

/// Number of samples below which the statistics of all tools are used instead.
const MIN_SAMPLES: f64 = 5.0;

/// Maximum number of tools with their own statistics; callers choose the names.
const MAX_TOOLS: usize = 1024;

/// Histogram of pause lengths with logarithmic buckets.
#[derive(Clone, Debug)]
pub struct PauseHistogram {
    buckets: [f32; BUCKET_COUNT],
    total: f64,
}

impl Default for PauseHistogram {
    fn default() -> Self {
        PauseHistogram { buckets: [0.0; BUCKET_COUNT], total: 0.0 }
    }
}

impl PauseHistogram {
    /// Adds a pause.
    pub fn record(&mut self, pause: Duration) {
        if self.total >= HALVE_AT {
            self.buckets.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        self.buckets[bucket(pause.as_secs_f64())] += 1.0;
        self.total += 1.0;
    }

    /// Returns the probability that a pause that has lasted `so_far` ends within `more`.
    pub fn ends_within(&self, so_far: Duration, more: Duration) -> f64 {
        let from = bucket(so_far.as_secs_f64());
        let to = bucket((so_far + more).as_secs_f64());
        let remaining_samples: f32 = self.buckets[from..].iter().sum();
        if remaining_samples < f32::EPSILON {
            return 0.0;
        }
        f64::from(self.buckets[from..=to].iter().sum::<f32>() / remaining_samples)
    }

    /// Returns the expected remaining time of a pause that has lasted `so_far`.
    pub fn remaining(&self, so_far: Duration) -> Duration {
        let from = bucket(so_far.as_secs_f64());
        let remaining_samples: f64 =
            self.buckets[from..].iter().map(|count| f64::from(*count)).sum();
        if remaining_samples <= 0.0 {
            return Duration::from_secs_f64(so_far.as_secs_f64().max(MIN_PAUSE));
        }
        let weighted = |(index, count): (usize, &f32)| midpoint(index) * f64::from(*count);
        let sum: f64 = self.buckets.iter().enumerate().skip(from).map(weighted).sum();
        Duration::from_secs_f64((sum / remaining_samples - so_far.as_secs_f64()).max(0.0))
    }
}

fn bucket(seconds: f64) -> usize {
    let index = (seconds.max(MIN_PAUSE) / MIN_PAUSE).ln() / BUCKET_FACTOR.ln();
    (index as usize).min(BUCKET_COUNT - 1)
}

fn midpoint(index: usize) -> f64 {
    MIN_PAUSE * BUCKET_FACTOR.powf(index as f64 + 0.5)
}

/// What happens to a program's cached prefix at the start of a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// Keep it, with precedence over prefixes that nobody is expected to use again.
    Keep {
        /// Time at which to decide again.
        until: Time,
    },
    /// Evict it first when the engine needs memory.
    Drop,
    /// Move it to another engine or to host memory.
    Move,
}

/// A program that waits for a tool.
#[derive(Clone, Debug)]
pub struct RetentionRequest {
    /// Name of the tool.
    pub tool: CompactString,
    /// Time for which the program has waited.
    pub paused: Duration,
    /// Length of the cached prefix in tokens.
    pub tokens: u64,
    /// Prompt tokens that the engine prefills per second.
    pub prefill_rate: f64,
    /// Used share of the engine's prefix cache, from zero to one.
    pub pressure: f64,
    /// Seconds to move the prefix away and back, if the engines support it.
    pub move_time: Option<f64>,
}

/// Token counts of prefix cache use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUse {
    /// Tokens that were prefilled.
    pub filled: u64,
    /// Tokens found in the cache and not prefilled again.
    pub reused: u64,
    /// Prefilled tokens that an earlier turn had prefilled before.
    pub refilled: u64,
    /// Tokens evicted before their program ended, or held for a program that failed.
    pub dropped: u64,
}

impl CacheUse {
    /// Counts a call by its prompt length, the part that earlier turns had prefilled, and the part
    /// that was still cached.
    pub fn record_call(&mut self, prompt: u64, prior: u64, resident: u64) {
        let resident = resident.min(prompt);
        self.filled += prompt - resident;
        self.reused += resident;
        self.refilled += prior.min(prompt).saturating_sub(resident);
    }

    /// Counts tokens that were evicted before their program ended, or held for a program that
    /// failed.
    pub fn record_evicted(&mut self, tokens: u64) {
        self.dropped += tokens;
    }
}

/// Decides what happens to cached prefixes during pauses.
#[derive(Clone, Debug, Default)]
pub struct RetentionPolicy {
    tools: HashMap<CompactString, PauseHistogram>,
    all: PauseHistogram,
}

impl RetentionPolicy {
    /// Adds the duration of a tool call.
    pub fn record(&mut self, tool: &str, pause: Duration) {
        self.all.record(pause);
        if let Some(histogram) = self.tools.get_mut(tool) {
            histogram.record(pause);
        } else if self.tools.len() < MAX_TOOLS {
            self.tools.entry(tool.into()).or_default().record(pause);
        }
    }

    /// Returns the statistics of a tool, or those of all tools while it has too few samples.
    pub fn histogram(&self, tool: &str) -> &PauseHistogram {
        match self.tools.get(tool) {
            Some(histogram) if histogram.total >= MIN_SAMPLES => histogram,
            _ => &self.all,
        }
    }

    /// Decides what to do with the prefix of a waiting program.
    ///
    /// Keeping it costs the memory for the rest of the pause, weighted by the demand for it;
    /// dropping it costs a prefill. Without memory pressure, keeping is free.
    pub fn decide(&self, now: Time, request: &RetentionRequest) -> Retention {
        let remaining = self.histogram(&request.tool).remaining(request.paused);
        let refill_time = request.tokens as f64 / request.prefill_rate.max(1.0);
        let keep_cost = remaining.as_secs_f64() * eviction_rate(request.pressure) * refill_time;
        if keep_cost <= refill_time {
            let check_after = remaining.max(Duration::from_secs(1)) * 2;
            return Retention::Keep { until: now + check_after };
        }
        match request.move_time {
            Some(move_time) if move_time < refill_time => Retention::Move,
            _ => Retention::Drop,
        }
    }
}

/// Returns the probability per second that the memory would be taken by another running program.
///
/// Zero up to a usage of four fifths; docs/measurements/policy.md describes how the rate of a full
/// cache was determined.
fn eviction_rate(pressure: f64) -> f64 {
    const EVICTION_THRESHOLD: f64 = 0.8;
    const FULL_RATE: f64 = 1.0 / 50.0;
    ((pressure - EVICTION_THRESHOLD) / (1.0 - EVICTION_THRESHOLD)).clamp(0.0, 1.0) * FULL_RATE
}
