//! Prefix memory across tool pauses: keep it, drop it, or move it off the engine.
//!
//! An engine's memory held through a pause is memory that running programs cannot use; dropped, it
//! is filled again when the tool answers. Which is cheaper depends on how long the tool takes, so
//! pauses are learnt per tool. See docs/design/routing.md.

use std::collections::HashMap;

use crate::prelude::*;

/// Shortest and longest pause told apart, and the step between two buckets.
const FIRST_BUCKET: f64 = 0.05;
const BUCKET_FACTOR: f64 = 1.5;
const BUCKETS: usize = 32;

/// Samples after which older ones count half, so that a tool that changed is learnt anew.
const HALVE_AT: f64 = 200.0;

/// Samples below which a tool's own figures are mixed with those of all tools.
const ENOUGH: f64 = 5.0;

/// Tools remembered; names come from callers, so that their count must be bounded.
const MAX_TOOLS: usize = 1024;

/// Pause lengths of one tool, in logarithmic buckets.
#[derive(Clone, Debug)]
pub struct Pauses {
    buckets: [f32; BUCKETS],
    total: f64,
}

impl Default for Pauses {
    fn default() -> Self {
        Pauses { buckets: [0.0; BUCKETS], total: 0.0 }
    }
}

impl Pauses {
    /// Counts a pause.
    pub fn learn(&mut self, pause: Duration) {
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
        let left: f32 = self.buckets[from..].iter().sum();
        if left < f32::EPSILON {
            return 0.0;
        }
        f64::from(self.buckets[from..=to].iter().sum::<f32>() / left)
    }

    /// Returns the mean pause that is still to come after `so_far`.
    pub fn remaining(&self, so_far: Duration) -> Duration {
        let from = bucket(so_far.as_secs_f64());
        let left: f64 = self.buckets[from..].iter().map(|count| f64::from(*count)).sum();
        if left <= 0.0 {
            return Duration::from_secs_f64(so_far.as_secs_f64().max(FIRST_BUCKET));
        }
        let weighted = |(index, count): (usize, &f32)| middle(index) * f64::from(*count);
        let sum: f64 = self.buckets.iter().enumerate().skip(from).map(weighted).sum();
        Duration::from_secs_f64((sum / left - so_far.as_secs_f64()).max(0.0))
    }
}

fn bucket(seconds: f64) -> usize {
    let index = (seconds.max(FIRST_BUCKET) / FIRST_BUCKET).ln() / BUCKET_FACTOR.ln();
    (index as usize).min(BUCKETS - 1)
}

fn middle(index: usize) -> f64 {
    FIRST_BUCKET * BUCKET_FACTOR.powf(index as f64 + 0.5)
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
pub struct RetainAsk {
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
    pub moving: Option<f64>,
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
    pub fn call(&mut self, prompt: u64, prior: u64, resident: u64) {
        let resident = resident.min(prompt);
        self.filled += prompt - resident;
        self.reused += resident;
        self.refilled += prior.min(prompt).saturating_sub(resident);
    }

    /// Counts memory thrown away while its program still ran.
    pub fn thrown(&mut self, tokens: u64) {
        self.dropped += tokens;
    }
}

/// Decides what happens to prefix memory in pauses.
#[derive(Clone, Debug, Default)]
pub struct Retain {
    tools: HashMap<CompactString, Pauses>,
    all: Pauses,
}

impl Retain {
    /// Learns how long a tool took.
    pub fn learn(&mut self, tool: &str, pause: Duration) {
        self.all.learn(pause);
        if let Some(pauses) = self.tools.get_mut(tool) {
            pauses.learn(pause);
        } else if self.tools.len() < MAX_TOOLS {
            self.tools.entry(tool.into()).or_default().learn(pause);
        }
    }

    /// Returns what was learnt of a tool, or of all tools while it is new.
    pub fn pauses(&self, tool: &str) -> &Pauses {
        match self.tools.get(tool) {
            Some(pauses) if pauses.total >= ENOUGH => pauses,
            _ => &self.all,
        }
    }

    /// Decides for a program in a pause.
    ///
    /// Keeping costs the room times the rest of the pause, at the worth of room under the engine's
    /// pressure; dropping costs the refill. On an engine with room to spare keeping is free.
    pub fn decide(&self, now: Time, ask: &RetainAsk) -> Retention {
        let rest = self.pauses(&ask.tool).remaining(ask.paused);
        let refill = ask.tokens as f64 / ask.prefill_rate.max(1.0);
        let keeping = rest.as_secs_f64() * room_worth(ask.pressure) * refill;
        if keeping <= refill {
            let again = rest.max(Duration::from_secs(1)) * 2;
            return Retention::Keep { until: now + again };
        }
        match ask.moving {
            Some(moving) if moving < refill => Retention::Move,
            _ => Retention::Drop,
        }
    }
}

/// Chance in a second that the room would be taken by another program's live prefix.
///
/// Below four fifths full nothing is pushed out. The rate of a full engine was tuned with
/// `gypsumglade bench policy` on the tuning seeds; see docs/measurements/policy.md.
fn room_worth(pressure: f64) -> f64 {
    const FREE: f64 = 0.8;
    const FULL_RATE: f64 = 1.0 / 50.0;
    ((pressure - FREE) / (1.0 - FREE)).clamp(0.0, 1.0) * FULL_RATE
}
