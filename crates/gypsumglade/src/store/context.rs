//! State that all groups of a store process share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, RwLock};

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program;
use gypsumglade_core::replication::LogIndex;
use gypsumglade_core::wire::program::{Release, Score};
use jsonrpsee::core::params::ArrayParams;
use rand::seq::IteratorRandom as _;

use super::outbound::Queues;
use super::program_group::{GroupInput, ProgramGroup};
use crate::clock::Clock;
use crate::directory::Directory;
use crate::metrics::Metrics;
use crate::replica::Host;
use crate::rpc::{Method, PeerClients, encode};

/// Timeout of calls to entry VMs and other stores.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Shared by the groups of one store process.
pub struct StoreContext {
    /// Identity of this VM.
    pub vm: VmId,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Replicas of this store.
    pub host: Host,
    /// Addresses of the other VMs.
    pub directory: Arc<Directory>,
    /// Clients for calls to the other VMs.
    pub peers: PeerClients,
    /// Settings of the program groups.
    pub program_settings: program::Settings,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Replication batches queued for the other stores.
    pub queues: Queues,
    /// Log of the process.
    pub log: slog::Logger,
    pub(super) groups: RwLock<Vec<ProgramGroup>>,
    /// Entry VMs that are down, for replicas that become leader.
    pub(super) dead: Mutex<BTreeSet<VmId>>,
    /// Boot ids of the entry VMs that are up, for replicas that become leader.
    pub(super) boot_ids: Mutex<BTreeMap<VmId, u32>>,
    /// Groups whose snapshot is being written.
    pub(super) snapshotting: Mutex<BTreeSet<GroupId>>,
}

/// Outcome of an order to free an engine's memory of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseAnswer {
    /// The engine has freed the memory.
    Freed,
    /// The engine no longer exists.
    Gone,
    /// The outcome is unknown; the order is repeated.
    Failed,
}

impl ReleaseAnswer {
    /// Returns the answer's name on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            ReleaseAnswer::Freed => "freed",
            ReleaseAnswer::Gone => "gone",
            ReleaseAnswer::Failed => "failed",
        }
    }

    fn from_name(name: &str) -> ReleaseAnswer {
        match name {
            "freed" => ReleaseAnswer::Freed,
            "gone" => ReleaseAnswer::Gone,
            _ => ReleaseAnswer::Failed,
        }
    }
}

impl StoreContext {
    /// Frees an engine's memory of an ended program through a random entry VM.
    pub async fn release(&self, release: &Release) -> ReleaseAnswer {
        let entries = self.directory.entries();
        let Some(entry) = entries.iter().choose(&mut rand::rng()) else {
            return ReleaseAnswer::Failed;
        };
        let mut parameters = ArrayParams::new();
        if parameters.insert(encode(release)).is_err() {
            return ReleaseAnswer::Failed;
        }
        let called = self.peers.call(entry.peers, Method::Release, parameters, PEER_TIMEOUT).await;
        called.map_or(ReleaseAnswer::Failed, |name| ReleaseAnswer::from_name(&name))
    }

    /// Asks an entry VM to cancel a dispatch of an ended program, without waiting for it.
    pub fn cancel(&self, dispatch: CompactString, vm: VmId) {
        let Some(address) = self.directory.entry(vm) else { return };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            let mut parameters = ArrayParams::new();
            if parameters.insert(dispatch).is_ok() {
                // If the call fails, the dispatch ends at its own time limits.
                let _ = peers.call(address, Method::Cancel, parameters, PEER_TIMEOUT).await;
            }
        });
    }

    /// Sends the crash score of a request to every program group of every store.
    pub fn broadcast_score(self: &Arc<Self>, score: Score) {
        let context = Arc::clone(self);
        tokio::spawn(async move {
            context.record_score(score.clone()).await;
            for (vm, address) in context.directory.stores() {
                if vm == context.vm {
                    continue;
                }
                let mut parameters = ArrayParams::new();
                if parameters.insert(encode(&score)).is_ok() {
                    // A store that misses it gets the score with the next crash.
                    let call = context.peers.call(address, Method::Score, parameters, PEER_TIMEOUT);
                    let _ = call.await;
                }
            }
        });
    }

    /// Feeds a score to this store's program groups, whose leaders replicate it.
    pub async fn record_score(&self, score: Score) {
        self.feed_all(|| GroupInput::Scores(vec![score.clone()])).await;
    }

    /// Feeds an input to every program group of this store.
    pub async fn feed_all(&self, input: impl Fn() -> GroupInput) {
        let groups = self.groups.read().expect("no panic while held").clone();
        for group in groups {
            group.feed(input()).await;
        }
    }

    /// Returns the leader of a group to redirect callers to: the one that this store's replica
    /// knows, or the reported one on a store that has no replica.
    pub fn known_leader(&self, group: GroupId, leader: Option<VmId>) -> Option<VmId> {
        let reported = || self.directory.group_report(group).map(|report| report.leader);
        leader.or_else(reported).filter(|leader| *leader != self.vm)
    }

    /// Returns the entry VMs that are down.
    pub fn dead(&self) -> Vec<VmId> {
        self.dead.lock().expect("no panic while held").iter().copied().collect()
    }

    /// Returns the boot ids of the entry VMs that are up.
    pub fn running(&self) -> BTreeMap<VmId, u32> {
        self.boot_ids.lock().expect("no panic while held").clone()
    }

    pub(super) fn set_running(&self, boot_ids: BTreeMap<VmId, u32>) {
        *self.boot_ids.lock().expect("no panic while held") = boot_ids;
    }

    pub(super) fn set_dead(&self, dead: BTreeSet<VmId>) {
        *self.dead.lock().expect("no panic while held") = dead;
    }

    /// Marks a group's snapshot as begun. Returns `false` if the one before is still being written,
    /// since each snapshot in progress takes memory.
    pub(super) fn begin_snapshot(&self, group: GroupId) -> bool {
        self.snapshotting.lock().expect("no panic while held").insert(group)
    }

    /// Writes a snapshot begun with [`StoreContext::begin_snapshot`] in the background, so that
    /// commits don't wait for a slow disk.
    pub(super) fn write_snapshot(self: &Arc<Self>, group: GroupId, index: LogIndex, data: Bytes) {
        let context = Arc::clone(self);
        tokio::spawn(async move {
            context.host.snapshot(group, index, data).await;
            context.snapshotting.lock().expect("no panic while held").remove(&group);
        });
    }

    /// Returns a program group, or `None` if this store has no such group.
    pub fn group(&self, group: GroupId) -> Option<ProgramGroup> {
        let index = group.0.checked_sub(1)? as usize;
        self.groups.read().expect("no panic while held").get(index).cloned()
    }
}
