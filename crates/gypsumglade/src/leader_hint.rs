//! Which store is believed to lead a group, and whom to ask when it is not known.

use std::net::SocketAddr;

use gypsumglade_core::prelude::*;

use crate::directory::Directory;

/// A believed leader, corrected by redirects and losses.
#[derive(Clone, Debug, Default)]
pub struct LeaderHint {
    leader: Option<VmId>,
    turn: usize,
}

impl LeaderHint {
    /// Starts without a leader; the first store asked is the one at `turn` of the list, so that
    /// many processes don't all start at the same one.
    pub fn starting_at(turn: usize) -> LeaderHint {
        LeaderHint { leader: None, turn }
    }

    /// Notes that a store answered as the leader.
    pub fn confirm(&mut self, vm: VmId) {
        self.leader = Some(vm);
    }

    /// Follows a redirect of `from`; one that names nobody, or points back, moves on to the next
    /// store.
    pub fn redirect(&mut self, from: Option<VmId>, leader: Option<VmId>) {
        self.leader = leader.filter(|leader| leader.0 != 0 && Some(*leader) != from);
        self.turn += 1;
    }

    /// Moves on to the next store after one did not answer.
    pub fn forget(&mut self) {
        self.leader = None;
        self.turn += 1;
    }

    /// Returns whom to ask now.
    pub fn target(&self, directory: &Directory) -> Option<(VmId, SocketAddr)> {
        let stores = directory.stores();
        let known = self.leader.and_then(|vm| Some((vm, *stores.get(&vm)?)));
        let next = || stores.iter().nth(self.turn % stores.len().max(1));
        known.or_else(|| next().map(|(vm, address)| (*vm, *address)))
    }
}
