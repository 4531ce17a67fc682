//! Startup and graceful shutdown of an entry VM.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use anyhow::Context as _;
use gypsumglade_core::lease::{LeaseSettings, VmRegion};
use gypsumglade_core::policy::admission::AdmissionSettings;
use gypsumglade_core::policy::registry::{Registry, RegistrySettings};
use gypsumglade_core::policy::retry::{RetryPolicy, RetrySettings};
use gypsumglade_core::policy::route::{Place, PolicyWeights, RouteSettings, Router};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::discovery::Role;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admit::{AdmissionController, EXPIRY_INTERVAL};
use super::config::{self, ConfigView, Renewal};
use super::endpoint_client::EndpointClient;
use super::groups::{GroupClient, GroupMap};
use super::peer_calls;
use super::state::{EntryState, RoutingState, RunningCalls};
use super::{announce, callers, leak_audit, membership_loop, order_holder};
use crate::admin;
use crate::clock::Clock;
use crate::connection_guard::ConnectionLimiter;
use crate::directory::Directory;
use crate::feed::Sources;
use crate::gateway::TurnClient;
use crate::limit_report::LimitReport;
use crate::listener::{Listener, ListenerOptions};
use crate::membership::Handle;
use crate::metrics::Metrics;
use crate::request_memory::RequestMemory;
use crate::rpc::{PeerClients, RpcServer};
use crate::settings::{CertificateSettings, ListenerRole, Settings};
use crate::tls;

/// A running entry VM.
pub struct Entry {
    state: Arc<EntryState>,
    addresses: EntryAddresses,
    listeners: Vec<Listener>,
    _rpc: RpcServer,
    membership: Handle,
    /// Ends the background loops and all listeners but the callers'; cancelled last.
    halt: CancellationToken,
}

/// Bound addresses of an entry VM, with the actual port where port 0 was configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct EntryAddresses {
    /// HTTP interface for callers.
    pub callers: SocketAddr,
    /// HTTP interface for endpoint announcements.
    pub endpoints: SocketAddr,
    /// RPC interface for other VMs.
    pub peers: SocketAddr,
    /// HTTP interface for operators.
    pub admin: SocketAddr,
    /// UDP address of the membership protocol.
    pub gossip: SocketAddr,
}

impl Entry {
    /// Binds every listener and starts the background loops.
    ///
    /// # Errors
    /// Fails when the settings are inconsistent, an address can't be bound or a certificate can't
    /// be read.
    pub async fn start(
        settings: Settings,
        directory: Arc<Directory>,
        log: slog::Logger,
    ) -> anyhow::Result<Entry> {
        let state = Arc::new(entry_state(settings, directory, log)?);
        let halt = CancellationToken::new();
        let options_of = |role, certificate: Option<&CertificateSettings>| {
            let limiter = state.limits.limiter(&state.settings.limits, role);
            listener_options(&state.settings, certificate, limiter)
        };
        let certificates = state.settings.tls.clone();
        let listen = state.settings.listen.clone();
        let stop = state.stop.clone();
        let callers = callers::routes(Arc::clone(&state));
        let options = options_of(ListenerRole::Callers, certificates.callers.as_ref())?;
        let callers = Listener::bind(listen.callers, callers, options, stop.clone()).await?;
        let endpoints = announce::routes(Arc::clone(&state));
        let options = options_of(ListenerRole::Registrar, certificates.endpoints.as_ref())?;
        let endpoints = Listener::bind(listen.endpoints, endpoints, options, halt.clone()).await?;
        let admin = admin::entry_routes(Arc::clone(&state));
        let options = options_of(ListenerRole::Admin, certificates.admin.as_ref())?;
        let admin = Listener::bind(listen.admin, admin, options, halt.clone()).await?;
        let methods = peer_calls::methods(Arc::clone(&state))?;
        let token = state.settings.tokens.peers.clone();
        let options = options_of(ListenerRole::Peers, certificates.peers.as_ref())?;
        let rpc = RpcServer::bind(listen.peers, token, methods.into(), None, options, halt.clone())
            .await?;
        let membership = membership_loop::join(&state, rpc.address()).await?;
        let addresses = EntryAddresses {
            callers: callers.address(),
            endpoints: endpoints.address(),
            peers: rpc.address(),
            admin: admin.address(),
            gossip: membership.address(),
        };
        membership_loop::follow(&state, &membership, &halt);
        spawn_loops(&state, &halt);
        slog::info!(state.log, "entry started"; "callers" => %addresses.callers,
            "endpoints" => %addresses.endpoints, "admin" => %addresses.admin);
        let listeners = vec![callers, endpoints, admin];
        Ok(Entry { state, addresses, listeners, _rpc: rpc, membership, halt })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> EntryAddresses {
        self.addresses
    }

    /// Returns the state shared by all tasks of the VM.
    pub fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Shuts down gracefully: takes no new calls, waits for those in flight, then closes all else.
    ///
    /// `/readyz` fails at once, so that the load balancer stops sending callers. Announcements and
    /// lease renewal continue until the last call has finished, since retries need them.
    pub async fn stop(self) {
        slog::info!(self.state.log, "entry stopping"; "in_flight" => self.state.tasks.len());
        self.state.stop.cancel();
        self.state.tasks.close();
        let drain = self.state.settings.timeouts.drain();
        let mut listeners = self.listeners.into_iter();
        let drained = async {
            if let Some(callers) = listeners.next() {
                callers.drained().await;
            }
            self.state.tasks.wait().await;
        };
        if tokio::time::timeout(drain, drained).await.is_err() {
            slog::error!(self.state.log, "calls exceeded the drain time; raise timeouts.drain_ms";
                "in_flight" => self.state.tasks.len());
        }
        self.membership.leave().await;
        self.halt.cancel();
        for listener in listeners {
            listener.drained().await;
        }
    }
}

fn entry_state(
    settings: Settings,
    directory: Arc<Directory>,
    log: slog::Logger,
) -> anyhow::Result<EntryState> {
    let clock = Clock::start();
    let vm = settings.vm.vm();
    let place = place(&settings).context("vm.domain or vm.region is not in discovery.domains")?;
    let peers = PeerClients::new(settings.tokens.peers.clone(), tls::peer_client(&settings.tls)?);
    let keys = config::operator_keys(&settings.operators);
    let lease = LeaseSettings { length_ms: settings.timeouts.lease_ms, ..LeaseSettings::default() };
    let registry = Registry::new(RegistrySettings::default());
    let router = Router::new(RouteSettings::default(), rand::random());
    let retries = RetryPolicy::new(RetrySettings::default(), rand::random());
    let map = GroupMap::new(&settings, &directory);
    let metrics = Metrics::new()?;
    let limits = LimitReport::new(metrics.limits(), clock, log.clone());
    Ok(EntryState {
        boot_id: rand::random(),
        vm,
        place,
        clock,
        groups: GroupClient::new(vm, peers.clone(), map, settings.timeouts.peer()),
        turns: TurnClient::new(Arc::clone(&directory), peers.clone(), clock, log.clone()),
        endpoints: EndpointClient::new(),
        config: ConfigView::new(lease, vm, keys, clock.now()),
        admission: AdmissionController::new(admission_settings(), clock),
        memory: RequestMemory::new(settings.limits.request_bytes(), clock, limits.clone()),
        limits,
        metrics,
        stop: CancellationToken::new(),
        tasks: TaskTracker::new(),
        running: RunningCalls::default(),
        members: Mutex::default(),
        routing: Mutex::new(RoutingState { registry, router, retries }),
        log,
        peers,
        directory,
        settings,
    })
}

/// Returns admission settings whose concurrency limit starts at its upper bound. The limit falls
/// when engines refuse calls.
fn admission_settings() -> AdmissionSettings {
    let mut settings = AdmissionSettings::default();
    settings.limit.start = settings.limit.max;
    settings
}

fn place(settings: &Settings) -> Option<Place> {
    Some(Place {
        domain: settings.domain_id(&settings.vm.domain)?,
        region: settings.region_id(&settings.vm.region)?,
    })
}

/// Returns the options of a listener: TLS with `certificate` if given, header limit, drain time and the
/// bound on its connections.
///
/// # Errors
/// Fails when the certificate or key can't be read.
pub(crate) fn listener_options(
    settings: &Settings,
    certificate: Option<&CertificateSettings>,
    connections: ConnectionLimiter,
) -> anyhow::Result<ListenerOptions> {
    Ok(ListenerOptions {
        tls: tls::server(certificate)?,
        header_bytes: usize::try_from(settings.limits.header_bytes).unwrap_or(usize::MAX),
        drain: settings.timeouts.drain(),
        connections,
    })
}

fn spawn_loops(state: &Arc<EntryState>, halt: &CancellationToken) {
    let directory = Arc::clone(&state.directory);
    let domain = &state.settings.vm.domain;
    let renewal = Renewal {
        sources: Sources::new(state.settings.vm.vm(), Role::Entry, domain, directory, None).into(),
        me: VmRegion { vm: state.vm, region: state.place.region },
        directory: Arc::clone(&state.directory),
        peers: state.peers.clone(),
        clock: state.clock,
        stop: halt.clone(),
        metrics: state.metrics.leases(),
        log: state.log.clone(),
    };
    let renewing = Arc::clone(state);
    tokio::spawn(async move {
        config::renew(&renewing.config, &renewal, |active| {
            let policy = &active.bundle.policy;
            let weights =
                PolicyWeights { latency: policy.latency_weight, waste: policy.waste_weight };
            renewing.routing().router.set_weights(weights);
        })
        .await;
    });
    tokio::spawn(leak_audit::run(Arc::clone(state), halt.clone()));
    tokio::spawn(order_holder::run(Arc::clone(state), halt.clone()));
    let (expiring, halt) = (Arc::clone(state), halt.clone());
    tokio::spawn(async move {
        while !halt.is_cancelled() {
            expiring.admission.expire();
            expiring.expire_endpoints();
            tokio::time::sleep(EXPIRY_INTERVAL).await;
        }
    });
}
