//! Logs when followers of the led groups fall behind, stop responding or catch up.

use std::collections::BTreeMap;
use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Lag, Role};
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use crate::metrics::group_name;
use crate::replica::HostStatus;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two log lines about one follower, so that a flapping one can't fill the
/// log.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Silence from which a follower counts as unresponsive; longer than an election timeout.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Missing bytes above which a follower counts as behind; more than a leader keeps in flight.
const BEHIND_BYTES: u64 = 512 * 1024;
/// Missing entries above which a follower counts as behind; a second or two of a busy group.
const BEHIND_ENTRIES: u64 = 500;
/// Divisor of these bounds for a follower that is behind, so that its state doesn't flap.
const CAUGHT_UP_DIVISOR: u64 = 8;

/// How well a follower keeps up with its leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerState {
    /// Lacks little more than the entries in flight.
    CaughtUp,
    /// Lacks many entries or bytes of the log, or is being sent a snapshot.
    Behind,
    /// Has not answered for a while.
    Unresponsive,
}

/// A change of a follower's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Group of the follower.
    pub group: GroupId,
    /// State that was reported before.
    pub before: FollowerState,
    /// Current state.
    pub now: FollowerState,
    /// Follower and its lag.
    pub lag: Lag,
}

/// Last reported state of each follower in the led groups.
#[derive(Debug, Default)]
pub struct FollowerWatch {
    members: BTreeMap<(GroupId, VmId), Reported>,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    state: FollowerState,
    at: Time,
}

impl FollowerWatch {
    /// Updates the states and returns the changes to report.
    pub fn update(&mut self, status: &HostStatus, now: Time) -> Vec<Change> {
        let led = status.groups.iter().filter(|group| group.role == Role::Leader);
        let lags: Vec<_> =
            led.flat_map(|led| led.followers.iter().map(|lag| (led.group, lag))).collect();
        let listed =
            |key: &(GroupId, VmId)| lags.iter().any(|(group, lag)| (*group, lag.vm) == *key);
        self.members.retain(|key, _| listed(key));
        let mut changes = Vec::new();
        for (group, lag) in lags {
            let start = Reported { state: FollowerState::CaughtUp, at: Time::ZERO };
            let reported = self.members.entry((group, lag.vm)).or_insert(start);
            let state = classify(lag, reported.state);
            let paused = reported.at != Time::ZERO && now < reported.at + MIN_LOG_INTERVAL;
            if state == reported.state || paused {
                continue;
            }
            changes.push(Change { group, before: reported.state, now: state, lag: lag.clone() });
            *reported = Reported { state, at: now };
        }
        changes
    }
}

fn classify(lag: &Lag, before: FollowerState) -> FollowerState {
    let divisor = if before == FollowerState::Behind { CAUGHT_UP_DIVISOR } else { 1 };
    let lagging = lag.bytes > BEHIND_BYTES / divisor || lag.entries > BEHIND_ENTRIES / divisor;
    match (lag.silent >= SILENCE_TIMEOUT, lagging || lag.snapshot) {
        (true, _) => FollowerState::Unresponsive,
        (false, true) => FollowerState::Behind,
        (false, false) => FollowerState::CaughtUp,
    }
}

/// Logs changes of the followers' states until `halt` is cancelled.
pub(super) async fn watch(context: Arc<StoreContext>, halt: CancellationToken) {
    let mut watch = FollowerWatch::default();
    while !halt.is_cancelled() {
        let status = context.host.status().await;
        for change in watch.update(&status, context.clock.now()) {
            log_change(&context.log, &change);
        }
        tokio::select! {
            () = halt.cancelled() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

fn log_change(log: &slog::Logger, change: &Change) {
    let message = match (change.before, change.now) {
        (_, FollowerState::Unresponsive) => "follower does not respond",
        (FollowerState::Unresponsive, _) => "follower responds again",
        (_, FollowerState::Behind) => "follower has fallen behind",
        (_, FollowerState::CaughtUp) => "follower has caught up",
    };
    let silent = u64::try_from(change.lag.silent.as_millis()).unwrap_or(u64::MAX);
    slog::info!(log, "{}", message; "group" => change.group.0,
        "kind" => group_name(change.group), "follower" => change.lag.vm.0,
        "entries" => change.lag.entries, "bytes" => change.lag.bytes, "silent_ms" => silent,
        "snapshot" => change.lag.snapshot);
}
