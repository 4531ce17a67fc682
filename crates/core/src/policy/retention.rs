//! Prefix memory across tool pauses: keep it, drop it, or move it off the engine.
//!
//! An engine's memory held through a pause is memory that running programs cannot use; dropped, it
//! is filled again when the tool answers. Which is cheaper depends on how long the tool takes, so
//! pauses are learnt per tool. See docs/design/routing.md.

use std::collections::HashMap;

use crate::prelude::*;

/// Shortest and longest pause told apart, and the step between two buckets.
const MIN_PAUSE: f64 = 0.05;
const BUCKET_FACTOR: f64 = 1.5;
const BUCKET_COUNT: usize = 32;

/// Samples after which older ones count half, so that a tool that changed is learnt anew.
const HALVE_AT: f64 = 200.0;

/// Samples below which a tool's own figures are mixed with those of all tools.
const MIN_SAMPLES: f64 = 5.0;

/// Tools remembered; names come from callers, so that their count must be bounded.
const MAX_TOOLS: usize = 1024;

/// Pause lengths of one tool, in logarithmic buckets.
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
    /// Counts a pause.
    pub fn record(&mut self, pause: Duration) {
        if self.total >= HALVE_AT {
            self.buckets.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
        self.buckets[bucket(pause.as_secs_f64())] += 1.0;
        self.total += 1.0;
    }

    /// Returns the chance that a pause which has lasted `so_far` ends within `more`.
    pub fn ends_within(&self, so_far: Duration, more: Duration) -> f64 {
        let from = bucket(so_far.as_secs_f64());
        let to = bucket((so_far + more).as_secs_f64());
        let remaining_samples: f32 = self.buckets[from..].iter().sum();
        if remaining_samples < f32::EPSILON {
            return 0.0;
        }
        f64::from(self.buckets[from..=to].iter().sum::<f32>() / remaining_samples)
    }

    /// Returns the mean pause that is still to come after `so_far`.
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

/// What is done with a program's prefix memory at the start of a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// Held, ahead of memory that nobody expects back, until the time given.
    Keep {
        /// When to ask again.
        until: Time,
    },
    /// First to go when the engine needs room.
    Drop,
    /// Moved to another engine or to host memory, because here it is in the way.
    Move,
}

/// A program that pauses for a tool.
#[derive(Clone, Debug)]
pub struct RetentionRequest {
    /// The tool, as the program named it.
    pub tool: CompactString,
    /// How long the pause has lasted.
    pub paused: Duration,
    /// Tokens held.
    pub tokens: u64,
    /// Prompt tokens the engine fills a second.
    pub prefill_rate: f64,
    /// Share of the engine's prefix memory in use, zero to one.
    pub pressure: f64,
    /// Seconds that moving the memory away and back would take, when the engines can.
    pub move_time: Option<f64>,
}

/// Prefix memory filled and what became of it, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUse {
    /// Tokens filled.
    pub filled: u64,
    /// Tokens found in memory and not filled again.
    pub reused: u64,
    /// Tokens filled although an earlier turn had filled them.
    pub refilled: u64,
    /// Tokens thrown away that a later turn asked for, or that were never used again.
    pub dropped: u64,
}

impl CacheUse {
    /// Counts one call: its prompt, what earlier turns had filled, and what the engine still held.
    pub fn record_call(&mut self, prompt: u64, prior: u64, resident: u64) {
        let resident = resident.min(prompt);
        self.filled += prompt - resident;
        self.reused += resident;
        self.refilled += prior.min(prompt).saturating_sub(resident);
    }

    /// Counts memory thrown away while its program still ran.
    pub fn record_evicted(&mut self, tokens: u64) {
        self.dropped += tokens;
    }
}

/// Decides what happens to prefix memory in pauses.
#[derive(Clone, Debug, Default)]
pub struct RetentionPolicy {
    tools: HashMap<CompactString, PauseHistogram>,
    all: PauseHistogram,
}

impl RetentionPolicy {
    /// Learns how long a tool took.
    pub fn record(&mut self, tool: &str, pause: Duration) {
        self.all.record(pause);
        if let Some(histogram) = self.tools.get_mut(tool) {
            histogram.record(pause);
        } else if self.tools.len() < MAX_TOOLS {
            self.tools.entry(tool.into()).or_default().record(pause);
        }
    }

    /// Returns what was learnt of a tool, or of all tools while it is new.
    pub fn histogram(&self, tool: &str) -> &PauseHistogram {
        match self.tools.get(tool) {
            Some(histogram) if histogram.total >= MIN_SAMPLES => histogram,
            _ => &self.all,
        }
    }

    /// Decides for a program in a pause.
    ///
    /// Keeping costs the room times the rest of the pause, at the worth of room under the engine's
    /// pressure; dropping costs the refill. On an engine with room to spare keeping is free.
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

/// Chance in a second that the room would be taken by another program's live prefix.
///
/// Below four fifths full nothing is pushed out. The rate of a full engine was tuned with
/// `gypsumglade bench policy` on the tuning seeds; see docs/measurements/policy.md.
fn eviction_rate(pressure: f64) -> f64 {
    const NO_EVICTION: f64 = 0.8;
    const FULL_RATE: f64 = 1.0 / 50.0;
    ((pressure - NO_EVICTION) / (1.0 - NO_EVICTION)).clamp(0.0, 1.0) * FULL_RATE
}
