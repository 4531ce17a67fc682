//! Orders engines to load and drop model versions, on the VM that holds the order lease.
//!
//! Planning and fencing tokens are in [`gypsumglade_core::orders`]; see docs/design/orders.md.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::bundle::Bundle;
use gypsumglade_core::lease::LeaseSettings;
use gypsumglade_core::orders::{
    Engine, FencingToken, LoadLimiter, ModelVersion, Order, OrderHolder, OrderSettings, Planner,
};
use gypsumglade_core::policy::registry::{Endpoint, EndpointKind, home};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::{Command, OrderLease, TakeOrderLease};
use http::StatusCode;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::endpoint_client::SendError;
use super::state::EntryState;
use crate::admin::ControlClient;
use crate::operator;

/// Most loads at one time, which bounds the load on the weight store.
const MAX_CONCURRENT_LOADS: usize = 2;
/// Shortest time between the starts of two loads.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a lease request to the control group; the next round asks again.
const LEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which an order without an outcome no longer blocks its engine. A load that takes
/// longer is ordered again; an engine that is still loading treats it as the same order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Backoff after a refused order, so that a failing weight store is not asked in a tight loop.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(5);
/// Pause between a completed order and the engine's next one. The engine's announcement reaches
/// every VM meanwhile, so that none routes to a version that is then dropped.
const PROPAGATION_DELAY: Duration = Duration::from_secs(2);
/// Order results buffered until the next round.
const OUTCOME_BUFFER: usize = 1_024;
/// Rendezvous key by which the VMs agree on the one that requests the lease.
const LEASE_NAME: &str = "order lease";
/// Path for orders on an engine.
const ORDERS_PATH: &str = "/v1/orders";
/// Error code of an engine that has no slot for another model version.
const NO_CAPACITY_CODE: &str = "no_model_slot";

/// JSON body of an order.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    fence: FencingToken,
    action: Action,
    model: &'a str,
    version: &'a str,
}

/// Action that an order asks for.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum Action {
    Load,
    Unload,
}

/// JSON body of an engine's refusal; other members are ignored.
#[derive(Debug, Deserialize)]
struct RefusalBody {
    error: RefusalCode,
}

#[derive(Debug, Deserialize)]
struct RefusalCode {
    code: CompactString,
}

/// Why an order was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The engine refused the order or was not reached; the order is sent again after a backoff.
    Refused,
    /// The engine has no slot for another version.
    NoCapacity,
}

/// Outcome of an order to one engine.
struct OrderResult {
    endpoint: EndpointName,
    outcome: Outcome,
}

/// An order that was sent and still blocks its engine.
struct PendingOrder {
    order: Order,
    /// When the order stops blocking its engine, unless the engine completes it earlier.
    expires: Time,
    /// When the engine's announcements first showed the order as completed.
    completed_at: Option<Time>,
}

/// Number of versions that an engine can hold, learnt from its refusal. Valid for one incarnation.
struct Capacity {
    incarnation: u64,
    slots: usize,
}

/// Holds the order lease and sends orders under it.
struct OrderController {
    state: Arc<EntryState>,
    control: ControlClient,
    settings: OrderSettings,
    lease_request: TakeOrderLease,
    /// Lease number and the token counter under it. Kept while another VM holds the lease: this
    /// VM may get the same number again, and a token must not be used twice.
    holder: Option<(u32, OrderHolder)>,
    planner: Planner,
    pending: HashMap<EndpointName, PendingOrder>,
    capacities: HashMap<EndpointName, Capacity>,
    outcomes: mpsc::Sender<OrderResult>,
}

/// Renews the order lease and sends orders while this VM is the lease's home, until shutdown.
pub(super) async fn run(state: Arc<EntryState>, halt: CancellationToken) {
    let (outcomes, mut results) = mpsc::channel(OUTCOME_BUFFER);
    let mut orders = OrderController::new(state, outcomes);
    let interval = orders.settings.lease.interval();
    loop {
        tokio::select! {
            () = halt.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
        }
        while let Ok(result) = results.try_recv() {
            orders.handle_result(&result);
        }
        if orders.is_home() {
            orders.renew().await;
            orders.send_orders();
        }
    }
}

impl OrderController {
    fn new(state: Arc<EntryState>, outcomes: mpsc::Sender<OrderResult>) -> OrderController {
        let length_ms = state.settings.timeouts.lease_ms;
        let lease = LeaseSettings { length_ms, ..LeaseSettings::default() };
        let control =
            ControlClient { directory: Arc::clone(&state.directory), peers: state.peers.clone() };
        OrderController {
            control,
            settings: OrderSettings { lease, ..OrderSettings::default() },
            lease_request: TakeOrderLease { vm: state.vm.0, incarnation: rand::random() },
            holder: None,
            planner: Planner::new(LoadLimiter::new(MAX_CONCURRENT_LOADS, LOAD_INTERVAL)),
            pending: HashMap::new(),
            capacities: HashMap::new(),
            outcomes,
            state,
        }
    }

    /// Returns true if this VM should request the lease. When two VMs disagree on who that is, the
    /// lease still has only one holder.
    fn is_home(&self) -> bool {
        let live: Vec<VmId> = self.control.directory.entries().iter().map(|vm| vm.vm).collect();
        home(LEASE_NAME, &live).is_none_or(|vm| vm == self.state.vm)
    }

    async fn renew(&mut self) {
        let requested_at = self.state.clock.now();
        let command = Command { body: Some(CommandBody::TakeOrders(self.lease_request)) };
        let request = operator::submit(&self.control, command);
        let Ok(Some(answer)) = tokio::time::timeout(LEASE_TIMEOUT, request).await else { return };
        let Some(AnswerBody::Orders(lease)) = answer.body else { return };
        if lease.vm == self.lease_request.vm && lease.incarnation == self.lease_request.incarnation
        {
            self.handle_lease(lease, requested_at);
        }
    }

    fn handle_lease(&mut self, lease: OrderLease, requested_at: Time) {
        let known = self.holder.as_ref().is_some_and(|(number, _)| *number == lease.number);
        if !known {
            slog::info!(self.state.log, "acquired the order lease"; "number" => lease.number);
            let holder = OrderHolder::new(self.settings, lease.number, self.state.clock.now());
            self.holder = Some((lease.number, holder));
            self.pending.clear();
        }
        if let Some((_, holder)) = &mut self.holder {
            holder.renewed(requested_at, self.settings.lease.length());
        }
    }

    /// Plans orders from the engines' latest announcements, and sends them.
    fn send_orders(&mut self) {
        let now = self.state.clock.now();
        let Ok(active) = self.state.config.active(now) else { return };
        let engines = self.engines(now);
        for order in self.planner.plan(&active.bundle, &engines, now) {
            self.send(order, &active.bundle, now);
        }
    }

    /// Returns the planner's input, and removes finished orders.
    fn engines(&mut self, now: Time) -> Vec<Engine> {
        let state = Arc::clone(&self.state);
        let routing = state.routing();
        let endpoints = routing.registry.iter().map(|(_, endpoint)| endpoint);
        let engines: Vec<Engine> =
            endpoints.filter_map(|endpoint| self.engine(endpoint, now)).collect();
        self.pending.retain(|name, _| engines.iter().any(|engine| engine.name == *name));
        engines
    }

    fn engine(&mut self, endpoint: &Endpoint, now: Time) -> Option<Engine> {
        let EndpointKind::Engine { models, .. } = &endpoint.kind else { return None };
        let version = |id: &_| {
            let gypsumglade_core::policy::registry::ModelId { model, version } = id;
            ModelVersion { model: model.clone(), version: version.clone() }
        };
        let loaded: Vec<ModelVersion> = models.iter().map(version).collect();
        if self
            .pending
            .get_mut(&endpoint.name)
            .is_some_and(|pending| pending.is_finished(&loaded, now))
        {
            self.pending.remove(&endpoint.name);
        }
        let capacity = self.capacities.get(&endpoint.name);
        let capacity = capacity.filter(|capacity| capacity.incarnation == endpoint.incarnation);
        Some(Engine {
            name: endpoint.name.clone(),
            // Engines don't announce their capacity, so one more slot is assumed until a refusal.
            slots: capacity.map_or(loaded.len() + 1, |capacity| capacity.slots),
            pending: self.pending.get(&endpoint.name).map(|pending| pending.order.clone()),
            leaving: endpoint.leaving,
            loaded,
        })
    }

    fn send(&mut self, order: Order, bundle: &Bundle, now: Time) {
        let (Order::Load { endpoint, .. } | Order::Drop { endpoint, .. }) = &order;
        let Some((address, announced)) = self.target(endpoint) else { return };
        let checks_fencing = announced && !bundle.fencing.is_ignored_by(endpoint);
        let number =
            self.holder.as_mut().and_then(|(_, holder)| holder.next_token(checks_fencing, now));
        let Some(fence) = number else { return };
        slog::info!(self.state.log, "sending order"; "order" => ?order, "fence" => fence.0);
        let (outcomes, name) = (self.outcomes.clone(), endpoint.clone());
        let (state, timeout, sent) =
            (Arc::clone(&self.state), self.settings.delivery_timeout, order.clone());
        self.pending.insert(
            name.clone(),
            PendingOrder { order, expires: now + ORDER_TIMEOUT, completed_at: None },
        );
        tokio::spawn(async move {
            // An order without an outcome stays pending until the engine announces its result or
            // the order expires.
            if let Some(outcome) = deliver(&state, &address, fence, &sent, timeout).await {
                let _ = outcomes.send(OrderResult { endpoint: name, outcome }).await;
            }
        });
    }

    /// Returns an engine's address, and whether it announces that it checks fencing tokens.
    fn target(&self, name: &str) -> Option<(CompactString, bool)> {
        let routing = self.state.routing();
        let endpoint = routing.registry.get(routing.registry.key(name)?)?;
        Some((endpoint.address.clone(), endpoint.fencing))
    }

    fn handle_result(&mut self, result: &OrderResult) {
        if let Some(pending) = self.pending.get_mut(&result.endpoint) {
            pending.expires = self.state.clock.now() + REFUSAL_BACKOFF;
        }
        if result.outcome == Outcome::NoCapacity {
            self.record_capacity(&result.endpoint);
        }
    }

    fn record_capacity(&mut self, name: &EndpointName) {
        let routing = self.state.routing();
        let found = routing.registry.key(name).and_then(|key| routing.registry.get(key));
        let Some(endpoint) = found else { return };
        let EndpointKind::Engine { models, .. } = &endpoint.kind else { return };
        let capacity = Capacity { incarnation: endpoint.incarnation, slots: models.len() };
        self.capacities.insert(name.clone(), capacity);
    }
}

/// Sends an order and returns why it was not carried out. Returns `None` if the engine accepted it
/// or may have received it.
async fn deliver(
    state: &EntryState,
    address: &str,
    fence: FencingToken,
    order: &Order,
    timeout: Duration,
) -> Option<Outcome> {
    let (action, version) = match order {
        Order::Load { version, .. } => (Action::Load, version),
        Order::Drop { version, .. } => (Action::Unload, version),
    };
    let body = OrderBody { fence, action, model: &version.model, version: &version.version };
    let body = Bytes::from(serde_json::to_vec(&body).ok()?);
    let sent = state.endpoints.control(http::Method::POST, address, ORDERS_PATH, body, timeout);
    match sent.await {
        Ok((status, _)) if status.is_success() => None,
        Ok((status, body)) => Some(refusal(status, &body)),
        Err(SendError::NotSent) => Some(Outcome::Refused),
        Err(SendError::Broken | SendError::TimedOut | SendError::Mismatched) => None,
    }
}

fn refusal(status: StatusCode, body: &[u8]) -> Outcome {
    let code = serde_json::from_slice(body).map(|body: RefusalBody| body.error.code);
    match code {
        Ok(code) if status == StatusCode::CONFLICT && code == NO_CAPACITY_CODE => {
            Outcome::NoCapacity
        }
        Ok(_) | Err(_) => Outcome::Refused,
    }
}

impl PendingOrder {
    /// Returns true if the engine may get another order.
    fn is_finished(&mut self, loaded: &[ModelVersion], now: Time) -> bool {
        let done = match &self.order {
            Order::Load { version, .. } => loaded.contains(version),
            Order::Drop { version, .. } => !loaded.contains(version),
        };
        if done {
            return now.since(*self.completed_at.get_or_insert(now)) >= PROPAGATION_DELAY;
        }
        now >= self.expires
    }
}
