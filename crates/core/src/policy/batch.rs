//! How much slower an engine generates for each request that it runs at the same time.
//!
//! An engine makes one token for each running request in a step, and a step takes longer the more
//! requests are in it. Engines don't tell by how much, but each stream shows it: how long its tokens
//! took, and how many requests ran beside it.

/// Weight that older streams keep with each new one: a hundred streams, some ten seconds of one VM's
/// share of a pool, so that engines that changed are followed.
const KEPT: f64 = 0.99;
/// Part by which one more request slows a token, before streams show it: the users' engines are
/// slowed by 0.035 and 0.046 of the time alone.
const PRIOR_SLOPE: f64 = 0.04;
/// How much the prior counts, in squared requests: less than streams beside one and beside five
/// requests, which already tell the slope.
const PRIOR_WEIGHT: f64 = 20.0;
/// Least part of the mean time that counts as time alone, where streams vary for other reasons.
const LEAST_ALONE: f64 = 0.2;

/// Time for a token, by how many requests run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchCost {
    /// Seconds for a token of a request that runs alone.
    pub alone: f64,
    /// Seconds that each further request adds.
    pub slope: f64,
}

/// Learns a pool's [`BatchCost`] from its streams by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BatchFit {
    weight: f64,
    beside: f64,
    token: f64,
    beside_beside: f64,
    beside_token: f64,
}

impl BatchFit {
    /// Takes a stream: how many requests ran beside it, and its seconds for a token.
    pub fn observe(&mut self, beside: f64, token: f64) {
        if token <= 0.0 {
            return;
        }
        let add = |sum: &mut f64, value: f64| *sum = KEPT * *sum + value;
        add(&mut self.weight, 1.0);
        add(&mut self.beside, beside);
        add(&mut self.token, token);
        add(&mut self.beside_beside, beside * beside);
        add(&mut self.beside_token, beside * token);
    }

    /// Returns what the streams so far show; nothing before the first.
    pub fn cost(&self) -> Option<BatchCost> {
        if self.weight == 0.0 {
            return None;
        }
        let beside = self.beside / self.weight;
        let token = self.token / self.weight;
        let spread = self.beside_beside - self.weight * beside * beside;
        let common = self.beside_token - self.weight * beside * token;
        let prior = PRIOR_SLOPE * token / (1.0 + PRIOR_SLOPE * beside);
        let slope = (common + PRIOR_WEIGHT * prior) / (spread + PRIOR_WEIGHT);
        let slope = slope.clamp(0.0, token * (1.0 - LEAST_ALONE) / beside.max(1.0));
        Some(BatchCost { alone: token - slope * beside, slope })
    }
}
