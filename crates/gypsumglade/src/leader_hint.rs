//! Which store is believed to lead a group, and whom to ask when it is not known.

use std::net::SocketAddr;
use std::time::Instant;

use gypsumglade_core::prelude::*;

use crate::directory::Directory;

/// Time for which a store that did not answer is asked only if all others are silent too: the
/// followers of one that fell silent name it for about as long. A leader that is only slow is asked
/// again after it.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(700);

/// A believed leader, corrected by redirects and losses.
///
/// A store that is suspended keeps its connections and answers nothing. Followers name it until they
/// have elected another, and each question to it costs its whole timeout: entry VMs that went there
/// three times took work under an old bundle for 3 s after it had been replaced.
#[derive(Clone, Debug, Default)]
pub struct LeaderHint {
    leader: Option<VmId>,
    next: usize,
    unresponsive: Vec<(VmId, Instant)>,
}

impl LeaderHint {
    /// Starts without a leader; the first store asked is the one at `turn` of the list, so that
    /// many processes don't all start at the same one.
    pub fn starting_at(next: usize) -> LeaderHint {
        LeaderHint { next, ..LeaderHint::default() }
    }

    /// Notes that a store answered as the leader.
    pub fn confirm(&mut self, vm: VmId) {
        self.leader = Some(vm);
        self.unresponsive.retain(|(other, _)| *other != vm);
    }

    /// Follows a redirect of `from`; one that names nobody, or points back, moves on to the next
    /// store.
    pub fn redirect(&mut self, from: Option<VmId>, leader: Option<VmId>) {
        self.leader = leader.filter(|leader| leader.0 != 0 && Some(*leader) != from);
        self.next += 1;
    }

    /// Moves on to the next store, since the one asked could not tell.
    pub fn clear(&mut self) {
        self.leader = None;
        self.next += 1;
    }

    /// Moves on to the next store after one did not answer.
    pub fn mark_unresponsive(&mut self, vm: VmId, now: Instant) {
        self.clear();
        self.unresponsive
            .retain(|(other, at)| *other != vm && now.duration_since(*at) < UNRESPONSIVE_BACKOFF);
        self.unresponsive.push((vm, now));
    }

    /// Returns whom to ask now.
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
