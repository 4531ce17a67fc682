//! The state machine of a turn group.

use super::budget::Budgets;
use super::quota::{Accounts, DrawKind, LimitReached, LimitUse};
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
    pub(super) accounts: Accounts,
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
            Some(CommandBody::Granted(granted)) => self.granted(granted),
            // Draws are answered by the leader and never proposed.
            Some(CommandBody::Draw(_)) | None => ReplyBody::Uncertain(wire::Uncertain {}),
        };
        wire::Reply { body: Some(body), ..wire::Reply::default() }
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

    /// Checks a request that isn't a turn against its organisation's limit. `pending` requests of
    /// the organisation have been granted and aren't counted yet.
    ///
    /// # Errors
    ///
    /// Fails when the limit is reached.
    pub fn check_draw(
        &self,
        now: u64,
        draw: &wire::Draw,
        pending: u64,
    ) -> Result<(), LimitReached> {
        let kind = if draw.under_way { DrawKind::UnderWay } else { DrawKind::Single };
        self.accounts.check(now.max(self.clock), draw, kind, pending)
    }

    /// Returns the use of every limit.
    pub fn limits(&self) -> Vec<LimitUse> {
        self.accounts.usage(self.clock)
    }

    fn reserve(&mut self, reserve: &wire::Reserve) -> ReplyBody {
        let now = self.advance(reserve.now_ms);
        self.count(now, &reserve.granted);
        let previous = &reserve.previous;
        let chain = match reserve.held {
            true => self.tree.is_kept(now, previous).then(Vec::new),
            false => self.tree.chain(now, previous),
        };
        let Some(chain) = chain else { return ReplyBody::Unknown(wire::UnknownTurn {}) };
        let (turn, most) = (&reserve.turn, reserve.most);
        let kind = self.draw_kind(reserve);
        let checked = reserve.draw.as_ref().zip(kind);
        let checked =
            checked.map_or(Ok(()), |(draw, kind)| self.accounts.check(now, draw, kind, 0));
        if let Err(reached) = checked {
            if let Some((draw, DrawKind::UnderWay)) = reserve.draw.as_ref().zip(kind) {
                self.accounts.record_broken(&draw.organisation);
            }
            return limited(&reached, reserve.draw.as_ref());
        }
        match self.budgets.reserve(now, &reserve.program, turn, most, reserve.budget) {
            Ok(()) => {
                if let Some((draw, kind)) = reserve.draw.as_ref().zip(kind) {
                    self.accounts.count(now, draw, kind);
                }
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

    /// Returns how a turn counts towards its organisation's limit, or `None` if it has been
    /// reserved, and so counted, already.
    fn draw_kind(&self, reserve: &wire::Reserve) -> Option<DrawKind> {
        let draw = reserve.draw.as_ref()?;
        let (program, turn) = (&reserve.program, &reserve.turn);
        if self.budgets.is_reserved(program, turn) {
            return None;
        }
        match draw.under_way || self.budgets.has_other_turn(program, turn) {
            true => Some(DrawKind::UnderWay),
            false => Some(DrawKind::NewProgram),
        }
    }

    fn granted(&mut self, granted: &wire::Granted) -> ReplyBody {
        let now = self.advance(granted.now_ms);
        self.count(now, &granted.draws);
        ReplyBody::Settled(wire::Settled {})
    }

    fn count(&mut self, now: u64, draws: &[wire::Draw]) {
        for draw in draws {
            self.accounts.count(now, draw, DrawKind::UnderWay);
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
            self.accounts.expire(self.clock);
        }
        self.clock
    }
}

/// Returns the answer to a request that its organisation's limit doesn't allow.
pub fn limited(reached: &LimitReached, draw: Option<&wire::Draw>) -> ReplyBody {
    let limit = draw.and_then(|draw| draw.limit).unwrap_or_default();
    ReplyBody::Limited(wire::Limited {
        retry_ms: reached.retry_ms,
        used: reached.used,
        limit: limit.requests,
    })
}
