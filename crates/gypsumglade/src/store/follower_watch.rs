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
const PAUSE: Duration = Duration::from_millis(500);
/// Least time between two lines on one member, so that one that comes and goes can't fill the log.
const LINE_PAUSE: Duration = Duration::from_secs(2);
/// Silence from which a member counts as silent: an election's patience and then some.
const SILENT: Duration = Duration::from_millis(1_500);
/// Bytes that a member lacks from which it counts as behind: more than a leader lets be under way.
const BEHIND_BYTES: u64 = 512 * 1024;
/// Entries that a member lacks from which it counts as behind: a second or two of a busy group.
const BEHIND_ENTRIES: u64 = 500;
/// Part of these bounds under which it counts as caught up again.
const CAUGHT_UP_PART: u64 = 8;

/// How one member follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Following {
    /// It has all but what is under way.
    Near,
    /// It lacks much of the log, or is sent a snapshot.
    Behind,
    /// It doesn't answer.
    Silent,
}

/// A change in how one member follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The group.
    pub group: GroupId,
    /// How the member followed before.
    pub before: Following,
    /// How it follows now.
    pub now: Following,
    /// What it lacks.
    pub lag: Lag,
}

/// How each member of the led groups followed at the last look.
#[derive(Debug, Default)]
pub struct Watch {
    members: BTreeMap<(GroupId, VmId), Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    following: Following,
    told: Time,
}

impl Watch {
    /// Returns what has changed since the last look.
    pub fn look(&mut self, status: &HostStatus, now: Time) -> Vec<Change> {
        let led = status.groups.iter().filter(|group| group.role == Role::Leader);
        let lags: Vec<_> =
            led.flat_map(|led| led.followers.iter().map(|lag| (led.group, lag))).collect();
        let listed =
            |key: &(GroupId, VmId)| lags.iter().any(|(group, lag)| (*group, lag.vm) == *key);
        self.members.retain(|key, _| listed(key));
        let mut changes = Vec::new();
        for (group, lag) in lags {
            let start = Seen { following: Following::Near, told: Time::ZERO };
            let seen = self.members.entry((group, lag.vm)).or_insert(start);
            let following = following(lag, seen.following);
            let paused = seen.told != Time::ZERO && now < seen.told + LINE_PAUSE;
            if following == seen.following || paused {
                continue;
            }
            changes.push(Change {
                group,
                before: seen.following,
                now: following,
                lag: lag.clone(),
            });
            *seen = Seen { following, told: now };
        }
        changes
    }
}

fn following(lag: &Lag, before: Following) -> Following {
    let part = if before == Following::Behind { CAUGHT_UP_PART } else { 1 };
    let far = lag.bytes > BEHIND_BYTES / part || lag.entries > BEHIND_ENTRIES / part;
    match (lag.silent >= SILENT, far || lag.snapshot) {
        (true, _) => Following::Silent,
        (false, true) => Following::Behind,
        (false, false) => Following::Near,
    }
}

/// Looks at the led groups' members until `halt`.
pub(super) async fn watch(context: Arc<StoreContext>, halt: CancellationToken) {
    let mut watch = Watch::default();
    while !halt.is_cancelled() {
        let status = context.host.status().await;
        for change in watch.look(&status, context.clock.now()) {
            tell(&context.log, &change);
        }
        tokio::select! {
            () = halt.cancelled() => {}
            () = tokio::time::sleep(PAUSE) => {}
        }
    }
}

fn tell(log: &slog::Logger, change: &Change) {
    let message = match (change.before, change.now) {
        (_, Following::Silent) => "a follower is silent",
        (Following::Silent, _) => "a follower is heard again",
        (_, Following::Behind) => "a follower has fallen behind",
        (_, Following::Near) => "a follower has caught up",
    };
    let silent = u64::try_from(change.lag.silent.as_millis()).unwrap_or(u64::MAX);
    slog::info!(log, "{}", message; "group" => change.group.0,
        "kind" => group_name(change.group), "follower" => change.lag.vm.0,
        "entries" => change.lag.entries, "bytes" => change.lag.bytes, "silent_ms" => silent,
        "snapshot" => change.lag.snapshot);
}
