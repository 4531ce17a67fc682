//! The state machine of a turn group.

use super::budget::Budgets;
use super::tree::{Holding, TurnTree};
use crate::wire::turn as wire;
use crate::wire::turn::command::Body as CommandBody;
use crate::wire::turn::reply::Body as ReplyBody;

/// Interval between two removals of expired state, in milliseconds of the group's time. Every
/// replica removes it at the same command. Rare enough that going over some ten thousand turns costs
/// little.
const SWEEP_MS: u64 = 5_000;

/// The replicated state of a turn group.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    pub(super) budgets: Budgets,
    pub(super) tree: TurnTree,
    /// The group's time: the latest time of any command, in milliseconds. Zero before the first
    /// command.
    pub(super) clock: u64,
}

impl Turns {
    /// Applies a committed command and returns its answer.
    pub fn apply(&mut self, command: &wire::Command) -> wire::Reply {
        let body = match &command.body {
            Some(CommandBody::Reserve(reserve)) => self.reserve(reserve),
            Some(CommandBody::Settle(settle)) => self.settle(settle),
            Some(CommandBody::Copied(copied)) => self.copied(copied),
            None => ReplyBody::Uncertain(wire::Uncertain {}),
        };
        wire::Reply { body: Some(body) }
    }

    /// Returns the number of recorded turns, including those that are only held for a turn in
    /// progress.
    pub fn kept(&self) -> usize {
        self.tree.len()
    }

    /// Returns those of these turns whose texts are still needed, with their remaining time.
    pub fn still_kept(&self, turns: &[String]) -> Vec<wire::KeptTurn> {
        let kept = turns.iter().filter_map(|turn| {
            let left_ms = self.tree.remaining(self.clock, turn)?;
            Some(wire::KeptTurn { turn: turn.clone(), left_ms })
        });
        kept.collect()
    }

    /// Returns the group's time, in milliseconds, or `None` before the first command.
    pub fn time(&self) -> Option<u64> {
        (self.clock > 0).then_some(self.clock)
    }

    /// Returns the number of programs whose budget use is recorded.
    pub fn programs(&self) -> usize {
        self.budgets.programs.len()
    }

    fn reserve(&mut self, reserve: &wire::Reserve) -> ReplyBody {
        let now = self.advance(reserve.now_ms);
        let previous = &reserve.previous;
        let chain = match reserve.held {
            true => self.tree.is_kept(now, previous).then(Vec::new),
            false => self.tree.chain(now, previous),
        };
        let Some(chain) = chain else { return ReplyBody::Unknown(wire::UnknownTurn {}) };
        let (turn, most) = (&reserve.turn, reserve.most);
        match self.budgets.reserve(now, &reserve.program, turn, most, reserve.budget) {
            Ok(()) => {
                self.tree.hold(now, previous, reserve.lasts_ms);
                let chain = chain.iter().map(Holding::to_wire).collect();
                let under_way = self.budgets.has_other_turn(&reserve.program, turn);
                let ran = self.budgets.last_run(&reserve.program, &reserve.prompts).cloned();
                ReplyBody::Reserved(wire::Reserved { chain, under_way, ran, ..Default::default() })
            }
            Err(spent) => {
                let budget = reserve.budget.unwrap_or(u64::MAX);
                ReplyBody::Spent(wire::BudgetSpent { spent: spent.tokens, budget })
            }
        }
    }

    fn settle(&mut self, settle: &wire::Settle) -> ReplyBody {
        let now = self.advance(settle.now_ms);
        self.budgets.settle(now, &settle.program, &settle.turn, settle.tokens);
        if let Some(run) = &settle.ran {
            self.budgets.record_run(&settle.program, run);
        }
        if let Some(kept) = &settle.kept {
            self.tree.keep(now, &settle.turn, kept);
        }
        ReplyBody::Settled(wire::Settled {})
    }

    fn copied(&mut self, copied: &wire::Copied) -> ReplyBody {
        self.advance(copied.now_ms);
        for holding in &copied.turns {
            self.tree.record_holders(&Holding::from_wire(holding));
        }
        ReplyBody::Settled(wire::Settled {})
    }

    /// Advances the group's time to that of a command, and returns it.
    ///
    /// The time never goes back: a command of a deposed leader may be applied after commands of its
    /// successor, and must not revive an expired turn.
    fn advance(&mut self, now: u64) -> u64 {
        let before = self.clock;
        self.clock = self.clock.max(now);
        if before / SWEEP_MS != self.clock / SWEEP_MS {
            self.tree.expire(self.clock);
            self.budgets.expire(self.clock);
        }
        self.clock
    }
}
