//! Discovers the other processes of a deployment, starting from a few seed addresses.
//!
//! Each process sends a hello to some stores twice a second and receives the list of all stores.
//! Nothing durable depends on the list: a wrong or stale entry costs a failed connection. See
//! docs/design/provider.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::repair::StoreInfo;
use gypsumglade_core::roster::{Roster, digest, seed_hellos};
use gypsumglade_core::wire::discovery::{Hello, Led, Node, Nodes, Role};
use rand::seq::IteratorRandom as _;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::directory::Directory;
use crate::rpc::{Method, PeerClients};
use crate::settings::{DiscoverySettings, Settings};

/// Pause between two rounds of hellos.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// First pause between two rounds while no other store is known; each further one is longer, up to
/// [`MAX_BOOTSTRAP_INTERVAL`]. All processes of a deployment may start at once.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(150);
/// Longest pause between two rounds while no other store is known.
const MAX_BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of stores up to which every process sends hellos at [`HELLO_INTERVAL`]. Processes that
/// aren't stores send fewer in a larger deployment, so that a store receives a bounded number.
const FULL_RATE_STORES: usize = 32;
/// Number of stores up to which the last hello of each is known everywhere within a few rounds.
const NEAR_STORES: usize = 24;
/// Timeout of a hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(800);
/// Known stores that receive a hello in each round.
///
/// News reaches all stores in a logarithmic number of rounds, at a constant cost per round.
const FANOUT: usize = 2;

/// Age up to which a report by a group's leader is used.
const LEADER_REPORT_MAX_AGE: Duration = Duration::from_secs(5);

/// The local process, as it presents itself to others.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    /// Identity of the process.
    pub vm: VmId,
    /// Kind of the process.
    pub role: Role,
    /// Address of its listener for calls between processes.
    pub address: SocketAddr,
}

/// The list of stores that this process received last, and its digest.
#[derive(Clone, Debug, Default)]
struct KnownStores {
    digest: u64,
    stores: Vec<VmId>,
}

/// Exchanges hellos with other processes and keeps the roster of those heard of.
pub struct Discovery {
    own: Node,
    seeds: RwLock<Vec<SocketAddr>>,
    roster: Mutex<Roster>,
    known: Mutex<KnownStores>,
    /// Sequence number of the latest hello.
    sequence: AtomicU64,
    /// Reports on the groups that this process leads.
    led: Mutex<Vec<Led>>,
    /// Whether this process's disk has been full for a while.
    full: AtomicBool,
    /// Retiring stores according to the last answer to a hello.
    retiring: Mutex<Vec<u32>>,
    directory: Arc<Directory>,
    peers: PeerClients,
    clock: Clock,
}

impl Discovery {
    /// Sets up discovery. Returns `None` if the settings have no `discovery` section.
    pub fn new(
        settings: &Settings,
        process: Process,
        directory: Arc<Directory>,
        peers: PeerClients,
        clock: Clock,
    ) -> Option<Arc<Discovery>> {
        let options = settings.discovery.as_ref()?;
        let node = Node {
            vm: process.vm.0,
            name: options.name.to_string(),
            domain: settings.vm.domain.to_string(),
            region: settings.vm.region.to_string(),
            peers: process.address.to_string(),
            role: process.role.into(),
            age_ms: 0,
            sequence: 0,
            led: Vec::new(),
            full: false,
        };
        let seeds = RwLock::new(options.peers(process.address.port()));
        let (roster, known) = (Mutex::default(), Mutex::default());
        let sequence = AtomicU64::new(0);
        let led = Mutex::default();
        let discovery = Discovery {
            own: node,
            seeds,
            roster,
            known,
            sequence,
            led,
            full: AtomicBool::new(false),
            retiring: Mutex::default(),
            directory,
            peers,
            clock,
        };
        discovery.observe(Vec::new());
        Some(Arc::new(discovery))
    }

    /// Adds the sender of a hello to the roster, and returns the list of stores if it differs from
    /// the sender's.
    pub fn handle_hello(&self, hello: Hello) -> Nodes {
        // Other processes change nothing here, and are the most.
        if let Some(node) = hello.node.filter(|node| node.role() == Role::Store) {
            self.observe(vec![node]);
        }
        self.roster().nodes(self.clock.now(), hello.known)
    }

    /// Returns the roster of processes that were heard of recently.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().expect("no panic while held")
    }

    /// Returns the current time of the roster's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Sets the reports on led groups that the next hellos carry.
    pub fn set_led(&self, led: Vec<Led>) {
        *self.led.lock().expect("no panic while held") = led;
    }

    /// Sets whether the next hellos report a full disk.
    pub fn set_full(&self, full: bool) {
        self.full.store(full, Ordering::Relaxed);
    }

    /// Returns the stores that were heard of within `age` and can store further data.
    pub fn recent_stores(&self, age: Duration) -> Vec<StoreInfo> {
        let now = self.now();
        let retiring = self.retiring();
        let roster = self.roster();
        let recent = roster.stores().filter(|(node, at)| now.since(*at) < age && !node.full);
        let recent = recent.map(|(node, _)| StoreInfo {
            vm: VmId(node.vm),
            domain: node.domain.to_compact_string(),
            region: node.region.to_compact_string(),
            retiring: retiring.contains(&VmId(node.vm)),
        });
        recent.collect()
    }

    /// Returns the retiring stores that this process has been told of.
    ///
    /// The control group decides which stores retire; other processes learn it from hellos of its
    /// leader.
    pub fn retiring(&self) -> BTreeSet<VmId> {
        let own = self.retiring.lock().expect("no panic while held").clone();
        let led = self.roster().led_groups(self.now(), LEADER_REPORT_MAX_AGE);
        let led = led.into_iter().flat_map(|led| led.retiring);
        own.into_iter().chain(led).map(VmId).collect()
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, settings: &DiscoverySettings) {
        let Ok(own) = self.own.peers.parse::<SocketAddr>() else { return };
        *self.seeds.write().expect("no panic while held") = settings.peers(own.port());
    }

    /// Returns the time that the last hello of a store takes to be known to all other stores, in
    /// addition to the few rounds of a small deployment.
    ///
    /// The number of stores that know of it grows by a constant factor in each round.
    pub fn spread_time(&self) -> Duration {
        let others = self.roster().stores().count().saturating_sub(1);
        HELLO_INTERVAL * (others / NEAR_STORES).checked_ilog2().map_or(0, |rounds| rounds + 1)
    }

    /// Sends hellos until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let mut alone_pause = BOOTSTRAP_INTERVAL;
        for round in 0.. {
            if stop.is_cancelled() {
                return;
            }
            self.observe(Vec::new());
            for address in self.targets(round) {
                // A round must not wait for a process that doesn't answer.
                let discovery = Arc::clone(&self);
                tokio::spawn(async move { discovery.send_hello(address).await });
            }
            let alone = self.directory.stores().keys().all(|vm| vm.0 == self.own.vm);
            let pause = if alone { alone_pause } else { self.hello_interval() };
            if alone {
                alone_pause = (alone_pause * 2).min(MAX_BOOTSTRAP_INTERVAL);
            }
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(pause.mul_f64(rand::random_range(0.9..1.1))) => {}
            }
        }
    }

    fn hello_interval(&self) -> Duration {
        match self.own.role() {
            Role::Store => HELLO_INTERVAL,
            Role::Entry => {
                let stores = self.directory.stores().len().max(FULL_RATE_STORES);
                HELLO_INTERVAL.mul_f64(stores as f64 / FULL_RATE_STORES as f64)
            }
        }
    }

    /// Returns the addresses for a round of hellos: some known stores, and now and then some seeds.
    fn targets(&self, round: u32) -> Vec<SocketAddr> {
        let own = self.own.peers.parse().ok();
        let stores = self.directory.stores();
        let known = stores.into_values().filter(|address| Some(*address) != own);
        let mut targets = known.sample(&mut rand::rng(), FANOUT);
        let seeds = self.seeds.read().expect("no panic while held").clone();
        let tried = seed_hellos(self.own.role(), targets.is_empty(), round, seeds.len());
        let seeds = seeds.into_iter().filter(|address| Some(*address) != own);
        for seed in seeds.sample(&mut rand::rng(), tried) {
            if !targets.contains(&seed) {
                targets.push(seed);
            }
        }
        targets
    }

    async fn send_hello(&self, address: SocketAddr) {
        let known = self.known_stores();
        let hello = Hello { node: Some(self.own_node()), known: known.digest };
        let request = self.peers.ask::<Hello, Nodes>(address, Method::Hello, &hello, HELLO_TIMEOUT);
        // A later round tries again.
        let Ok(nodes) = request.await else { return };
        self.retiring.lock().expect("no panic while held").clone_from(&nodes.retiring);
        if nodes.same {
            return self.roster().confirm(self.clock.now(), &known.stores);
        }
        self.record_known(&nodes.nodes);
        self.observe(nodes.nodes);
    }

    /// Returns the last received list of stores if the roster still has all of them.
    ///
    /// Stores always request the whole list, since repair depends on when each store was last heard
    /// of.
    fn known_stores(&self) -> KnownStores {
        if self.own.role() == Role::Store {
            return KnownStores::default();
        }
        let known = self.known.lock().expect("no panic while held").clone();
        if self.roster().contains_all(&known.stores) { known } else { KnownStores::default() }
    }

    fn record_known(&self, nodes: &[Node]) {
        let stores = nodes.iter().map(|node| VmId(node.vm)).collect();
        let known = KnownStores { digest: digest(nodes), stores };
        *self.known.lock().expect("no panic while held") = known;
    }

    /// Returns the description of this process that its next hello carries.
    ///
    /// Sequence numbers follow the wall clock, so that they increase across restarts. Within one
    /// run they don't decrease if the clock is set back; after a restart, others ignore the process
    /// until the clock has caught up.
    fn own_node(&self) -> Node {
        let wall = Clock::wall_millis();
        let before = self.sequence.fetch_max(wall, Ordering::Relaxed);
        let led = self.led.lock().expect("no panic while held").clone();
        let full = self.full.load(Ordering::Relaxed);
        Node { sequence: before.max(wall), led, full, ..self.own.clone() }
    }

    fn observe(&self, nodes: Vec<Node>) {
        let now = self.clock.now();
        let mut roster = self.roster();
        for node in nodes.into_iter().filter(|node| node.vm != self.own.vm) {
            roster.observe(now, node);
        }
        roster.observe(now, self.own_node());
        roster.expire(now);
        let stores = roster.stores().filter_map(|(node, _)| {
            let address = node.peers.parse().ok()?;
            Some((VmId(node.vm), address))
        });
        self.directory.set_stores(stores.collect());
        let reports = [GroupId::CONTROL, GroupId::TURNS].into_iter().filter_map(|group| {
            Some((group, roster.group_report(now, LEADER_REPORT_MAX_AGE, group)?))
        });
        self.directory.set_group_reports(reports.collect());
    }
}

/// Returns the identity of a seed at the first start of a deployment.
///
/// It is derived from the address, so all seeds agree on the initial members of each group without
/// communication. Any later process at the same address draws a random identity: a store with a
/// wiped disk must not vote under an identity that has already voted.
pub fn seed_identity(address: SocketAddr) -> VmId {
    let hash = xxh3_64(address.to_string().as_bytes());
    VmId(((hash >> 32) as u32).max(1))
}

/// Draws a random identity for a new process.
pub fn random_identity() -> VmId {
    VmId(rand::random_range(1..=u32::MAX))
}
