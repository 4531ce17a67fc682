//! Nine entries and three stores as processes on this machine.

use std::collections::HashMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gypsumglade::admin::ControlClient;
use gypsumglade::demo::caller::Caller;
use gypsumglade::directory::Directory;
use gypsumglade::embedded::wait_until;
use gypsumglade::rpc::PeerClients;
use gypsumglade::secret::Secret;
use gypsumglade::settings::Settings;
use gypsumglade_core::bundle::KeyPair;
use rustix::process::{Pid, Signal, kill_process};

/// Number of VMs.
pub const VMS: u32 = 9;
/// Number of VMs with a disk, one in each failure domain.
pub const STORES: [u32; 3] = [1, 4, 7];
/// Organisation's API key.
pub const API_KEY: &str = "fault-run-key-of-the-renter";
/// Seed of the operator's key.
pub const OPERATOR: [u8; 32] = [9; 32];
/// Token of every listener.
pub const TOKEN: &str = "fault-run-token-of-all";
/// Bound on the wait until all processes are ready, which only a hang exceeds.
pub const PATIENCE: Duration = Duration::from_secs(90);

/// Port that is bound for as long as a run uses a network; no daemon listens there.
const RESERVED_PORT: u16 = 8079;

/// Failure domains with their regions; each has a third of the VMs.
const DOMAINS: [(&str, &str); 3] =
    [("south-1", "south"), ("south-2", "south"), ("north-1", "north")];

/// A daemon of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Entry(u32),
    Store(u32),
}

pub struct Fleet {
    net: [u8; 2],
    /// Keeps concurrent runs off this run's network.
    _reserved: TcpListener,
    folder: tempfile::TempDir,
    /// Settings that all VMs have besides.
    extra: &'static str,
    running: Mutex<HashMap<Role, Child>>,
}

impl Fleet {
    pub fn start(seed: u64) -> Fleet {
        Fleet::start_with(seed, "")
    }

    /// Starts all processes with settings besides those of each run.
    pub fn start_with(seed: u64, extra: &'static str) -> Fleet {
        let (net, reserved) = reserve_net(seed);
        let folder = tempfile::tempdir().expect("a temporary folder");
        let fleet = Fleet { net, _reserved: reserved, folder, extra, running: Mutex::default() };
        for vm in 1..=VMS {
            std::fs::write(fleet.settings_file(vm), fleet.settings(vm)).expect("it is written");
        }
        for vm in STORES {
            fleet.spawn(Role::Store(vm));
        }
        for vm in 1..=VMS {
            fleet.spawn(Role::Entry(vm));
        }
        fleet
    }

    pub fn spawn(&self, role: Role) {
        let (binary, vm) = match role {
            Role::Entry(vm) => (env!("CARGO_BIN_EXE_gypsumglade-entry"), vm),
            Role::Store(vm) => (env!("CARGO_BIN_EXE_gypsumglade-store"), vm),
        };
        let log = self.folder.path().join(format!("{role:?}.log"));
        let log = File::options().create(true).append(true).open(log).expect("a log opens");
        let child = Command::new(binary)
            .arg("--settings")
            .arg(self.settings_file(vm))
            .current_dir(self.folder.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.running.lock().unwrap().insert(role, child);
    }

    /// Kills a daemon, as a crash of its VM would.
    pub fn kill(&self, role: Role) {
        let child = self.running.lock().unwrap().remove(&role);
        let mut child = child.expect("the daemon runs");
        child.kill().expect("it is killed");
        child.wait().expect("it ends");
    }

    /// Suspends or resumes a daemon, which looks like a silent partition to the others.
    pub fn freeze(&self, role: Role, on: bool) {
        self.signal(role, if on { Signal::STOP } else { Signal::CONT });
    }

    /// Performs a planned stop, and returns whether the daemon exited with success.
    pub async fn stop(&self, role: Role) -> bool {
        self.signal(role, Signal::TERM);
        let child = self.running.lock().unwrap().remove(&role);
        let mut child = child.expect("the daemon runs");
        let waiting = tokio::task::spawn_blocking(move || child.wait());
        waiting.await.expect("no panic").expect("it ends").success()
    }

    /// Returns the process id of a daemon that runs.
    pub fn id(&self, role: Role) -> u32 {
        self.running.lock().unwrap()[&role].id()
    }

    /// Returns whether a daemon still runs.
    pub fn is_alive(&self, role: Role) -> bool {
        let mut running = self.running.lock().unwrap();
        let child = running.get_mut(&role).expect("the daemon was started");
        child.try_wait().expect("its state can be read").is_none()
    }

    fn signal(&self, role: Role, signal: Signal) {
        let running = self.running.lock().unwrap();
        let id = running[&role].id() as i32;
        kill_process(Pid::from_raw(id).expect("an id"), signal).expect("it is signalled");
    }

    /// Returns a caller whose requests the balancer sends to `vm`.
    pub fn caller(&self, vm: u32) -> Caller {
        Caller::new(self.address(vm, 8080), API_KEY)
    }

    /// Returns the address of a VM's listener for callers.
    pub fn callers_address(&self, vm: u32) -> String {
        self.address(vm, 8080).to_string()
    }

    /// Returns an operator's HTTP client of a VM's entry.
    pub fn admin(&self, vm: u32) -> Caller {
        Caller::new(self.address(vm, 8083), TOKEN)
    }

    /// Returns an operator's HTTP client of a VM's store.
    pub fn store_admin(&self, vm: u32) -> Caller {
        Caller::new(self.address(vm, 8086), TOKEN)
    }

    pub fn endpoints_urls(&self) -> Vec<compact_str::CompactString> {
        let url = |vm| format!("http://{}", self.address(vm, 8081)).into();
        (1..=VMS).map(url).collect()
    }

    /// Returns an operator's client of the control group.
    pub fn control(&self) -> ControlClient {
        let settings = Settings::load(&self.settings_file(1)).expect("the settings hold");
        ControlClient {
            directory: Arc::new(Directory::new(&settings)),
            peers: PeerClients::new(Secret::new(TOKEN), None),
        }
    }

    /// Waits until every entry may take work and knows every endpoint.
    pub async fn wait_ready(&self) {
        for vm in 1..=VMS {
            let admin = self.admin(vm);
            let ready = wait_until(PATIENCE, async || {
                let dump = admin.send(http::Method::GET, "/v1/dump", &[], String::new()).await;
                let Ok(dump) = dump.map(|dump| dump.json()) else { return false };
                let endpoints = dump["endpoints"].as_array().map_or(0, Vec::len);
                dump["lease_ms"].as_u64().unwrap_or(0) > 0 && endpoints >= super::outside::COUNT
            });
            assert!(ready.await, "VM {vm} is not ready; logs are in {:?}", self.folder.path());
        }
    }

    fn address(&self, vm: u32, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net[0], self.net[1], vm as u8], port))
    }

    fn settings_file(&self, vm: u32) -> PathBuf {
        self.folder.path().join(format!("vm{vm}.yaml"))
    }

    fn settings(&self, vm: u32) -> String {
        let at = |vm, port| self.address(vm, port);
        let (domain, region) = domain(vm);
        let key = KeyPair::from_seed(OPERATOR).public();
        let peers: String = (1..=VMS).map(|vm| self.peer(vm)).collect();
        let store = if STORES.contains(&vm) { self.store(vm) } else { String::new() };
        format!(
            "groups: 4\n\
             vm: {{ id: {vm}, domain: {domain}, region: {region} }}\n\
             listen: {{ callers: \"{}\", endpoints: \"{}\", peers: \"{}\", admin: \"{}\", \
             gossip: \"{}\" }}\n\
             peers:\n{peers}{store}\
             tokens: {{ peers: {TOKEN}, admin: {TOKEN}, endpoints: {TOKEN} }}\n\
             operators: {{ keys: [\"{key}\"], threshold: 1 }}\n\
             log: {{ level: info }}\n{}",
            at(vm, 8080),
            at(vm, 8081),
            at(vm, 8082),
            at(vm, 8083),
            at(vm, 8084),
            self.extra,
        )
    }

    fn peer(&self, vm: u32) -> String {
        let (domain, region) = domain(vm);
        let store = match STORES.contains(&vm) {
            true => format!(", store: \"{}\"", self.address(vm, 8085)),
            false => String::new(),
        };
        format!(
            "  - {{ vm: {vm}, peers: \"{}\", gossip: \"{}\", domain: {domain}, region: {region}{store} }}\n",
            self.address(vm, 8082),
            self.address(vm, 8084),
        )
    }

    fn store(&self, vm: u32) -> String {
        let folder = self.folder.path().join(format!("store{vm}"));
        format!(
            "store: {{ folder: {folder:?}, peers: \"{}\", admin: \"{}\" }}\n",
            self.address(vm, 8085),
            self.address(vm, 8086),
        )
    }

    /// Returns the folder of settings, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.running.lock().unwrap().values_mut() {
            // This signal also ends a suspended process.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn domain(vm: u32) -> (&'static str, &'static str) {
    DOMAINS[(vm as usize - 1) / 3]
}

/// Reserves an unused loopback network, so that concurrent runs don't interfere.
fn reserve_net(seed: u64) -> ([u8; 2], TcpListener) {
    let first = seed.wrapping_add(u64::from(std::process::id()));
    let nets = (0..64_u64).map(|step| first.wrapping_add(step * 31));
    let mut nets = nets.map(|n| [64 + (n % 128) as u8, (n / 128 % 250) as u8]);
    let bind = |net: [u8; 2], port: u16| {
        TcpListener::bind(SocketAddr::from(([127, net[0], net[1], 1], port))).ok()
    };
    let reserved = nets.find_map(|net| {
        let reserved = bind(net, RESERVED_PORT)?;
        // Another program may listen there.
        bind(net, 8080).map(|_| (net, reserved))
    });
    reserved.expect("a free loopback network")
}
