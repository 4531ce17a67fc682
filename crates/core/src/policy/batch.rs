//! Prefill and decode speed of a pool's engines.
//!
//! An engine makes one token for each running request in a step, and steps take longer the more
//! requests are running. Engines don't report their speed, so it is learned from streams: from the
//! time per token and the number of concurrent requests, and from the time to the first event and
//! the number of prompt tokens that weren't cached.

use super::regression::{LinearRegression, Prior};

/// Weight of the prior slope, in squared requests: a few streams with one and with six concurrent
/// requests outweigh it.
const DECODE_PRIOR_WEIGHT: f64 = 30.0;
/// Smallest share of the mean token time that is attributed to a request running alone.
const MIN_BASE_SHARE: f64 = 0.2;

/// Largest ratio between a sample and its expected value; samples beyond it are clamped.
const MAX_DEVIATION: f64 = 2.0;

/// Time per token as a function of the number of concurrent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchCost {
    /// Seconds per token for a request that runs alone.
    pub base: f64,
    /// Seconds per token that each concurrent request adds.
    pub slope: f64,
}

impl BatchCost {
    /// Returns the seconds per token with `others` concurrent requests.
    pub fn token_time(&self, others: f64) -> f64 {
        self.base + self.slope * others
    }
}

/// Estimates a pool's [`BatchCost`] from its streams by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchFit {
    regression: LinearRegression,
}

impl BatchFit {
    /// Adds a stream that ran beside `others` requests and took `token_time` seconds per token.
    ///
    /// The time is clamped to between half and twice its expected value. Delayed events arrive all
    /// at once, and a single engine may have become slow; neither should determine the estimate of
    /// the whole pool.
    pub fn observe(&mut self, others: f64, token_time: f64) {
        if token_time <= 0.0 {
            return;
        }
        let expected = self.cost(u32::MAX).map(|cost| cost.token_time(others));
        let range = expected.map(|expected| (expected / MAX_DEVIATION, expected * MAX_DEVIATION));
        let token_time = range.map_or(token_time, |(min, max)| token_time.clamp(min, max));
        self.regression.observe(others, token_time);
    }

    /// Returns the estimate, or `None` before the first stream.
    ///
    /// Until streams with different numbers of concurrent requests are known, an engine with all
    /// `slots` in use is assumed to take twice as long per token as for a single request.
    pub fn cost(&self, slots: u32) -> Option<BatchCost> {
        let mean = self.regression.mean()?;
        let share = 1.0 / f64::from(slots.max(1));
        let slope = share * mean.y / (1.0 + share * mean.x);
        let max = mean.y * (1.0 - MIN_BASE_SHARE) / mean.x.max(1.0);
        let line = self.regression.line(Prior { slope, weight: DECODE_PRIOR_WEIGHT }, max)?;
        Some(BatchCost { base: line.intercept, slope: line.slope })
    }
}

/// Weight of the prior slope, in squared prompt tokens: as much as two prompts whose lengths differ
/// by a thousand tokens.
const PREFILL_PRIOR_WEIGHT: f64 = 500_000.0;

/// Estimates how fast a pool's engines prefill prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillFit {
    regression: LinearRegression,
}

impl PrefillFit {
    /// Adds a stream whose engine had to prefill `uncached` prompt tokens and sent the first event
    /// after `first_event` seconds.
    pub fn observe(&mut self, uncached: f64, first_event: f64) {
        if first_event > 0.0 {
            self.regression.observe(uncached, first_event);
        }
    }

    /// Returns the seconds of prefill per token, or `None` before the first stream with uncached
    /// tokens.
    ///
    /// Until prompts of different lengths are known, the whole time to the first event counts as
    /// prefill, which is an upper bound.
    pub fn token_time(&self) -> Option<f64> {
        let mean = self.regression.mean().filter(|mean| mean.x > 0.0)?;
        let max = mean.y / mean.x;
        Some(self.regression.line(Prior { slope: max, weight: PREFILL_PRIOR_WEIGHT }, max)?.slope)
    }
}
