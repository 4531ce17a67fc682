//! Choice of the process to ask for news of the control group.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use gypsumglade_core::prelude::*;
use gypsumglade_core::relays::{Source, entry_sources, store_sources};
use gypsumglade_core::wire::discovery::Role;

use crate::directory::Directory;
use crate::discovery::Discovery;
use crate::leader_hint::LeaderHint;

/// Time since a store was last heard of up to which it is asked.
const STALE_AFTER: Duration = Duration::from_secs(5);
/// Time after which the preferred source is tried again, so that the processes of a failed one don't
/// stay with the others.
const RETURN_AFTER: Duration = Duration::from_secs(10);

/// A process to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Whether it is asked as the leader or as a relay.
    pub source: Source,
    /// Identity of the store.
    pub vm: VmId,
    /// Address of its listener for calls between processes.
    pub address: SocketAddr,
}

/// The sources of one process, and which of them has answered.
pub struct Sources {
    me: VmId,
    role: Role,
    domain: CompactString,
    directory: Arc<Directory>,
    discovery: Option<Arc<Discovery>>,
    leader: LeaderHint,
    /// Position in the list of sources.
    position: usize,
    moved: Instant,
}

impl Sources {
    /// Creates the sources of the process `me` in a failure domain.
    pub fn new(
        me: VmId,
        role: Role,
        domain: &str,
        directory: Arc<Directory>,
        discovery: Option<Arc<Discovery>>,
    ) -> Sources {
        let leader = LeaderHint::starting_at(GroupId::CONTROL, rand::random_range(0..16));
        let domain = domain.to_compact_string();
        Sources {
            me,
            role,
            domain,
            directory,
            discovery,
            leader,
            position: 0,
            moved: Instant::now(),
        }
    }

    /// Returns whether this process is a store or an entry VM.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the process to ask next, or `None` if no store is known.
    pub fn target(&self) -> Option<Target> {
        let sources = self.list();
        let source = *sources.get(self.position % sources.len().max(1))?;
        let (vm, address) = match source {
            Source::Leader => self.leader.target(&self.directory, Instant::now())?,
            Source::Relay(vm) => (vm, self.directory.store(vm)?),
        };
        Some(Target { source, vm, address })
    }

    /// Returns the time since the current source was first asked.
    pub fn waited(&self) -> Duration {
        self.moved.elapsed()
    }

    /// Records that a process has answered.
    pub fn confirm(&mut self, target: &Target) {
        match target.source {
            Source::Leader => self.leader.confirm(target.vm),
            Source::Relay(_) => {}
        }
        if self.position > 0 && self.moved.elapsed() > RETURN_AFTER {
            self.move_to(0);
        }
    }

    /// Records that a process can't answer just now, and the leader that it named.
    pub fn redirect(&mut self, target: &Target, leader: Option<VmId>) {
        match target.source {
            Source::Leader => self.leader.redirect(Some(target.vm), leader),
            Source::Relay(_) => {}
        }
        self.move_to(self.position + 1);
    }

    /// Records that a process did not answer.
    pub fn unresponsive(&mut self, target: &Target) {
        match target.source {
            Source::Leader => self.leader.mark_unresponsive(target.vm, Instant::now()),
            Source::Relay(_) => {}
        }
        self.move_to(self.position + 1);
    }

    /// Moves on to the next source, since the current one isn't reachable.
    pub fn skip(&mut self) {
        self.move_to(self.position + 1);
    }

    fn move_to(&mut self, position: usize) {
        self.position = position;
        self.moved = Instant::now();
    }

    fn list(&self) -> Vec<Source> {
        let Some(discovery) = &self.discovery else { return vec![Source::Leader] };
        let stores = discovery.recent_stores(STALE_AFTER);
        match self.role {
            Role::Store => store_sources(self.me, &self.domain, &stores),
            Role::Entry => entry_sources(self.me, &self.domain, &stores),
        }
    }
}
