//! Token budgets that all entry VMs share.

use std::collections::BTreeMap;

use super::runs::Runs;
use crate::prelude::*;
use crate::wire::turn::PromptRun;

/// How long a program's use of its budget is remembered after its last turn, in milliseconds.
///
/// A program that was stopped may come back for as long as its turns are kept, a minute today.
/// Ten times that costs some hundred bytes a program.
const PROGRAM_RETENTION_MS: u64 = 600_000;

/// A program whose budget holds no further turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExhausted {
    /// Tokens spent, and set aside for turns that have not been settled.
    pub tokens: u64,
}

/// Silence after which it is forgotten where a program's prompts were read, in milliseconds: engines have
/// dropped them by then, and they are most of what is remembered of a program.
const RUN_RETENTION_MS: u64 = 30_000;

/// One program's use of its budget.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Usage {
    /// Tokens of settled turns.
    pub(super) spent: u64,
    /// Tokens set aside, by turn.
    pub(super) reserved: BTreeMap<CompactString, u64>,
    /// The group's time of the last command, in milliseconds.
    pub(super) last_ms: u64,
    /// Where its prompts were read.
    pub(super) runs: Runs,
}

impl Usage {
    fn total(&self) -> u64 {
        self.reserved.values().fold(self.spent, |sum, most| sum.saturating_add(*most))
    }
}

/// Use of budgets by program.
#[derive(Clone, Debug, Default)]
pub(super) struct Budgets {
    pub(super) programs: BTreeMap<CompactString, Usage>,
}

impl Budgets {
    /// Sets tokens aside for a turn.
    ///
    /// A turn counts with the most it may generate until it is settled. An entry VM that dies
    /// leaves its turns unsettled for good: what they handed out is not known, and counting less
    /// could let the program exceed its budget. Asking again for the same turn changes nothing, so
    /// a lost answer costs no budget.
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

    /// Tells whether a program had a turn other than this one.
    pub(super) fn has_other_turn(&self, program: &str, turn: &str) -> bool {
        let Some(usage) = self.programs.get(program) else { return false };
        usage.spent > 0 || usage.reserved.keys().any(|other| other != turn)
    }

    /// Replaces what was set aside for a turn by what it used. A second settlement changes nothing.
    pub(super) fn settle(&mut self, now: u64, program: &str, turn: &str, tokens: u64) {
        let Some(usage) = self.programs.get_mut(program) else { return };
        usage.last_ms = now;
        if usage.reserved.remove(turn).is_some() {
            usage.spent = usage.spent.saturating_add(tokens);
            if usage.reserved.is_empty() {
                // An emptied map keeps a leaf for eleven turns, most of what a program would take.
                usage.reserved = BTreeMap::new();
            }
        }
    }

    /// Remembers where a program's prompt was read.
    pub(super) fn record_run(&mut self, program: &str, run: &PromptRun) {
        if let Some(usage) = self.programs.get_mut(program) {
            usage.runs.record(run);
        }
    }

    /// Returns where the longest known start of a program's prompt was read.
    pub(super) fn last_run(&self, program: &str, starts: &[u64]) -> Option<&PromptRun> {
        self.programs.get(program)?.runs.longest(starts)
    }

    /// Forgets programs that have been silent for long.
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
