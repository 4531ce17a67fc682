//! Routing: chooses the endpoint with the least cost, in seconds, among a few candidates.
//!
//! The cost of a candidate is the expected latency of the call there plus the time that it costs
//! other programs: queueing, prefill or import of the missing prefix, network, decoding, and cached
//! prefixes that would be evicted. Affinity isn't a rule of its own: the engine that holds the
//! program's prefix is cheaper until its queue takes longer than a refill. See
//! docs/design/routing.md.

mod cost;
mod settings;

use rand::seq::IndexedRandom as _;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use cost::{Cost, Prefix, UnloadedCost};
pub use settings::{Link, Links, Place, PolicyWeights, RouteSettings};

use super::Class;
use super::batch::BatchCost;
use super::mechanism::{Mechanism, Mechanisms};
use super::registry::{EndpointKey, ModelId, Registry};
use crate::prelude::*;

/// Retry delay given when no endpoint can take the call.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum number of prompt prefixes whose holders are looked up, longest first. These include the
/// program's last turns and the parts that it shares with others.
const MAX_PREFIXES: usize = 8;

/// Maximum number of engines whose cost without load is computed for one call, besides the holders
/// of its prompt.
const MAX_UNLOADED: usize = 64;

/// What the call runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model engine.
    Model(ModelId),
    /// A plain service, by its name in the bundle.
    Service(CompactString),
}

/// An engine that ran the program before, from the program's own record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastRun {
    /// Instance name of the engine.
    pub endpoint: EndpointName,
    /// Tokens of the program's prefix that the engine held when the call ended.
    pub tokens: u64,
    /// Time at which the call ended.
    pub at: Time,
}

/// A prefix of a prompt, identified by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Hash of the content, which is the key of cache hints.
    pub hash: u64,
    /// Length of the prefix in tokens.
    pub tokens: u64,
}

/// One call that needs an endpoint.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Model or service that the call runs on.
    pub target: Target,
    /// Hash of the program, as in cache events.
    pub program: u64,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were part of the program's earlier turns.
    pub prior_tokens: u64,
    /// Expected length of the answer in tokens.
    pub expected_output: u64,
    /// Bytes to send, if known; otherwise estimated from the tokens.
    pub bytes: Option<u64>,
    /// How the time for a token grows with the batch, if known.
    pub batch: Option<BatchCost>,
    /// Seconds of prefill for each prompt token, if known; otherwise the rate that the endpoint
    /// announces is used.
    pub prefill_seconds: Option<f64>,
    /// Earlier runs of the program, latest first.
    pub last_runs: Vec<LastRun>,
    /// Prefixes of the prompt that other programs may have left in an engine's cache, shortest
    /// first.
    pub shared_prefixes: Vec<SharedPrefix>,
    /// Urgency class of the call.
    pub class: Class,
    /// Location that the call comes from.
    pub place: Place,
    /// Endpoints that must not get the call: already tried, or not allowed by the bundle.
    pub excluded: Vec<EndpointName>,
    /// Whether the call is suspected of crashing engines, and so must run alone on its engine.
    pub isolate: bool,
}

/// The chosen endpoint, with its expected cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// Expected cost of the call.
    pub cost: Cost,
    /// Source of the program's prefix.
    pub prefix: Prefix,
    /// Prompt tokens that the engine has to prefill.
    pub prefill_tokens: u64,
}

/// Reason why no endpoint was chosen. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No endpoint with a valid lease serves the target.
    #[error("no endpoint serves {target}; check that one announces it, then retry")]
    NoEndpoint {
        /// Requested model or service.
        target: CompactString,
        /// Delay before the next attempt.
        retry_after: Duration,
    },
    /// Endpoints serve the target, but each is excluded, ejected or isolated.
    #[error("no endpoint of {target} is available at the moment; retry later")]
    NoneAvailable {
        /// Requested model or service.
        target: CompactString,
        /// Delay before the next attempt.
        retry_after: Duration,
    },
}

/// Whether slow start limits the calls of new endpoints.
///
/// Slow start protects endpoints that come back while others carry the load. Where all endpoints
/// are new, as after a cold start, refusing calls would protect nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlowStart {
    Enforced,
    Ignored,
}

/// Chooses endpoints. A process has one router, and the seed makes its random choices reproducible.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouteSettings,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router.
    pub fn new(settings: RouteSettings, seed: u64) -> Router {
        Router { settings, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Replaces the weights by those of a new bundle.
    pub fn set_weights(&mut self, weights: PolicyWeights) {
        self.settings.weights = weights;
    }

    /// Returns the settings, with the current weights.
    pub fn settings(&self) -> &RouteSettings {
        &self.settings
    }

    /// Chooses the endpoint with the least cost among a random sample, the program's previous
    /// engines and the engines that hold a prefix of the prompt.
    ///
    /// # Errors
    ///
    /// Returns a [`RouteError`] if no endpoint that serves the target may get the call.
    pub fn choose(
        &mut self,
        now: Time,
        registry: &Registry,
        request: &RouteRequest,
    ) -> Result<Choice, RouteError> {
        let all = match &request.target {
            Target::Model(model) => registry.candidates(model),
            Target::Service(name) => registry.services(name),
        };
        let mut keys = self.sample(all);
        keys.extend(previous_engines(registry, request, all));
        if self.settings.mechanisms.has(Mechanism::Holders) {
            keys.extend(prefix_holders(registry, request));
        }
        let slow_start = match self.settings.mechanisms.has(Mechanism::SlowStart) {
            true => SlowStart::Enforced,
            false => SlowStart::Ignored,
        };
        for slow_start in [slow_start, SlowStart::Ignored] {
            // The sample may miss the few available endpoints, so the whole list is tried next.
            for keys in [keys.as_slice(), all] {
                if let Some(choice) = self.cheapest(now, registry, request, keys, slow_start) {
                    return Ok(choice);
                }
            }
        }
        Err(no_endpoint(now, registry, request, all))
    }

    /// Returns up to `limit` engines that may get the call, those with the least cost without load
    /// first.
    pub fn unloaded(
        &mut self,
        now: Time,
        registry: &Registry,
        request: &RouteRequest,
        limit: usize,
    ) -> Vec<UnloadedCost> {
        let Target::Model(model) = &request.target else { return Vec::new() };
        let all = registry.candidates(model);
        let mut keys = match all.len() <= MAX_UNLOADED {
            true => all.to_vec(),
            false => all.sample(&mut self.rng, MAX_UNLOADED).copied().collect(),
        };
        keys.extend(prefix_holders(registry, request));
        keys.sort_unstable();
        keys.dedup();
        let mechanisms = self.settings.mechanisms;
        keys.retain(|key| usable(now, registry, request, *key, SlowStart::Enforced, mechanisms));
        let costs =
            keys.iter().map(|key| cost::unloaded(&self.settings, now, registry, request, *key));
        let mut costs: Vec<_> = costs.collect();
        costs.sort_by(|a, b| a.base.total_cmp(&b.base));
        costs.truncate(limit);
        costs
    }

    /// Returns the choice of an engine that was assigned to the call, or `None` if it may not get
    /// the call.
    pub fn assigned(
        &self,
        now: Time,
        registry: &Registry,
        request: &RouteRequest,
        name: &str,
    ) -> Option<Choice> {
        let key = registry.key(name)?;
        let Target::Model(model) = &request.target else { return None };
        let mechanisms = self.settings.mechanisms;
        let allowed = serves(registry, key, model)
            && usable(now, registry, request, key, SlowStart::Ignored, mechanisms);
        let means = cost::CandidateMeans::of(now, registry, &[key]);
        allowed.then(|| cost::price(&self.settings, now, registry, request, key, means))
    }

    fn sample(&mut self, all: &[EndpointKey]) -> Vec<EndpointKey> {
        let wanted = self.settings.sample_size;
        if all.len() <= wanted {
            return all.to_vec();
        }
        let mut keys = Vec::with_capacity(wanted + 4);
        for _ in 0..wanted {
            keys.push(all[self.rng.random_range(0..all.len())]);
        }
        keys
    }

    fn cheapest(
        &mut self,
        now: Time,
        registry: &Registry,
        request: &RouteRequest,
        keys: &[EndpointKey],
        slow_start: SlowStart,
    ) -> Option<Choice> {
        let means = cost::CandidateMeans::of(now, registry, keys);
        let mut best: Option<Choice> = None;
        let mut ties = 1;
        for key in keys {
            if !usable(now, registry, request, *key, slow_start, self.settings.mechanisms) {
                continue;
            }
            let choice = cost::price(&self.settings, now, registry, request, *key, means);
            let Some(current) = &best else {
                best = Some(choice);
                continue;
            };
            let (new, old) = (choice.cost.total, current.cost.total);
            if new < old {
                best = Some(choice);
                ties = 1;
            } else if new == old && choice.endpoint != current.endpoint {
                ties += 1;
                if self.rng.random_range(0..ties) == 0 {
                    best = Some(choice);
                }
            }
        }
        best
    }
}

/// Returns the engines that ran the program before and serve the target.
fn previous_engines(
    registry: &Registry,
    request: &RouteRequest,
    all: &[EndpointKey],
) -> Vec<EndpointKey> {
    let Target::Model(model) = &request.target else { return Vec::new() };
    let keys = request.last_runs.iter().filter_map(|run| registry.key(&run.endpoint));
    if all.is_empty() {
        return Vec::new();
    }
    keys.filter(|key| serves(registry, *key, model)).collect()
}

/// Returns the engines that hold a prefix of the prompt. A sample of many engines would miss most
/// of them, and the whole prompt would be prefilled again.
fn prefix_holders(registry: &Registry, request: &RouteRequest) -> Vec<EndpointKey> {
    let Target::Model(model) = &request.target else { return Vec::new() };
    // The longest prefixes come last and save most of the prefill.
    let prefixes = request.shared_prefixes.iter().rev().take(MAX_PREFIXES);
    let endpoints = prefixes.flat_map(|prefix| registry.prefix_holders(prefix.hash)).copied();
    let mut keys: Vec<EndpointKey> =
        endpoints.filter(|key| serves(registry, *key, model)).collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}

/// Returns true for an engine that has loaded the model.
fn serves(registry: &Registry, key: EndpointKey, model: &ModelId) -> bool {
    registry.get(key).is_some_and(|endpoint| endpoint.kind.serves(model))
}

/// Returns true when the endpoint may get this call.
fn usable(
    now: Time,
    registry: &Registry,
    request: &RouteRequest,
    key: EndpointKey,
    slow_start: SlowStart,
    mechanisms: Mechanisms,
) -> bool {
    if !registry.is_available(now, key) {
        return false;
    }
    let Some(endpoint) = registry.get(key) else { return false };
    if endpoint.isolated() {
        return false;
    }
    if mechanisms.has(Mechanism::Ejection) && endpoint.health.is_ejected(now) {
        return false;
    }
    if request.excluded.contains(&endpoint.name) {
        return false;
    }
    let load = endpoint.load(now);
    if request.isolate {
        return load.total == 0;
    }
    let slot_share = endpoint.health.slot_share(now, &registry.settings().health);
    let max_calls = (f64::from(endpoint.kind.slots()) * slot_share).ceil();
    slow_start == SlowStart::Ignored || slot_share >= 1.0 || f64::from(load.own) < max_calls
}

fn no_endpoint(
    now: Time,
    registry: &Registry,
    request: &RouteRequest,
    all: &[EndpointKey],
) -> RouteError {
    let target = match &request.target {
        Target::Model(model) => compact_str::format_compact!("{} {}", model.model, model.version),
        Target::Service(name) => name.clone(),
    };
    if all.iter().any(|key| registry.is_available(now, *key)) {
        return RouteError::NoneAvailable { target, retry_after: RETRY_AFTER };
    }
    RouteError::NoEndpoint { target, retry_after: RETRY_AFTER }
}
