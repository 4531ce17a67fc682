//! Chooses an endpoint for an attempt, and tracks the attempt in the registry until it ends.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::batch::BatchCost;
use gypsumglade_core::policy::mechanism::Mechanism;
use gypsumglade_core::policy::overload::PoolLoad;
use gypsumglade_core::policy::registry::{
    DispatchKey, DispatchLoad, EndpointKey, EndpointKind, LoadReport, ModelId, Registry,
};
use gypsumglade_core::policy::route::{Choice, RouteError, RouteRequest, SharedPrefix, Target};
use gypsumglade_core::policy::stall::{StallCount, StallDetector};
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::Assignment;
use gypsumglade_core::wire::turn::{self as wire, PromptRun};
use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::abandoned_attempts::{self, AbandonedAttempt, Incarnation};
use super::call::Call;
use super::dialect::EndpointLoad;
use super::state::{GatewayState, RoutingState};
use super::suspects::{Run, Trial};

/// Expected length of an answer, as a fraction of its token limit.
const OUTPUT_FRACTION: f64 = 0.5;

/// An attempt in flight at an endpoint. Dropping it without a call of one of the methods that end it
/// abandons it, which has no effect on the endpoint's health; the endpoint may still run the request.
pub(super) struct ActiveDispatch {
    state: Arc<GatewayState>,
    pub(super) endpoint: EndpointKey,
    key: Option<DispatchKey>,
    pub(super) name: EndpointName,
    pub(super) incarnation: u64,
    pub(super) address: SocketAddr,
    /// Prompt tokens that were not expected in the endpoint's prefix cache.
    pub(super) uncached: u64,
    pub(super) started: Instant,
    /// Number of stalls of this process before the start.
    pub(super) stalls: StallCount,
    /// Leave to run a suspected request, held until the attempt ends.
    trial: Option<Trial>,
    /// The request, once the endpoint may have begun to run it.
    sent: Option<Arc<Call>>,
}

/// Chooses a request's pool by the weights of its route. Equal keys give equal pools, so that a program
/// stays where its prompts are cached.
pub(super) fn choose_pool(route: &gypsumglade_core::bundle::Route, key: &str) -> CompactString {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = xxh3_64(key.as_bytes()) % total.max(1);
    for share in &route.shares {
        if point < u64::from(share.weight) {
            return share.pool.clone();
        }
        point -= u64::from(share.weight);
    }
    CompactString::default()
}

/// Returns the model id under which the registry lists a pool's engines.
pub(super) fn pool_model(pool: &str) -> ModelId {
    ModelId::new(pool, "")
}

/// Returns the load of the available engines of a request's pool.
pub(super) fn pool_load(state: &GatewayState, call: &Call) -> PoolLoad {
    let now = state.clock.now();
    let routing = state.routing();
    let model = pool_model(&call.pool);
    let open = routing
        .registry
        .candidates(&model)
        .iter()
        .filter(|key| routing.registry.is_available(now, **key));
    let slowdown = routing.speeds.get(&call.pool).map_or(1.0, |speed| speed.slowdown.ratio());
    let endpoints = open.filter_map(|key| routing.registry.get(*key));
    endpoints.fold(PoolLoad { slowdown, ..PoolLoad::default() }, |sum, endpoint| PoolLoad {
        calls: sum.calls + u64::from(endpoint.load(now).total),
        slots: sum.slots + u64::from(endpoint.kind.slots()),
        ..sum
    })
}

/// Estimated speed of a pool's engines; `None` before the first streams.
pub(super) struct SpeedEstimate {
    /// Time per generated token.
    pub(super) decode: Option<BatchCost>,
    /// Seconds per uncached prompt token.
    pub(super) prefill: Option<f64>,
}

/// Returns the estimated speed of the engines of a request's pool.
pub(super) fn speed_estimate(state: &GatewayState, call: &Call) -> SpeedEstimate {
    let speed = state.routing().speeds.get(&call.pool).copied().unwrap_or_default();
    SpeedEstimate {
        decode: speed.decode.cost(call.engine_slots()),
        prefill: speed.prefill.token_time(),
    }
}

/// Updates the pool's prefill speed from the time that a stream took to its first event.
pub(super) fn record_first_event(state: &GatewayState, call: &Call, dispatch: &ActiveDispatch) {
    if dispatch.was_stalled() {
        return;
    }
    let (uncached, first) = (dispatch.uncached, dispatch.started.elapsed());
    let mut routing = state.routing();
    let speed = routing.speeds.entry(call.pool.clone()).or_default();
    speed.prefill.observe(uncached as f64, first.as_secs_f64());
}

/// Updates the pool's decode speed from a stream: the mean time between its events, and the load of
/// its endpoint.
pub(super) fn record_speed(
    state: &GatewayState,
    call: &Call,
    dispatch: &ActiveDispatch,
    gap: Duration,
    load: EndpointLoad,
) {
    if dispatch.was_stalled() {
        return;
    }
    let token = gap.as_secs_f64() / call.event_tokens().max(1) as f64;
    // The reported load includes the request itself.
    let beside = f64::from(load.running.saturating_sub(1));
    let mut routing = state.routing();
    let speed = routing.speeds.entry(call.pool.clone()).or_default();
    speed.decode.observe(beside, token);
    speed.slowdown.observe(gap);
}

/// Records which endpoint last read a prompt prefix, as reported by the turn group, which also knows
/// the turns of other VMs.
pub(super) fn record_prompt_run(state: &GatewayState, run: &PromptRun) {
    let now = state.clock.now();
    let mut routing = state.routing();
    if let Some(key) = routing.registry.key(&run.endpoint) {
        routing.registry.expect_prefix(now, key, run.prompt, run.tokens);
    }
}

/// Maximum number of engines that are offered for a turn, which bounds the message.
const MAX_OFFERS: usize = 32;

/// Returns the engines that the turn group's leader may assign a turn to, or `None` while the speed
/// of the pool's engines is unknown.
pub(super) fn offers(
    state: &GatewayState,
    call: &Call,
    prefixes: &[SharedPrefix],
) -> Option<wire::Offers> {
    if !state.settings.policy.mechanisms().has(Mechanism::Assignment) {
        return None;
    }
    let now = state.clock.now();
    let mut routing = state.routing();
    let routing = &mut *routing;
    let request = route_request(state, routing, call, &call.body, &[]);
    let (batch, prefill) = (request.batch?, request.prefill_seconds?);
    let costs = routing.router.unloaded(now, &routing.registry, &request, MAX_OFFERS);
    let offers = costs.into_iter().filter_map(|cost| {
        let endpoint = routing.registry.get(cost.endpoint)?;
        Some(wire::Offer {
            endpoint: endpoint.name.to_string(),
            slots: endpoint.kind.slots(),
            base_us: micros(cost.base),
            cached: cost.cached,
        })
    });
    let offers: Vec<_> = offers.collect();
    let slots = f64::from(call.engine_slots().max(1));
    let tokens = request.expected_output as f64;
    Some(wire::Offers {
        offers,
        tokens: prefixes.iter().map(|prefix| prefix.tokens).collect(),
        token_ns: (prefill * NANOS) as u64,
        call_us: micros(2.0 * tokens * batch.slope),
        wait_us: micros(tokens * batch.token_time(slots - 1.0) / slots),
    })
}

/// Nanoseconds in a second.
const NANOS: f64 = 1e9;

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// Chooses an endpoint that is not in `excluded`, and counts the attempt there. The assigned one is
/// chosen if it may get the request.
///
/// # Errors
/// Returns the recommended delay before a retry if no endpoint is available.
pub(super) fn place(
    state: &Arc<GatewayState>,
    call: &Call,
    body: &Bytes,
    excluded: &[EndpointName],
    assigned: Option<Assignment>,
) -> Result<ActiveDispatch, Duration> {
    let now = state.clock.now();
    let mut routing = state.routing();
    let routing = &mut *routing;
    let request = route_request(state, routing, call, body, excluded);
    let assigned = assigned.and_then(|assignment| {
        record_cached(now, &mut routing.registry, &request, &assignment);
        routing.router.assigned(now, &routing.registry, &request, &assignment.endpoint)
    });
    let choice = match assigned {
        Some(choice) => choice,
        None => routing.router.choose(now, &routing.registry, &request).map_err(
            |error| match error {
                RouteError::NoEndpoint { retry_after, .. }
                | RouteError::NoneAvailable { retry_after, .. } => retry_after,
            },
        )?,
    };
    let dispatch =
        start_dispatch(state, &mut routing.registry, &routing.stall_detector, now, &choice);
    for prefix in &request.shared_prefixes {
        routing.registry.expect_prefix(now, choice.endpoint, prefix.hash, prefix.tokens);
    }
    dispatch.ok_or(NO_ADDRESS_RETRY_AFTER)
}

/// Records the prefixes that the turn group's leader expects in an engine's cache, which may be those
/// of other VMs.
fn record_cached(
    now: Time,
    registry: &mut Registry,
    request: &RouteRequest,
    assignment: &Assignment,
) {
    let Some(key) = registry.key(&assignment.endpoint) else { return };
    for prefix in request.shared_prefixes.iter().filter(|prefix| prefix.tokens <= assignment.cached)
    {
        registry.expect_prefix(now, key, prefix.hash, prefix.tokens);
    }
}

/// Retry delay when the chosen endpoint's address is invalid; a different one may be available by
/// then.
const NO_ADDRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

fn start_dispatch(
    state: &Arc<GatewayState>,
    registry: &mut Registry,
    stall_detector: &StallDetector,
    now: Time,
    choice: &Choice,
) -> Option<ActiveDispatch> {
    let endpoint = registry.get(choice.endpoint)?;
    let (name, incarnation) = (endpoint.name.clone(), endpoint.incarnation);
    let address = endpoint.address.parse().ok()?;
    let load = DispatchLoad { prefill_tokens: choice.prefill_tokens, isolated: false };
    let key = registry.dispatched(now, choice.endpoint, load);
    let state = Arc::clone(state);
    let stalls = stall_detector.stalls(now);
    let uncached = choice.prefill_tokens;
    Some(ActiveDispatch {
        state,
        endpoint: choice.endpoint,
        key: Some(key),
        name,
        incarnation,
        address,
        uncached,
        started: Instant::now(),
        stalls,
        trial: None,
        sent: None,
    })
}

fn route_request(
    state: &GatewayState,
    routing: &RoutingState,
    call: &Call,
    body: &Bytes,
    excluded: &[EndpointName],
) -> RouteRequest {
    let speed = routing.speeds.get(&call.pool).copied().unwrap_or_default();
    let engine = call.bundle.pool(&call.pool).is_some_and(|pool| pool.engine.is_some());
    let target = match engine {
        true => Target::Model(pool_model(&call.pool)),
        false => Target::Service(call.pool.clone()),
    };
    let key = call.head.affinity.as_deref().unwrap_or(&call.head.id);
    RouteRequest {
        target,
        program: xxh3_64(key.as_bytes()),
        prompt_tokens: call.head.prompt_tokens,
        prior_tokens: 0,
        expected_output: (call.head.max_tokens as f64 * OUTPUT_FRACTION) as u64,
        batch: speed.decode.cost(call.engine_slots()),
        prefill_seconds: speed.prefill.token_time(),
        bytes: Some(body.len() as u64),
        last_runs: Vec::new(),
        shared_prefixes: shared_prefixes(call),
        class: if call.rank() == 0 { Class::Urgent } else { Class::Normal },
        place: state.place,
        excluded: excluded.to_vec(),
        isolate: false,
    }
}

/// Returns the prefixes of the prompt, one per part. Each hash covers all parts up to there, since
/// engines cache a part only together with those before it.
pub(super) fn shared_prefixes(call: &Call) -> Vec<SharedPrefix> {
    let mut hash = 0;
    let mut tokens = 0;
    let parts = call.head.prompt.iter();
    let prefixes = parts.map(|part| {
        hash = xxh3_64_with_seed(&part.hash.to_le_bytes(), hash);
        tokens += part.tokens;
        SharedPrefix { hash, tokens }
    });
    prefixes.collect()
}

impl ActiveDispatch {
    /// Returns whether this process has stalled since the start, which makes the measured times
    /// useless.
    fn was_stalled(&self) -> bool {
        let now = self.state.clock.now();
        self.state.routing().stall_detector.stalls(now) != self.stalls
    }

    /// Returns the dispatch with leave to run a suspected request.
    pub(super) fn with_trial(mut self, trial: Option<Trial>) -> ActiveDispatch {
        self.trial = trial;
        self
    }

    /// Returns the leave to run a suspected request, which otherwise ends with the attempt.
    pub(super) fn take_trial(&mut self) -> Option<Trial> {
        self.trial.take()
    }

    /// Records that the endpoint may run the request from now on.
    pub(super) fn mark_sent(&mut self, call: &Arc<Call>) {
        self.sent = Some(Arc::clone(call));
    }

    /// Returns whether the endpoint has announced that it leaves, or has left.
    pub(super) fn is_leaving(&self) -> bool {
        self.state.is_leaving(&self.name, self.incarnation)
    }

    /// Returns the number of other attempts of this VM that are in flight at the endpoint.
    pub(super) fn others_in_flight(&self) -> u32 {
        self.state.routing().registry.in_flight(self.endpoint).saturating_sub(1)
    }

    /// Passes the load that came with an answer on to the registry.
    pub(super) fn record_load(&self, load: EndpointLoad) {
        let now = self.state.clock.now();
        let report =
            LoadReport { running: load.running, waiting: load.waiting, ..LoadReport::default() };
        self.state.routing().registry.load_reported(now, self.endpoint, report);
    }

    /// Records that the engine has read the prompt.
    pub(super) fn prefilled(&self) {
        if let Some(key) = self.key {
            self.state.routing().registry.prefilled(key);
        }
    }

    /// Ends the attempt, which the endpoint has not run.
    pub(super) fn not_run(mut self) {
        self.sent = None;
    }

    /// Ends the attempt with an answer.
    pub(super) fn finished(mut self) {
        self.sent = None;
        if let Some(key) = self.key.take() {
            let now = self.state.clock.now();
            self.state.routing().registry.finished(now, key);
        }
    }

    /// Ends the attempt with a failure, which counts against the endpoint's health.
    pub(super) fn failed(mut self) {
        self.sent = None;
        if let Some(key) = self.key.take() {
            let now = self.state.clock.now();
            self.state.routing().registry.failed(now, key);
        }
    }

    /// Ends the attempt because a different endpoint has the address, and marks the intended one as
    /// leaving, so that it gets no more work.
    pub(super) fn misdirected(mut self) {
        self.sent = None;
        let now = self.state.clock.now();
        self.state.routing().registry.leave(now, &self.name, self.incarnation);
    }
}

impl Drop for ActiveDispatch {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            let now = self.state.clock.now();
            self.state.routing().registry.cancelled(now, key);
        }
        if let Some(call) = self.sent.take() {
            let endpoint = Incarnation { name: self.name.clone(), number: self.incarnation };
            let attempt = AbandonedAttempt::new(Run::of(&call, self.started), self.trial.take());
            abandoned_attempts::watch(&self.state, endpoint, self.address, attempt);
        }
    }
}

/// Returns the registry's description of an endpoint of a pool.
pub(super) fn endpoint_kind(
    bundle: &crate::entry::active_bundle::ActiveBundle,
    pool: &str,
    slots: u32,
) -> EndpointKind {
    match bundle.pool(pool).and_then(|found| found.engine) {
        Some(engine) => EndpointKind::Engine {
            models: vec![pool_model(pool)],
            slots: engine.slots,
            prefill_rate: UNKNOWN_RATE,
            decode_rate: UNKNOWN_RATE,
            cache_tokens: engine.cache_tokens,
        },
        None => EndpointKind::Service { name: pool.into(), slots },
    }
}

/// Tokens per second assumed before there is an estimate. Infinity keeps prompt and answer lengths out
/// of the choice.
const UNKNOWN_RATE: f64 = f64::INFINITY;
