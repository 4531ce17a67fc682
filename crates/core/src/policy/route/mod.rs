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
const MOST_STARTS: usize = 8;

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
pub struct RouteAsk {
    /// What it runs on.
    pub target: Target,
    /// Hash of the program, as cache events carry it.
    pub program: u64,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that earlier turns already held.
    pub prior_tokens: u64,
    /// Tokens that the answer is expected to have.
    pub output_guess: u64,
    /// Bytes that are sent, where they are at hand; otherwise they are reckoned from the tokens.
    pub bytes: Option<u64>,
    /// How engines slow down with what they run, where that is known.
    pub batch: Option<BatchCost>,
    /// Seconds that an engine takes to read a prompt token, where that is known; otherwise the rate
    /// that the endpoint claims counts.
    pub fill: Option<f64>,
    /// Where earlier turns ran, latest first.
    pub last: Vec<LastRun>,
    /// Starts of the prompt that other programs may have left in an engine's memory, shortest
    /// first.
    pub shared: Vec<SharedPrefix>,
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
    pub fill_tokens: u64,
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
    NoneFree {
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
enum Ramp {
    Held,
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
    pub fn reweigh(&mut self, weights: PolicyWeights) {
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
        ask: &RouteAsk,
    ) -> Result<Choice, RouteError> {
        let all = match &ask.target {
            Target::Model(model) => registry.candidates(model),
            Target::Service(name) => registry.services(name),
        };
        let mut keys = self.sample(all);
        keys.extend(own(registry, ask, all));
        if self.settings.mechanisms.has(Mechanism::Holders) {
            keys.extend(holders(registry, ask));
        }
        let held = match self.settings.mechanisms.has(Mechanism::SlowStart) {
            true => Ramp::Held,
            false => Ramp::Ignored,
        };
        for ramp in [held, Ramp::Ignored] {
            // The sample can miss the few that are free; the whole list is the exception.
            for keys in [keys.as_slice(), all] {
                if let Some(choice) = self.cheapest(now, registry, ask, keys, ramp) {
                    return Ok(choice);
                }
            }
        }
        Err(refusal(now, registry, ask, all))
    }

    fn sample(&mut self, all: &[EndpointKey]) -> Vec<EndpointKey> {
        let wanted = self.settings.sample;
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
        ask: &RouteAsk,
        keys: &[EndpointKey],
        ramp: Ramp,
    ) -> Option<Choice> {
        let crowd = cost::Crowd::of(now, registry, keys);
        let mut best: Option<Choice> = None;
        let mut ties = 1;
        for key in keys {
            if !usable(now, registry, ask, *key, ramp, self.settings.mechanisms) {
                continue;
            }
            let choice = cost::price(&self.settings, now, registry, ask, *key, crowd);
            let Some(held) = &best else {
                best = Some(choice);
                continue;
            };
            let (new, old) = (choice.cost.total, held.cost.total);
            if new < old {
                best = Some(choice);
                ties = 1;
            } else if new == old && choice.endpoint != held.endpoint {
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
fn own(registry: &Registry, ask: &RouteAsk, all: &[EndpointKey]) -> Vec<EndpointKey> {
    let Target::Model(model) = &ask.target else { return Vec::new() };
    let keys = ask.last.iter().filter_map(|run| registry.key(&run.endpoint));
    if all.is_empty() {
        return Vec::new();
    }
    keys.filter(|key| serves(registry, *key, model)).collect()
}

/// Returns the engines that hold a start of the prompt. A draw from many engines would miss them, and
/// the whole history would be read again at another.
fn holders(registry: &Registry, ask: &RouteAsk) -> Vec<EndpointKey> {
    let Target::Model(model) = &ask.target else { return Vec::new() };
    // The longest starts come last, and save most.
    let starts = ask.shared.iter().rev().take(MOST_STARTS);
    let held = starts.flat_map(|start| registry.holders(start.hash)).copied();
    let mut keys: Vec<EndpointKey> = held.filter(|key| serves(registry, *key, model)).collect();
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
    ask: &RouteAsk,
    key: EndpointKey,
    ramp: Ramp,
    mechanisms: Mechanisms,
) -> bool {
    if !registry.open(now, key) {
        return false;
    }
    let Some(endpoint) = registry.get(key) else { return false };
    if endpoint.isolated() {
        return false;
    }
    if mechanisms.has(Mechanism::Ejection) && endpoint.health.ejected(now) {
        return false;
    }
    if ask.excluded.contains(&endpoint.name) {
        return false;
    }
    let load = endpoint.load(now);
    if ask.isolate {
        return load.total == 0;
    }
    let share = endpoint.health.share(now, &registry.settings().health);
    let most = (f64::from(endpoint.kind.slots()) * share).ceil();
    ramp == Ramp::Ignored || share >= 1.0 || f64::from(load.own) < most
}

fn refusal(now: Time, registry: &Registry, ask: &RouteAsk, all: &[EndpointKey]) -> RouteError {
    let target = match &ask.target {
        Target::Model(model) => compact_str::format_compact!("{} {}", model.model, model.version),
        Target::Service(name) => name.clone(),
    };
    if all.iter().any(|key| registry.open(now, *key)) {
        return RouteError::NoneFree { target, retry_after: RETRY_AFTER };
    }
    RouteError::NoEndpoint { target, retry_after: RETRY_AFTER }
}
