//! Endpoint choice: least cost in seconds among a few candidates.
//!
//! The cost of a candidate is what the program would wait there, plus what others would pay:
//! queue, missing prefix (filled again or imported), network, decode, and prefix memory pushed
//! out. Affinity is not a rule of its own: the program's engine is cheaper by the prefix it holds,
//! and stops being cheaper once its queue is longer than the refill. See docs/design/routing.md.

mod cost;
mod settings;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use cost::{Cost, Prefix};
pub use settings::{Link, Links, Place, PolicyWeights, RouteSettings};

use super::Class;
use super::batch::BatchCost;
use super::mechanism::{Mechanism, Mechanisms};
use super::registry::{EndpointKey, ModelId, Registry};
use crate::prelude::*;

/// How soon to try again when nothing can take the call.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Starts of a prompt whose holders are looked up; a program's last turns and what it shares with
/// others are among them.
const MAX_PREFIXES: usize = 8;

/// What the call runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model engine.
    Model(ModelId),
    /// A plain service by its name in the bundle.
    Service(CompactString),
}

/// An engine where the program ran before, from the program's own record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastRun {
    /// The engine's instance name.
    pub endpoint: EndpointName,
    /// Tokens of the program's prefix it held when the call ended.
    pub tokens: u64,
    /// When that was.
    pub at: Time,
}

/// A start of a prompt, known by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Hash of the content, under which hints know it.
    pub hash: u64,
    /// Tokens from the prompt's start to the prefix's end.
    pub tokens: u64,
}

/// One call that needs an endpoint.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// What it runs on.
    pub target: Target,
    /// Hash of the program, as cache events carry it.
    pub program: u64,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that earlier turns already held.
    pub prior_tokens: u64,
    /// Tokens that the answer is expected to have.
    pub expected_output: u64,
    /// Bytes that are sent, where they are at hand; otherwise they are reckoned from the tokens.
    pub bytes: Option<u64>,
    /// How engines slow down with what they run, where that is known.
    pub batch: Option<BatchCost>,
    /// Seconds that an engine takes to read a prompt token, where that is known; otherwise the rate
    /// that the endpoint claims counts.
    pub prefill_seconds: Option<f64>,
    /// Where earlier turns ran, latest first.
    pub last_runs: Vec<LastRun>,
    /// Starts of the prompt that other programs may have left in an engine's memory, shortest
    /// first.
    pub shared_prefixes: Vec<SharedPrefix>,
    /// Urgency.
    pub class: Class,
    /// Where the call comes from.
    pub place: Place,
    /// Endpoints that must not get it: already tried, or not allowed by the bundle.
    pub excluded: Vec<EndpointName>,
    /// True for a crash suspect, which must run alone on its engine.
    pub isolate: bool,
}

/// Where a call goes, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// What the choice is expected to cost.
    pub cost: Cost,
    /// Where the prefix comes from.
    pub prefix: Prefix,
    /// Prompt tokens the engine has to fill.
    pub prefill_tokens: u64,
}

/// Why no endpoint was chosen. Nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No endpoint with a lease serves the target.
    #[error("no endpoint serves {target}; check that one announces it, then retry")]
    NoEndpoint {
        /// The model or service asked for.
        target: CompactString,
        /// When it is worth trying again.
        retry_after: Duration,
    },
    /// Endpoints serve the target, but each is excluded, ejected or isolated.
    #[error("every endpoint of {target} is out of use for now; retry later")]
    NoneAvailable {
        /// The model or service asked for.
        target: CompactString,
        /// When it is worth trying again.
        retry_after: Duration,
    },
}

/// Whether slow start binds.
///
/// It protects endpoints that come back while others carry the load. Where all of them are new, as
/// after a cold start, refusing calls would protect nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlowStart {
    Enforced,
    Ignored,
}

/// Chooses endpoints. One per process; the seed makes its draws repeatable.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouteSettings,
    rng: ChaCha8Rng,
}

impl Router {
    /// Makes a router.
    pub fn new(settings: RouteSettings, seed: u64) -> Router {
        Router { settings, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Takes the weights of a new bundle.
    pub fn set_weights(&mut self, weights: PolicyWeights) {
        self.settings.weights = weights;
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RouteSettings {
        &self.settings
    }

    /// Chooses the endpoint of least cost among a sample and the program's own engines.
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
            // The sample can miss the few that are free; the whole list is the exception.
            for keys in [keys.as_slice(), all] {
                if let Some(choice) = self.cheapest(now, registry, request, keys, slow_start) {
                    return Ok(choice);
                }
            }
        }
        Err(no_endpoint(now, registry, request, all))
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

/// Returns the program's own engines that serve the target.
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

/// Returns the engines that hold a start of the prompt. A draw from many engines would miss them, and
/// the whole history would be read again at another.
fn prefix_holders(registry: &Registry, request: &RouteRequest) -> Vec<EndpointKey> {
    let Target::Model(model) = &request.target else { return Vec::new() };
    // The longest starts come last, and save most.
    let starts = request.shared_prefixes.iter().rev().take(MAX_PREFIXES);
    let endpoints = starts.flat_map(|start| registry.prefix_holders(start.hash)).copied();
    let mut keys: Vec<EndpointKey> =
        endpoints.filter(|key| serves(registry, *key, model)).collect();
    keys.sort_unstable();
    keys.dedup();
    keys
}

/// Tells whether an endpoint is an engine that has loaded the model.
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
