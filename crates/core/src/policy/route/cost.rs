//! Cost of a candidate endpoint, in seconds.

use super::{Choice, Place, RouteRequest, RouteSettings};
use crate::policy::batch::BatchCost;
use crate::policy::mechanism::Mechanism;
use crate::policy::registry::{Endpoint, EndpointKey, EndpointKind, LoadView, Registry};
use crate::prelude::*;

/// Expected cost of a call at one endpoint, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Wait for a slot and for the prefill of earlier prompts.
    pub wait: f64,
    /// Prefill or import of the missing prefix.
    pub prefill: f64,
    /// Round trip and transfer, with the price of paid bytes.
    pub network: f64,
    /// Generation of the answer.
    pub decode: f64,
    /// Time that concurrent calls lose to this one.
    pub interference: f64,
    /// Prefill that has to be repeated: tokens that are prefilled twice, and prefixes that this
    /// call evicts.
    pub waste: f64,
    /// Weighted sum by which candidates are compared.
    pub total: f64,
}

/// Source of the program's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prefix {
    /// The engine is expected to hold this many tokens.
    Resident(u64),
    /// Another engine transfers the prefix.
    Import {
        /// Engine that holds the prefix.
        from: EndpointKey,
        /// Tokens that are transferred.
        tokens: u64,
    },
    /// The whole prompt is prefilled.
    Absent,
}

/// Mean load of the candidates whose load reports are recent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CandidateMeans {
    /// Calls per slot, the least that is assumed of an endpoint whose load report is stale.
    ///
    /// Without this bound, an endpoint that reported itself idle and then stopped reporting would
    /// win every decision. Calls of this process are added on top.
    usage: f64,
    /// Calls of other processes per endpoint.
    others: f64,
}

impl CandidateMeans {
    /// Returns the means over the candidates with recent load reports.
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

    /// Returns the number of calls expected at an endpoint now.
    ///
    /// The calls of other processes are known as of the last report. As they end within about a
    /// service time, the estimate decays from the reported number to the mean of all candidates.
    /// Otherwise the endpoint with the lowest report would attract the calls of every process until
    /// its next report.
    fn expected_calls(&self, load: &LoadView, service_time: f64) -> f64 {
        let weight = (-load.age.as_secs_f64() / service_time.max(MIN_SERVICE)).exp();
        let others = f64::from(load.others());
        f64::from(load.own) + self.others + weight * (others - self.others)
    }
}

/// Shortest service time in seconds, which avoids a division by zero.
const MIN_SERVICE: f64 = 0.001;

/// Returns one candidate with its expected cost, which is infinite if the registry doesn't have it.
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

/// Cost of a call at an engine without load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnloadedCost {
    /// Key of the engine.
    pub endpoint: EndpointKey,
    /// Seconds for the network and the answer, without prefill.
    pub base: f64,
    /// Prompt tokens that are expected to be cached.
    pub cached: u64,
}

/// Returns the cost of a call at one engine without load, infinite if the registry doesn't have it.
pub fn unloaded(
    settings: &RouteSettings,
    now: Time,
    registry: &Registry,
    request: &RouteRequest,
    key: EndpointKey,
) -> UnloadedCost {
    let Some(endpoint) = registry.get(key) else {
        return UnloadedCost { endpoint: key, base: f64::INFINITY, cached: 0 };
    };
    let cached = if settings.mechanisms.has(Mechanism::Prefix) {
        cached_tokens(settings, now, endpoint, request)
    } else {
        0
    };
    let decode = match request.batch {
        Some(batch) => request.expected_output as f64 * batch.base,
        None => decode_time(endpoint, request.expected_output),
    };
    let base = settings.weights.latency * (network(settings, request, endpoint) + decode);
    UnloadedCost { endpoint: key, base, cached }
}

/// Accounts for the engine steps that the call shares with concurrent calls.
///
/// Concurrent calls slow this call down. This call delays each of them by lengthening the steps,
/// and by its prefill, which runs between their tokens.
fn add_batch_cost(cost: &mut Cost, batch: BatchCost, expected_calls: f64, tokens: u64) {
    let tokens = tokens as f64;
    cost.decode = tokens * (batch.base + batch.slope * expected_calls);
    cost.interference = expected_calls * (tokens * batch.slope + cost.prefill);
}

/// Returns the prompt tokens that the endpoint is expected to hold.
///
/// The program's own record of its last run there is exact except for evictions. A cache hint is
/// used only if it is newer than the record, or if there is no record.
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

/// Returns the length of the longest shared prefix that the endpoint is expected to hold. If the
/// prefix has grown since the hint, the length in the hint counts.
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
    // Prefills run one after another, so pending ones delay this call even while slots are free.
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

/// Returns the prefill time that is wasted: tokens prefilled twice, and prefixes that this call
/// evicts.
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

/// Returns the cheapest import of the prefix, if one costs less than prefilling it.
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
