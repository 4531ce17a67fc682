//! Starts and stops a store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};

use anyhow::Context as _;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use gypsumglade_core::lease::LeaseSettings;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program;
use gypsumglade_core::replication;
use jsonrpsee::core::params::ArrayParams;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::control_group::ControlGroup;
use super::member_watch;
use super::peer_calls;
use super::program_group::{GroupInput, ProgramGroup};
use crate::admin;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::entry::config::operator_keys;
use crate::entry::listener_options;
use crate::listener::Listener;
use crate::metrics::Metrics;
use crate::replica::{Event, Host, HostSettings, Outbound};
use crate::rpc::{Method, PeerClients, RpcServer};
use crate::settings::{Settings, StoreSettings};
use crate::tls;

/// Events that may wait for the control group.
const EVENT_BUFFER: usize = 1_024;
/// Batches that may wait for one peer; beyond it they are dropped, and replication repeats them.
const BATCH_BUFFER: usize = 256;
/// Longest wait for a peer to take a batch.
const BATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// What the listeners of a store share.
pub struct StoreState {
    /// Shared with the groups.
    pub context: Arc<StoreContext>,
    /// The control group.
    pub control: Arc<ControlGroup>,
    /// Settings of the process.
    pub settings: Settings,
}

/// A running store.
pub struct Store {
    state: Arc<StoreState>,
    addresses: StoreAddresses,
    admin: Listener,
    _rpc: RpcServer,
    halt: CancellationToken,
}

/// Addresses in use, with the ports that the kernel chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StoreAddresses {
    /// Calls from other VMs.
    pub peers: SocketAddr,
    /// Operators' interface.
    pub admin: SocketAddr,
}

impl Store {
    /// Opens the data folder, restores every group and binds the listeners.
    ///
    /// # Errors
    /// Fails when the folder is damaged, in use or of another format, or an address is taken.
    pub async fn start(
        settings: Settings,
        directory: Arc<Directory>,
        log: slog::Logger,
    ) -> anyhow::Result<Store> {
        let own = settings.store.clone().context("the settings have no `store` section")?;
        let halt = CancellationToken::new();
        let peers = PeerClients::new(settings.tokens.peers.clone(), tls::peers(&settings.tls)?);
        let (outbound, batches) = mpsc::channel(BATCH_BUFFER);
        let (host, events) = Host::start(host_settings(&settings, &own), outbound).await?;
        let context = Arc::new(StoreContext {
            vm: settings.vm.vm(),
            clock: Clock::start(),
            host,
            directory,
            peers,
            program_settings: program::Settings::default(),
            metrics: Metrics::new()?,
            log,
            groups: RwLock::default(),
            dead: Mutex::default(),
        });
        let lease =
            LeaseSettings { length_ms: settings.timeouts.lease_ms, ..LeaseSettings::default() };
        let keys = operator_keys(&settings.operators);
        let control = ControlGroup::new(Arc::clone(&context), keys, lease);
        tokio::spawn(member_watch::watch(Arc::clone(&context), halt.clone()));
        tokio::spawn(send_batches(Arc::clone(&context), batches));
        start_groups(&context, &control, events, settings.groups).await?;
        let state = Arc::new(StoreState { context, control, settings });
        let (rpc, admin) = listeners(&state, &own, &halt).await?;
        let addresses = StoreAddresses { peers: rpc.address(), admin: admin.address() };
        slog::info!(state.context.log, "store started"; "peers" => %addresses.peers,
            "admin" => %addresses.admin, "folder" => %own.folder.display());
        Ok(Store { state, addresses, admin, _rpc: rpc, halt })
    }

    /// Returns the addresses in use.
    pub fn addresses(&self) -> StoreAddresses {
        self.addresses
    }

    /// Returns what its listeners share, for dumps and embedding.
    pub fn state(&self) -> &Arc<StoreState> {
        &self.state
    }

    /// Stops as planned: leadership is handed over first, so that no group waits for an election.
    pub async fn stop(self) {
        slog::info!(self.state.context.log, "store stops");
        self.state.context.host.transfer_all().await;
        self.halt.cancel();
        self.admin.drained().await;
    }
}

fn host_settings(settings: &Settings, own: &StoreSettings) -> HostSettings {
    HostSettings {
        vm: settings.vm.vm(),
        folder: Some(own.folder.clone()),
        replication: replication::Settings {
            heartbeat: Duration::from_millis(own.heartbeat_ms),
            lease: Duration::from_millis(own.election_ms),
            ..replication::Settings::default()
        },
        ..HostSettings::default()
    }
}

async fn listeners(
    state: &Arc<StoreState>,
    own: &StoreSettings,
    halt: &CancellationToken,
) -> anyhow::Result<(RpcServer, Listener)> {
    let pairs = &state.settings.tls;
    let options = listener_options(&state.settings, pairs.peers.as_ref())?;
    let methods = peer_calls::methods(Arc::clone(state))?;
    let token = state.settings.tokens.peers.clone();
    let rpc = RpcServer::bind(own.peers, token, methods.into(), options, halt.clone()).await?;
    let options = listener_options(&state.settings, pairs.admin.as_ref())?;
    let routes = admin::store_routes(Arc::clone(state));
    let admin = Listener::bind(own.admin, routes, options, halt.clone()).await?;
    Ok((rpc, admin))
}

async fn start_groups(
    context: &Arc<StoreContext>,
    control: &Arc<ControlGroup>,
    events: mpsc::Receiver<Event>,
    count: u32,
) -> anyhow::Result<()> {
    let groups: Vec<ProgramGroup> =
        (1..=count).map(|n| ProgramGroup::start(GroupId(n), Arc::clone(context))).collect();
    context.groups.write().expect("no panic while held").extend(groups);
    let (control_events, receiver) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(Arc::clone(control).run(receiver));
    tokio::spawn(route_events(Arc::clone(context), control_events, events));
    let mut members: Vec<VmId> = context.directory.stores().into_keys().collect();
    if members.is_empty() {
        members.push(context.vm);
    }
    for group in 0..=count {
        context.host.create(GroupId(group), members.clone()).await?;
    }
    Ok(())
}

/// Hands each replica's news to its group, in order.
async fn route_events(
    context: Arc<StoreContext>,
    control: mpsc::Sender<Event>,
    mut events: mpsc::Receiver<Event>,
) {
    while let Some(event) = events.recv().await {
        if let Event::Failed { reason } = &event {
            slog::crit!(context.log, "replicas stopped; see docs/OPERATING.md, \"Full disk\"";
                "reason" => %reason);
            continue;
        }
        match group_of(&event) {
            Some(GroupId::CONTROL) => drop(control.send(event).await),
            Some(group) => {
                if let Some(group) = context.group(group) {
                    group.feed(GroupInput::Log(event)).await;
                }
            }
            None => {}
        }
    }
}

fn group_of(event: &Event) -> Option<GroupId> {
    match event {
        Event::Leader { group, .. }
        | Event::Follower { group, .. }
        | Event::Committed { group, .. }
        | Event::Restore { group, .. }
        | Event::NeedSnapshot { group } => Some(*group),
        Event::Failed { .. } => None,
    }
}

/// Sends replication batches, each peer's in order and none waiting for another's.
async fn send_batches(context: Arc<StoreContext>, mut batches: mpsc::Receiver<Outbound>) {
    let mut queues: HashMap<VmId, mpsc::Sender<Outbound>> = HashMap::new();
    while let Some(batch) = batches.recv().await {
        let queue = queues.entry(batch.to).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(BATCH_BUFFER);
            tokio::spawn(send_to_peer(Arc::clone(&context), receiver));
            sender
        });
        // A full queue means a slow or silent peer; what is dropped is repeated.
        let _ = queue.try_send(batch);
    }
}

async fn send_to_peer(context: Arc<StoreContext>, mut batches: mpsc::Receiver<Outbound>) {
    while let Some(batch) = batches.recv().await {
        let Some(address) = context.directory.store(batch.to) else { continue };
        let mut parameters = ArrayParams::new();
        let text = STANDARD.encode(&batch.batch);
        if parameters.insert(context.vm).and_then(|()| parameters.insert(text)).is_err() {
            continue;
        }
        let call = context.peers.call(address, Method::Replication, parameters, BATCH_TIMEOUT);
        // Replication repeats what was lost.
        let _ = call.await;
    }
}
