//! Cost of one candidate, in seconds.

use super::{Choice, Place, RouteRequest, RouteSettings};
use crate::policy::batch::BatchCost;
use crate::policy::mechanism::Mechanism;
use crate::policy::registry::{Endpoint, EndpointKey, EndpointKind, LoadView, Registry};
use crate::prelude::*;

/// What a call is expected to cost at one endpoint, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Wait for a slot and for the prompts before it.
    pub wait: f64,
    /// Filling or importing the missing prefix.
    pub prefill: f64,
    /// Way there and back, with the price of paid bytes.
    pub network: f64,
    /// Generating the answer.
    pub decode: f64,
    /// Time that the calls beside this one lose by it.
    pub interference: f64,
    /// Prefill that others will pay for memory pushed out, and tokens filled twice.
    pub waste: f64,
    /// The weighted sum that is compared.
    pub total: f64,
}

/// Where the program's prefix comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prefix {
    /// The engine is believed to hold this many tokens.
    Resident(u64),
    /// Another engine hands this many tokens over.
    Import {
        /// The engine that holds them.
        from: EndpointKey,
        /// Tokens handed over.
        tokens: u64,
    },
    /// Everything is filled.
    Absent,
}

/// What the candidates look like together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CandidateMeans {
    /// Queue length, in parts of the slots, assumed for endpoints whose load is stale: the mean of
    /// the fresh candidates.
    ///
    /// A frozen report of an idle engine would otherwise win every decision until it falls over.
    /// With the mean as the least it can claim, silence is never an advantage; own calls still
    /// count on top.
    usage: f64,
    /// Mean calls of other processes at a candidate.
    others: f64,
}

impl CandidateMeans {
    /// Looks at all candidates with fresh loads.
    pub fn of(now: Time, registry: &Registry, keys: &[EndpointKey]) -> CandidateMeans {
        let mut sum = CandidateMeans::default();
        let mut count = 0;
        for endpoint in keys.iter().filter_map(|key| registry.get(*key)) {
            let load = endpoint.load(now);
            if !load.stale {
                sum.usage += f64::from(load.total) / f64::from(endpoint.kind.slots());
                sum.others += f64::from(load.others());
                count += 1;
            }
        }
        let count = f64::from(count.max(1));
        CandidateMeans { usage: sum.usage / count, others: sum.others / count }
    }

    /// Calls that run at an endpoint now, own ones and what others are expected to have there.
    ///
    /// A report tells others' calls of its moment. Those end within a call's time, and what comes
    /// after follows the mean of all candidates. Taken as it stands, the engine that last reported
    /// the least draws every process's calls until the next report.
    fn expected_calls(&self, load: &LoadView, service_time: f64) -> f64 {
        let weight = (-load.age.as_secs_f64() / service_time.max(MIN_SERVICE)).exp();
        let others = f64::from(load.others());
        f64::from(load.own) + self.others + weight * (others - self.others)
    }
}

/// Least seconds that a call's time counts for, so that a division is safe.
const MIN_SERVICE: f64 = 0.001;

/// Prices one candidate.
pub fn price(
    settings: &RouteSettings,
    now: Time,
    registry: &Registry,
    request: &RouteRequest,
    key: EndpointKey,
    means: CandidateMeans,
) -> Choice {
    let Some(endpoint) = registry.get(key) else {
        let cost = Cost { total: f64::INFINITY, ..Cost::default() };
        return Choice { endpoint: key, cost, prefix: Prefix::Absent, prefill_tokens: 0 };
    };
    let load = endpoint.load(now);
    let resident = if settings.mechanisms.has(Mechanism::Prefix) {
        cached_tokens(settings, now, endpoint, request)
    } else {
        0
    };
    let missing = request.prompt_tokens - resident;
    let source = import(settings, now, registry, request, endpoint, resident);
    let prefill_tokens = source.as_ref().map_or(missing, |import| missing - import.tokens);
    let mut cost = Cost {
        wait: wait(settings, request, endpoint, &load, means.usage),
        prefill: prefill_time(request, endpoint, prefill_tokens)
            + source.as_ref().map_or(0.0, |i| i.cost),
        network: network(settings, request, endpoint),
        decode: decode_time(endpoint, request.expected_output),
        interference: 0.0,
        waste: waste(settings, request, endpoint, &load, request.prompt_tokens - prefill_tokens),
        total: 0.0,
    };
    if let Some(batch) = request.batch.filter(|_| settings.mechanisms.has(Mechanism::Batch)) {
        let expected_calls = match settings.mechanisms.has(Mechanism::Fading) {
            true => means.expected_calls(&load, load.service_time.unwrap_or(settings.service_time)),
            false => f64::from(load.total),
        };
        add_batch_cost(&mut cost, batch, expected_calls, request.expected_output);
    }
    let latency = cost.wait + cost.prefill + cost.network + cost.decode;
    cost.total = settings.weights.latency * (latency + cost.interference)
        + settings.weights.waste * cost.waste;
    let prefix = match source {
        Some(import) => Prefix::Import { from: import.from, tokens: import.tokens },
        None if resident > 0 => Prefix::Resident(resident),
        None => Prefix::Absent,
    };
    Choice { endpoint: key, cost, prefix, prefill_tokens }
}

/// Prices the steps that a call shares with those beside it.
///
/// It is slowed by them, and slows each of them: by its part of every step, and by its prompt, which
/// is read between their tokens.
fn add_batch_cost(cost: &mut Cost, batch: BatchCost, expected_calls: f64, tokens: u64) {
    let tokens = tokens as f64;
    cost.decode = tokens * (batch.base + batch.slope * expected_calls);
    cost.interference = expected_calls * (tokens * batch.slope + cost.prefill);
}

/// Tokens of the prompt that the endpoint is believed to hold.
///
/// The program's own record says where it last ran and is exact up to eviction. A hint counts only
/// where it is newer than the record, or where there is no record.
fn cached_tokens(
    settings: &RouteSettings,
    now: Time,
    endpoint: &Endpoint,
    request: &RouteRequest,
) -> u64 {
    let record = request.last_runs.iter().find(|run| run.endpoint == endpoint.name);
    let record = record.filter(|run| now.since(run.at) <= settings.record_age);
    let hint = endpoint.hint(request.program);
    let tokens = match (record, hint) {
        (Some(run), Some(hint)) if hint.at > run.at => hint.tokens,
        (Some(run), _) => run.tokens,
        (None, Some(hint)) => hint.tokens,
        (None, None) => 0,
    };
    tokens
        .min(request.prior_tokens)
        .max(cached_shared(endpoint, request))
        .min(request.prompt_tokens)
}

/// Tokens of the longest shared start that the endpoint is believed to hold. One that has grown
/// since is held up to where it was.
fn cached_shared(endpoint: &Endpoint, request: &RouteRequest) -> u64 {
    let tokens = request
        .shared_prefixes
        .iter()
        .filter_map(|prefix| endpoint.hint(prefix.hash).map(|hint| hint.tokens.min(prefix.tokens)));
    tokens.max().unwrap_or(0)
}

fn wait(
    settings: &RouteSettings,
    request: &RouteRequest,
    endpoint: &Endpoint,
    load: &LoadView,
    usage: f64,
) -> f64 {
    if !settings.mechanisms.has(Mechanism::Queue) {
        return 0.0;
    }
    let slots = f64::from(endpoint.kind.slots());
    let known = f64::from(load.total);
    let total = if load.stale { known.max(usage * slots + f64::from(load.own)) } else { known };
    let service_time = load.service_time.unwrap_or(settings.service_time);
    let ahead = (total + 1.0 - slots).max(0.0);
    // Prompts are filled one after another, so those still to fill delay this one even when slots
    // are free.
    let prompts = prefill_time(request, endpoint, load.prefill_tokens);
    ahead / slots * service_time + prompts
}

fn network(settings: &RouteSettings, request: &RouteRequest, endpoint: &Endpoint) -> f64 {
    if !settings.mechanisms.has(Mechanism::Network) {
        return 0.0;
    }
    let link = settings.links.between(request.place, place(endpoint));
    let estimated_bytes =
        (request.prompt_tokens + request.expected_output) as f64 * settings.text_bytes;
    let bytes = request.bytes.map_or(estimated_bytes, |bytes| bytes as f64);
    2.0 * link.latency.as_secs_f64() + bytes / link.rate + bytes * link.price
}

/// Prefill seconds that others will pay: what is filled twice, and what this call pushes out.
fn waste(
    settings: &RouteSettings,
    request: &RouteRequest,
    endpoint: &Endpoint,
    load: &LoadView,
    present: u64,
) -> f64 {
    let EndpointKind::Engine { cache_tokens, .. } = endpoint.kind else { return 0.0 };
    let refilled = request.prior_tokens.saturating_sub(present);
    if !settings.mechanisms.has(Mechanism::Pressure) {
        return prefill_time(request, endpoint, refilled);
    }
    let added = request.prompt_tokens + request.expected_output - present;
    let evicted = (load.cached_tokens + added).saturating_sub(cache_tokens).min(added);
    prefill_time(request, endpoint, refilled + evicted)
}

struct Import {
    from: EndpointKey,
    tokens: u64,
    cost: f64,
}

/// Cheapest import of the prefix, if one beats filling it again.
fn import(
    settings: &RouteSettings,
    now: Time,
    registry: &Registry,
    request: &RouteRequest,
    endpoint: &Endpoint,
    resident: u64,
) -> Option<Import> {
    if !settings.import || !settings.mechanisms.has(Mechanism::Prefix) {
        return None;
    }
    let mut best: Option<Import> = None;
    for from in request.last_runs.iter().filter_map(|run| registry.key(&run.endpoint)) {
        let Some(source) = registry.get(from) else { continue };
        let tokens = cached_tokens(settings, now, source, request).saturating_sub(resident);
        if source.name == endpoint.name || tokens == 0 {
            continue;
        }
        let link = settings.links.between(place(source), place(endpoint));
        let bytes = tokens as f64 * settings.kv_bytes;
        let cost = link.latency.as_secs_f64() + bytes / link.rate + bytes * link.price;
        let cheaper = cost < prefill_time(request, endpoint, tokens);
        if cheaper && best.as_ref().is_none_or(|best| cost < best.cost) {
            best = Some(Import { from, tokens, cost });
        }
    }
    best
}

fn place(endpoint: &Endpoint) -> Place {
    Place { domain: endpoint.domain, region: endpoint.region }
}

fn prefill_time(request: &RouteRequest, endpoint: &Endpoint, tokens: u64) -> f64 {
    match (&endpoint.kind, request.prefill_seconds) {
        (EndpointKind::Engine { .. }, Some(token)) => tokens as f64 * token,
        (EndpointKind::Engine { prefill_rate, .. }, None) => tokens as f64 / prefill_rate.max(1.0),
        (EndpointKind::Service { .. }, _) => 0.0,
    }
}

fn decode_time(endpoint: &Endpoint, tokens: u64) -> f64 {
    match endpoint.kind {
        EndpointKind::Engine { decode_rate, .. } => tokens as f64 / decode_rate.max(1.0),
        EndpointKind::Service { .. } => 0.0,
    }
}
