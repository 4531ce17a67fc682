//! Tells in the log which members of the led groups fall behind or silent.

use std::collections::BTreeMap;
use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Lag, Role};
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use crate::metrics::group_name;
use crate::replica::HostStatus;

/// Pause between two looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two lines on one member, so that one that comes and goes can't fill the log.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Silence from which a member counts as silent: an election's patience and then some.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes that a member lacks from which it counts as behind: more than a leader lets be under way.
const BEHIND_BYTES: u64 = 512 * 1024;
/// Entries that a member lacks from which it counts as behind: a second or two of a busy group.
const BEHIND_ENTRIES: u64 = 500;
/// Part of these bounds under which it counts as caught up again.
const CAUGHT_UP_DIVISOR: u64 = 8;

/// How one member follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerState {
    /// It has all but what is under way.
    CaughtUp,
    /// It lacks much of the log, or is sent a snapshot.
    Behind,
    /// It doesn't answer.
    Unresponsive,
}

/// A change in how one member follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The group.
    pub group: GroupId,
    /// How the member followed before.
    pub before: FollowerState,
    /// How it follows now.
    pub now: FollowerState,
    /// What it lacks.
    pub lag: Lag,
}

/// How each member of the led groups followed at the last look.
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
    /// Returns what has changed since the last look.
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

/// Looks at the led groups' members until `halt`.
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
        (_, FollowerState::Unresponsive) => "a follower is silent",
        (FollowerState::Unresponsive, _) => "a follower is heard again",
        (_, FollowerState::Behind) => "a follower has fallen behind",
        (_, FollowerState::CaughtUp) => "a follower has caught up",
    };
    let silent = u64::try_from(change.lag.silent.as_millis()).unwrap_or(u64::MAX);
    slog::info!(log, "{}", message; "group" => change.group.0,
        "kind" => group_name(change.group), "follower" => change.lag.vm.0,
        "entries" => change.lag.entries, "bytes" => change.lag.bytes, "silent_ms" => silent,
        "snapshot" => change.lag.snapshot);
}
