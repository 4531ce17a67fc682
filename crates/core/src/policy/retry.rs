//! Retries and hedges: how many, after which delay, and for which calls.
//!
//! When a domain, a region or a store comes back, all callers would retry in the same second. A
//! budget limits retries to a share of first attempts, and jitter spreads them. See
//! docs/design/retries.md.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;

/// Limits and delays of retries.
#[derive(Clone, Debug)]
pub struct RetrySettings {
    /// Retries that each first attempt adds to the budget.
    pub ratio: f64,
    /// Largest budget of one organisation.
    pub burst: f64,
    /// Mean delay before the first retry; doubles with each attempt.
    pub base_backoff: Duration,
    /// Longest mean delay.
    pub max_backoff: Duration,
    /// Maximum number of attempts for one call, including the first.
    pub max_attempts: u32,
    /// Shortest hedge delay.
    pub min_hedge: Duration,
    /// Safeguards that tests can disable.
    #[doc(hidden)]
    pub safeguards: RetrySafeguards,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings {
            ratio: 0.1,
            burst: 10.0,
            base_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(10),
            max_attempts: 4,
            min_hedge: Duration::from_millis(50),
            safeguards: RetrySafeguards::default(),
        }
    }
}

/// Safeguards of retries; all enabled except in tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct RetrySafeguards {
    /// Retries are limited by a budget.
    pub budget: bool,
    /// Delays are randomised.
    pub jitter: bool,
    /// Only calls that may be repeated are hedged.
    pub repeatable: bool,
}

impl Default for RetrySafeguards {
    fn default() -> Self {
        RetrySafeguards { budget: true, jitter: true, repeatable: true }
    }
}

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call certainly did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// A failed attempt that may be retried.
#[derive(Clone, Debug)]
pub struct RetryRequest {
    /// Organisation whose budget is used.
    pub org: OrgName,
    /// Attempts so far, including this one.
    pub attempts: u32,
    /// Whether running the call twice does no harm.
    pub repeatable: bool,
    /// Whether the call may have run.
    pub failure: Failure,
    /// Time at which the caller gives up.
    pub deadline: Option<Time>,
    /// Retry delay that the endpoint or the router asked for.
    pub retry_after: Option<Duration>,
}

/// Decision on a [`RetryRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at this time, on another endpoint.
    At(Time),
    /// Don't retry; return the failure to the caller.
    Stop(StopReason),
}

/// Reason why a call is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StopReason {
    /// The call may have run, and must not be repeated.
    #[error("the call may have run and must not be repeated")]
    NotRepeatable,
    /// The call has reached the maximum of attempts.
    #[error("the call has reached its maximum of attempts")]
    Attempts,
    /// The retry would come after the deadline.
    #[error("the next attempt would start after the deadline")]
    Deadline,
    /// The retry budget of the organisation is used up.
    #[error("the retry budget of the organisation is used up")]
    Budget,
}

/// Budget for retries or hedges, to which each first attempt adds a fraction.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn full(settings: &RetrySettings) -> RetryBudget {
        RetryBudget { balance: settings.burst }
    }

    /// Adds the share of a first attempt. Returns true if the budget is full.
    pub fn earn(&mut self, settings: &RetrySettings) -> bool {
        self.add(settings.ratio, settings)
    }

    /// Takes one retry out of the budget. Returns false if there is none.
    pub fn spend(&mut self) -> bool {
        let available = self.balance >= 1.0;
        if available {
            self.balance -= 1.0;
        }
        available
    }

    fn add(&mut self, amount: f64, settings: &RetrySettings) -> bool {
        self.balance = (self.balance + amount).min(settings.burst);
        self.balance >= settings.burst
    }
}

/// Decides on retries and hedges.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    settings: RetrySettings,
    budgets: HashMap<OrgName, RetryBudget>,
    rng: ChaCha8Rng,
}

impl RetryPolicy {
    /// Creates a policy with full budgets; the seed makes its delays reproducible.
    pub fn new(settings: RetrySettings, seed: u64) -> RetryPolicy {
        RetryPolicy { settings, budgets: HashMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Counts a first attempt, which adds to the budget of its organisation.
    pub fn record_call(&mut self, org: &OrgName) {
        let Some(budget) = self.budgets.get_mut(org) else { return };
        // An organisation without an entry has a full budget, so full ones aren't stored.
        if budget.earn(&self.settings) {
            self.budgets.remove(org);
        }
    }

    /// Decides whether and when a failed call is retried.
    pub fn decide(&mut self, now: Time, request: &RetryRequest) -> RetryDecision {
        if request.failure == Failure::Unknown && !request.repeatable {
            return RetryDecision::Stop(StopReason::NotRepeatable);
        }
        if request.attempts >= self.settings.max_attempts {
            return RetryDecision::Stop(StopReason::Attempts);
        }
        let at = now + self.backoff(request);
        if request.deadline.is_some_and(|deadline| at >= deadline) {
            return RetryDecision::Stop(StopReason::Deadline);
        }
        if !self.spend(&request.org) {
            return RetryDecision::Stop(StopReason::Budget);
        }
        RetryDecision::At(at)
    }

    /// Returns the time at which a call is hedged, or `None` if it must not be. `typical` is the
    /// usual response time.
    ///
    /// Hedges use the same budget as retries. Otherwise they would double the load exactly when all
    /// responses are slow.
    pub fn hedge(
        &mut self,
        now: Time,
        org: &OrgName,
        repeatable: bool,
        typical: Duration,
    ) -> Option<Time> {
        if self.settings.safeguards.repeatable && !repeatable {
            return None;
        }
        if !self.spend(org) {
            return None;
        }
        Some(now + typical.max(self.settings.min_hedge))
    }

    /// Returns what [`RetryPolicy::hedge`] took from the budget, if the hedge wasn't sent.
    pub fn refund_hedge(&mut self, org: &OrgName) {
        if let Some(budget) = self.budgets.get_mut(org) {
            budget.add(1.0, &self.settings);
        }
    }

    /// Returns a random delay before the next attempt.
    ///
    /// The delay is uniform between zero and twice the mean, so that calls that failed together
    /// don't return together. A requested retry delay is added as a minimum.
    fn backoff(&mut self, request: &RetryRequest) -> Duration {
        let doublings = 1_u32 << request.attempts.saturating_sub(1).min(16);
        let mean = (self.settings.base_backoff * doublings).min(self.settings.max_backoff);
        let retry_after = request.retry_after.unwrap_or(Duration::ZERO);
        if !self.settings.safeguards.jitter {
            return retry_after + mean;
        }
        // The range grows with the requested delay; otherwise callers that were given the same long
        // delay would still return nearly together.
        let spread = mean * 2 + retry_after / 2;
        retry_after + spread.mul_f64(self.rng.random_range(0.0..1.0))
    }

    fn spend(&mut self, org: &OrgName) -> bool {
        if !self.settings.safeguards.budget {
            return true;
        }
        let full = RetryBudget::full(&self.settings);
        self.budgets.entry(org.clone()).or_insert(full).spend()
    }
}
