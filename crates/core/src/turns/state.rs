//! The state machine of a turn group.

use super::budget::Budgets;
use super::tree::{Holding, TurnTree};
use crate::wire::turn as wire;
use crate::wire::turn::command::Body as CommandBody;
use crate::wire::turn::reply::Body as ReplyBody;

/// Milliseconds of the group's clock between two sweeps for what may be forgotten: rare enough that
/// a sweep over some ten thousand turns costs little. Every replica sweeps at the same command.
const SWEEP_MS: u64 = 5_000;

/// The replicated state of a turn group.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    pub(super) budgets: Budgets,
    pub(super) tree: TurnTree,
    /// Latest time of any command, in milliseconds; zero before the first.
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

    /// Returns how many turns are kept.
    pub fn kept(&self) -> usize {
        self.tree.len()
    }

    /// Returns which of these turns are still kept, with how much longer.
    pub fn still_kept(&self, turns: &[String]) -> Vec<wire::KeptTurn> {
        let kept = turns.iter().filter_map(|turn| {
            let left_ms = self.tree.remaining(self.clock, turn)?;
            Some(wire::KeptTurn { turn: turn.clone(), left_ms })
        });
        kept.collect()
    }

    /// Returns the group's time, in milliseconds; nothing before the first command.
    pub fn time(&self) -> Option<u64> {
        (self.clock > 0).then_some(self.clock)
    }

    /// Returns how many programs are remembered.
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
                ReplyBody::Reserved(wire::Reserved { chain, under_way, ran })
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

    /// Takes the time of a command. It never goes back: what a deposed leader proposed may come after
    /// its successor's first command, and must not make an expired turn come back.
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
