//! Whether a replicated group answers, and what to do with callers who need it.
//!
//! A group that can't commit says nothing. A caller that waits for it has less time afterwards to come
//! back with, so it is told as early as it is known that waiting is in vain, and when to come back.

use std::collections::VecDeque;

use crate::prelude::*;

/// Silence after which a group counts as lost. An election takes less, and is better waited out than
/// refused: a refusal costs the caller one of few attempts.
pub const LOST_AFTER: Duration = Duration::from_millis(1_200);
/// Part of a caller's time for which it may be held before it hears.
const HELD_PART: u32 = 4;
/// Shortest wait for an answer: a group that is busy takes this long. Of a caller with less time than
/// that, it takes no more than half.
const LEAST_WAIT: Duration = Duration::from_millis(250);
/// Longest wait of a caller that is let through to see whether a lost group is back.
const PROBE_WAIT: Duration = Duration::from_millis(500);
/// Pause between two of them while nobody is known to lead. A leader that was found is tried at once.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Part of a caller's time up to which it honours a pause.
const PAUSE_PART: u32 = 3;
/// Longest pause asked for: the group may be back at any moment.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Shortest pause asked for.
const SHORTEST_PAUSE: Duration = Duration::from_millis(200);
/// Part of a pause over which callers are spread.
const PAUSE_SPREAD: f64 = 0.4;
/// Most callers that wait at one time.
const MOST_WAITING: usize = 256;
/// Most bytes that they hold meanwhile.
const MOST_BYTES: usize = 8 << 20;

/// What a caller needs of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Time that the caller has left.
    pub left: Duration,
    /// Bytes that it holds while it waits.
    pub bytes: usize,
    /// Anything from zero to one, another for each caller: those who are refused together must not come
    /// back together.
    pub spread: f64,
}

/// What to do with a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Ask the group, and wait for this long at most. [`GroupHealth::end`] must follow.
    Ask {
        /// Number of the ask.
        ask: Ask,
        /// Longest wait.
        patience: Duration,
    },
    /// Don't ask; the caller comes back after a pause.
    Refuse {
        /// The pause.
        after: Duration,
        /// Why.
        reason: Reason,
    },
}

/// Why a caller is refused before the group is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The group has not answered for long.
    Lost,
    /// As many callers wait as may.
    Crowded,
}

impl Reason {
    /// Returns the name that logs and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Reason::Lost => "group_lost",
            Reason::Crowded => "group_crowded",
        }
    }
}

/// An ask under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask(u64);

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The group answered.
    Answered,
    /// It did not in time.
    Silent,
    /// Who asked doesn't wait any more, which says nothing of the group.
    Dropped,
}

/// A change that operators want to know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The group counts as lost, after this silence.
    Lost(Duration),
    /// It answers again, after this silence.
    Regained(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Open {
    ask: Ask,
    since: Time,
    bytes: usize,
}

/// What one process knows of a group from its own asks.
#[derive(Clone, Debug, Default)]
pub struct GroupHealth {
    /// Asks under way, oldest first.
    open: VecDeque<Open>,
    next: u64,
    /// When the group answered last.
    answered: Time,
    /// Start of the first ask since then that found no answer.
    failing: Option<Time>,
    /// When a caller was let through last while the group was lost.
    probed: Time,
    /// True once somebody was found to lead, until an ask finds no answer.
    found: bool,
    /// True once its loss was told.
    told: bool,
}

impl GroupHealth {
    /// Decides on a caller.
    pub fn admit(&mut self, now: Time, need: Need) -> Admission {
        let silence = self.silence(now);
        let held = (need.left / HELD_PART).max(LEAST_WAIT.min(need.left / 2));
        let patience = if silence < LOST_AFTER {
            (LOST_AFTER - silence).max(LEAST_WAIT)
        } else if self.may_probe(now) {
            self.probed = now;
            PROBE_WAIT
        } else {
            return Admission::Refuse { after: self.pause(now, need), reason: Reason::Lost };
        };
        let bytes: usize = self.open.iter().map(|open| open.bytes).sum();
        if self.open.len() >= MOST_WAITING || bytes + need.bytes > MOST_BYTES {
            return Admission::Refuse { after: self.pause(now, need), reason: Reason::Crowded };
        }
        let ask = self.begin(now, need.bytes);
        Admission::Ask { ask, patience: patience.min(held) }
    }

    /// Counts an ask that is not a caller's to be decided on.
    pub fn begin(&mut self, now: Time, bytes: usize) -> Ask {
        let ask = Ask(self.next);
        self.next += 1;
        self.open.push_back(Open { ask, since: now, bytes });
        ask
    }

    /// Takes how an ask ended. Each tells more than its own: one answer clears all silence before it.
    pub fn end(&mut self, now: Time, ask: Ask, end: End) -> Option<Change> {
        let silence = self.silence(now);
        let at = self.open.iter().position(|open| open.ask == ask)?;
        let open = self.open.remove(at)?;
        match end {
            End::Answered => {
                self.answered = now;
                self.failing = None;
                let told = std::mem::take(&mut self.told);
                told.then_some(Change::Regained(silence))
            }
            End::Silent => {
                let since = open.since.max(self.answered);
                self.failing = Some(self.failing.map_or(since, |failing| failing.min(since)));
                self.found = false;
                let silence = self.silence(now);
                let lost = silence >= LOST_AFTER && !self.told;
                self.told |= lost;
                lost.then_some(Change::Lost(silence))
            }
            End::Dropped => None,
        }
    }

    /// Notes that somebody leads the group; the next caller sees whether it answers too.
    pub fn found(&mut self) {
        self.found = true;
    }

    /// Returns for how long asks have found no answer: zero while none is out or failed.
    pub fn silence(&self, now: Time) -> Duration {
        let oldest = self.open.front().map(|open| open.since.max(self.answered));
        let since = self.failing.into_iter().chain(oldest).min();
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Tells whether the group counts as lost.
    pub fn is_lost(&self, now: Time) -> bool {
        self.silence(now) >= LOST_AFTER
    }

    /// Returns when a caller that found no answer should come back.
    pub fn pause(&self, now: Time, need: Need) -> Duration {
        let honoured = (need.left / PAUSE_PART).min(LONGEST_PAUSE);
        let election = LOST_AFTER.saturating_sub(self.silence(now));
        let pause = if election.is_zero() { honoured } else { election.max(SHORTEST_PAUSE) };
        let spread = need.spread.clamp(0.0, 1.0);
        let spread = pause.mul_f64(PAUSE_SPREAD * spread);
        match election.is_zero() {
            true => pause - spread,
            false => (pause + spread).min(honoured),
        }
    }

    /// Tells whether a caller may see whether a lost group is back: one at a time.
    fn may_probe(&self, now: Time) -> bool {
        let asking = self.open.iter().any(|open| now.since(open.since) < PROBE_WAIT);
        !asking && (self.found || now.since(self.probed) >= PROBE_PAUSE)
    }
}
