//! Health of a replicated group, and admission of callers that have to wait for it.
//!
//! A group that can't commit sends no answer. Waiting takes time that a caller would need for a
//! retry, so callers are refused, with a retry delay, as soon as waiting is known to be in vain.

use std::collections::VecDeque;

use super::send_window::SendWindow;
use crate::prelude::*;

/// Time without an answer after which a group counts as lost. Longer than an election, which is
/// better waited for: a refusal uses up one of the caller's few attempts.
pub const LOST_AFTER: Duration = Duration::from_millis(1_200);
/// Divisor of a caller's remaining time that gives its longest wait.
const WAIT_DIVISOR: u32 = 4;
/// Shortest wait for an answer, which a busy group may need. Callers with little time left wait for
/// at most half of it.
const MIN_WAIT: Duration = Duration::from_millis(250);
/// Timeout of a caller that probes a lost group.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between probes while no leader is known. A new leader is probed at once.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Divisor of a caller's remaining time that gives its longest retry delay.
const RETRY_DIVISOR: u32 = 3;
/// Longest retry delay; the group may be back at any time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest retry delay while an election may be running.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Part of the retry delay that is randomised.
const RETRY_JITTER: f64 = 0.4;
/// Maximum number of bytes that waiting callers hold.
const MAX_BYTES: usize = 8 << 20;

/// A caller that has to wait for the group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitRequest {
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Bytes held while the caller waits.
    pub bytes: usize,
    /// Random number between zero and one, which spreads the retry delays of callers.
    pub jitter: f64,
}

/// Decision on a [`WaitRequest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send a request to the group and wait for at most `timeout`. [`GroupHealth::end`] has to be
    /// called afterwards.
    Proceed {
        /// ID with which the request is ended.
        id: RequestId,
        /// Longest wait for an answer.
        timeout: Duration,
    },
    /// Don't send a request; the caller retries later.
    Refuse {
        /// Retry delay.
        retry_after: Duration,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
}

/// Reason why a caller is refused before the group is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The group hasn't answered for [`LOST_AFTER`].
    Lost,
    /// More callers would wait than the group can answer in time, or they would hold too many bytes.
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

/// Identifies a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(u64);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The group answered.
    Answered,
    /// The group answered, and its leader took this long. Unlike the whole time, this is the same
    /// for entry VMs near to the leader and far from it.
    AnsweredAfter(Duration),
    /// The group didn't answer in time.
    TimedOut,
    /// The caller stopped waiting, which tells nothing about the group.
    Cancelled,
}

/// A change of health that should be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The group counts as lost, after this time without an answer.
    Lost(Duration),
    /// The group answers again, after this time without an answer.
    Recovered(Duration),
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    id: RequestId,
    since: Time,
    bytes: usize,
}

/// Health of a group, as seen from the requests of this process.
#[derive(Clone, Debug, Default)]
pub struct GroupHealth {
    /// Requests in flight, oldest first.
    in_flight: VecDeque<InFlight>,
    next_id: u64,
    /// Time of the last answer.
    last_answer: Time,
    /// Start of the first request since then that timed out.
    failing_since: Option<Time>,
    /// Time of the last probe.
    last_probe: Time,
    /// Whether a leader was found since the last timeout.
    leader_known: bool,
    /// Whether the loss of the group was reported.
    loss_reported: bool,
    window: SendWindow,
}

impl GroupHealth {
    /// Decides whether a caller may send a request and how long it waits.
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
        if !self.window.allows(self.in_flight.len(), request.jitter)
            || bytes + request.bytes > MAX_BYTES
        {
            return Decision::Refuse {
                retry_after: self.retry_after(now, request),
                reason: RefusalReason::Crowded,
            };
        }
        let id = self.begin(now, request.bytes);
        Decision::Proceed { id, timeout: timeout.min(max_wait) }
    }

    /// Adds a request in flight that needs no decision.
    pub fn begin(&mut self, now: Time, bytes: usize) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.in_flight.push_back(InFlight { id, since: now, bytes });
        id
    }

    /// Ends a request, and returns the change of health that this causes, if any.
    ///
    /// An answer also clears the timeouts of earlier requests.
    pub fn end(&mut self, now: Time, id: RequestId, end: RequestEnd) -> Option<HealthChange> {
        let silence = self.silence(now);
        let at = self.in_flight.iter().position(|entry| entry.id == id)?;
        let in_flight = self.in_flight.len();
        let ended = self.in_flight.remove(at)?;
        match end {
            RequestEnd::Answered | RequestEnd::AnsweredAfter(_) => {
                let took = match end {
                    RequestEnd::AnsweredAfter(took) => took,
                    _ => now.since(ended.since),
                };
                self.window.answered(now, ended.since, took, in_flight);
                self.last_answer = now;
                self.failing_since = None;
                let reported = std::mem::take(&mut self.loss_reported);
                reported.then_some(HealthChange::Recovered(silence))
            }
            RequestEnd::TimedOut => {
                self.window.timed_out(now, ended.since);
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

    /// Records that the group has a leader, so that the next caller probes whether it answers.
    pub fn leader_found(&mut self) {
        self.leader_known = true;
    }

    /// Returns the time for which requests have found no answer; zero if none is in flight or has
    /// failed since the last answer.
    pub fn silence(&self, now: Time) -> Duration {
        let oldest = self.in_flight.front().map(|entry| entry.since.max(self.last_answer));
        let since = self.failing_since.into_iter().chain(oldest).min();
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns true if the group counts as lost.
    pub fn is_lost(&self, now: Time) -> bool {
        self.silence(now) >= LOST_AFTER
    }

    /// Returns the retry delay of a caller that found no answer.
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

    /// Returns true if a caller may probe a lost group; only one probe runs at a time.
    fn may_probe(&self, now: Time) -> bool {
        let probe_pending =
            self.in_flight.iter().any(|entry| now.since(entry.since) < PROBE_TIMEOUT);
        !probe_pending && (self.leader_known || now.since(self.last_probe) >= PROBE_INTERVAL)
    }
}
