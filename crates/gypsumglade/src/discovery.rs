//! Finds the other processes from a few seeds, and keeps finding them as they come and go.
//!
//! Each process introduces itself to some stores twice a second and is told of all stores. Nothing
//! durable depends on what is learnt: a wrong or old entry costs a failed connection. See
//! docs/design/provider.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::repair::StoreInfo;
use gypsumglade_core::roster::{Roster, digest};
use gypsumglade_core::wire::discovery::{Hello, Led, Node, Nodes, Role};
use rand::seq::IteratorRandom as _;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::directory::Directory;
use crate::rpc::{Method, PeerClients};
use crate::settings::{DiscoverySettings, Settings};

/// Pause between two rounds of introductions: a newcomer is known to all within two rounds.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Pause while no store is known yet.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(150);
/// Longest wait for an answer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(800);
/// Known stores that are asked in each round. News spread in a logarithm of rounds, and the cost
/// of a round does not grow with the number of stores.
const FANOUT: usize = 2;

/// Age up to which counts what the leaders of groups told.
const LEADER_REPORT_MAX_AGE: Duration = Duration::from_secs(5);

/// The process that introduces itself.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    /// Its identity.
    pub vm: VmId,
    /// What it runs.
    pub role: Role,
    /// Its listener for calls between processes.
    pub address: SocketAddr,
}

/// The stores that a process was told of last.
#[derive(Clone, Debug, Default)]
struct KnownStores {
    digest: u64,
    stores: Vec<VmId>,
}

/// What a process knows of the others.
pub struct Discovery {
    own: Node,
    seeds: RwLock<Vec<SocketAddr>>,
    roster: Mutex<Roster>,
    known: Mutex<KnownStores>,
    /// Number of the latest introduction.
    sequence: AtomicU64,
    /// Groups that this process leads.
    led: Mutex<Vec<Led>>,
    /// Stores that are to be emptied, as this process was told last.
    retiring: Mutex<Vec<u32>>,
    directory: Arc<Directory>,
    peers: PeerClients,
    clock: Clock,
}

impl Discovery {
    /// Creates the process's own introduction; `None` where the settings list the other VMs.
    pub fn new(
        settings: &Settings,
        process: Process,
        directory: Arc<Directory>,
        peers: PeerClients,
        clock: Clock,
    ) -> Option<Arc<Discovery>> {
        let discovery = settings.discovery.as_ref()?;
        let node = Node {
            vm: process.vm.0,
            name: discovery.name.to_string(),
            domain: settings.vm.domain.to_string(),
            region: settings.vm.region.to_string(),
            peers: process.address.to_string(),
            role: process.role.into(),
            age_ms: 0,
            sequence: 0,
            led: Vec::new(),
        };
        let seeds = RwLock::new(discovery.peers(process.address.port()));
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
            retiring: Mutex::default(),
            directory,
            peers,
            clock,
        };
        discovery.observe(Vec::new());
        Some(Arc::new(discovery))
    }

    /// Takes in a process that introduced itself, and returns the stores to tell it of.
    pub fn handle_hello(&self, hello: Hello) -> Nodes {
        self.observe(hello.node.into_iter().collect());
        self.roster().nodes(self.clock.now(), hello.known)
    }

    /// Returns the stores heard of lately.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().expect("no panic while held")
    }

    /// Returns the time on the roster's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Takes the groups that this process leads, to tell others with its next introductions.
    pub fn set_led(&self, led: Vec<Led>) {
        *self.led.lock().expect("no panic while held") = led;
    }

    /// Returns the stores heard of within `age`.
    pub fn recent_stores(&self, age: Duration) -> Vec<StoreInfo> {
        let now = self.now();
        let retiring = self.retiring();
        let roster = self.roster();
        let recent = roster.stores().filter(|(_, at)| now.since(*at) < age);
        let recent = recent.map(|(node, _)| StoreInfo {
            vm: VmId(node.vm),
            domain: node.domain.to_compact_string(),
            region: node.region.to_compact_string(),
            retiring: retiring.contains(&VmId(node.vm)),
        });
        recent.collect()
    }

    /// Returns the stores that are to be emptied, as far as this process was told.
    ///
    /// Few processes are members of the control group, which knows; the others learn it from its leader's
    /// introductions.
    pub fn retiring(&self) -> BTreeSet<VmId> {
        let own = self.retiring.lock().expect("no panic while held").clone();
        let led = self.roster().led_groups(self.now(), LEADER_REPORT_MAX_AGE);
        let led = led.into_iter().flat_map(|led| led.retiring);
        own.into_iter().chain(led).map(VmId).collect()
    }

    /// Takes other seeds, from settings that changed.
    pub fn set_seeds(&self, settings: &DiscoverySettings) {
        let Ok(own) = self.own.peers.parse::<SocketAddr>() else { return };
        *self.seeds.write().expect("no panic while held") = settings.peers(own.port());
    }

    /// Introduces this process until `stop`.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.observe(Vec::new());
            for address in self.targets() {
                // Each on its own: a round must not wait for a process that is gone.
                let discovery = Arc::clone(&self);
                tokio::spawn(async move { discovery.send_hello(address).await });
            }
            let alone = self.directory.stores().keys().all(|vm| vm.0 == self.own.vm);
            let pause = if alone { BOOTSTRAP_INTERVAL } else { HELLO_INTERVAL };
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Returns whom to introduce this process to: some stores that it knows, and a seed.
    ///
    /// Seeds go on being asked: after a long partition they may be the only way back to processes
    /// that all moved meanwhile. A process that knows nobody asks every seed.
    fn targets(&self) -> Vec<SocketAddr> {
        let own = self.own.peers.parse().ok();
        let stores = self.directory.stores();
        let known = stores.into_values().filter(|address| Some(*address) != own);
        let mut targets = known.sample(&mut rand::rng(), FANOUT);
        let seeds = self.seeds.read().expect("no panic while held").clone();
        let seeds = seeds.into_iter().filter(|address| Some(*address) != own);
        if targets.is_empty() {
            targets.extend(seeds);
        } else if let Some(seed) = seeds.choose(&mut rand::rng())
            && !targets.contains(&seed)
        {
            targets.push(seed);
        }
        targets
    }

    async fn send_hello(&self, address: SocketAddr) {
        let known = self.known_stores();
        let hello = Hello { node: Some(self.own_node()), known: known.digest };
        let request = self.peers.ask::<Hello, Nodes>(address, Method::Hello, &hello, HELLO_TIMEOUT);
        // Who does not answer is asked again in a later round.
        let Ok(nodes) = request.await else { return };
        self.retiring.lock().expect("no panic while held").clone_from(&nodes.retiring);
        if nodes.same {
            return self.roster().confirm(self.clock.now(), &known.stores);
        }
        self.record_known(&nodes.nodes);
        self.observe(nodes.nodes);
    }

    /// Returns the stores that this process was told of last and still remembers. A store wants all of
    /// them each time: it repairs groups by how long each has been silent.
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

    /// Returns the process's own introduction of this moment.
    ///
    /// The time of day numbers it, so that a restarted process goes on where it was. A clock that
    /// is set back silences a process until it has caught up; `sequence` keeps within one life.
    fn own_node(&self) -> Node {
        let wall = Clock::wall_millis();
        let before = self.sequence.fetch_max(wall, Ordering::Relaxed);
        let led = self.led.lock().expect("no panic while held").clone();
        Node { sequence: before.max(wall), led, ..self.own.clone() }
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
    }
}

/// Returns the identity that a seed takes when the whole deployment starts for the first time.
///
/// Every seed works out the others' from their addresses alone, so the first members of each group
/// are known to all without a word between them, in whatever order they start. Any later process at
/// the same address draws its identity at random: a wiped disk must never vote again under an
/// identity that has voted.
pub fn seed_identity(address: SocketAddr) -> VmId {
    let hash = xxh3_64(address.to_string().as_bytes());
    VmId(((hash >> 32) as u32).max(1))
}

/// Draws an identity that no process has had.
pub fn random_identity() -> VmId {
    VmId(rand::random_range(1..=u32::MAX))
}
