//! Starts and stops a store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};

use anyhow::Context as _;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program;
use gypsumglade_core::replication;
use gypsumglade_core::wire::discovery::Role;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::control_group::ControlGroup;
use super::follower_watch;
use super::member_watch;
use super::outbound::{self, Queues};
use super::peer_calls;
use super::program_group::{GroupInput, ProgramGroup};
use super::registrar::Registrar;
use super::repair::Repair;
use super::text_copies::TextCopies;
use super::text_holder::TextHolder;
use super::turn_group::TurnGroup;
use crate::admin;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::discovery::{Discovery, Process, fresh_identity, seed_identity};
use crate::disk::{self, Faults};
use crate::entry::config::operator_keys;
use crate::entry::listener_options;
use crate::listener::Listener;
use crate::metrics::Metrics;
use crate::replica::{Event, Host, HostSettings};
use crate::rpc::{FrameHandler, PeerClients, RpcServer};
use crate::settings::{DiscoverySettings, Settings, StoreSettings};
use crate::texts::{TextLimits, TextOptions, TextStore};
use crate::tls;

/// Most entry bytes in one message to a follower.
///
/// Two of them to a follower that has to catch up are under way at a time, see [`IN_FLIGHT_BYTES`].
/// What the core allows by itself would depose the leader, for heartbeats come behind it.
const BATCH_BYTES: usize = 64 * 1024;
/// Most entry messages on their way to one follower; see [`BATCH_BYTES`].
const IN_FLIGHT: usize = 8;
/// Bytes of entries on their way to one follower: a round trip between regions with a sync, at what
/// that way carries. More only stands before the entries that commits wait for.
const IN_FLIGHT_BYTES: usize = 128 * 1024;
/// Bytes of one piece of a snapshot. One is under way at a time, so smaller ones would leave a link
/// between regions idle for half of the time.
const CHUNK_BYTES: usize = 256 * 1024;
/// Entries that a learner may lack and still be promoted.
///
/// A learner in another region always lacks what is on its way there: half a second of a busy turn
/// group's entries. Allowed less, one that had all the rest would wait for a quiet moment to vote.
const PROMOTE_LAG: u64 = 200;
/// Bytes of proposals that wait for a commit before more are refused: seconds of a busy turn group's
/// entries, for which nobody would wait any more.
const BACKLOG_BYTES: usize = 4 * 1024 * 1024;
/// Folder of kept turns' texts, below the data folder.
const TEXTS: &str = "texts";
/// Events that may wait for the control group.
const EVENT_BUFFER: usize = 1_024;

/// What the listeners of a store share.
pub struct StoreState {
    /// Shared with the groups.
    pub context: Arc<StoreContext>,
    /// The control group.
    pub control: Arc<ControlGroup>,
    /// The turn group.
    pub turns: Arc<TurnGroup>,
    /// Texts of kept turns on this store's disk.
    pub texts: Arc<TextHolder>,
    /// Who else is there, where nobody hands out a list.
    pub discovery: Option<Arc<Discovery>>,
    /// Settings of the process.
    pub settings: Settings,
}

/// A running store.
pub struct Store {
    state: Arc<StoreState>,
    addresses: StoreAddresses,
    admin: Listener,
    registrar: Option<Listener>,
    metrics: Option<Listener>,
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
        Store::start_with(settings, directory, log, Faults::default()).await
    }

    /// As [`Store::start`], on a disk that fails as a test wants it to.
    #[doc(hidden)]
    pub async fn start_with(
        settings: Settings,
        directory: Arc<Directory>,
        log: slog::Logger,
        faults: Faults,
    ) -> anyhow::Result<Store> {
        let own = settings.store.clone().context("the settings have no `store` section")?;
        let halt = CancellationToken::new();
        let vm = identity(&settings, &own)?;
        let peers =
            PeerClients::new(settings.tokens.peers.clone(), tls::peer_client(&settings.tls)?);
        let clock = Clock::start();
        let process = Process { vm, role: Role::Store, address: own.peers };
        let (shared, callers) = (Arc::clone(&directory), peers.clone());
        let discovery = Discovery::new(&settings, process, shared, callers, clock);
        let (outbound, batches) = mpsc::channel(outbound::BUFFER);
        let metrics = Metrics::new()?;
        let mut host_settings = host_settings(vm, &own);
        host_settings.commits = Some(metrics.commits());
        host_settings.faults = faults;
        let (host, events) = Host::start(host_settings, outbound).await?;
        let context = Arc::new(StoreContext {
            vm,
            clock,
            host,
            directory,
            peers,
            program_settings: program::Settings::default(),
            metrics,
            queues: Queues::default(),
            log,
            groups: RwLock::default(),
            dead: Mutex::default(),
            writing: Mutex::default(),
        });
        let keys = operator_keys(&settings.operators);
        let lease = settings.timeouts.config_lease();
        let control = ControlGroup::new(Arc::clone(&context), keys, lease);
        let turns = TurnGroup::new(Arc::clone(&context));
        let limits = TextLimits { disk_bytes: own.text_bytes };
        let options = TextOptions::new(limits, context.log.clone());
        let texts = TextStore::open_with(&own.folder.join(TEXTS), options)?;
        let texts = TextHolder::new(Arc::clone(&context), texts);
        tokio::spawn(outbound::send_batches(Arc::clone(&context), batches));
        let state = Arc::new(StoreState { context, control, turns, texts, discovery, settings });
        start_groups(&state, events).await?;
        spawn_loops(&state, &own, &halt);
        let (rpc, admin) = listeners(&state, &own, &halt).await?;
        let metrics = match state.settings.listen.metrics {
            Some(address) => {
                let options = listener_options(&state.settings, None)?;
                let routes = admin::unauthenticated_metrics(Arc::clone(&state));
                Some(Listener::bind(address, routes, options, halt.clone()).await?)
            }
            None => None,
        };
        let addresses = StoreAddresses { peers: rpc.address(), admin: admin.address() };
        slog::info!(state.context.log, "store started"; "peers" => %addresses.peers,
            "admin" => %addresses.admin, "folder" => %own.folder.display());
        Ok(Store { state, addresses, admin, registrar: None, metrics, _rpc: rpc, halt })
    }

    /// Returns the addresses in use.
    pub fn addresses(&self) -> StoreAddresses {
        self.addresses
    }

    /// Returns what its listeners share, for dumps and embedding.
    pub fn state(&self) -> &Arc<StoreState> {
        &self.state
    }

    /// Returns what endpoints and operators may ask of this store.
    pub fn registrar(&self) -> Registrar {
        Registrar::new(&self.state)
    }

    /// Serves the registrar's interface in some dialect, on the address that the settings name.
    ///
    /// # Errors
    /// Fails when the settings name no address, or it cannot be bound.
    pub async fn serve_registrar(&mut self, routes: axum::Router) -> anyhow::Result<SocketAddr> {
        let own = self.state.settings.store.as_ref();
        let address = own.and_then(|own| own.registrar);
        let address = address.context("the settings name no `store.registrar`")?;
        let options = listener_options(&self.state.settings, None)?;
        let listener = Listener::bind(address, routes, options, self.halt.clone()).await?;
        let address = listener.address();
        self.registrar = Some(listener);
        Ok(address)
    }

    /// Takes what changed in the settings.
    pub fn reload(&self, settings: &DiscoverySettings) {
        if let Some(discovery) = &self.state.discovery {
            discovery.set_seeds(settings);
        }
    }

    /// Stops as planned: leadership is handed over first, so that no group waits for an election.
    pub async fn stop(self) {
        slog::info!(self.state.context.log, "store stops");
        self.state.context.host.transfer_all().await;
        self.halt.cancel();
        self.admin.drained().await;
        for listener in self.registrar.into_iter().chain(self.metrics) {
            listener.drained().await;
        }
        // Whoever embeds a store may open its folder again once this returns.
        self.state.context.host.stop().await;
    }
}

/// Returns who this store is: as its settings say, as its data folder says, or someone new.
fn identity(settings: &Settings, own: &StoreSettings) -> anyhow::Result<VmId> {
    let Some(discovery) = &settings.discovery else { return Ok(settings.vm.vm()) };
    if let Some(owner) = disk::owner(&own.folder)? {
        return Ok(owner);
    }
    let seeds = discovery.peers(own.peers.port());
    let forms_groups = discovery.first_start && seeds.contains(&own.peers);
    Ok(if forms_groups { seed_identity(own.peers) } else { fresh_identity() })
}

fn spawn_loops(state: &Arc<StoreState>, own: &StoreSettings, halt: &CancellationToken) {
    tokio::spawn(follower_watch::watch(Arc::clone(&state.context), halt.clone()));
    let context = Arc::clone(&state.context);
    tokio::spawn(Arc::clone(&state.texts).drop_unkept(halt.clone()));
    let Some(discovery) = &state.discovery else {
        tokio::spawn(member_watch::watch(context, halt.clone()));
        return;
    };
    tokio::spawn(Arc::clone(discovery).run(halt.clone()));
    let wanted = 2 * own.tolerate as usize + 1;
    let control = Arc::clone(&state.control);
    let turns = Arc::clone(&state.turns);
    let (others, known) = (Arc::clone(&state.context), Arc::clone(discovery));
    let tolerated = own.tolerate as usize;
    let copies =
        TextCopies::new(others, Arc::clone(&control), Arc::clone(&turns), known, tolerated + 1);
    tokio::spawn(Arc::clone(&copies).run(halt.clone()));
    let discovery = Arc::clone(discovery);
    let repair = Repair { context, control, turns, copies, discovery, wanted };
    tokio::spawn(repair.run(halt.clone()));
    let lease = Duration::from_millis(own.endpoint_lease_ms);
    tokio::spawn(Arc::clone(&state.control).lapse_endpoints(lease, halt.clone()));
}

fn host_settings(vm: VmId, own: &StoreSettings) -> HostSettings {
    HostSettings {
        vm,
        folder: Some(own.folder.clone()),
        replication: replication::Settings {
            heartbeat: Duration::from_millis(own.heartbeat_ms),
            lease: Duration::from_millis(own.election_ms),
            batch_bytes: BATCH_BYTES,
            in_flight: IN_FLIGHT,
            in_flight_bytes: IN_FLIGHT_BYTES,
            chunk_bytes: CHUNK_BYTES,
            promote_lag: PROMOTE_LAG,
            backlog_bytes: BACKLOG_BYTES,
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
    let host = state.context.host.clone();
    let handler: FrameHandler = Arc::new(move |from, batch| host.receive(from, batch));
    let methods = methods.into();
    let rpc =
        RpcServer::bind(own.peers, token, methods, Some(handler), options, halt.clone()).await?;
    let options = listener_options(&state.settings, pairs.admin.as_ref())?;
    let routes = admin::store_routes(Arc::clone(state));
    let admin = Listener::bind(own.admin, routes, options, halt.clone()).await?;
    Ok((rpc, admin))
}

async fn start_groups(
    state: &Arc<StoreState>,
    events: mpsc::Receiver<Event>,
) -> anyhow::Result<()> {
    let context = &state.context;
    let count = state.settings.groups;
    let groups: Vec<ProgramGroup> =
        (1..=count).map(|n| ProgramGroup::start(GroupId(n), Arc::clone(context))).collect();
    context.groups.write().expect("no panic while held").extend(groups);
    let (control_events, receiver) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(Arc::clone(&state.control).run(receiver));
    let (turn_events, receiver) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(Arc::clone(&state.turns).run(receiver));
    let feeds = Feeds { control: control_events, turns: turn_events };
    tokio::spawn(route_events(Arc::clone(context), feeds, events));
    for group in (0..=count).map(GroupId).chain([GroupId::TURNS]) {
        let Some(members) = founders(state) else { break };
        context.host.create(group, members).await?;
    }
    Ok(())
}

/// Returns the first members of each group; `None` on a store that joins groups that others formed.
///
/// A store whose disk was wiped must not form a group again: two groups would each acknowledge
/// orders that the other never sees.
fn founders(state: &StoreState) -> Option<Vec<VmId>> {
    let (settings, vm) = (&state.settings, state.context.vm);
    if let Some(discovery) = &settings.discovery {
        let seeds = discovery.peers(settings.store.as_ref()?.peers.port());
        let founders: Vec<VmId> = seeds.into_iter().map(seed_identity).collect();
        return (discovery.first_start && founders.contains(&vm)).then_some(founders);
    }
    let listed: Vec<VmId> = state.context.directory.stores().into_keys().collect();
    Some(if listed.is_empty() { vec![vm] } else { listed })
}

/// Where the groups other than program groups take their news.
struct Feeds {
    control: mpsc::Sender<Event>,
    turns: mpsc::Sender<Event>,
}

/// Hands each replica's news to its group, in order.
async fn route_events(context: Arc<StoreContext>, feeds: Feeds, mut events: mpsc::Receiver<Event>) {
    while let Some(event) = events.recv().await {
        if let Event::Failed { reason } = &event {
            slog::crit!(context.log, "replicas stopped; see docs/OPERATING.md, \"Full disk\"";
                "reason" => %reason);
            continue;
        }
        match group_of(&event) {
            Some(GroupId::CONTROL) => drop(feeds.control.send(event).await),
            Some(GroupId::TURNS) => drop(feeds.turns.send(event).await),
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
