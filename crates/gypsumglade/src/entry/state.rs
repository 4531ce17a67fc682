//! State shared by all tasks of an entry VM.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use gypsumglade_core::policy::registry::{
    DispatchKey, DispatchLoad, Endpoint, EndpointKind, Registry,
};
use gypsumglade_core::policy::retry::RetryPolicy;
use gypsumglade_core::policy::route::{Choice, Place, RouteError, RouteRequest, Router};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::program::Release;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admit::AdmissionController;
use super::config::ConfigView;
use super::endpoint_client::EndpointClient;
use super::groups::GroupClient;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::gateway::TurnClient;
use crate::limit_report::LimitReport;
use crate::members::EntryMember;
use crate::metrics::Metrics;
use crate::request_memory::RequestMemory;
use crate::rpc::PeerClients;
use crate::settings::Settings;
use crate::store::ReleaseAnswer;

/// Settings, clients and routing state of one entry VM.
pub struct EntryState {
    /// Id of this VM.
    pub vm: VmId,
    /// Drawn at the start of the process, to tell it from an earlier one on this VM.
    pub boot_id: u32,
    /// Settings of the process.
    pub settings: Settings,
    /// Failure domain and region of this VM.
    pub place: Place,
    /// Monotonic clock, which starts with the process.
    pub clock: Clock,
    /// Addresses of the other VMs.
    pub directory: Arc<Directory>,
    /// RPC clients for the other VMs.
    pub peers: PeerClients,
    /// Client of the program groups.
    pub groups: GroupClient,
    /// Client of the turn group, which counts calls towards the organisations' limits.
    pub(crate) turns: TurnClient,
    /// HTTP client for endpoints.
    pub endpoints: EndpointClient,
    /// Active bundle and the configuration lease.
    pub config: ConfigView,
    /// Admission control, with one pool per model.
    pub admission: AdmissionController,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Memory that callers' requests may hold.
    pub(crate) memory: RequestMemory,
    /// Counts limits that callers reach.
    pub(crate) limits: LimitReport,
    /// Logger of the process.
    pub log: slog::Logger,
    /// Cancelled when a graceful shutdown begins.
    pub stop: CancellationToken,
    /// Calls in flight, which a graceful shutdown waits for.
    pub tasks: TaskTracker,
    /// Dispatches in flight from this VM, which a store may cancel.
    pub running: RunningCalls,
    pub(super) members: Mutex<Vec<EntryMember>>,
    pub(super) routing: Mutex<RoutingState>,
}

/// Cancellation tokens of the dispatches in flight, by dispatch id.
#[derive(Debug, Default)]
pub struct RunningCalls {
    tokens: Mutex<HashMap<CompactString, CancellationToken>>,
}

impl RunningCalls {
    /// Adds a dispatch and returns its token, which is cancelled when the program ends.
    pub fn add(&self, dispatch: &str) -> CancellationToken {
        let token = CancellationToken::new();
        self.lock().insert(dispatch.into(), token.clone());
        token
    }

    /// Removes a dispatch once its attempt has ended.
    pub fn remove(&self, dispatch: &str) {
        self.lock().remove(dispatch);
    }

    /// Cancels a dispatch if it is in flight on this VM.
    pub fn cancel(&self, dispatch: &str) {
        if let Some(token) = self.lock().get(dispatch) {
            token.cancel();
        }
    }

    /// Returns the number of dispatches in flight.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CompactString, CancellationToken>> {
        self.tokens.lock().expect("no panic while held")
    }
}

/// Endpoint registry, router and retry budgets, behind one lock that is never held across an await.
pub(super) struct RoutingState {
    pub(super) registry: Registry,
    pub(super) router: Router,
    pub(super) retries: RetryPolicy,
}

/// A call assigned to an endpoint, counted as in flight there until [`EntryState::release_call`].
#[derive(Clone, Debug)]
pub struct PlacedCall {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Address of the endpoint, `ip:port`.
    pub address: CompactString,
    /// Region of the endpoint; traffic to another region is metered.
    pub region: RegionId,
    /// Prompt tokens that the engine is expected to prefill.
    pub prefill_tokens: u64,
    key: DispatchKey,
}

/// How a dispatch to an endpoint ended, as the registry counts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The endpoint answered.
    Finished,
    /// The endpoint failed.
    Failed,
    /// The call was cancelled before its answer was complete.
    Cancelled,
}

impl EntryState {
    pub(super) fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().expect("no panic while held")
    }

    /// Chooses an endpoint for a call and counts the call as in flight there.
    ///
    /// # Errors
    /// Fails when no endpoint can take the call, with the reason and the time to retry after.
    pub fn place_call(&self, request: &RouteRequest) -> Result<PlacedCall, RouteError> {
        let now = self.clock.now();
        let mut routing = self.routing();
        let routing = &mut *routing;
        let choice = routing.router.choose(now, &routing.registry, request)?;
        Ok(routing.record_dispatch(now, &choice, request.isolate))
    }

    /// Removes a call from the in-flight count of its endpoint.
    pub fn release_call(&self, placed: &PlacedCall, end: DispatchEnd) {
        let now = self.clock.now();
        let mut routing = self.routing();
        match end {
            DispatchEnd::Finished => routing.registry.finished(now, placed.key),
            DispatchEnd::Failed => routing.registry.failed(now, placed.key),
            DispatchEnd::Cancelled => routing.registry.cancelled(now, placed.key),
        }
    }

    /// Records that the engine has computed the prompt of a call.
    pub fn prefill_finished(&self, placed: &PlacedCall) {
        self.routing().registry.prefilled(placed.key);
    }

    /// Sets each model's concurrency bound to this VM's share of the slots that engines announce.
    ///
    /// Assumes that the load balancer spreads calls evenly over the entry VMs. `POOL_SLACK` leaves
    /// room for uneven load, so that engines don't idle while calls wait on a busier VM.
    pub fn resize_pools(&self) {
        let entries = self.directory.entries().len().max(1) as f64;
        for (model, slots) in self.routing().slots() {
            self.admission.resize(&model, (f64::from(slots) / entries * POOL_SLACK).ceil());
        }
    }

    /// Removes endpoints whose lease has expired.
    pub fn expire_endpoints(&self) {
        let now = self.clock.now();
        let expired = self.routing().registry.expire(now);
        if !expired.is_empty() {
            slog::info!(self.log, "endpoints expired"; "count" => expired.len());
            self.resize_pools();
        }
    }

    /// Asks an engine to free the prefix memory of an ended program.
    ///
    /// An unknown engine is reported as gone only once this VM has run for twice the longest lease.
    /// Before that, the engine may not have announced itself here, and its memory would leak.
    pub async fn release_memory(&self, release: &Release) -> ReleaseAnswer {
        let Some(address) = self.endpoint_address(&release.endpoint) else {
            let registry_complete = self.clock.now() > Time::ZERO + MAX_LEASE * 2;
            return if registry_complete { ReleaseAnswer::Gone } else { ReleaseAnswer::Failed };
        };
        let Some(program) = &release.program else { return ReleaseAnswer::Freed };
        let body = serde_json::json!({"program": format!("{}/{}", program.org, program.program)});
        let released = self.endpoints.control(
            http::Method::POST,
            &address,
            "/v1/programs/release",
            Bytes::from(body.to_string()),
            self.settings.timeouts.peer(),
        );
        match released.await {
            Ok((status, _)) if status.is_success() => ReleaseAnswer::Freed,
            Ok(_) | Err(_) => ReleaseAnswer::Failed,
        }
    }

    /// Returns the address of an endpoint in the registry.
    pub fn endpoint_address(&self, name: &str) -> Option<CompactString> {
        let routing = self.routing();
        let key = routing.registry.key(name)?;
        routing.registry.get(key).map(|endpoint| endpoint.address.clone())
    }
}

/// Longest lease that the registry grants to an endpoint.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Factor by which a VM may exceed its even share of a model's slots.
const POOL_SLACK: f64 = 2.0;

impl RoutingState {
    /// Returns the slots of each model, summed over the engines that are not leaving.
    fn slots(&self) -> HashMap<CompactString, u32> {
        let mut slots: HashMap<CompactString, u32> = HashMap::new();
        for (_, endpoint) in self.registry.iter().filter(|(_, endpoint)| !endpoint.leaving) {
            let EndpointKind::Engine { models, slots: engine_slots, .. } = &endpoint.kind else {
                continue;
            };
            for model in models {
                let sum = slots.entry(model.model.clone()).or_default();
                *sum = sum.saturating_add(*engine_slots);
            }
        }
        slots
    }

    fn record_dispatch(&mut self, now: Time, choice: &Choice, isolated: bool) -> PlacedCall {
        let load = DispatchLoad { prefill_tokens: choice.prefill_tokens, isolated };
        let key = self.registry.dispatched(now, choice.endpoint, load);
        let endpoint = self.registry.get(choice.endpoint);
        let (name, address, region) = endpoint
            .map(|found| (found.name.clone(), found.address.clone(), found.region))
            .unwrap_or_default();
        PlacedCall { name, address, region, prefill_tokens: choice.prefill_tokens, key }
    }
}

impl EntryState {
    /// Returns a JSON dump of the process state for operators.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.clock.now();
        let routing = self.routing();
        let endpoints: Vec<serde_json::Value> =
            routing.registry.iter().map(|(_, endpoint)| endpoint_dump(endpoint, now)).collect();
        drop(routing);
        serde_json::json!({
            "role": "entry",
            "vm": self.vm,
            "place": self.place,
            "revision": self.config.applied(),
            "lease_ms": self.config.remaining(now).as_millis() as u64,
            "stopping": self.stop.is_cancelled(),
            "running": self.running.count(),
            "pools": self.admission.loads(),
            "endpoints": endpoints,
            "members": self.members(),
            "entries": self.directory.entries(),
            "stores": self.directory.stores(),
        })
    }
}

fn endpoint_dump(endpoint: &Endpoint, now: Time) -> serde_json::Value {
    let load = endpoint.load(now);
    serde_json::json!({
        "name": endpoint.name,
        "incarnation": endpoint.incarnation,
        "kind": endpoint.kind,
        "address": endpoint.address,
        "leaving": endpoint.leaving,
        "lease_ms": endpoint.lease_end.since(now).as_millis() as u64,
        "in_flight": load.total,
        "own": load.own,
        "stale": load.stale,
        "cached_tokens": load.cached_tokens,
    })
}
