//! What all tasks of an entry VM share.

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
use crate::members::EntryMember;
use crate::metrics::Metrics;
use crate::rpc::PeerClients;
use crate::settings::Settings;
use crate::store::ReleaseAnswer;

/// One entry VM.
pub struct EntryState {
    /// Its number.
    pub vm: VmId,
    /// Its settings.
    pub settings: Settings,
    /// Its failure domain and region.
    pub place: Place,
    /// Its clock.
    pub clock: Clock,
    /// Where the other VMs are.
    pub directory: Arc<Directory>,
    /// Calls to the other VMs.
    pub peers: PeerClients,
    /// The program groups.
    pub groups: GroupClient,
    /// HTTP towards endpoints.
    pub endpoints: EndpointClient,
    /// The bundle in force and the lease on it.
    pub config: ConfigView,
    /// Who is let in, and when.
    pub admission: AdmissionController,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Log of the process.
    pub log: slog::Logger,
    /// Cancelled when a planned stop begins.
    pub stop: CancellationToken,
    /// Calls under way, which a planned stop waits for.
    pub tasks: TaskTracker,
    /// Dispatches under way from here, which a store may cancel.
    pub running: RunningCalls,
    pub(super) members: Mutex<Vec<EntryMember>>,
    pub(super) routing: Mutex<RoutingState>,
}

/// Dispatches under way, by id.
#[derive(Debug, Default)]
pub struct RunningCalls {
    tokens: Mutex<HashMap<CompactString, CancellationToken>>,
}

impl RunningCalls {
    /// Adds a dispatch; the token is cancelled when its program ends.
    pub fn add(&self, dispatch: &str) -> CancellationToken {
        let token = CancellationToken::new();
        self.lock().insert(dispatch.into(), token.clone());
        token
    }

    /// Removes a dispatch that is settled.
    pub fn remove(&self, dispatch: &str) {
        self.lock().remove(dispatch);
    }

    /// Cancels a dispatch, if it is under way here.
    pub fn cancel(&self, dispatch: &str) {
        if let Some(token) = self.lock().get(dispatch) {
            token.cancel();
        }
    }

    /// Returns how many are under way.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CompactString, CancellationToken>> {
        self.tokens.lock().expect("no panic while held")
    }
}

/// The routing decisions' state, behind one lock that is never held across a wait.
pub(super) struct RoutingState {
    pub(super) registry: Registry,
    pub(super) router: Router,
    pub(super) retries: RetryPolicy,
}

/// An endpoint chosen for a dispatch, counted as in flight there until it is settled.
#[derive(Clone, Debug)]
pub struct PlacedCall {
    /// Instance name.
    pub name: EndpointName,
    /// `ip:port`.
    pub address: CompactString,
    /// Region, for the paid link's count.
    pub region: RegionId,
    /// Prompt tokens that the engine has to compute.
    pub prefill_tokens: u64,
    key: DispatchKey,
}

/// How a dispatch on an endpoint ended, for the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The endpoint answered.
    Finished,
    /// The endpoint failed.
    Failed,
    /// The caller went away, or the call was never sent.
    Cancelled,
}

impl EntryState {
    pub(super) fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().expect("no panic while held")
    }

    /// Chooses an endpoint and counts the dispatch there.
    ///
    /// # Errors
    /// Says why no endpoint can take the call, and when to come back.
    pub fn place_call(&self, request: &RouteRequest) -> Result<PlacedCall, RouteError> {
        let now = self.clock.now();
        let mut routing = self.routing();
        let routing = &mut *routing;
        let choice = routing.router.choose(now, &routing.registry, request)?;
        Ok(routing.record_dispatch(now, &choice, request.isolate))
    }

    /// Counts a dispatch out of flight.
    pub fn release_call(&self, placed: &PlacedCall, end: DispatchEnd) {
        let now = self.clock.now();
        let mut routing = self.routing();
        match end {
            DispatchEnd::Finished => routing.registry.finished(now, placed.key),
            DispatchEnd::Failed => routing.registry.failed(now, placed.key),
            DispatchEnd::Cancelled => routing.registry.cancelled(now, placed.key),
        }
    }

    /// Notes that an engine has computed a dispatch's prompt.
    pub fn prefill_finished(&self, placed: &PlacedCall) {
        self.routing().registry.prefilled(placed.key);
    }

    /// Bounds each model's calls by this VM's share of the slots that engines announce.
    ///
    /// The balancer spreads callers evenly, so an equal share for each entry VM is fair; twice of
    /// it is allowed, so that an uneven minute leaves no engine idle while calls wait.
    pub fn resize_pools(&self) {
        let entries = self.directory.entries().len().max(1) as f64;
        for (model, slots) in self.routing().slots() {
            self.admission.resize(&model, (f64::from(slots) / entries * POOL_SLACK).ceil());
        }
    }

    /// Drops endpoints whose lease is over.
    pub fn expire_endpoints(&self) {
        let now = self.clock.now();
        let expired = self.routing().registry.expire(now);
        if !expired.is_empty() {
            slog::info!(self.log, "endpoints expired"; "count" => expired.len());
            self.resize_pools();
        }
    }

    /// Frees an engine's memory of an ended program.
    ///
    /// An engine counts as gone for good only once this VM has been up for longer than any lease:
    /// a VM that has just started does not know yet who is there, and would leave memory held.
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

    /// Returns the address of an endpoint with a live lease.
    pub fn endpoint_address(&self, name: &str) -> Option<CompactString> {
        let routing = self.routing();
        let key = routing.registry.key(name)?;
        routing.registry.get(key).map(|endpoint| endpoint.address.clone())
    }
}

/// Longest lease that an endpoint can have.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// How far a VM may go beyond its even share of a model's slots.
const POOL_SLACK: f64 = 2.0;

impl RoutingState {
    /// Returns the slots of each model's engines that take new work.
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
    /// Returns the process's state, for an operator's dump.
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
