//! Token budgets of programs, shared by all entry VMs.

use std::collections::BTreeMap;

use super::runs::Runs;
use crate::prelude::*;
use crate::wire::turn::PromptRun;

/// How long a program's budget use is recorded after its last command, in milliseconds.
///
/// It must exceed the time that turns are kept, since a program may continue until then. A program
/// takes some hundred bytes.
const PROGRAM_RETENTION_MS: u64 = 600_000;

/// Error returned when a program's budget doesn't allow a further turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExhausted {
    /// Tokens that the program has spent or reserved.
    pub tokens: u64,
}

/// How long the engines of a program's prompts are recorded after its last command, in
/// milliseconds. By then, engines have evicted the prompts from their caches.
const RUN_RETENTION_MS: u64 = 30_000;

/// Budget use of one program, and the engines that read its prompts.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Usage {
    /// Tokens of settled turns.
    pub(super) spent: u64,
    /// Tokens reserved for turns that aren't settled, by turn.
    pub(super) reserved: BTreeMap<CompactString, u64>,
    /// The group's time of the program's last command, in milliseconds.
    pub(super) last_ms: u64,
    pub(super) runs: Runs,
}

impl Usage {
    fn total(&self) -> u64 {
        self.reserved.values().fold(self.spent, |sum, most| sum.saturating_add(*most))
    }
}

/// Budget use by program.
#[derive(Clone, Debug, Default)]
pub(super) struct Budgets {
    pub(super) programs: BTreeMap<CompactString, Usage>,
}

impl Budgets {
    /// Reserves tokens for a turn. A repeated reservation for the same turn changes nothing.
    ///
    /// Until it is settled, a turn counts with the maximum number of tokens that it may generate.
    /// If its entry VM dies, it stays unsettled: the number of tokens that callers received is
    /// unknown, and counting less could exceed the budget.
    pub(super) fn reserve(
        &mut self,
        now: u64,
        program: &str,
        turn: &str,
        max_tokens: u64,
        budget: Option<u64>,
    ) -> Result<(), BudgetExhausted> {
        let usage = self.programs.entry(program.into()).or_default();
        usage.last_ms = now;
        if usage.reserved.contains_key(turn) {
            return Ok(());
        }
        let tokens = usage.total();
        if budget.is_some_and(|budget| tokens.saturating_add(max_tokens) > budget) {
            return Err(BudgetExhausted { tokens });
        }
        usage.reserved.insert(turn.into(), max_tokens);
        Ok(())
    }

    /// Returns `true` if a turn is reserved and not settled.
    pub(super) fn is_reserved(&self, program: &str, turn: &str) -> bool {
        self.programs.get(program).is_some_and(|usage| usage.reserved.contains_key(turn))
    }

    /// Returns `true` if a program had a turn other than this one.
    pub(super) fn has_other_turn(&self, program: &str, turn: &str) -> bool {
        let Some(usage) = self.programs.get(program) else { return false };
        usage.spent > 0 || usage.reserved.keys().any(|other| other != turn)
    }

    /// Replaces the reservation of a turn by the tokens it used. A repeated settlement changes
    /// nothing.
    pub(super) fn settle(&mut self, now: u64, program: &str, turn: &str, tokens: u64) {
        let Some(usage) = self.programs.get_mut(program) else { return };
        usage.last_ms = now;
        if usage.reserved.remove(turn).is_some() {
            usage.spent = usage.spent.saturating_add(tokens);
            if usage.reserved.is_empty() {
                // An empty map may still own an allocated node, which a new one doesn't.
                usage.reserved = BTreeMap::new();
            }
        }
    }

    /// Records the engine that read a program's prompt.
    pub(super) fn record_run(&mut self, program: &str, run: &PromptRun) {
        if let Some(usage) = self.programs.get_mut(program) {
            usage.runs.record(run);
        }
    }

    /// Returns the record of the longest known prefix of a program's prompt.
    pub(super) fn last_run(&self, program: &str, starts: &[u64]) -> Option<&PromptRun> {
        self.programs.get(program)?.runs.longest(starts)
    }

    /// Removes the state of programs that have been inactive for long.
    pub(super) fn expire(&mut self, now: u64) {
        self.programs.retain(|_, usage| {
            let silence = now.saturating_sub(usage.last_ms);
            if silence >= RUN_RETENTION_MS {
                usage.runs = Runs::default();
            }
            silence < PROGRAM_RETENTION_MS
        });
    }
}
