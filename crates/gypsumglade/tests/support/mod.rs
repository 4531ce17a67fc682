//! A deployment of library instances on loopback addresses, one for each VM.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gypsumglade::admin::ControlClient;
use gypsumglade::demo::caller::{Caller, ChatCall, HttpAnswer};
use gypsumglade::directory::{Directory, EntryAddress};
use gypsumglade::embedded::wait_until;
use gypsumglade::entry::Entry;
use gypsumglade::operator;
use gypsumglade::secret::Secret;
use gypsumglade::settings::{PeerSettings, Settings, StoreSettings};
use gypsumglade::store::Store;
use gypsumglade_core::bundle::KeyPair;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_standin::announce::{AnnounceSettings, ModelVersion};
use gypsumglade_standin::engine::{Engine, EngineSettings};
use gypsumglade_standin::service::{Service, ServiceSettings};
use sha2::{Digest as _, Sha256};

/// API key of the test's organisation.
pub const API_KEY: &str = "test-key-of-the-lens-rental";
/// Bound on waits for immediate events, which only a hang exceeds.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Seed of the one operator's key.
const OPERATOR: [u8; 32] = [7; 32];
/// Bundle content, into which the digest of the API key is filled.
pub const BUNDLE: &str = include_str!("bundle.yaml");

/// Nine VMs in three failure domains and two regions; the first of each domain has a disk.
pub struct Cluster {
    pub stores: Vec<Option<Store>>,
    pub entries: Vec<Option<Entry>>,
    pub engines: Vec<Engine>,
    pub service: Service,
    folders: Vec<tempfile::TempDir>,
    directories: Vec<Arc<Directory>>,
}

const DOMAINS: [(&str, &str); 3] =
    [("south-1", "south"), ("south-2", "south"), ("north-1", "north")];
const VMS: u32 = 9;

impl Cluster {
    /// Starts stores, entries and stand-ins, and rolls the bundle out.
    pub async fn start() -> Cluster {
        let directories: Vec<_> =
            (1..=VMS).map(|vm| Arc::new(Directory::new(&settings(vm, None)))).collect();
        let mut folders = Vec::new();
        let mut stores = Vec::new();
        for vm in (1..=VMS).filter(|vm| has_disk(*vm)) {
            let folder = tempfile::tempdir().expect("a temporary folder");
            let own = settings(vm, Some(folder.path()));
            let directory = Arc::clone(&directories[vm as usize - 1]);
            let store = Store::start(own, directory, log()).await.expect("a store starts");
            for directory in &directories {
                directory.set_store(VmId(vm), store.addresses().peers);
            }
            folders.push(folder);
            stores.push(Some(store));
        }
        let entries = start_entries(&directories).await;
        let service = start_service(&entries).await;
        let engines = start_engines(&entries).await;
        let cluster = Cluster { stores, entries, engines, service, folders, directories };
        cluster.roll(1, RevisionNumber(0)).await;
        cluster.wait_ready().await;
        cluster
    }

    /// Rolls the bundle out under version `1.0.<patch>` and waits until it is in force.
    pub async fn roll(&self, patch: u32, base: RevisionNumber) -> RevisionNumber {
        self.roll_content(BUNDLE, patch, base).await
    }

    /// Like [`Cluster::roll`], with other content than the test's bundle.
    pub async fn roll_content(
        &self,
        content: &str,
        patch: u32,
        base: RevisionNumber,
    ) -> RevisionNumber {
        let digest = hex::encode(Sha256::digest(API_KEY.as_bytes()));
        let content = content.replace("KEY_DIGEST", &digest).replace("PATCH", &patch.to_string());
        let bundle = operator::sign(&content, &KeyPair::from_seed(OPERATOR)).expect("it signs");
        let order = format!("order-{patch}");
        let command = operator::accept_command(&bundle, base, &order).expect("it holds");
        let control = self.control();
        let answer = operator::submit(&control, command).await.expect("the control group answers");
        let Some(AnswerBody::Accepted(accepted)) = answer.body else {
            panic!("not accepted: {answer:?}");
        };
        let revision = RevisionNumber(accepted.revision);
        let in_force = wait_until(PATIENCE, async || {
            operator::status(&control, revision).await.is_some_and(|status| status.in_force)
        });
        assert!(in_force.await, "revision {revision} is not in force");
        revision
    }

    /// Returns an operator's client.
    pub fn control(&self) -> ControlClient {
        let entry = self.entries.iter().flatten().next().expect("an entry runs");
        let state = entry.state();
        ControlClient { directory: Arc::clone(&state.directory), peers: state.peers.clone() }
    }

    /// Returns a caller whose requests the balancer sends to `vm`.
    pub fn caller(&self, vm: u32) -> Caller {
        let entry = self.entries[vm as usize - 1].as_ref().expect("the entry runs");
        Caller::new(entry.addresses().callers, API_KEY)
    }

    async fn wait_ready(&self) {
        let ready = wait_until(PATIENCE, async || {
            self.entries.iter().flatten().all(|entry| {
                let state = entry.state();
                let engines = ["advisor-1", "advisor-2", "advisor-3", "booking-1"];
                let known = engines.iter().all(|name| state.endpoint_address(name).is_some());
                known && state.config.active(state.clock.now()).is_ok()
            })
        });
        assert!(ready.await, "the cluster did not come up");
    }
}

/// Returns a chat call of the test's agent program.
pub fn chat<'a>(program: &'a str, turn: u64, says: &'a str) -> ChatCall<'a> {
    ChatCall { program, agent: "kit-planner", turn, model: "advisor", says, ..ChatCall::default() }
}

/// Returns the prompt tokens in an answer's usage.
pub fn prompt_tokens(answer: &HttpAnswer) -> u64 {
    let usage = answer.json();
    usage.pointer("/usage/prompt_tokens").and_then(serde_json::Value::as_u64).unwrap_or(0)
}

fn has_disk(vm: u32) -> bool {
    vm % 3 == 1
}

fn address(vm: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, vm as u8], 0))
}

fn settings(vm: u32, folder: Option<&std::path::Path>) -> Settings {
    let (domain, region) = DOMAINS[(vm as usize - 1) / 3];
    let mut settings = Settings::embedded(std::path::Path::new(""));
    settings.vm.id = vm;
    settings.vm.domain = domain.into();
    settings.vm.region = region.into();
    settings.listen.callers = address(vm);
    settings.listen.endpoints = address(vm);
    settings.listen.peers = address(vm);
    settings.listen.admin = address(vm);
    settings.listen.gossip = address(vm);
    settings.store = folder.map(|folder| StoreSettings {
        folder: folder.to_path_buf(),
        peers: address(vm),
        admin: address(vm),
        ..StoreSettings::default()
    });
    settings.peers = (1..=VMS).map(peer).collect();
    settings.tokens.peers = Secret::new("token-of-the-peers");
    settings.tokens.endpoints = Secret::new("token-of-the-endpoints");
    settings.operators.keys = vec![KeyPair::from_seed(OPERATOR).public().to_compact_string()];
    settings.operators.threshold = 1;
    settings
}

fn peer(vm: u32) -> PeerSettings {
    let (domain, region) = DOMAINS[(vm as usize - 1) / 3];
    PeerSettings {
        vm,
        peers: address(vm),
        gossip: address(vm),
        domain: domain.into(),
        region: region.into(),
        // The port is known once the store has bound it.
        store: has_disk(vm).then(|| address(vm)),
    }
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

async fn start_entries(directories: &[Arc<Directory>]) -> Vec<Option<Entry>> {
    let mut entries = Vec::new();
    let mut addresses = Vec::new();
    for vm in 1..=VMS {
        let own = settings(vm, None);
        let region = own.region_id(&own.vm.region).expect("the region is listed");
        let directory = Arc::clone(&directories[vm as usize - 1]);
        let entry = Entry::start(own, directory, log()).await.expect("an entry starts");
        addresses.push(EntryAddress { vm: VmId(vm), region, peers: entry.addresses().peers });
        entries.push(Some(entry));
    }
    for directory in directories {
        directory.set_entries(addresses.clone());
    }
    entries
}

pub fn announce(entries: &[Option<Entry>]) -> AnnounceSettings {
    let urls = entries.iter().flatten();
    let urls = urls.map(|entry| format!("http://{}", entry.addresses().endpoints).into());
    AnnounceSettings {
        entries: urls.collect(),
        token: "token-of-the-endpoints".into(),
        ..AnnounceSettings::default()
    }
}

async fn start_service(entries: &[Option<Entry>]) -> Service {
    let settings = ServiceSettings {
        name: "booking-1".into(),
        domain: "south-1".into(),
        region: "south".into(),
        announce: announce(entries),
        ..ServiceSettings::default()
    };
    Service::start(settings).await.expect("the service starts")
}

async fn start_engines(entries: &[Option<Entry>]) -> Vec<Engine> {
    let mut engines = Vec::new();
    for (i, (domain, region)) in DOMAINS.into_iter().enumerate() {
        let settings = EngineSettings {
            name: format!("advisor-{}", i + 1).into(),
            domain: domain.into(),
            region: region.into(),
            models: vec![ModelVersion::new("advisor", "1")],
            announce: announce(entries),
            ..EngineSettings::default()
        };
        engines.push(Engine::start(settings).await.expect("an engine starts"));
    }
    engines
}
