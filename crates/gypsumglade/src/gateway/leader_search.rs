//! Looks for the turn group's leader, once for all who wait for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::{KeptQuery, KeptReply};
use rand::seq::SliceRandom as _;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::rpc::{Method, PeerClients};

/// Longest wait for one store's word on who leads: it costs a round of heartbeats at most.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two stores at the start of a search, before each has been asked once.
const FIRST_ROUND_INTERVAL: Duration = Duration::from_millis(30);
/// The same later: all entry VMs search at one time, and the stores have an election to hold.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a store that others name is not asked again: followers of one that fell silent
/// go on naming it.
const REPEAT_AFTER: Duration = Duration::from_millis(200);
/// Longest search; whoever still waits starts another.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(10);

/// A shared search; clones share what they learn.
#[derive(Clone)]
pub(super) struct LeaderSearch {
    shared: Arc<Shared>,
}

struct Shared {
    directory: Arc<Directory>,
    peers: PeerClients,
    leader: watch::Sender<Option<VmId>>,
    /// Whom a redirect named last.
    redirect: Mutex<Option<VmId>>,
    searching: AtomicBool,
}

impl LeaderSearch {
    /// Creates a search that knows no leader yet.
    pub(super) fn new(directory: Arc<Directory>, peers: PeerClients) -> LeaderSearch {
        let (leader, _) = watch::channel(None);
        let (redirect, searching) = (Mutex::default(), AtomicBool::new(false));
        LeaderSearch { shared: Arc::new(Shared { directory, peers, leader, redirect, searching }) }
    }

    /// Returns who leads, now and later.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<VmId>> {
        self.shared.leader.subscribe()
    }

    /// Notes that a store doesn't lead after all, and whom it named instead.
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

    /// Starts a search unless one is under way; `found` is called once it has found who leads.
    pub(super) fn start(&self, found: impl FnOnce() + Send + 'static) {
        if self.shared.searching.swap(true, Ordering::AcqRel) {
            return;
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let leader = tokio::time::timeout(SEARCH_TIMEOUT, shared.search()).await;
            shared.searching.store(false, Ordering::Release);
            if leader.is_ok() {
                found();
            }
            // Sent even if it is the same: those who wait for a change must not wait on if they
            // found the search under way and it then ended.
            shared.leader.send_modify(|known| *known = leader.ok().or(*known));
        });
    }
}

impl Shared {
    /// Asks one store after another until one says that it leads.
    async fn search(&self) -> VmId {
        let mut in_flight = JoinSet::new();
        let mut asked: BTreeMap<VmId, Instant> = BTreeMap::new();
        let mut next = Instant::now();
        // The store that led is asked first: most often it still does, and is only slow.
        let mut queue: Vec<VmId> = self.leader.borrow().iter().copied().collect();
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
                        queue = stores.keys().copied().collect();
                        queue.shuffle(&mut rand::rng());
                    }
                    if let Some(vm) = queue.pop() {
                        self.ask(vm, &mut in_flight, &mut asked);
                    }
                    let first = asked.len() < stores.len();
                    let interval = if first { FIRST_ROUND_INTERVAL } else { ASK_INTERVAL };
                    next = Instant::now() + interval.mul_f64(rand::random_range(0.7..1.3));
                }
            }
        }
    }

    /// Asks a store that another one named.
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
    let reply = peers.ask(address, Method::KeptTurns, &query, ASK_TIMEOUT).await;
    (vm, reply.ok())
}
