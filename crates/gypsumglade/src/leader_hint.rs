//! Choice of the store to send a request for a group's leader to.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use gypsumglade_core::prelude::*;

use crate::directory::Directory;

/// Time for which a store that did not answer is called only if no other store is responsive.
///
/// Followers go on naming an unresponsive leader for about as long, until they elect another one.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(700);

/// One of this many attempts calls a store that isn't a reported member, since all of the reported
/// members may have been replaced.
const OTHER_STORE_PERIOD: usize = 4;

/// The believed leader of a group, corrected by redirects, timeouts and reports.
///
/// Most stores of a large deployment aren't members of the group and know its leader only from its
/// report. Without a known leader, the reported one is called first, and then the other members.
///
/// A suspended store keeps its connections open and answers nothing, while its followers redirect
/// to it until they have elected another leader. Each call to it costs a whole timeout, during
/// which an entry VM may act on a bundle that has been replaced, so unresponsive stores are avoided
/// for a while.
#[derive(Clone, Debug, Default)]
pub struct LeaderHint {
    group: GroupId,
    leader: Option<VmId>,
    next: usize,
    unresponsive: Vec<(VmId, Instant)>,
    /// Stores that have answered that they don't lead, since a leader was last found.
    not_leading: BTreeSet<VmId>,
}

impl LeaderHint {
    /// Creates a hint without a leader for a group.
    pub fn of_group(group: GroupId) -> LeaderHint {
        LeaderHint { group, ..LeaderHint::default() }
    }

    /// Creates a hint like [`LeaderHint::of_group`] that tries the store at index `next` of the
    /// list first.
    ///
    /// Processes that start at different indexes don't all call the same store.
    pub fn starting_at(group: GroupId, next: usize) -> LeaderHint {
        LeaderHint { next, ..LeaderHint::of_group(group) }
    }

    /// Records that a store answered as the leader.
    pub fn confirm(&mut self, vm: VmId) {
        self.leader = Some(vm);
        self.not_leading.clear();
        self.unresponsive.retain(|(other, _)| *other != vm);
    }

    /// Follows a redirect by the store `from`.
    ///
    /// Moves on to the next store if the redirect names no leader or the store itself.
    pub fn redirect(&mut self, from: Option<VmId>, leader: Option<VmId>) {
        self.leader = leader.filter(|leader| leader.0 != 0 && Some(*leader) != from);
        self.not_leading.extend(from);
        self.next += 1;
    }

    /// Clears the leader and moves on to the next store.
    pub fn clear(&mut self) {
        self.leader = None;
        self.next += 1;
    }

    /// Records that a store did not answer, and moves on to the next one.
    pub fn mark_unresponsive(&mut self, vm: VmId, now: Instant) {
        self.clear();
        self.unresponsive
            .retain(|(other, at)| *other != vm && now.duration_since(*at) < UNRESPONSIVE_BACKOFF);
        self.unresponsive.push((vm, now));
    }

    /// Returns the store to call next, or `None` if no store is known.
    pub fn target(&self, directory: &Directory, now: Instant) -> Option<(VmId, SocketAddr)> {
        let stores = directory.stores();
        let is_responsive = |vm: &VmId| {
            let found = self.unresponsive.iter().find(|(other, _)| other == vm);
            found.is_none_or(|(_, at)| now.duration_since(*at) >= UNRESPONSIVE_BACKOFF)
        };
        let known = self.leader.filter(is_responsive);
        if let Some(found) = known.and_then(|vm| Some((vm, *stores.get(&vm)?))) {
            return Some(found);
        }
        let report = directory.group_report(self.group);
        let reported = report.as_ref().map(|report| report.leader);
        let reported = reported.filter(|vm| is_responsive(vm) && !self.not_leading.contains(vm));
        if let Some(found) = reported.and_then(|vm| Some((vm, *stores.get(&vm)?))) {
            return Some(found);
        }
        let responsive = stores.iter().filter(|(vm, _)| is_responsive(vm));
        let members = report.map(|report| report.members).unwrap_or_default();
        let (members, others): (Vec<_>, Vec<_>) =
            responsive.partition(|(vm, _)| members.contains(vm));
        let rounds = self.next / OTHER_STORE_PERIOD;
        let (candidates, index) = match self.next % OTHER_STORE_PERIOD {
            0 if !others.is_empty() => (others, rounds),
            _ if !members.is_empty() => (members, self.next - rounds),
            _ if !others.is_empty() => (others, self.next),
            _ => (stores.iter().collect(), self.next),
        };
        let (vm, address) = candidates.get(index % candidates.len().max(1))?;
        Some((**vm, **address))
    }
}
