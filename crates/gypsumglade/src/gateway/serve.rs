//! Starts and stops a gateway, and takes callers' requests in.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use anyhow::Context as _;
use axum::Router as Routes;
use axum::extract::State;
use axum::routing::get;
use bytes::Bytes;
use gypsumglade_core::policy::outlier::HealthSettings;
use gypsumglade_core::policy::registry::{Registry, RegistrySettings};
use gypsumglade_core::policy::route::{Place, RouteSettings, Router};
use gypsumglade_core::policy::stall::{self, StallWatch};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::discovery::Role;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, StatusCode, request};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::call::{Answer, Call, Matched};
use super::channels::Channels;
use super::dialect::{Dialect, Refusal};
use super::history_cache::HistoryCache;
use super::placing::choose_pool;
use super::plain::{self, refused};
use super::state::{Desk, GatewayState};
use super::turn_client::TurnClient;
use super::{follow, streaming};
use crate::clock::Clock;
use crate::directory::Directory;
use crate::discovery::{Discovery, Process, fresh_identity};
use crate::entry::config::{self, ConfigView, Renewal, operator_keys};
use crate::entry::listener_options;
use crate::listener::Listener;
use crate::metrics::Metrics;
use crate::rpc::PeerClients;
use crate::settings::{DiscoverySettings, PolicySettings, Settings};
use crate::tls;

/// Longest time that a caller's connection may stay idle or take to send a head. It is above any
/// idle time that operators tell callers, so that no request crosses a close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time after a planned stop began until connections that are idle are closed and no further one is
/// taken. By then the balancer has missed two answers and sends no more, and most callers have had
/// an answer that tells them to open another connection.
const LISTEN_ON: Duration = Duration::from_millis(3_000);
/// Time after a planned stop began until the process ends whatever is still under way. Requests are
/// taken for three seconds and last four at most; the provider kills a process after eight.
const LAST_END: Duration = Duration::from_millis(7_500);
/// Pause between two looks for idle connections to endpoints whose time is over.
const CHANNEL_SWEEP: Duration = Duration::from_secs(1);
/// When to come back to a VM that knows no bundle: an election takes about a second, and callers who
/// are told less have used up their attempts by then.
const NO_BUNDLE_PAUSE: Duration = Duration::from_millis(900);
/// Longest time that a caller may take to send its body. Callers give up far sooner; this only ends
/// what a caller that fell silent has left behind.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept (typically: out of file descriptors), so that the loop can't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running gateway.
pub struct Gateway {
    state: Arc<GatewayState>,
    addresses: GatewayAddresses,
    ready: Listener,
    metrics: Option<Listener>,
    discovery: Option<Arc<Discovery>>,
    /// Ends the background loops; cancelled last.
    halt: CancellationToken,
}

/// Addresses in use, with the ports that the kernel chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct GatewayAddresses {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// The balancer's question.
    pub ready: SocketAddr,
}

impl Gateway {
    /// Binds the listeners and starts the background loops.
    ///
    /// # Errors
    /// Fails when the settings name no gateway, or an address cannot be bound.
    pub async fn start(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        log: slog::Logger,
    ) -> anyhow::Result<Gateway> {
        let own = settings.gateway.clone().context("the settings have no `gateway` section")?;
        let state = Arc::new(gateway_state(settings, dialect, log)?);
        let halt = CancellationToken::new();
        let callers = TcpListener::bind(own.callers).await;
        let callers = callers.with_context(|| format!("cannot listen on {}", own.callers))?;
        let options = listener_options(&state.settings, None)?;
        let ready = ready_routes(&state);
        let ready = Listener::bind(own.ready, ready, options.clone(), halt.clone()).await?;
        let metrics = match state.settings.listen.metrics {
            Some(address) => {
                let routes = metrics_routes(&state);
                Some(Listener::bind(address, routes, options, halt.clone()).await?)
            }
            None => None,
        };
        let addresses = GatewayAddresses { callers: callers.local_addr()?, ready: ready.address() };
        let discovery = spawn_loops(&state, &halt);
        tokio::spawn(accept(Arc::clone(&state), callers));
        slog::info!(state.log, "gateway started"; "vm" => state.vm.0,
            "callers" => %addresses.callers, "ready" => %addresses.ready);
        Ok(Gateway { state, addresses, ready, metrics, discovery, halt })
    }

    /// Returns the addresses in use.
    pub fn addresses(&self) -> GatewayAddresses {
        self.addresses
    }

    /// Takes what changed in the settings.
    pub fn reload(&self, settings: &DiscoverySettings) {
        if let Some(discovery) = &self.discovery {
            discovery.set_seeds(settings);
        }
    }

    /// Stops as planned: no callers from the balancer, requests in flight finish, callers of open
    /// connections are told to open others, then everything closes.
    pub async fn stop(self) {
        let state = &self.state;
        slog::info!(state.log, "gateway stops"; "in_flight" => state.tasks.len());
        let began = Instant::now();
        state.stop.cancel();
        state.tasks.close();
        let _ = tokio::time::timeout_at(began + LAST_END, state.tasks.wait()).await;
        self.halt.cancel();
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
) -> anyhow::Result<GatewayState> {
    let clock = Clock::start();
    let vm = fresh_identity();
    let directory = Arc::new(Directory::new(&settings));
    let peers = PeerClients::new(settings.tokens.peers.clone(), tls::peers(&settings.tls)?);
    let keys = operator_keys(&settings.operators);
    let lease = settings.timeouts.config_lease();
    let place = Place {
        domain: settings.domain_id(&settings.vm.domain).unwrap_or_default(),
        region: settings.region_id(&settings.vm.region).unwrap_or_default(),
    };
    let registry =
        RegistrySettings { max_lease: MAX_LEASE, health: HEALTH, ..RegistrySettings::default() };
    let desk = Desk {
        registry: Registry::new(registry),
        router: Router::new(route_settings(&settings.policy), rand::random()),
        speeds: HashMap::new(),
        watch: StallWatch::new(clock.now()),
    };
    Ok(GatewayState {
        vm,
        place,
        clock,
        config: ConfigView::new(lease, vm, keys, clock.now()),
        dialect,
        channels: Channels::default(),
        turns: TurnClient::new(Arc::clone(&directory), peers.clone()),
        histories: HistoryCache::default(),
        metrics: Metrics::new()?,
        log,
        stop: CancellationToken::new(),
        tasks: TaskTracker::new(),
        desk: Mutex::new(desk),
        directory,
        peers,
        settings,
    })
}

/// Returns how the gateway weighs what an endpoint costs.
fn route_settings(policy: &PolicySettings) -> RouteSettings {
    let mut settings =
        RouteSettings { mechanisms: policy.mechanisms(), ..RouteSettings::default() };
    settings.links.region.price = policy.domain_price / MEGABYTE;
    settings.links.paid.price = policy.region_price / MEGABYTE;
    settings
}

/// Bytes of a megabyte, in which prices are set.
const MEGABYTE: f64 = 1e6;

/// When an endpoint is taken out for its failures, and how it comes back.
///
/// A small pool that loses some answers has short runs of failures by chance; out for long each time,
/// most of it would be gone. Endpoints start with what they need, so a short ramp is enough to spread
/// what would come to a new one at once.
const HEALTH: HealthSettings = HealthSettings {
    failures: 4,
    ejection: Duration::from_secs(1),
    longest: Duration::from_secs(8),
    ramp: Duration::from_millis(1_500),
    floor: 0.25,
};
/// Longest lease of an endpoint here; the control group says when one goes.
const MAX_LEASE: Duration = Duration::from_secs(120);

fn spawn_loops(state: &Arc<GatewayState>, halt: &CancellationToken) -> Option<Arc<Discovery>> {
    let process = Process { vm: state.vm, role: Role::Entry, address: state.settings.listen.peers };
    let (directory, peers) = (Arc::clone(&state.directory), state.peers.clone());
    let discovery = Discovery::new(&state.settings, process, directory, peers, state.clock);
    if let Some(discovery) = &discovery {
        tokio::spawn(Arc::clone(discovery).run(halt.clone()));
    }
    tokio::spawn(follow::follow(Arc::clone(state), halt.clone()));
    tokio::spawn(renew_config(Arc::clone(state), halt.clone()));
    tokio::spawn(sweep_channels(Arc::clone(state), halt.clone()));
    tokio::spawn(watch_stalls(Arc::clone(state), halt.clone()));
    discovery
}

async fn renew_config(state: Arc<GatewayState>, halt: CancellationToken) {
    let me = gypsumglade_core::lease::VmRegion { vm: state.vm, region: state.place.region };
    let renewal = Renewal {
        me,
        directory: Arc::clone(&state.directory),
        peers: state.peers.clone(),
        clock: state.clock,
        stop: halt,
        log: state.log.clone(),
    };
    config::renew(&state.config, &renewal, |_| {}).await;
}

async fn watch_stalls(state: Arc<GatewayState>, halt: CancellationToken) {
    while !halt.is_cancelled() {
        let now = state.clock.now();
        state.desk().watch.look(now);
        tokio::time::sleep(stall::TICK).await;
    }
}

async fn sweep_channels(state: Arc<GatewayState>, halt: CancellationToken) {
    while !halt.is_cancelled() {
        state.channels.expire();
        tokio::select! {
            () = halt.cancelled() => {}
            () = tokio::time::sleep(CHANNEL_SWEEP) => {}
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

async fn accept(state: Arc<GatewayState>, socket: TcpListener) {
    let closing = async {
        state.stop.cancelled().await;
        tokio::time::sleep(LISTEN_ON).await;
    };
    tokio::pin!(closing);
    loop {
        let accepted = tokio::select! {
            () = &mut closing => return,
            accepted = socket.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => drop(state.tasks.spawn(connection(Arc::clone(&state), stream))),
            Err(error) => {
                slog::warn!(state.log, "cannot accept a caller"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a caller's connection until it closes it, or a planned stop does.
async fn connection(state: Arc<GatewayState>, stream: TcpStream) {
    // Small frames of a token stream must not wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let serving = Arc::clone(&state);
    let service = service_fn(move |request| {
        let state = Arc::clone(&serving);
        async move { Ok::<_, Infallible>(serve(state, request).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let closing = async {
        state.stop.cancelled().await;
        tokio::time::sleep(LISTEN_ON).await;
    };
    tokio::select! {
        // A caller's connection that broke is the caller's to notice.
        _ = served.as_mut() => return,
        () = closing => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}

/// Takes one request through all steps.
async fn serve(state: Arc<GatewayState>, request: Request<Incoming>) -> Answer {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let line = format!("{} {}", parts.method, parts.uri.path());
    let prepared = prepare(&state, parts, body, arrived).await;
    let (id, result) = match prepared {
        Ok(call) => {
            let call = Arc::new(call);
            let result = match call.stream() {
                Some(_) => streaming::answer(&state, Arc::clone(&call)).await,
                None => plain::answer(&state, &call).await,
            };
            (call.head.id.clone(), result)
        }
        Err((id, refusal)) => (id, Err(refusal)),
    };
    let outcome = match &result {
        Ok(_) => "answered",
        Err(refusal) => refusal.name(),
    };
    let status = result.as_ref().ok().map(|answer| answer.status().as_u16());
    slog::info!(state.log, "request"; "request" => %id, "line" => line, "outcome" => outcome,
        "status" => status, "ms" => arrived.elapsed().as_millis() as u64,
        "revision" => state.config.applied().0);
    state.metrics.call(arrived.elapsed().as_secs_f64(), "passed", outcome);
    let mut answer = result.unwrap_or_else(|refusal| refused(&state, refusal));
    if state.stop.is_cancelled() {
        // The caller opens its next connection to another VM, with an answer in its hands.
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

type Refused = (CompactString, Refusal);

async fn prepare(
    state: &GatewayState,
    parts: request::Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Call, Refused> {
    let head = state.dialect.read_call(&parts);
    let head = head.ok_or((CompactString::default(), Refusal::Malformed))?;
    let refuse = |refusal| (head.id.clone(), refusal);
    let bundle = state.config.active(state.clock.now());
    let bundle = bundle.map_err(|_| refuse(Refusal::Unavailable { after: NO_BUNDLE_PAUSE }))?;
    let route = bundle.route(&head.host, parts.uri.path()).cloned();
    let route = route.ok_or_else(|| refuse(Refusal::NoRoute))?;
    let limit = usize::try_from(bundle.bundle.callers.body_bytes).unwrap_or(usize::MAX);
    let body = read_body(body, limit).await.map_err(refuse)?;
    let program = head.turn.as_ref().map(|turn| &turn.program);
    let pool = choose_pool(&route, program.unwrap_or(&head.id));
    Ok(Call::new(head, parts, body, Matched { route, pool, bundle }, arrived))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Refusal::TooLarge),
        // A caller that broke off or fell silent reads no answer.
        Ok(Err(_)) | Err(_) => Err(Refusal::Malformed),
    }
}
