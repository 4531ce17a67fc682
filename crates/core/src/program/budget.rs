//! Budget amounts and accounts: reserved before a dispatch, settled after it, in every ancestor.
//!
//! See docs/design/budget.md for why a reservation is an upper bound and what happens to it when a
//! dispatch is lost.

use crate::prelude::*;
use crate::wire::program as wire;

/// Amounts of the three resources that a budget counts. The time limit is a deadline instead; see
/// docs/design/budget.md.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amounts {
    /// Prompt tokens plus output tokens.
    pub tokens: u64,
    /// Dispatches of model calls and service calls.
    pub calls: u64,
    /// Money in millionths of the bundle's currency.
    pub micros: u64,
}

impl Amounts {
    pub(super) fn add(&mut self, other: Amounts) {
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.calls = self.calls.saturating_add(other.calls);
        self.micros = self.micros.saturating_add(other.micros);
    }

    pub(super) fn sub(&mut self, other: Amounts) {
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.calls = self.calls.saturating_sub(other.calls);
        self.micros = self.micros.saturating_sub(other.micros);
    }

    /// Returns whether every amount is at least that of `other`.
    pub(super) fn covers(&self, other: Amounts) -> bool {
        let enough = self.tokens >= other.tokens && self.calls >= other.calls;
        enough && self.micros >= other.micros
    }

    /// Limits every amount to that of `other`.
    pub(super) fn limit(&mut self, other: Amounts) {
        self.tokens = self.tokens.min(other.tokens);
        self.calls = self.calls.min(other.calls);
        self.micros = self.micros.min(other.micros);
    }

    /// Returns every amount divided by `parts`, rounded down.
    pub(super) fn divided(self, parts: u64) -> Amounts {
        Amounts {
            tokens: self.tokens / parts,
            calls: self.calls / parts,
            micros: self.micros / parts,
        }
    }

    /// Returns every amount multiplied by `count`.
    pub(super) fn times(self, count: u64) -> Amounts {
        Amounts {
            tokens: self.tokens.saturating_mul(count),
            calls: self.calls.saturating_mul(count),
            micros: self.micros.saturating_mul(count),
        }
    }

    /// Converts the amounts to their wire form.
    pub(super) fn to_record(self) -> wire::Spent {
        wire::Spent { tokens: self.tokens, calls: self.calls, micros: self.micros }
    }

    /// Converts amounts from their wire form.
    pub(super) fn from_record(record: wire::Spent) -> Amounts {
        Amounts { tokens: record.tokens, calls: record.calls, micros: record.micros }
    }

    /// Returns what one settled dispatch consumed.
    pub(super) fn from_usage(usage: &wire::Usage) -> Amounts {
        let tokens = usage.prompt_tokens.saturating_add(usage.output_tokens);
        Amounts { tokens, calls: 1, micros: usage.micros }
    }
}

/// Error for a call that does not fit into the remaining budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetExceeded {
    /// Fewer tokens are left than the call needs.
    #[error("the token budget is used up: {left} left, {needed} needed")]
    Tokens {
        /// Tokens neither spent nor reserved.
        left: u64,
        /// Least number of tokens that the call needs.
        needed: u64,
    },
    /// No call is left.
    #[error("the call budget is used up")]
    Calls,
    /// Less money is left than the call may cost.
    #[error("the money budget is used up: {left} left, {needed} needed, in millionths")]
    Micros {
        /// Money neither spent nor reserved, in millionths of the currency.
        left: u64,
        /// Price ceiling of the call, in millionths of the currency.
        needed: u64,
    },
}

/// Limits, consumption and reservations of one program, including its descendants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Account {
    /// Limits of the program; zero means unlimited.
    pub(super) limits: wire::Budget,
    /// Consumption of settled calls and of calls in doubt.
    pub(super) spent: Amounts,
    /// Reservations of running calls and of escrows.
    pub(super) reserved: Amounts,
}

impl Account {
    /// Returns what is left of each resource; a limit of zero means unlimited.
    pub(super) fn left(&self) -> Amounts {
        let left = |limit: u64, spent: u64, reserved: u64| match limit {
            0 => u64::MAX,
            limit => limit.saturating_sub(spent).saturating_sub(reserved),
        };
        Amounts {
            tokens: left(self.limits.tokens, self.spent.tokens, self.reserved.tokens),
            calls: left(self.limits.calls, self.spent.calls, self.reserved.calls),
            micros: left(self.limits.micros, self.spent.micros, self.reserved.micros),
        }
    }

    /// Returns whether some resource is fully spent, so that no further call can be granted.
    pub(super) fn is_exhausted(&self) -> bool {
        let spent = |limit: u64, spent: u64| limit > 0 && spent >= limit;
        spent(self.limits.tokens, self.spent.tokens)
            || spent(self.limits.calls, self.spent.calls)
            || spent(self.limits.micros, self.spent.micros)
    }

    /// Checks that `needed` fits, where up to `reducible` of its tokens may be left out.
    pub(super) fn check(&self, needed: Amounts, reducible: u64) -> Result<(), BudgetExceeded> {
        let left = self.left();
        let least = needed.tokens.saturating_sub(reducible);
        if left.calls < needed.calls {
            return Err(BudgetExceeded::Calls);
        }
        if left.tokens < least {
            return Err(BudgetExceeded::Tokens { left: left.tokens, needed: least });
        }
        if left.micros < needed.micros {
            return Err(BudgetExceeded::Micros { left: left.micros, needed: needed.micros });
        }
        Ok(())
    }
}
