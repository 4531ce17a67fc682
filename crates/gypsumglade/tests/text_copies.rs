//! Copies of kept turns' texts while stores are lost, restarted and retired.

mod store_support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use gypsumglade::directory::Directory;
use gypsumglade::gateway::TextClient;
use gypsumglade::rpc::Method;
use gypsumglade::settings::Settings;
use gypsumglade::store::{Registrar, RetireError, Store};
use gypsumglade_core::prelude::{GroupId, VmId};
use gypsumglade_core::replication::Role;
use gypsumglade_core::turns::Holding;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{
    Command, Kept, Reserve, Settle, Text, TextCopy, TextPut, TextQuery, TextStored, TextsHeld,
};
use store_support::StoreSetup;
use tempfile::TempDir;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

/// Port of every store; each has a loopback address of its own.
const PEERS: u16 = 7_310;
/// Turns of each conversation.
const TURNS: usize = 15;
/// Number of conversations; they have more texts than are copied at one time.
const PROGRAMS: usize = 12;
/// Size of a turn's input: all turns together exceed what a log keeps for slow followers.
const INPUT_BYTES: usize = 10_000;
/// Retention of turns, longer than any test.
const RETENTION: Duration = Duration::from_secs(600);
/// Number of stores that hold each text.
const COPIES: usize = 2;
/// Interval between polls.
const PAUSE: Duration = Duration::from_millis(20);
/// Timeout of one put or fetch.
const PATIENCE: Duration = Duration::from_secs(5);

/// Number of addresses that the tests of this process use.
static TAKEN: AtomicU8 = AtomicU8::new(1);

fn next_ip() -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    let number = TAKEN.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 128 | (process[2] & 63), process[3], number)
}

/// One store's address, failure domain and disk.
struct Place {
    own: Ipv4Addr,
    domain: char,
    folder: TempDir,
}

impl Place {
    fn new(domain: char) -> Place {
        Place { own: next_ip(), domain, folder: empty() }
    }
}

fn empty() -> TempDir {
    tempfile::tempdir().expect("a temporary folder")
}

/// A store with its own runtime, which ends all of its tasks, as the end of a process would. In a shared
/// runtime its replicas would continue and could even lead.
struct Running {
    store: Store,
    runtime: Runtime,
}

impl Deref for Running {
    type Target = Store;

    fn deref(&self) -> &Store {
        &self.store
    }
}

impl Running {
    async fn start(settings: Settings) -> Running {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let directory = Arc::new(Directory::new(&settings));
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let store = runtime.spawn(Store::start(settings, directory, log)).await;
        Running { store: store.expect("no panic").expect("a store starts"), runtime }
    }

    async fn stop(self) {
        let Running { store, runtime } = self;
        runtime.spawn(store.stop()).await.expect("no panic");
        end(runtime).await;
    }

    async fn kill(self) {
        let Running { store, runtime } = self;
        drop(store);
        end(runtime).await;
    }
}

async fn end(runtime: Runtime) {
    let ended = tokio::task::spawn_blocking(move || runtime.shutdown_timeout(PATIENCE));
    ended.await.expect("no panic");
}

/// Running stores of one region.
struct Cluster {
    seeds: Vec<Ipv4Addr>,
    places: Vec<Place>,
    stores: BTreeMap<usize, Running>,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("a short time")
}

impl Cluster {
    /// Starts three seeds in different failure domains.
    async fn start() -> Cluster {
        let places: Vec<Place> = ['a', 'b', 'c'].into_iter().map(Place::new).collect();
        let seeds = places.iter().map(|place| place.own).collect();
        let mut cluster = Cluster { seeds, places, stores: BTreeMap::new() };
        for number in 0..3 {
            cluster.run(number, true).await;
        }
        cluster
    }

    /// Adds a store at a new address, and returns its number.
    async fn add(&mut self, domain: char) -> usize {
        self.places.push(Place::new(domain));
        let number = self.places.len() - 1;
        self.run(number, false).await;
        number
    }

    async fn run(&mut self, number: usize, first: bool) {
        let place = &self.places[number];
        let settings = settings(place, &self.seeds, first);
        self.stores.insert(number, Running::start(settings).await);
    }

    async fn stop(&mut self, number: usize) {
        self.stores.remove(&number).expect("a running store").stop().await;
    }

    async fn kill(&mut self, number: usize) {
        self.stores.remove(&number).expect("a running store").kill().await;
    }

    /// Kills a store, deletes its folder, and starts a new one at its address.
    async fn replace(&mut self, number: usize) {
        self.kill(number).await;
        self.places[number].folder = empty();
        self.run(number, false).await;
    }

    async fn stop_all(mut self) {
        while let Some((_, store)) = self.stores.pop_last() {
            store.stop().await;
        }
    }

    fn vm(&self, number: usize) -> VmId {
        self.stores[&number].state().context.vm
    }

    fn any(&self) -> &Store {
        self.stores.values().next().expect("a running store")
    }

    /// Returns a store that leads the turn group. One whose transfer failed leads without a lease.
    async fn leader(&self) -> &Store {
        loop {
            for store in self.stores.values() {
                let groups = store.state().context.host.status().await.groups;
                let mut turns = groups.iter().filter(|group| group.group == GroupId::TURNS);
                if turns.any(|group| group.role == Role::Leader) {
                    return store;
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn client(&self) -> TextClient {
        let state = self.any().state();
        let (directory, peers) = (Arc::clone(&state.context.directory), &state.context.peers);
        let region = "south".into();
        TextClient::new(state.discovery.clone(), directory, peers.clone(), region, COPIES)
    }

    async fn ask(&self, body: Body) -> Reply {
        loop {
            for store in self.stores.values() {
                let reply = store.state().turns.ask(Command { body: Some(body.clone()) }).await;
                match reply.body.expect("every command is answered") {
                    Reply::NotLeader(_) | Reply::Uncertain(_) => {}
                    other => return other,
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Puts a turn's text on stores and settles it, as an entry VM does.
    async fn keep(&self, program: usize, turn: &str, previous: &str, retention: Duration) {
        let client = self.client();
        let holders = loop {
            let until = Instant::now() + PATIENCE;
            let put = client.put(&program.to_string(), text(turn), retention, until).await;
            // A store doesn't know the others right after its start.
            if let Some(holders) = put.filter(|holders| holders.len() == COPIES) {
                break holders;
            }
            tokio::time::sleep(PAUSE).await;
        };
        let kept = Kept {
            previous: previous.to_owned(),
            retention_ms: millis(retention),
            holders: holders.into_iter().map(|vm| vm.0).collect(),
            bytes: INPUT_BYTES as u64,
        };
        self.settle(program, turn, kept).await;
    }

    /// Settles a turn, whose text is stored before or after.
    async fn settle(&self, program: usize, turn: &str, kept: Kept) {
        let settle = Settle {
            turn: turn.to_owned(),
            program: program.to_string(),
            kept: Some(kept),
            ..Settle::default()
        };
        assert!(matches!(self.ask(Body::Settle(settle)).await, Reply::Settled(_)));
    }

    async fn keep_all(&self) {
        for program in 0..PROGRAMS {
            let mut previous = String::new();
            for number in 0..TURNS {
                let turn = turn(program, number);
                self.keep(program, &turn, &previous, RETENTION).await;
                previous = turn;
            }
        }
    }

    /// Returns the holders of a conversation's texts, according to the turn group.
    async fn chain(&self, last: &str) -> Vec<Holding> {
        let next = Reserve {
            turn: "next".to_owned(),
            program: "reader".to_owned(),
            previous: last.to_owned(),
            ..Reserve::default()
        };
        match self.ask(Body::Reserve(next)).await {
            Reply::Reserved(reserved) => reserved.chain.iter().map(Holding::from_wire).collect(),
            other => panic!("{last}: {other:?}"),
        }
    }

    async fn chains(&self) -> Vec<Vec<Holding>> {
        let mut chains = Vec::new();
        for program in 0..PROGRAMS {
            chains.push(self.chain(&turn(program, TURNS - 1)).await);
        }
        chains
    }

    /// Returns whether the turn group names two running stores other than `without` for each text.
    async fn is_whole(&self, without: Option<VmId>) -> bool {
        let running = self.stores.values().map(|store| store.state().context.vm);
        let running: BTreeSet<VmId> = running.filter(|vm| Some(*vm) != without).collect();
        let chains = self.chains().await;
        chains.iter().flatten().all(|holding| {
            holding.holders.iter().filter(|vm| running.contains(vm)).count() >= COPIES
        })
    }

    async fn await_whole(&self, without: Option<VmId>) {
        while !self.is_whole(without).await {
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Checks that every recorded holder has the exact bytes, and that each conversation is unchanged.
    async fn check(&self) {
        let client = self.client();
        let by_vm = self.stores.values().map(|store| (store.state().context.vm, store));
        let by_vm: BTreeMap<VmId, &Running> = by_vm.collect();
        for chain in self.chains().await {
            assert_eq!(chain.len(), TURNS);
            for holding in &chain {
                for store in holding.holders.iter().filter_map(|vm| by_vm.get(vm)) {
                    let here = held(store, &[holding.turn.as_str()]).await;
                    assert_eq!(here, [text(&holding.turn)]);
                }
            }
            let read = client.fetch(&chain, Instant::now() + PATIENCE).await.expect("readable");
            let said: Vec<u8> =
                chain.iter().flat_map(|holding| joined(&text(&holding.turn))).collect();
            assert!(read == said, "another history");
        }
    }
}

fn settings(place: &Place, seeds: &[Ipv4Addr], first: bool) -> Settings {
    let setup = StoreSetup::alone(place.own, PEERS, place.folder.path());
    let (seeds, domain) = (seeds.to_vec(), place.domain);
    StoreSetup { seeds, first, domain, tolerate: 1, ..setup }.settings()
}

fn turn(program: usize, number: usize) -> String {
    format!("{program}-{number}")
}

fn text(turn: &str) -> Text {
    let input = format!("<{turn:>INPUT_BYTES$}>").into();
    Text { turn: turn.to_owned(), input, output: format!("[{turn}]").into() }
}

fn joined(text: &Text) -> Vec<u8> {
    [text.input.as_ref(), text.output.as_ref()].concat()
}

async fn held(store: &Store, turns: &[&str]) -> Vec<Text> {
    let turns = turns.iter().map(ToString::to_string).collect();
    store.state().texts.get(&TextQuery { turns }).await.texts
}

async fn votes(store: &Store) -> bool {
    let vm = store.state().context.vm;
    let groups = store.state().context.host.status().await.groups;
    let mut turns = groups.iter().filter(|group| group.group == GroupId::TURNS);
    turns.any(|group| group.members.voters.contains(&vm))
}

/// Each store is lost in turn. Conversations lost texts if a disk was lost before a new store had copies
/// of those on the previous one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replace_each_store() {
    let mut cluster = Cluster::start().await;
    cluster.keep_all().await;
    cluster.check().await;
    let first: BTreeSet<VmId> = (0..3).map(|number| cluster.vm(number)).collect();
    for number in 0..3 {
        cluster.replace(number).await;
        while !votes(&cluster.stores[&number]).await {
            tokio::time::sleep(PAUSE).await;
        }
        cluster.await_whole(None).await;
        cluster.check().await;
    }
    let now: BTreeSet<VmId> = (0..3).map(|number| cluster.vm(number)).collect();
    assert!(first.is_disjoint(&now));
    cluster.stop_all().await;
}

/// The texts of a store that is lost for good are copied to another one, at another address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replace_at_other_address() {
    let mut cluster = Cluster::start().await;
    cluster.keep_all().await;
    let lost = cluster.vm(1);
    cluster.kill(1).await;
    cluster.add('b').await;
    cluster.await_whole(None).await;
    cluster.check().await;
    assert!(!cluster.stores.values().any(|store| store.state().context.vm == lost));
    cluster.stop_all().await;
}

/// A planned restart made a store's texts cross the network, although its disk was back a second later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_copies_nothing() {
    let mut cluster = Cluster::start().await;
    cluster.keep_all().await;
    let before = cluster.chains().await;
    let vm = cluster.vm(1);
    cluster.stop(1).await;
    cluster.run(1, false).await;
    assert_eq!(cluster.vm(1), vm);
    cluster.check().await;
    // Longer than the time after which a silent store counts as lost.
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(cluster.chains().await, before);
    let named = |vm: VmId| before.iter().flatten().filter(move |text| text.holders.contains(&vm));
    for number in 0..3 {
        let all: Vec<String> = before.iter().flatten().map(|text| text.turn.to_string()).collect();
        let all: Vec<&str> = all.iter().map(String::as_str).collect();
        let here = held(&cluster.stores[&number], &all).await;
        assert_eq!(here.len(), named(cluster.vm(number)).count());
    }
    cluster.check().await;
    cluster.stop_all().await;
}

/// A store was reported as empty while some texts were only on it and one other, so that the next lost
/// disk lost them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retire_waits_for_texts() {
    let mut cluster = Cluster::start().await;
    let fourth = cluster.add('d').await;
    cluster.keep_all().await;
    let name = cluster.places[fourth].own.to_string();
    let vm = cluster.vm(fourth);
    let chains = cluster.chains().await;
    assert!(chains.iter().flatten().any(|text| text.holders.contains(&vm)), "it has some texts");
    let registrar = Registrar::new(cluster.any().state());
    while registrar.retire(&name).await == Err(RetireError::Unavailable) {
        tokio::time::sleep(PAUSE).await;
    }
    // It hasn't been checked yet which texts depend on it.
    assert_eq!(registrar.is_retired(&name), Ok(false));
    while registrar.is_retired(&name) != Ok(true) {
        tokio::time::sleep(PAUSE).await;
    }
    assert!(cluster.is_whole(Some(vm)).await);
    cluster.stop(fourth).await;
    cluster.check().await;
    cluster.stop_all().await;
}

/// An entry VM that doesn't know that a store is retiring puts a text on its disk.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn put_at_retiring_store() {
    let mut cluster = Cluster::start().await;
    let fourth = cluster.add('d').await;
    let name = cluster.places[fourth].own.to_string();
    let vm = cluster.vm(fourth);
    let registrar = Registrar::new(cluster.any().state());
    while registrar.retire(&name).await != Ok(()) {
        tokio::time::sleep(PAUSE).await;
    }
    let store = &cluster.stores[&fourth];
    let told = store.state().discovery.as_ref().expect("stores find each other");
    while !told.retiring().contains(&vm) {
        tokio::time::sleep(PAUSE).await;
    }
    let peers = &store.state().context.peers;
    let put = TextPut { texts: vec![text("a")], retention_ms: 60_000 };
    let address = store.addresses().peers;
    let asking = peers.ask(address, Method::PutTexts, &put, PATIENCE);
    let stored: TextStored = asking.await.expect("it answers");
    assert!(!stored.stored);
    assert_eq!(held(store, &["a"]).await, []);
    cluster.stop_all().await;
}

/// A store that lost its disk returns at its address with a new identity. A put or a copy was credited
/// to the earlier identity, so that the group named a holder that no longer exists.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn put_and_copy_tell_who_answers() {
    let mut cluster = Cluster::start().await;
    let fourth = cluster.add('d').await;
    let before = cluster.vm(fourth);
    let address = cluster.stores[&fourth].addresses().peers;
    cluster.replace(fourth).await;
    let vm = cluster.vm(fourth);
    assert_ne!(vm, before);
    let peers = &cluster.stores[&0].state().context.peers;
    let put = TextPut { texts: vec![text("a")], retention_ms: 60_000 };
    let asking = peers.ask(address, Method::PutTexts, &put, PATIENCE);
    let stored: TextStored = asking.await.expect("it answers");
    assert_eq!((stored.stored, VmId(stored.vm)), (true, vm));
    let order = TextCopy { turns: vec!["a".to_owned()], sources: Vec::new() };
    let asking = peers.ask(address, Method::CopyTexts, &order, PATIENCE);
    let held: TextsHeld = asking.await.expect("it answers");
    assert_eq!((held.turns, VmId(held.vm)), (vec!["a".to_owned()], vm));
    cluster.stop_all().await;
}

/// A leader is deposed while it copies, and leaves texts on stores that the group doesn't name. The next
/// leader must finish the copies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_change_while_copying() {
    let mut cluster = Cluster::start().await;
    cluster.keep_all().await;
    // Both other stores have been up for long enough to copy as leader.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.replace(2).await;
    let mut handed = BTreeSet::new();
    while handed.is_empty() || !cluster.is_whole(None).await {
        let leader = cluster.leader().await;
        if handed.insert(leader.state().context.vm) {
            leader.state().context.host.transfer(GroupId::TURNS, Vec::new());
        }
        tokio::time::sleep(PAUSE).await;
    }
    cluster.check().await;
    cluster.stop_all().await;
}

/// Texts that can't be read any more filled the disks, or texts of continued turns were dropped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drop_expired() {
    let cluster = Cluster::start().await;
    let short = Duration::from_millis(500);
    let holders: Vec<u32> =
        cluster.stores.values().map(|store| store.state().context.vm.0).take(COPIES).collect();
    // A holder may ask about a text as soon as it has it.
    for (turn, previous, retention) in
        [("expired", "", short), ("continued", "", short), ("last", "continued", RETENTION)]
    {
        let kept = Kept {
            previous: previous.to_owned(),
            retention_ms: millis(retention),
            holders: holders.clone(),
            bytes: INPUT_BYTES as u64,
        };
        cluster.settle(0, turn, kept).await;
    }
    // Holders ask about these texts long before the entry VM's grace period ends.
    for turn in ["unsettled", "expired", "continued", "last"] {
        let put = TextPut { texts: vec![text(turn)], retention_ms: 500 };
        for store in cluster.stores.values() {
            assert!(store.state().texts.put(put.clone()).await.stored);
        }
    }
    let mut number = 0;
    loop {
        let mut left = 0;
        for store in cluster.stores.values() {
            left += held(store, &["unsettled", "expired"]).await.len();
            assert_eq!(held(store, &["continued", "last"]).await.len(), 2);
        }
        if left == 0 {
            break;
        }
        // The group's clock advances with its commands.
        number += 1;
        cluster.keep(0, &format!("tick-{number}"), "", short).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(cluster.chain("last").await.len(), 2);
    cluster.stop_all().await;
}
