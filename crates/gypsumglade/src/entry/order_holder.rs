//! Has engines load and drop model versions, on the one VM that holds the order lease.
//!
//! The plan and the fencing numbers are the core's; see docs/design/orders.md.

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

/// Loads that the weight store takes at one time.
const LOADS_AT_ONCE: usize = 2;
/// Pause between the starts of two loads.
const LOAD_PAUSE: Duration = Duration::from_secs(1);
/// Longest wait for the control group; a lost answer is asked for again.
const LEASE_PATIENCE: Duration = Duration::from_secs(3);
/// Longest time that an order without an outcome keeps its engine from other orders. A load that
/// takes longer is ordered again, which an engine that still loads takes as the same.
const ORDER_PATIENCE: Duration = Duration::from_secs(60);
/// Pause before an engine that refused an order gets another, so that a weight store that fails is
/// not asked in a tight loop.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);
/// Time from an order seen carried out until the engine gets the next, in which the engine's
/// announcement reaches every VM: none still routes to the version that is then dropped.
const SPREAD: Duration = Duration::from_secs(2);
/// Most outcomes that wait for the next round.
const OUTCOME_BUFFER: usize = 1_024;
/// Names the lease where VMs agree on who asks for it, so that not all do at once.
const LEASE_NAME: &str = "order lease";
/// Path under which an engine takes orders.
const ORDERS_PATH: &str = "/v1/orders";
/// Code of an engine's refusal to load one more version.
const NO_ROOM_CODE: &str = "no_model_slot";

/// An order as an engine takes it.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    fence: FencingToken,
    action: Action,
    model: &'a str,
    version: &'a str,
}

/// What an engine is to do.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum Action {
    Load,
    Unload,
}

/// An engine's refusal, as far as it is read.
#[derive(Debug, Deserialize)]
struct RefusalBody {
    error: RefusalCode,
}

#[derive(Debug, Deserialize)]
struct RefusalCode {
    code: CompactString,
}

/// What is known of an order that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The engine refused, or was never reached: it is ordered again after a pause.
    Refused,
    /// The engine has no room for another version.
    NoRoom,
}

/// The outcome of one order.
struct Told {
    endpoint: EndpointName,
    outcome: Outcome,
}

/// An order given and not yet done with.
struct Given {
    order: Order,
    /// Until then the engine gets no other order, whatever became of this one.
    until: Time,
    /// When the engine first announced that it was carried out.
    seen: Option<Time>,
}

/// How many versions an incarnation of an engine has room for, learnt from its refusal.
struct Room {
    incarnation: u64,
    slots: usize,
}

struct Orders {
    state: Arc<EntryState>,
    control: ControlClient,
    settings: OrderSettings,
    take: TakeOrderLease,
    /// The lease's number, and who counts the orders under it. Kept while another VM holds the
    /// lease: the log may give this one the same number again, and the count must go on.
    holder: Option<(u32, OrderHolder)>,
    planner: Planner,
    given: HashMap<EndpointName, Given>,
    rooms: HashMap<EndpointName, Room>,
    outcomes: mpsc::Sender<Told>,
}

/// Holds the lease when it is this VM's turn, and gives orders under it, until the process ends.
pub(super) async fn run(state: Arc<EntryState>, halt: CancellationToken) {
    let (outcomes, mut told) = mpsc::channel(OUTCOME_BUFFER);
    let mut orders = Orders::new(state, outcomes);
    let interval = orders.settings.lease.interval();
    loop {
        tokio::select! {
            () = halt.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
        }
        while let Ok(told) = told.try_recv() {
            orders.take_outcome(&told);
        }
        if orders.is_home() {
            orders.renew().await;
            orders.give();
        }
    }
}

impl Orders {
    fn new(state: Arc<EntryState>, outcomes: mpsc::Sender<Told>) -> Orders {
        let length_ms = state.settings.timeouts.lease_ms;
        let lease = LeaseSettings { length_ms, ..LeaseSettings::default() };
        let control =
            ControlClient { directory: Arc::clone(&state.directory), peers: state.peers.clone() };
        Orders {
            control,
            settings: OrderSettings { lease, ..OrderSettings::default() },
            take: TakeOrderLease { vm: state.vm.0, incarnation: rand::random() },
            holder: None,
            planner: Planner::new(LoadLimiter::new(LOADS_AT_ONCE, LOAD_PAUSE)),
            given: HashMap::new(),
            rooms: HashMap::new(),
            outcomes,
            state,
        }
    }

    /// Tells whether this VM is the one to ask. Two that both believe so are told apart by the
    /// lease itself.
    fn is_home(&self) -> bool {
        let live: Vec<VmId> = self.control.directory.entries().iter().map(|vm| vm.vm).collect();
        home(LEASE_NAME, &live).is_none_or(|vm| vm == self.state.vm)
    }

    async fn renew(&mut self) {
        let asked = self.state.clock.now();
        let command = Command { body: Some(CommandBody::TakeOrders(self.take)) };
        let asking = operator::submit(&self.control, command);
        let Ok(Some(answer)) = tokio::time::timeout(LEASE_PATIENCE, asking).await else { return };
        let Some(AnswerBody::Orders(lease)) = answer.body else { return };
        if lease.vm == self.take.vm && lease.incarnation == self.take.incarnation {
            self.renewed(lease, asked);
        }
    }

    fn renewed(&mut self, lease: OrderLease, asked: Time) {
        let known = self.holder.as_ref().is_some_and(|(number, _)| *number == lease.number);
        if !known {
            slog::info!(self.state.log, "holds the order lease"; "number" => lease.number);
            let holder = OrderHolder::new(self.settings, lease.number, self.state.clock.now());
            self.holder = Some((lease.number, holder));
            self.given.clear();
        }
        if let Some((_, holder)) = &mut self.holder {
            holder.renewed(asked, self.settings.lease.length());
        }
    }

    /// Plans from what the engines announce now, and sends what may be sent.
    fn give(&mut self) {
        let now = self.state.clock.now();
        let Ok(active) = self.state.config.active(now) else { return };
        let engines = self.engines(now);
        for order in self.planner.plan(&active.bundle, &engines, now) {
            self.send(order, &active.bundle, now);
        }
    }

    /// Returns the engines as the planner sees them, and forgets orders that are done with.
    fn engines(&mut self, now: Time) -> Vec<Engine> {
        let state = Arc::clone(&self.state);
        let desk = state.desk();
        let endpoints = desk.registry.iter().map(|(_, endpoint)| endpoint);
        let engines: Vec<Engine> =
            endpoints.filter_map(|endpoint| self.engine(endpoint, now)).collect();
        self.given.retain(|name, _| engines.iter().any(|engine| engine.name == *name));
        engines
    }

    fn engine(&mut self, endpoint: &Endpoint, now: Time) -> Option<Engine> {
        let EndpointKind::Engine { models, .. } = &endpoint.kind else { return None };
        let version = |id: &_| {
            let gypsumglade_core::policy::registry::ModelId { model, version } = id;
            ModelVersion { model: model.clone(), version: version.clone() }
        };
        let loaded: Vec<ModelVersion> = models.iter().map(version).collect();
        if self.given.get_mut(&endpoint.name).is_some_and(|given| given.is_over(&loaded, now)) {
            self.given.remove(&endpoint.name);
        }
        let room = self.rooms.get(&endpoint.name);
        let room = room.filter(|room| room.incarnation == endpoint.incarnation);
        Some(Engine {
            name: endpoint.name.clone(),
            // An engine doesn't announce its room, so it counts as free until it says otherwise.
            slots: room.map_or(loaded.len() + 1, |room| room.slots),
            pending: self.given.get(&endpoint.name).map(|given| given.order.clone()),
            leaving: endpoint.leaving,
            loaded,
        })
    }

    fn send(&mut self, order: Order, bundle: &Bundle, now: Time) {
        let (Order::Load { endpoint, .. } | Order::Drop { endpoint, .. }) = &order;
        let Some((address, announced)) = self.target(endpoint) else { return };
        let checks = announced && !bundle.fencing.is_ignored_by(endpoint);
        let number = self.holder.as_mut().and_then(|(_, holder)| holder.next_token(checks, now));
        let Some(fence) = number else { return };
        slog::info!(self.state.log, "gives an order"; "order" => ?order, "fence" => fence.0);
        let (outcomes, name) = (self.outcomes.clone(), endpoint.clone());
        let (state, flight, sent) =
            (Arc::clone(&self.state), self.settings.delivery_timeout, order.clone());
        self.given.insert(name.clone(), Given { order, until: now + ORDER_PATIENCE, seen: None });
        tokio::spawn(async move {
            // An order without an outcome stays given until the engine shows it or time is over.
            if let Some(outcome) = deliver(&state, &address, fence, &sent, flight).await {
                let _ = outcomes.send(Told { endpoint: name, outcome }).await;
            }
        });
    }

    /// Returns an engine's address, and whether it announces that it checks fencing numbers.
    fn target(&self, name: &str) -> Option<(CompactString, bool)> {
        let desk = self.state.desk();
        let endpoint = desk.registry.get(desk.registry.key(name)?)?;
        Some((endpoint.address.clone(), endpoint.fencing))
    }

    fn take_outcome(&mut self, told: &Told) {
        if let Some(given) = self.given.get_mut(&told.endpoint) {
            given.until = self.state.clock.now() + REFUSED_PAUSE;
        }
        if told.outcome == Outcome::NoRoom {
            self.learn_room(&told.endpoint);
        }
    }

    fn learn_room(&mut self, name: &EndpointName) {
        let desk = self.state.desk();
        let found = desk.registry.key(name).and_then(|key| desk.registry.get(key));
        let Some(endpoint) = found else { return };
        let EndpointKind::Engine { models, .. } = &endpoint.kind else { return };
        let room = Room { incarnation: endpoint.incarnation, slots: models.len() };
        self.rooms.insert(name.clone(), room);
    }
}

/// Sends an order and gives up its connection after the longest flight.
async fn deliver(
    state: &EntryState,
    address: &str,
    fence: FencingToken,
    order: &Order,
    flight: Duration,
) -> Option<Outcome> {
    let (action, version) = match order {
        Order::Load { version, .. } => (Action::Load, version),
        Order::Drop { version, .. } => (Action::Unload, version),
    };
    let body = OrderBody { fence, action, model: &version.model, version: &version.version };
    let body = Bytes::from(serde_json::to_vec(&body).ok()?);
    let sent = state.endpoints.control(http::Method::POST, address, ORDERS_PATH, body, flight);
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
        Ok(code) if status == StatusCode::CONFLICT && code == NO_ROOM_CODE => Outcome::NoRoom,
        Ok(_) | Err(_) => Outcome::Refused,
    }
}

impl Given {
    /// Tells whether the engine may get another order.
    fn is_over(&mut self, loaded: &[ModelVersion], now: Time) -> bool {
        let done = match &self.order {
            Order::Load { version, .. } => loaded.contains(version),
            Order::Drop { version, .. } => !loaded.contains(version),
        };
        if done {
            return now.since(*self.seen.get_or_insert(now)) >= SPREAD;
        }
        now >= self.until
    }
}
