//! What all groups of a store process share.

use std::collections::BTreeSet;
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

/// Longest wait for an entry VM to pass on a release, or a store a score.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Shared by the groups of one store process.
pub struct StoreContext {
    /// This VM.
    pub vm: VmId,
    /// The process's clock.
    pub clock: Clock,
    /// Its replicas.
    pub host: Host,
    /// Where the other VMs are.
    pub directory: Arc<Directory>,
    /// Calls to the other VMs.
    pub peers: PeerClients,
    /// Bounds of the program groups.
    pub program_settings: program::Settings,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Batches on their way to the other stores.
    pub queues: Queues,
    /// Log of the process.
    pub log: slog::Logger,
    pub(super) groups: RwLock<Vec<ProgramGroup>>,
    /// Entry VMs that are down by now, for a replica that begins to lead.
    pub(super) dead: Mutex<BTreeSet<VmId>>,
    /// Groups of which a snapshot is on its way to the disk.
    pub(super) snapshotting: Mutex<BTreeSet<GroupId>>,
}

/// What became of an order to free an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseAnswer {
    /// The engine holds nothing of the program any more.
    Freed,
    /// The engine is gone for good, and its memory with it.
    Gone,
    /// Not known; it is ordered again.
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
    /// Has some entry VM free an engine's memory of an ended program.
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

    /// Has an entry VM cancel a dispatch of a program that ended.
    pub fn cancel(&self, dispatch: CompactString, vm: VmId) {
        let Some(address) = self.directory.entry(vm) else { return };
        let peers = self.peers.clone();
        tokio::spawn(async move {
            let mut parameters = ArrayParams::new();
            if parameters.insert(dispatch).is_ok() {
                // The dispatch's own limits end it if this order is lost.
                let _ = peers.call(address, Method::Cancel, parameters, PEER_TIMEOUT).await;
            }
        });
    }

    /// Tells every group of every store what is known of a request that crashes endpoints.
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
                    // A store that misses it learns the score with the next death.
                    let call = context.peers.call(address, Method::Score, parameters, PEER_TIMEOUT);
                    let _ = call.await;
                }
            }
        });
    }

    /// Feeds a score to this store's groups; each leader makes it durable in its own.
    pub async fn record_score(&self, score: Score) {
        self.feed_all(|| GroupInput::Scores(vec![score.clone()])).await;
    }

    /// Feeds every program group of this store.
    pub async fn feed_all(&self, input: impl Fn() -> GroupInput) {
        let groups = self.groups.read().expect("no panic while held").clone();
        for group in groups {
            group.feed(input()).await;
        }
    }

    /// Returns the entry VMs that are down by now.
    pub fn dead(&self) -> Vec<VmId> {
        self.dead.lock().expect("no panic while held").iter().copied().collect()
    }

    pub(super) fn set_dead(&self, dead: BTreeSet<VmId>) {
        *self.dead.lock().expect("no panic while held") = dead;
    }

    /// Notes that a group takes a snapshot, and tells whether it should. While one is on its way to the
    /// disk, a second would only take memory.
    pub(super) fn begin_snapshot(&self, group: GroupId) -> bool {
        self.snapshotting.lock().expect("no panic while held").insert(group)
    }

    /// Has a snapshot written that [`StoreContext::begin_snapshot`] allowed, and doesn't wait for it:
    /// commits must not wait for a disk that is slow.
    pub(super) fn write_snapshot(self: &Arc<Self>, group: GroupId, index: LogIndex, data: Bytes) {
        let context = Arc::clone(self);
        tokio::spawn(async move {
            context.host.snapshot(group, index, data).await;
            context.snapshotting.lock().expect("no panic while held").remove(&group);
        });
    }

    /// Returns a program group by its number.
    pub fn group(&self, group: GroupId) -> Option<ProgramGroup> {
        let index = group.0.checked_sub(1)? as usize;
        self.groups.read().expect("no panic while held").get(index).cloned()
    }
}
