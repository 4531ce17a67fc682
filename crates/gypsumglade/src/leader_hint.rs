//! Choice of the store to send a request for a group's leader to.

use std::net::SocketAddr;
use std::time::Instant;

use gypsumglade_core::prelude::*;

use crate::directory::Directory;

/// Time for which a store that did not answer is called only if no other store is responsive.
///
/// Followers go on naming an unresponsive leader for about as long, until they elect another one.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(700);

/// The believed leader of a group, corrected by redirects and timeouts.
///
/// A suspended store keeps its connections open and answers nothing, while its followers redirect
/// to it until they have elected another leader. Each call to it costs a whole timeout, during
/// which an entry VM may act on a bundle that has been replaced, so unresponsive stores are avoided
/// for a while.
#[derive(Clone, Debug, Default)]
pub struct LeaderHint {
    leader: Option<VmId>,
    next: usize,
    unresponsive: Vec<(VmId, Instant)>,
}

impl LeaderHint {
    /// Creates a hint without a leader that tries the store at index `next` of the list first.
    ///
    /// Processes that start at different indexes don't all call the same store.
    pub fn starting_at(next: usize) -> LeaderHint {
        LeaderHint { next, ..LeaderHint::default() }
    }

    /// Records that a store answered as the leader.
    pub fn confirm(&mut self, vm: VmId) {
        self.leader = Some(vm);
        self.unresponsive.retain(|(other, _)| *other != vm);
    }

    /// Follows a redirect by the store `from`.
    ///
    /// Moves on to the next store if the redirect names no leader or the store itself.
    pub fn redirect(&mut self, from: Option<VmId>, leader: Option<VmId>) {
        self.leader = leader.filter(|leader| leader.0 != 0 && Some(*leader) != from);
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
        let mut candidates: Vec<_> = stores.iter().filter(|(vm, _)| is_responsive(vm)).collect();
        if candidates.is_empty() {
            candidates = stores.iter().collect();
        }
        let (vm, address) = candidates.get(self.next % candidates.len().max(1))?;
        Some((**vm, **address))
    }
}
