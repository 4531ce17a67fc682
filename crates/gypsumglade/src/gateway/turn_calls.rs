//! Counts of the calls to the turn group, logged while some of them fail.

use std::sync::Mutex;

use gypsumglade_core::policy::group_health::RequestEnd;
use gypsumglade_core::prelude::*;

/// Interval between two log lines.
pub(super) const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Calls of the current interval.
#[derive(Debug, Default)]
pub(super) struct TurnCalls {
    counts: Mutex<Counts>,
}

/// Numbers of calls, by how they ended.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    answered: u64,
    timed_out: u64,
    cancelled: u64,
    /// Callers refused before a command was sent.
    refused: u64,
    /// Commands sent to a store, repeated ones included.
    sent: u64,
    /// Commands that got no usable answer from the store that they were sent to.
    failed: u64,
    searches: u64,
}

impl TurnCalls {
    /// Counts the end of a call.
    pub(super) fn ended(&self, end: RequestEnd) {
        self.update(|counts| match end {
            RequestEnd::Answered | RequestEnd::AnsweredAfter(_) => counts.answered += 1,
            RequestEnd::TimedOut => counts.timed_out += 1,
            RequestEnd::Cancelled => counts.cancelled += 1,
        });
    }

    /// Counts a caller that is refused before a command is sent.
    pub(super) fn refused(&self) {
        self.update(|counts| counts.refused += 1);
    }

    /// Counts a command that is sent to a store.
    pub(super) fn sent(&self) {
        self.update(|counts| counts.sent += 1);
    }

    /// Counts a command that got no usable answer.
    pub(super) fn failed(&self) {
        self.update(|counts| counts.failed += 1);
    }

    /// Counts the start of a search for the leader.
    pub(super) fn searched(&self) {
        self.update(|counts| counts.searches += 1);
    }

    /// Logs the counts if any call has failed, and starts a new interval.
    pub(super) fn log(&self, log: &slog::Logger) {
        let counts = std::mem::take(&mut *self.counts.lock().expect("no panic while held"));
        if counts.timed_out + counts.refused + counts.failed + counts.searches == 0 {
            return;
        }
        slog::info!(log, "turn group calls"; "answered" => counts.answered,
            "timed_out" => counts.timed_out, "cancelled" => counts.cancelled,
            "refused" => counts.refused, "sent" => counts.sent, "failed" => counts.failed,
            "searches" => counts.searches);
    }

    fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock().expect("no panic while held"));
    }
}
