//! Load of the turn group's leader, logged once a second.

use std::sync::{Mutex, Weak};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Command;
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use tokio::time::Instant;

use super::turn_group::TurnGroup;

/// Interval between two log lines.
const INTERVAL: Duration = Duration::from_secs(1);
/// Answers slower than this are late: most callers have given up by then.
const LATE_AFTER: Duration = Duration::from_millis(500);

/// Commands of the current interval.
#[derive(Debug, Default)]
pub(super) struct TurnLoad {
    counts: Mutex<Counts>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    reserves: u64,
    settles: u64,
    other: u64,
    /// Questions whether this store leads, or which turns are kept.
    queries: u64,
    answered: u64,
    late: u64,
    waiting: u64,
    /// Sum of the times from a command's arrival to its answer.
    total: Duration,
    longest: Duration,
}

impl TurnLoad {
    /// Counts a command that has arrived.
    pub(super) fn arrived(&self, command: &Command) {
        let mut counts = self.counts.lock().expect("no panic while held");
        counts.waiting += 1;
        match &command.body {
            Some(CommandBody::Reserve(_)) => counts.reserves += 1,
            Some(CommandBody::Settle(_)) => counts.settles += 1,
            Some(CommandBody::Copied(_) | CommandBody::Draw(_) | CommandBody::Granted(_))
            | None => counts.other += 1,
        }
    }

    /// Counts the answer to a command that arrived `took` before.
    pub(super) fn answered(&self, took: Duration) {
        let mut counts = self.counts.lock().expect("no panic while held");
        counts.waiting = counts.waiting.saturating_sub(1);
        counts.answered += 1;
        counts.late += u64::from(took >= LATE_AFTER);
        counts.total += took;
        counts.longest = counts.longest.max(took);
    }

    /// Counts a question whether this store leads.
    pub(super) fn queried(&self) {
        self.counts.lock().expect("no panic while held").queries += 1;
    }

    /// Starts a new interval and returns the counts of the last one.
    fn take(&self) -> Counts {
        let mut counts = self.counts.lock().expect("no panic while held");
        let waiting = counts.waiting;
        std::mem::replace(&mut *counts, Counts { waiting, ..Counts::default() })
    }
}

/// Logs the load while this store leads the turn group and gets commands, until the group is dropped.
///
/// `delay_ms` is how late the timer fired, which shows a lack of processor time.
pub(super) async fn log_load(turns: Weak<TurnGroup>, log: slog::Logger) {
    loop {
        let began = Instant::now();
        tokio::time::sleep(INTERVAL).await;
        let delay = began.elapsed().saturating_sub(INTERVAL);
        let Some(turns) = turns.upgrade() else { return };
        let counts = turns.load.take();
        if !turns.leads() || counts.reserves + counts.settles + counts.other == 0 {
            continue;
        }
        let mean = counts.total.checked_div(counts.answered as u32).unwrap_or_default();
        slog::info!(log, "turn group load"; "reserves" => counts.reserves,
            "settles" => counts.settles, "other" => counts.other, "queries" => counts.queries,
            "answered" => counts.answered, "late" => counts.late, "waiting" => counts.waiting,
            "mean_ms" => mean.as_millis() as u64,
            "longest_ms" => counts.longest.as_millis() as u64,
            "delay_ms" => delay.as_millis() as u64);
    }
}
