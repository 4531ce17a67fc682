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
const WAIT_DIVISOR: u32 = 4;
/// Shortest wait for an answer: a group that is busy takes this long. Of a caller with less time than
/// that, it takes no more than half.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// Longest wait of a caller that is let through to see whether a lost group is back.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two of them while nobody is known to lead. A leader that was found is tried at once.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Part of a caller's time up to which it honours a pause.
const RETRY_DIVISOR: u32 = 3;
/// Longest pause asked for: the group may be back at any moment.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest pause asked for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Part of a pause over which callers are spread.
const RETRY_JITTER: f64 = 0.4;
/// Most callers that wait at one time.
const MAX_WAITING: usize = 256;
/// Most bytes that they hold meanwhile.
const MAX_BYTES: usize = 8 << 20;

/// What a caller needs of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitRequest {
    /// Time that the caller has left.
    pub time_left: Duration,
    /// Bytes that it holds while it waits.
    pub bytes: usize,
    /// Anything from zero to one, another for each caller: those who are refused together must not come
    /// back together.
    pub jitter: f64,
}

/// What to do with a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Ask the group, and wait for this long at most. [`GroupHealth::end`] must follow.
    Proceed {
        /// Number of the ask.
        id: RequestId,
        /// Longest wait.
        timeout: Duration,
    },
    /// Don't ask; the caller comes back after a pause.
    Refuse {
        /// The pause.
        retry_after: Duration,
        /// Why.
        reason: RefusalReason,
    },
}

/// Why a caller is refused before the group is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The group has not answered for long.
    Lost,
    /// As many callers wait as may.
    Crowded,
}

impl RefusalReason {
    /// Returns the name that logs and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            RefusalReason::Lost => "group_lost",
            RefusalReason::Crowded => "group_crowded",
        }
    }
}

/// An ask under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(u64);

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The group answered.
    Answered,
    /// It did not in time.
    TimedOut,
    /// Who asked doesn't wait any more, which says nothing of the group.
    Cancelled,
}

/// A change that operators want to know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The group counts as lost, after this silence.
    Lost(Duration),
    /// It answers again, after this silence.
    Recovered(Duration),
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    id: RequestId,
    since: Time,
    bytes: usize,
}

/// What one process knows of a group from its own asks.
#[derive(Clone, Debug, Default)]
pub struct GroupHealth {
    /// Asks under way, oldest first.
    in_flight: VecDeque<InFlight>,
    next_id: u64,
    /// When the group answered last.
    last_answer: Time,
    /// Start of the first ask since then that found no answer.
    failing_since: Option<Time>,
    /// When a caller was let through last while the group was lost.
    last_probe: Time,
    /// True once somebody was found to lead, until an ask finds no answer.
    leader_known: bool,
    /// True once its loss was told.
    loss_reported: bool,
}

impl GroupHealth {
    /// Decides on a caller.
    pub fn admit(&mut self, now: Time, request: WaitRequest) -> Decision {
        let silence = self.silence(now);
        let max_wait = (request.time_left / WAIT_DIVISOR).max(MIN_WAIT.min(request.time_left / 2));
        let timeout = if silence < LOST_AFTER {
            (LOST_AFTER - silence).max(MIN_WAIT)
        } else if self.may_probe(now) {
            self.last_probe = now;
            PROBE_TIMEOUT
        } else {
            return Decision::Refuse {
                retry_after: self.retry_after(now, request),
                reason: RefusalReason::Lost,
            };
        };
        let bytes: usize = self.in_flight.iter().map(|entry| entry.bytes).sum();
        if self.in_flight.len() >= MAX_WAITING || bytes + request.bytes > MAX_BYTES {
            return Decision::Refuse {
                retry_after: self.retry_after(now, request),
                reason: RefusalReason::Crowded,
            };
        }
        let id = self.begin(now, request.bytes);
        Decision::Proceed { id, timeout: timeout.min(max_wait) }
    }

    /// Counts an ask that is not a caller's to be decided on.
    pub fn begin(&mut self, now: Time, bytes: usize) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.in_flight.push_back(InFlight { id, since: now, bytes });
        id
    }

    /// Takes how an ask ended. Each tells more than its own: one answer clears all silence before it.
    pub fn end(&mut self, now: Time, id: RequestId, end: RequestEnd) -> Option<HealthChange> {
        let silence = self.silence(now);
        let at = self.in_flight.iter().position(|entry| entry.id == id)?;
        let ended = self.in_flight.remove(at)?;
        match end {
            RequestEnd::Answered => {
                self.last_answer = now;
                self.failing_since = None;
                let reported = std::mem::take(&mut self.loss_reported);
                reported.then_some(HealthChange::Recovered(silence))
            }
            RequestEnd::TimedOut => {
                let since = ended.since.max(self.last_answer);
                self.failing_since =
                    Some(self.failing_since.map_or(since, |earlier| earlier.min(since)));
                self.leader_known = false;
                let silence = self.silence(now);
                let lost = silence >= LOST_AFTER && !self.loss_reported;
                self.loss_reported |= lost;
                lost.then_some(HealthChange::Lost(silence))
            }
            RequestEnd::Cancelled => None,
        }
    }

    /// Notes that somebody leads the group; the next caller sees whether it answers too.
    pub fn leader_found(&mut self) {
        self.leader_known = true;
    }

    /// Returns for how long asks have found no answer: zero while none is out or failed.
    pub fn silence(&self, now: Time) -> Duration {
        let oldest = self.in_flight.front().map(|entry| entry.since.max(self.last_answer));
        let since = self.failing_since.into_iter().chain(oldest).min();
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Tells whether the group counts as lost.
    pub fn is_lost(&self, now: Time) -> bool {
        self.silence(now) >= LOST_AFTER
    }

    /// Returns when a caller that found no answer should come back.
    pub fn retry_after(&self, now: Time, request: WaitRequest) -> Duration {
        let max_retry = (request.time_left / RETRY_DIVISOR).min(MAX_RETRY_AFTER);
        let election_left = LOST_AFTER.saturating_sub(self.silence(now));
        let retry_after =
            if election_left.is_zero() { max_retry } else { election_left.max(MIN_RETRY_AFTER) };
        let jitter = request.jitter.clamp(0.0, 1.0);
        let jitter = retry_after.mul_f64(RETRY_JITTER * jitter);
        match election_left.is_zero() {
            true => retry_after - jitter,
            false => (retry_after + jitter).min(max_retry),
        }
    }

    /// Tells whether a caller may see whether a lost group is back: one at a time.
    fn may_probe(&self, now: Time) -> bool {
        let probe_pending =
            self.in_flight.iter().any(|in_flight| now.since(in_flight.since) < PROBE_TIMEOUT);
        !probe_pending && (self.leader_known || now.since(self.last_probe) >= PROBE_INTERVAL)
    }
}
