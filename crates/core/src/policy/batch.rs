//! How fast a pool's engines read prompts, and how much slower they generate for each request that
//! they run at the same time.
//!
//! An engine makes one token for each running request in a step, and a step takes longer the more
//! requests are in it. Engines tell neither their speed nor by how much they slow down, but each stream
//! shows it: how long its tokens took, how many requests ran beside it, and how long its first event
//! took for the prompt tokens that the engine had to read.

use super::line::{LineFit, Prior};

/// Weight of the prior slope, in squared requests: less than a few streams beside one and beside six
/// requests, which already tell the slope.
const PRIOR_WEIGHT: f64 = 30.0;
/// Least part of the mean time that counts as time alone, where streams vary for other reasons.
const LEAST_ALONE: f64 = 0.2;

/// Most that one stream differs from what was expected of it, as a factor.
const MOST_SURPRISE: f64 = 2.0;

/// Time for a token, by how many requests run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchCost {
    /// Seconds for a token of a request that runs alone.
    pub alone: f64,
    /// Seconds that each further request adds.
    pub slope: f64,
}

impl BatchCost {
    /// Returns the seconds for a token with so many requests beside its own.
    pub fn token(&self, beside: f64) -> f64 {
        self.alone + self.slope * beside
    }
}

/// Learns a pool's [`BatchCost`] from its streams by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchFit {
    fit: LineFit,
}

impl BatchFit {
    /// Takes a stream: how many requests ran beside it, and its seconds for a token.
    ///
    /// It counts as at most twice as fast or slow as was expected. Events that were held up come all at
    /// once, and one engine may have turned slow: neither must make the whole pool seem so.
    pub fn observe(&mut self, beside: f64, token: f64) {
        if token <= 0.0 {
            return;
        }
        let expected = self.cost(u32::MAX).map(|cost| cost.token(beside));
        let range = expected.map(|expected| (expected / MOST_SURPRISE, expected * MOST_SURPRISE));
        let token = range.map_or(token, |(least, most)| token.clamp(least, most));
        self.fit.observe(beside, token);
    }

    /// Returns what the streams so far show; nothing before the first.
    ///
    /// Until they show the slope, an engine with all of its `slots` taken is believed to take twice
    /// as long for a token as alone: a batch that costs more than that would not be offered.
    pub fn cost(&self, slots: u32) -> Option<BatchCost> {
        let mean = self.fit.mean()?;
        let part = 1.0 / f64::from(slots.max(1));
        let slope = part * mean.y / (1.0 + part * mean.x);
        let most = mean.y * (1.0 - LEAST_ALONE) / mean.x.max(1.0);
        let line = self.fit.line(Prior { slope, weight: PRIOR_WEIGHT }, most)?;
        Some(BatchCost { alone: line.start, slope: line.slope })
    }
}

/// Weight of the prior slope in squared prompt tokens: two prompts a thousand tokens apart outweigh it.
const FILL_WEIGHT: f64 = 500_000.0;

/// Learns how fast a pool's engines read prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FillFit {
    fit: LineFit,
}

impl FillFit {
    /// Takes a stream: prompt tokens that its engine lacked, and seconds until its first event.
    pub fn observe(&mut self, unread: f64, first: f64) {
        if first > 0.0 {
            self.fit.observe(unread, first);
        }
    }

    /// Returns the seconds that each unread token adds; nothing before the first stream.
    ///
    /// Until prompts of unlike lengths show it, the whole wait counts as reading, which is the most
    /// that it can be.
    pub fn token(&self) -> Option<f64> {
        let mean = self.fit.mean().filter(|mean| mean.x > 0.0)?;
        let most = mean.y / mean.x;
        Some(self.fit.line(Prior { slope: most, weight: FILL_WEIGHT }, most)?.slope)
    }
}
