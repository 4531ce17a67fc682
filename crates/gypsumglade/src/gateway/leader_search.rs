//! Search for the leader of the turn group, shared by all tasks that wait for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::{KeptQuery, KeptReply};
use rand::seq::{IteratorRandom as _, SliceRandom as _};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::rpc::{Method, PeerClients};

/// Time limit for one store's answer, which costs a round of heartbeats at most.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean delay between requests until each reported member of the group has been asked once, or every
/// store of a deployment that has few.
const FIRST_ROUND_INTERVAL: Duration = Duration::from_millis(30);
/// Mean delay between later requests; longer, since all entry VMs search during an election.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of stores that are asked at [`FIRST_ROUND_INTERVAL`] while no member is reported.
const FIRST_ROUND_STORES: usize = 16;
/// How soon a store that others name as the leader may be asked again. Followers of a failed leader
/// keep naming it for a while.
const REPEAT_AFTER: Duration = Duration::from_millis(200);
/// Time limit of a search; tasks that still need a leader start another one.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Finds the leader by asking the stores. Clones share their state.
#[derive(Clone)]
pub(super) struct LeaderSearch {
    shared: Arc<Shared>,
}

struct Shared {
    directory: Arc<Directory>,
    peers: PeerClients,
    leader: watch::Sender<Option<VmId>>,
    /// Leader named by the latest redirect, if it has not been asked yet.
    redirect: Mutex<Option<VmId>>,
    searching: AtomicBool,
}

impl LeaderSearch {
    /// Creates an idle search with no known leader.
    pub(super) fn new(directory: Arc<Directory>, peers: PeerClients) -> LeaderSearch {
        let (leader, _) = watch::channel(None);
        let (redirect, searching) = (Mutex::default(), AtomicBool::new(false));
        LeaderSearch { shared: Arc::new(Shared { directory, peers, leader, redirect, searching }) }
    }

    /// Returns a receiver of the known leader.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<VmId>> {
        self.shared.leader.subscribe()
    }

    /// Records that `vm` does not lead, and the leader that it named, if any.
    pub(super) fn leader_lost(&self, vm: VmId, redirect: Option<VmId>) {
        let redirect = redirect.filter(|redirect| redirect.0 != 0 && *redirect != vm);
        *self.shared.redirect.lock().expect("no panic while held") = redirect;
        self.shared.leader.send_if_modified(|leader| {
            let held = *leader == Some(vm);
            if held {
                *leader = None;
            }
            held
        });
    }

    /// Starts a search unless one is running. Calls `found` once a leader is found. Returns whether a
    /// search was started.
    pub(super) fn start(&self, found: impl FnOnce() + Send + 'static) -> bool {
        if self.shared.searching.swap(true, Ordering::AcqRel) {
            return false;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let leader = tokio::time::timeout(SEARCH_TIMEOUT, shared.search()).await;
            shared.searching.store(false, Ordering::Release);
            if leader.is_ok() {
                found();
            }
            // Notifies receivers even if the value is the same: a task that could not start a search of its
            // own waits for this one to end.
            shared.leader.send_modify(|known| *known = leader.ok().or(*known));
        });
        true
    }
}

impl Shared {
    /// Asks the stores one after another until one answers that it leads.
    async fn search(&self) -> VmId {
        let mut in_flight = JoinSet::new();
        let mut asked: BTreeMap<VmId, Instant> = BTreeMap::new();
        let mut next = Instant::now();
        // Start with the last known leader, which is most likely just slow.
        let mut queue: Vec<VmId> = self.leader.borrow().iter().copied().collect();
        let mut members_first = true;
        loop {
            tokio::select! {
                Some(answer) = in_flight.join_next(), if !in_flight.is_empty() => {
                    let Ok((vm, Some(KeptReply { leads, leader, .. }))) = answer else { continue };
                    if leads {
                        return vm;
                    }
                    self.follow_redirect(VmId(leader), &mut in_flight, &mut asked);
                }
                () = tokio::time::sleep_until(next) => {
                    let redirect = self.redirect.lock().expect("no panic while held").take();
                    if let Some(vm) = redirect {
                        self.follow_redirect(vm, &mut in_flight, &mut asked);
                    }
                    let stores = self.directory.stores();
                    if queue.is_empty() {
                        queue = self.candidates(&stores, members_first);
                        members_first = !members_first;
                    }
                    if let Some(vm) = queue.pop() {
                        self.ask(vm, &mut in_flight, &mut asked);
                    }
                    let first = asked.len() < stores.len().min(FIRST_ROUND_STORES);
                    let interval = if first { FIRST_ROUND_INTERVAL } else { ASK_INTERVAL };
                    next = Instant::now() + interval.mul_f64(rand::random_range(0.7..1.3));
                }
            }
        }
    }

    /// Returns the stores to ask next, last one first: the reported members, or every other time a
    /// few others, since all reported members may have been replaced.
    fn candidates(&self, stores: &BTreeMap<VmId, SocketAddr>, members_first: bool) -> Vec<VmId> {
        let report = self.directory.group_report(GroupId::TURNS);
        let members = report.map(|report| report.members).unwrap_or_default();
        let mut queue: Vec<VmId> = members;
        queue.retain(|vm| members_first && stores.contains_key(vm));
        if queue.is_empty() {
            queue = stores.keys().copied().sample(&mut rand::rng(), FIRST_ROUND_STORES);
        }
        queue.shuffle(&mut rand::rng());
        queue
    }

    /// Asks a store that was named as the leader, unless it has just been asked.
    fn follow_redirect(
        &self,
        vm: VmId,
        in_flight: &mut JoinSet<(VmId, Option<KeptReply>)>,
        asked: &mut BTreeMap<VmId, Instant>,
    ) {
        if asked.get(&vm).is_none_or(|at| at.elapsed() >= REPEAT_AFTER) {
            self.ask(vm, in_flight, asked);
        }
    }

    fn ask(
        &self,
        vm: VmId,
        in_flight: &mut JoinSet<(VmId, Option<KeptReply>)>,
        asked: &mut BTreeMap<VmId, Instant>,
    ) {
        let Some(address) = self.directory.store(vm) else { return };
        asked.insert(vm, Instant::now());
        in_flight.spawn(ask_one(self.peers.clone(), vm, address));
    }
}

async fn ask_one(peers: PeerClients, vm: VmId, address: SocketAddr) -> (VmId, Option<KeptReply>) {
    let query = KeptQuery { turns: Vec::new() };
    let reply = peers.ask_briefly(address, Method::KeptTurns, &query, ASK_TIMEOUT).await;
    (vm, reply.ok())
}
