//! Which store is believed to lead a group, and whom to ask when it is not known.

use std::net::SocketAddr;
use std::time::Instant;

use gypsumglade_core::prelude::*;

use crate::directory::Directory;

/// Time for which a store that did not answer is asked only if all others are silent too: the
/// followers of one that fell silent name it for about as long. A leader that is only slow is asked
/// again after it.
const AVOIDED: Duration = Duration::from_millis(700);

/// A believed leader, corrected by redirects and losses.
///
/// A store that is suspended keeps its connections and answers nothing. Followers name it until they
/// have elected another, and each question to it costs its whole timeout: entry VMs that went there
/// three times took work under an old bundle for 3 s after it had been replaced.
#[derive(Clone, Debug, Default)]
pub struct LeaderHint {
    leader: Option<VmId>,
    turn: usize,
    silent: Vec<(VmId, Instant)>,
}

impl LeaderHint {
    /// Starts without a leader; the first store asked is the one at `turn` of the list, so that
    /// many processes don't all start at the same one.
    pub fn starting_at(turn: usize) -> LeaderHint {
        LeaderHint { turn, ..LeaderHint::default() }
    }

    /// Notes that a store answered as the leader.
    pub fn confirm(&mut self, vm: VmId) {
        self.leader = Some(vm);
        self.silent.retain(|(silent, _)| *silent != vm);
    }

    /// Follows a redirect of `from`; one that names nobody, or points back, moves on to the next
    /// store.
    pub fn redirect(&mut self, from: Option<VmId>, leader: Option<VmId>) {
        self.leader = leader.filter(|leader| leader.0 != 0 && Some(*leader) != from);
        self.turn += 1;
    }

    /// Moves on to the next store, since the one asked could not tell.
    pub fn forget(&mut self) {
        self.leader = None;
        self.turn += 1;
    }

    /// Moves on to the next store after one did not answer.
    pub fn lost(&mut self, vm: VmId, now: Instant) {
        self.forget();
        self.silent.retain(|(silent, at)| *silent != vm && now.duration_since(*at) < AVOIDED);
        self.silent.push((vm, now));
    }

    /// Returns whom to ask now.
    pub fn target(&self, directory: &Directory, now: Instant) -> Option<(VmId, SocketAddr)> {
        let stores = directory.stores();
        let answers = |vm: &VmId| {
            let silent = self.silent.iter().find(|(silent, _)| silent == vm);
            silent.is_none_or(|(_, at)| now.duration_since(*at) >= AVOIDED)
        };
        let known = self.leader.filter(answers);
        if let Some(found) = known.and_then(|vm| Some((vm, *stores.get(&vm)?))) {
            return Some(found);
        }
        let mut open: Vec<_> = stores.iter().filter(|(vm, _)| answers(vm)).collect();
        if open.is_empty() {
            open = stores.iter().collect();
        }
        let (vm, address) = open.get(self.turn % open.len().max(1))?;
        Some((**vm, **address))
    }
}
