//! Retries: how many, how soon, and which calls may run twice at once.
//!
//! The danger is not the single retry but all of them together: after a domain, a region or a store
//! comes back, every caller tries again in the same second. A budget bounds retries to a share of
//! the calls that went through, and jitter spreads the rest. See docs/design/retries.md.

use std::collections::HashMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;

/// How retries are bounded and spread.
#[derive(Clone, Debug)]
pub struct RetrySettings {
    /// Retries earned by each call sent for the first time.
    pub ratio: f64,
    /// Most retries saved up by one organisation.
    pub burst: f64,
    /// First mean wait before a retry; doubles with each attempt.
    pub base_backoff: Duration,
    /// Longest mean wait.
    pub max_backoff: Duration,
    /// Attempts for one call, the first one counted.
    pub max_attempts: u32,
    /// Least wait before a hedge.
    pub min_hedge: Duration,
    /// Safeguards that tests switch off.
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

/// Safeguards of retries; all on outside tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct RetrySafeguards {
    /// Retries draw from a budget.
    pub budget: bool,
    /// Waits are drawn at random.
    pub jitter: bool,
    /// Only calls that may be repeated are hedged.
    pub repeatable: bool,
}

impl Default for RetrySafeguards {
    fn default() -> Self {
        RetrySafeguards { budget: true, jitter: true, repeatable: true }
    }
}

/// Why a call failed, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Proved that it did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A failed attempt that asks whether to go on.
#[derive(Clone, Debug)]
pub struct RetryRequest {
    /// The organisation whose budget pays.
    pub org: OrgName,
    /// Attempts made, this one counted.
    pub attempts: u32,
    /// True when running it twice does no harm.
    pub repeatable: bool,
    /// What is known of the failure.
    pub failure: Failure,
    /// When the caller gives up.
    pub deadline: Option<Time>,
    /// When the endpoint or the router asked to be tried again, if it did.
    pub retry_after: Option<Duration>,
}

/// Whether to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again at this time, on another endpoint.
    At(Time),
    /// Answer the caller now.
    Stop(StopReason),
}

/// Why a call is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StopReason {
    /// It may have run and may not be repeated.
    #[error("the call may have run and may not be repeated")]
    NotRepeatable,
    /// All attempts are used.
    #[error("all attempts are used")]
    Attempts,
    /// The retry would come after the deadline.
    #[error("no time is left before the deadline")]
    Deadline,
    /// The organisation's retry budget is spent.
    #[error("the retry budget is spent")]
    Budget,
}

/// Second copies of calls that may be sent: each first copy earns a part of one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl RetryBudget {
    /// Returns a full budget.
    pub fn full(settings: &RetrySettings) -> RetryBudget {
        RetryBudget { balance: settings.burst }
    }

    /// Counts a call sent for the first time. Returns whether the budget is full.
    pub fn earn(&mut self, settings: &RetrySettings) -> bool {
        self.add(settings.ratio, settings)
    }

    /// Takes one second copy out, if there is one.
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

/// Decides about retries and hedges.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    settings: RetrySettings,
    budgets: HashMap<OrgName, RetryBudget>,
    rng: ChaCha8Rng,
}

impl RetryPolicy {
    /// Makes a value with full budgets.
    pub fn new(settings: RetrySettings, seed: u64) -> RetryPolicy {
        RetryPolicy { settings, budgets: HashMap::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Counts a call sent for the first time, which earns a part of a retry.
    pub fn record_call(&mut self, org: &OrgName) {
        let Some(budget) = self.budgets.get_mut(org) else { return };
        // A full budget is the same as an unknown organisation, and takes no memory.
        if budget.earn(&self.settings) {
            self.budgets.remove(org);
        }
    }

    /// Decides whether a failed call is tried again, and when.
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

    /// Returns when a second copy of a call may start, if at all.
    ///
    /// The copy draws from the same budget as retries: when everything is slow, hedges would
    /// double the load just then.
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

    /// Gives back what [`RetryPolicy::hedge`] took when the first copy answered in time.
    pub fn refund_hedge(&mut self, org: &OrgName) {
        if let Some(budget) = self.budgets.get_mut(org) {
            budget.add(1.0, &self.settings);
        }
    }

    /// Draws the wait before the next attempt, between zero and twice the mean.
    ///
    /// Calls that failed together must not come back together. Advice from the other side is kept
    /// as the least, with the draw on top.
    fn backoff(&mut self, request: &RetryRequest) -> Duration {
        let doublings = 1_u32 << request.attempts.saturating_sub(1).min(16);
        let mean = (self.settings.base_backoff * doublings).min(self.settings.max_backoff);
        let retry_after = request.retry_after.unwrap_or(Duration::ZERO);
        if !self.settings.safeguards.jitter {
            return retry_after + mean;
        }
        // Spread grows with the advice, or callers told "in 10 s" would all come in one instant.
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
