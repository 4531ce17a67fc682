//! Starts and stops a store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};

use anyhow::Context as _;
use gypsumglade_core::lease::VmRegion;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program;
use gypsumglade_core::relays::MIN_STORES;
use gypsumglade_core::replication;
use gypsumglade_core::wire::discovery::Role;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::control_group::ControlGroup;
use super::follower_watch;
use super::member_watch;
use super::news_relay::NewsRelay;
use super::outbound::{self, Queues};
use super::peer_calls;
use super::program_group::{GroupInput, ProgramGroup};
use super::registrar::Registrar;
use super::registrar_body;
use super::renewals::Renewals;
use super::repair::Repair;
use super::text_copies::TextCopies;
use super::text_holder::TextHolder;
use super::turn_group::TurnGroup;
use super::turn_load::log_load;
use crate::admin;
use crate::clock::Clock;
use crate::control_client::{ControlGroupClient, PROGRAM_LIMITS};
use crate::directory::Directory;
use crate::discovery::{Discovery, Process, random_identity, seed_identity};
use crate::disk::{self, Faults};
use crate::entry::config::{self, ConfigView, Renewal, operator_keys};
use crate::entry::listener_options;
use crate::feed::{EndpointFeed, Sources};
use crate::limit_report::LimitReport;
use crate::listener::Listener;
use crate::metrics::Metrics;
use crate::replica::{Event, Host, HostSettings};
use crate::request_memory::RequestMemory;
use crate::rpc::{FrameHandler, PeerClients, RpcServer};
use crate::settings::{DiscoverySettings, ListenerRole, Settings, StoreSettings};
use crate::texts::{TextLimits, TextOptions, TextStore};
use crate::tls;

/// Largest size of the entries in one message to a follower.
///
/// Heartbeats queue behind messages in flight, and the core's default would delay them for longer
/// than an election timeout.
const BATCH_BYTES: usize = 64 * 1024;
/// Entry messages in flight to one follower.
const MAX_IN_FLIGHT: usize = 8;
/// Bytes of entries in flight to one follower: about the bandwidth-delay product of a link between
/// regions. More would only delay new entries.
const MAX_IN_FLIGHT_BYTES: usize = 128 * 1024;
/// Size of a snapshot chunk. Only one is in flight at a time, so smaller chunks would leave a link
/// between regions idle.
const CHUNK_BYTES: usize = 256 * 1024;
/// Entries that a learner may lack and still be promoted.
///
/// A learner in another region always lacks the entries in flight, so a lower limit would delay its
/// promotion in a busy group. This many are about half a second of a busy turn group's entries.
const PROMOTE_LAG: u64 = 200;
/// Bytes of uncommitted proposals above which further ones are refused. Callers of proposals behind
/// a larger backlog would already have timed out.
const BACKLOG_BYTES: usize = 4 * 1024 * 1024;
/// Folder of the texts of kept turns, within the data folder.
const TEXTS_FOLDER: &str = "texts";
/// Replication events that may be queued for the control group, and for the turn group.
const EVENT_BUFFER: usize = 1_024;

/// State that the listeners of a store share.
pub struct StoreState {
    /// State shared with the groups.
    pub context: Arc<StoreContext>,
    /// The control group.
    pub control: Arc<ControlGroup>,
    /// The turn group.
    pub turns: Arc<TurnGroup>,
    /// Texts of kept turns on this store's disk.
    pub texts: Arc<TextHolder>,
    /// News of the control group that this store passes on.
    pub relay: Arc<NewsRelay>,
    /// Configuration lease that this store passes on.
    pub config: ConfigView,
    /// Renewals of endpoints' leases that the leader hasn't heard of.
    pub(super) renewals: Renewals,
    /// Discovery of the other processes, unless the settings list them.
    pub discovery: Option<Arc<Discovery>>,
    /// Counts limits that clients reach.
    pub(super) limits: LimitReport,
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

/// Addresses of a store's listeners, with the ports that the kernel has chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StoreAddresses {
    /// Listener for calls from other VMs.
    pub peers: SocketAddr,
    /// Listener for operators.
    pub admin: SocketAddr,
}

impl Store {
    /// Opens the data folder, restores every group and binds the listeners.
    ///
    /// # Errors
    /// Fails when the settings have no `store` section, the folder is damaged, in use or of another
    /// format, or an address is taken.
    pub async fn start(
        settings: Settings,
        directory: Arc<Directory>,
        log: slog::Logger,
    ) -> anyhow::Result<Store> {
        Store::start_with(settings, directory, log, Faults::default()).await
    }

    /// Like [`Store::start`], with disk faults injected by a test.
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
        let (outbound, batches) = mpsc::channel(outbound::CHANNEL_CAPACITY);
        let metrics = Metrics::new()?;
        let limits = LimitReport::new(metrics.limits(), clock, log.clone());
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
            boot_ids: Mutex::default(),
            snapshotting: Mutex::default(),
        });
        let keys = operator_keys(&settings.operators);
        let lease = settings.timeouts.config_lease();
        let control = ControlGroup::new(Arc::clone(&context), keys.clone(), lease);
        let config = ConfigView::new(lease, vm, keys, clock.now());
        let relay = NewsRelay::new(Arc::clone(&context), Arc::clone(&control));
        let turns = TurnGroup::new(Arc::clone(&context));
        let text_limits = TextLimits { disk_bytes: own.text_bytes };
        let options = TextOptions::new(text_limits, context.log.clone());
        let texts = TextStore::open_with(&own.folder.join(TEXTS_FOLDER), options)?;
        let texts = TextHolder::new(Arc::clone(&context), texts);
        tokio::spawn(outbound::send_batches(Arc::clone(&context), batches));
        let state = Arc::new(StoreState {
            context,
            control,
            turns,
            texts,
            relay,
            config,
            renewals: Renewals::default(),
            limits,
            discovery,
            settings,
        });
        start_groups(&state, events).await?;
        spawn_loops(&state, &own, &halt);
        let (rpc, admin) = listeners(&state, &own, &halt).await?;
        let limiter = |role| state.limits.limiter(&state.settings.limits, role);
        let metrics = match state.settings.listen.metrics {
            Some(address) => {
                let options =
                    listener_options(&state.settings, None, limiter(ListenerRole::Admin))?;
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

    /// Returns the addresses of the listeners.
    pub fn addresses(&self) -> StoreAddresses {
        self.addresses
    }

    /// Returns the state that the listeners share, for dumps and embedding.
    pub fn state(&self) -> &Arc<StoreState> {
        &self.state
    }

    /// Returns the registrar, which serves endpoints and operators.
    pub fn registrar(&self) -> Registrar {
        Registrar::new(&self.state)
    }

    /// Serves a dialect of the registrar on the address `store.registrar` of the settings.
    ///
    /// # Errors
    /// Fails when the settings name no address, or it cannot be bound.
    pub async fn serve_registrar(&mut self, routes: axum::Router) -> anyhow::Result<SocketAddr> {
        let own = self.state.settings.store.as_ref();
        let address = own.and_then(|own| own.registrar);
        let address = address.context("the settings name no `store.registrar`")?;
        let settings = &self.state.settings;
        let limiter = self.state.limits.limiter(&settings.limits, ListenerRole::Registrar);
        let options = listener_options(settings, None, limiter)?;
        let clock = self.state.context.clock;
        let bytes = settings.limits.request_bytes();
        let memory = RequestMemory::new(bytes, clock, self.state.limits.clone());
        let routes = registrar_body::buffered(routes, memory);
        let listener = Listener::bind(address, routes, options, self.halt.clone()).await?;
        let address = listener.address();
        self.registrar = Some(listener);
        Ok(address)
    }

    /// Applies changed discovery settings.
    pub fn reload(&self, settings: &DiscoverySettings) {
        if let Some(discovery) = &self.state.discovery {
            discovery.set_seeds(settings);
        }
    }

    /// Stops the store. Leadership is transferred first, so that no group waits for an election.
    pub async fn stop(self) {
        slog::info!(self.state.context.log, "store is stopping");
        self.state.context.host.transfer_all().await;
        self.halt.cancel();
        self.admin.drained().await;
        for listener in self.registrar.into_iter().chain(self.metrics) {
            listener.drained().await;
        }
        // Once this returns, an embedding process may open the folder again.
        self.state.context.host.stop().await;
    }
}

/// Returns this store's identity: from the settings, from the data folder, or a new one.
fn identity(settings: &Settings, own: &StoreSettings) -> anyhow::Result<VmId> {
    let Some(discovery) = &settings.discovery else { return Ok(settings.vm.vm()) };
    if let Some(owner) = disk::owner(&own.folder)? {
        return Ok(owner);
    }
    let seeds = discovery.peers(own.peers.port());
    let is_initial_member = discovery.first_start && seeds.contains(&own.peers);
    Ok(if is_initial_member { seed_identity(own.peers) } else { random_identity() })
}

fn spawn_loops(state: &Arc<StoreState>, own: &StoreSettings, halt: &CancellationToken) {
    tokio::spawn(follower_watch::watch(Arc::clone(&state.context), halt.clone()));
    let context = Arc::clone(&state.context);
    tokio::spawn(Arc::clone(&state.texts).drop_expired(halt.clone()));
    let Some(discovery) = &state.discovery else {
        tokio::spawn(member_watch::watch(context, halt.clone()));
        return;
    };
    tokio::spawn(Arc::clone(discovery).run(halt.clone()));
    spawn_relays(state, discovery, halt);
    let target_voters = 2 * own.tolerate as usize + 1;
    let control = Arc::clone(&state.control);
    let turns = Arc::clone(&state.turns);
    let (others, known) = (Arc::clone(&state.context), Arc::clone(discovery));
    let tolerated = own.tolerate as usize;
    let copies =
        TextCopies::new(others, Arc::clone(&control), Arc::clone(&turns), known, tolerated + 1);
    tokio::spawn(Arc::clone(&copies).run(halt.clone()));
    let discovery = Arc::clone(discovery);
    let repair = Repair { context, control, turns, copies, discovery, target_voters };
    tokio::spawn(repair.run(halt.clone()));
    let lease = own.endpoint_lease();
    tokio::spawn(Arc::clone(&state.control).expire_endpoints(lease, halt.clone()));
}

/// Starts to pass on news and leases once the deployment has enough stores for that.
fn spawn_relays(state: &Arc<StoreState>, discovery: &Arc<Discovery>, halt: &CancellationToken) {
    let context = &state.context;
    let sources = || {
        let (directory, discovery) = (Arc::clone(&context.directory), Arc::clone(discovery));
        let domain = &state.settings.vm.domain;
        Sources::new(context.vm, Role::Store, domain, directory, Some(discovery))
    };
    let feed = EndpointFeed::new(sources(), context.peers.clone(), context.clock);
    let directory = Arc::clone(&context.directory);
    let is_large = move || directory.stores().len() >= MIN_STORES;
    tokio::spawn(Arc::clone(&state.relay).follow(feed, is_large.clone(), halt.clone()));
    let region = state.settings.region_id(&state.settings.vm.region).unwrap_or_default();
    let renewal = Renewal {
        me: VmRegion { vm: context.vm, region },
        sources: sources().into(),
        directory: Arc::clone(&context.directory),
        peers: context.peers.clone(),
        clock: context.clock,
        stop: halt.clone(),
        metrics: context.metrics.leases(),
        log: context.log.clone(),
    };
    let shared = Arc::clone(state);
    tokio::spawn(async move {
        let wanted = || is_large() && !shared.control.leads();
        config::renew_while(&shared.config, &renewal, wanted, |_| {}).await;
    });
    let (directory, peers) = (Arc::clone(&context.directory), context.peers.clone());
    let control = ControlGroupClient::new(directory, peers, PROGRAM_LIMITS);
    let (shared, halt) = (Arc::clone(state), halt.clone());
    tokio::spawn(async move { shared.renewals.report(control, halt).await });
}

fn host_settings(vm: VmId, own: &StoreSettings) -> HostSettings {
    HostSettings {
        vm,
        folder: Some(own.folder.clone()),
        replication: replication::Settings {
            heartbeat: Duration::from_millis(own.heartbeat_ms),
            lease: Duration::from_millis(own.election_ms),
            batch_bytes: BATCH_BYTES,
            in_flight: MAX_IN_FLIGHT,
            in_flight_bytes: MAX_IN_FLIGHT_BYTES,
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
    let limiter = |role| state.limits.limiter(&state.settings.limits, role);
    let connections = limiter(ListenerRole::Peers);
    let options = listener_options(&state.settings, pairs.peers.as_ref(), connections)?;
    let methods = peer_calls::methods(Arc::clone(state))?;
    let token = state.settings.tokens.peers.clone();
    let host = state.context.host.clone();
    let handler: FrameHandler = Arc::new(move |from, batch| host.receive(from, batch));
    let methods = methods.into();
    let rpc =
        RpcServer::bind(own.peers, token, methods, Some(handler), options, halt.clone()).await?;
    let connections = limiter(ListenerRole::Admin);
    let options = listener_options(&state.settings, pairs.admin.as_ref(), connections)?;
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
    tokio::spawn(log_load(Arc::downgrade(&state.turns), context.log.clone()));
    let senders = GroupSenders { control: control_events, turns: turn_events };
    tokio::spawn(route_events(Arc::clone(context), senders, events));
    for group in (0..=count).map(GroupId).chain([GroupId::TURNS]) {
        let Some(members) = initial_members(state) else { break };
        context.host.create(group, members).await?;
    }
    Ok(())
}

/// Returns the initial members of each group, or `None` on a store that joins existing groups.
///
/// A store with a wiped disk must not form a group again: there would be two groups, each
/// acknowledging orders unknown to the other.
fn initial_members(state: &StoreState) -> Option<Vec<VmId>> {
    let (settings, vm) = (&state.settings, state.context.vm);
    if let Some(discovery) = &settings.discovery {
        let seeds = discovery.peers(settings.store.as_ref()?.peers.port());
        let initial_members: Vec<VmId> = seeds.into_iter().map(seed_identity).collect();
        return (discovery.first_start && initial_members.contains(&vm)).then_some(initial_members);
    }
    let listed: Vec<VmId> = state.context.directory.stores().into_keys().collect();
    Some(if listed.is_empty() { vec![vm] } else { listed })
}

/// Senders of replication events to the control group and the turn group.
struct GroupSenders {
    control: mpsc::Sender<Event>,
    turns: mpsc::Sender<Event>,
}

/// Forwards each replica's events to its group, in order.
async fn route_events(
    context: Arc<StoreContext>,
    senders: GroupSenders,
    mut events: mpsc::Receiver<Event>,
) {
    while let Some(event) = events.recv().await {
        if let Event::Failed { reason } = &event {
            slog::crit!(context.log, "replicas stopped; see docs/OPERATING.md, \"Full disk\"";
                "reason" => %reason);
            continue;
        }
        match group_of(&event) {
            Some(GroupId::CONTROL) => drop(senders.control.send(event).await),
            Some(GroupId::TURNS) => drop(senders.turns.send(event).await),
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
