//! Start and planned stop of a gateway.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use anyhow::Context as _;
use axum::Router as Routes;
use axum::extract::State;
use axum::routing::get;
use gypsumglade_core::policy::outlier::HealthSettings;
use gypsumglade_core::policy::registry::{Registry, RegistrySettings};
use gypsumglade_core::policy::route::{Place, RouteSettings, Router};
use gypsumglade_core::policy::stall::{self, StallDetector};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::discovery::Role;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::abandoned_attempts::AbandonedAttempts;
use super::connections::ConnectionPool;
use super::dialect::Dialect;
use super::history_cache::HistoryCache;
use super::settlement_queue::SettlementQueue;
use super::state::{GatewayState, RoutingState};
use super::suspects::Suspects;
use super::text_client::TextClient;
use super::turn_client::TurnClient;
use super::{endpoint_sync, ingress};
use crate::clock::Clock;
use crate::control_client::{ControlGroupClient, PROGRAM_LIMITS};
use crate::directory::Directory;
use crate::discovery::{Discovery, Process, random_identity};
use crate::entry::config::{self, ConfigView, Renewal, operator_keys};
use crate::entry::listener_options;
use crate::feed::Sources;
use crate::limit_report::LimitReport;
use crate::listener::Listener;
use crate::metrics::Metrics;
use crate::request_memory::RequestMemory;
use crate::rpc::PeerClients;
use crate::settings::{DiscoverySettings, ListenerRole, PolicySettings, Settings};
use crate::tls;

/// Time limit of a planned stop, after which requests in flight are abandoned. Shorter than the 8 s
/// after which the provider kills the process.
const STOP_TIMEOUT: Duration = Duration::from_millis(7_500);
/// How often expired idle connections to endpoints are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A running gateway.
pub struct Gateway {
    state: Arc<GatewayState>,
    addresses: GatewayAddresses,
    ready: Listener,
    metrics: Option<Listener>,
    discovery: Option<Arc<Discovery>>,
    /// Ends the listeners and background loops at the end of a planned stop.
    shutdown: CancellationToken,
}

/// Addresses in use, including ports chosen by the kernel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct GatewayAddresses {
    /// Listener for callers' requests.
    pub callers: SocketAddr,
    /// Listener for the balancer's readiness check.
    pub ready: SocketAddr,
}

impl Gateway {
    /// Binds the listeners and starts the background loops.
    ///
    /// # Errors
    /// Fails when the settings have no `gateway` section or are invalid, or an address can't be bound.
    pub async fn start(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        log: slog::Logger,
    ) -> anyhow::Result<Gateway> {
        let gateway = settings.gateway.clone().context("the settings have no `gateway` section")?;
        let (state, discovery) = gateway_state(settings, dialect, log)?;
        let state = Arc::new(state);
        let shutdown = CancellationToken::new();
        let callers = TcpListener::bind(gateway.callers).await;
        let callers = callers.with_context(|| {
            format!(
                "cannot listen on {}: free the port or change `gateway.callers` in the settings",
                gateway.callers
            )
        })?;
        let options = || {
            let limiter = state.limits.limiter(&state.settings.limits, ListenerRole::Admin);
            listener_options(&state.settings, None, limiter)
        };
        let ready = ready_routes(&state);
        let ready = Listener::bind(gateway.ready, ready, options()?, shutdown.clone()).await?;
        let metrics = match state.settings.listen.metrics {
            Some(address) => {
                let routes = metrics_routes(&state);
                Some(Listener::bind(address, routes, options()?, shutdown.clone()).await?)
            }
            None => None,
        };
        let addresses = GatewayAddresses { callers: callers.local_addr()?, ready: ready.address() };
        spawn_loops(&state, discovery.as_ref(), &shutdown);
        tokio::spawn(ingress::accept(Arc::clone(&state), callers));
        slog::info!(state.log, "gateway started"; "vm" => state.vm.0,
            "callers" => %addresses.callers, "ready" => %addresses.ready);
        Ok(Gateway { state, addresses, ready, metrics, discovery, shutdown })
    }

    /// Returns the addresses in use.
    pub fn addresses(&self) -> GatewayAddresses {
        self.addresses
    }

    /// Applies the discovery seeds of changed settings; everything else needs a restart.
    pub fn reload(&self, settings: &DiscoverySettings) {
        if let Some(discovery) = &self.discovery {
            discovery.set_seeds(settings);
        }
    }

    /// Performs a planned stop: fails the readiness check, lets requests in flight finish, asks callers to
    /// open connections elsewhere, then closes everything.
    pub async fn stop(self) {
        let state = &self.state;
        slog::info!(state.log, "gateway stopping"; "in_flight" => state.tasks.len());
        let began = Instant::now();
        state.stop.cancel();
        state.tasks.close();
        let _ = tokio::time::timeout_at(began + STOP_TIMEOUT, state.tasks.wait()).await;
        self.shutdown.cancel();
        self.ready.drained().await;
        if let Some(metrics) = self.metrics {
            metrics.drained().await;
        }
        slog::info!(state.log, "gateway stopped"; "in_flight" => state.tasks.len());
    }
}

fn gateway_state(
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    log: slog::Logger,
) -> anyhow::Result<(GatewayState, Option<Arc<Discovery>>)> {
    let clock = Clock::start();
    let vm = random_identity();
    let directory = Arc::new(Directory::new(&settings));
    let peers = PeerClients::new(settings.tokens.peers.clone(), tls::peer_client(&settings.tls)?);
    let keys = operator_keys(&settings.operators);
    let lease = settings.timeouts.config_lease();
    let place = Place {
        domain: settings.domain_id(&settings.vm.domain).unwrap_or_default(),
        region: settings.region_id(&settings.vm.region).unwrap_or_default(),
    };
    let registry =
        RegistrySettings { max_lease: MAX_LEASE, health: HEALTH, ..RegistrySettings::default() };
    let routing = RoutingState {
        registry: Registry::new(registry),
        router: Router::new(route_settings(&settings.policy), rand::random()),
        speeds: HashMap::new(),
        answer_times: HashMap::new(),
        stall_detector: StallDetector::new(clock.now()),
    };
    let process = Process { vm, role: Role::Entry, address: settings.listen.peers };
    let (shared, callers) = (Arc::clone(&directory), peers.clone());
    let discovery = Discovery::new(&settings, process, shared, callers, clock);
    let texts = TextClient::new(
        discovery.clone(),
        Arc::clone(&directory),
        peers.clone(),
        settings.vm.region.clone(),
        settings.gateway.as_ref().map_or(0, |gateway| gateway.tolerate as usize) + 1,
    )
    .with_memory(settings.limits.text_bytes());
    let turns = TurnClient::new(Arc::clone(&directory), peers.clone(), clock, log.clone());
    let control = ControlGroupClient::new(Arc::clone(&directory), peers.clone(), PROGRAM_LIMITS);
    let suspects = Suspects::new(control);
    let tasks = TaskTracker::new();
    let metrics = Metrics::new()?;
    let report = LimitReport::new(metrics.limits(), clock, log.clone());
    let limits = settings.limits.clone();
    let state = GatewayState {
        vm,
        place,
        clock,
        config: ConfigView::new(lease, vm, keys, clock.now()),
        dialect,
        connections: ConnectionPool::default(),
        settlements: SettlementQueue::new(turns.clone(), tasks.clone(), log.clone()),
        turns,
        texts,
        histories: HistoryCache::default(),
        suspects,
        abandoned: AbandonedAttempts::default(),
        memory: RequestMemory::new(limits.request_bytes(), clock, report.clone()),
        caller_connections: report.limiter(&limits, ListenerRole::Callers),
        limits: report,
        metrics,
        log,
        stop: CancellationToken::new(),
        tasks,
        routing: Mutex::new(routing),
        directory,
        peers,
        settings,
    };
    Ok((state, discovery))
}

/// Returns the router's settings with the mechanisms and link prices of the policy.
fn route_settings(policy: &PolicySettings) -> RouteSettings {
    let mut settings =
        RouteSettings { mechanisms: policy.mechanisms(), ..RouteSettings::default() };
    settings.links.region.price = policy.domain_price / MEGABYTE;
    settings.links.paid.price = policy.region_price / MEGABYTE;
    settings
}

/// Bytes per megabyte, the unit of prices in the settings.
const MEGABYTE: f64 = 1e6;

/// When endpoints are ejected for failures, and how their load ramps up afterwards.
///
/// Ejections are short, since a few failures in a row may be chance and long ejections could take out
/// most of a small pool. The ramp keeps a new endpoint from getting all new requests at once.
const HEALTH: HealthSettings = HealthSettings {
    max_failures: 4,
    base_ejection: Duration::from_secs(1),
    max_ejection: Duration::from_secs(8),
    ramp_time: Duration::from_millis(1_500),
    min_share: 0.25,
};
/// Longest lease of an endpoint; the control group reports earlier departures.
const MAX_LEASE: Duration = Duration::from_secs(120);

fn spawn_loops(
    state: &Arc<GatewayState>,
    discovery: Option<&Arc<Discovery>>,
    shutdown: &CancellationToken,
) {
    if let Some(discovery) = discovery {
        tokio::spawn(Arc::clone(discovery).run(shutdown.clone()));
    }
    let discovery = discovery.cloned();
    tokio::spawn(endpoint_sync::run(Arc::clone(state), discovery.clone(), shutdown.clone()));
    tokio::spawn(renew_config(Arc::clone(state), discovery, shutdown.clone()));
    tokio::spawn(sweep_connections(Arc::clone(state), shutdown.clone()));
    tokio::spawn(watch_stalls(Arc::clone(state), shutdown.clone()));
}

async fn renew_config(
    state: Arc<GatewayState>,
    discovery: Option<Arc<Discovery>>,
    shutdown: CancellationToken,
) {
    let me = gypsumglade_core::lease::VmRegion { vm: state.vm, region: state.place.region };
    let directory = Arc::clone(&state.directory);
    let domain = &state.settings.vm.domain;
    let renewal = Renewal {
        me,
        sources: Sources::new(state.vm, Role::Entry, domain, directory, discovery).into(),
        directory: Arc::clone(&state.directory),
        peers: state.peers.clone(),
        clock: state.clock,
        stop: shutdown,
        metrics: state.metrics.leases(),
        log: state.log.clone(),
    };
    config::renew(&state.config, &renewal, |_| {}).await;
}

async fn watch_stalls(state: Arc<GatewayState>, shutdown: CancellationToken) {
    while !shutdown.is_cancelled() {
        let now = state.clock.now();
        state.routing().stall_detector.tick(now);
        tokio::time::sleep(stall::TICK).await;
    }
}

async fn sweep_connections(state: Arc<GatewayState>, shutdown: CancellationToken) {
    while !shutdown.is_cancelled() {
        state.connections.close_expired();
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
    }
}

fn ready_routes(state: &Arc<GatewayState>) -> Routes {
    let answer = |State(state): State<Arc<GatewayState>>| async move {
        if state.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    };
    Routes::new().route("/ready", get(answer)).with_state(Arc::clone(state))
}

fn metrics_routes(state: &Arc<GatewayState>) -> Routes {
    let page = |State(state): State<Arc<GatewayState>>| async move {
        state.metrics.page().map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)
    };
    Routes::new().route("/metrics", get(page)).with_state(Arc::clone(state))
}
