//! How fast a pool's engines read prompts, and how much slower they generate for each request that
//! they run at the same time.
//!
//! An engine makes one token for each running request in a step, and a step takes longer the more
//! requests are in it. Engines tell neither their speed nor by how much they slow down, but each stream
//! shows it: how long its tokens took, how many requests ran beside it, and how long its first event
//! took for the prompt tokens that the engine had to read.

use super::regression::{LinearRegression, Prior};

/// Weight of the prior slope, in squared requests: less than a few streams beside one and beside six
/// requests, which already tell the slope.
const DECODE_PRIOR_WEIGHT: f64 = 30.0;
/// Least part of the mean time that counts as time alone, where streams vary for other reasons.
const MIN_BASE_SHARE: f64 = 0.2;

/// Most that one stream differs from what was expected of it, as a factor.
const MAX_DEVIATION: f64 = 2.0;

/// Time for a token, by how many requests run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchCost {
    /// Seconds for a token of a request that runs alone.
    pub base: f64,
    /// Seconds that each further request adds.
    pub slope: f64,
}

impl BatchCost {
    /// Returns the seconds for a token with so many requests beside its own.
    pub fn token_time(&self, others: f64) -> f64 {
        self.base + self.slope * others
    }
}

/// Learns a pool's [`BatchCost`] from its streams by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchFit {
    regression: LinearRegression,
}

impl BatchFit {
    /// Takes a stream: how many requests ran beside it, and its seconds for a token.
    ///
    /// It counts as at most twice as fast or slow as was expected. Events that were held up come all at
    /// once, and one engine may have turned slow: neither must make the whole pool seem so.
    pub fn observe(&mut self, others: f64, token_time: f64) {
        if token_time <= 0.0 {
            return;
        }
        let expected = self.cost(u32::MAX).map(|cost| cost.token_time(others));
        let range = expected.map(|expected| (expected / MAX_DEVIATION, expected * MAX_DEVIATION));
        let token_time = range.map_or(token_time, |(min, max)| token_time.clamp(min, max));
        self.regression.observe(others, token_time);
    }

    /// Returns what the streams so far show; nothing before the first.
    ///
    /// Until they show the slope, an engine with all of its `slots` taken is believed to take twice
    /// as long for a token as alone: a batch that costs more than that would not be offered.
    pub fn cost(&self, slots: u32) -> Option<BatchCost> {
        let mean = self.regression.mean()?;
        let share = 1.0 / f64::from(slots.max(1));
        let slope = share * mean.y / (1.0 + share * mean.x);
        let max = mean.y * (1.0 - MIN_BASE_SHARE) / mean.x.max(1.0);
        let line = self.regression.line(Prior { slope, weight: DECODE_PRIOR_WEIGHT }, max)?;
        Some(BatchCost { base: line.intercept, slope: line.slope })
    }
}

/// Weight of the prior slope in squared prompt tokens: two prompts a thousand tokens apart outweigh it.
const PREFILL_PRIOR_WEIGHT: f64 = 500_000.0;

/// Learns how fast a pool's engines read prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillFit {
    regression: LinearRegression,
}

impl PrefillFit {
    /// Takes a stream: prompt tokens that its engine lacked, and seconds until its first event.
    pub fn observe(&mut self, uncached: f64, first_event: f64) {
        if first_event > 0.0 {
            self.regression.observe(uncached, first_event);
        }
    }

    /// Returns the seconds that each unread token adds; nothing before the first stream.
    ///
    /// Until prompts of unlike lengths show it, the whole wait counts as reading, which is the most
    /// that it can be.
    pub fn token_time(&self) -> Option<f64> {
        let mean = self.regression.mean().filter(|mean| mean.x > 0.0)?;
        let max = mean.y / mean.x;
        Some(self.regression.line(Prior { slope: max, weight: PREFILL_PRIOR_WEIGHT }, max)?.slope)
    }
}
