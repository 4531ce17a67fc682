//! Cost of one candidate, in seconds.

use super::{Choice, Place, RouteAsk, RouteSettings};
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
    pub crowding: f64,
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
pub struct Crowd {
    /// Queue length, in parts of the slots, assumed for endpoints whose load is stale: the mean of
    /// the fresh candidates.
    ///
    /// A frozen report of an idle engine would otherwise win every decision until it falls over.
    /// With the mean as the least it can claim, silence is never an advantage; own calls still
    /// count on top.
    floor: f64,
    /// Mean calls of other processes at a candidate.
    others: f64,
}

impl Crowd {
    /// Looks at all candidates with fresh loads.
    pub fn of(now: Time, registry: &Registry, keys: &[EndpointKey]) -> Crowd {
        let mut sum = Crowd::default();
        let mut count = 0;
        for endpoint in keys.iter().filter_map(|key| registry.get(*key)) {
            let load = endpoint.load(now);
            if !load.stale {
                sum.floor += f64::from(load.total) / f64::from(endpoint.kind.slots());
                sum.others += f64::from(load.others());
                count += 1;
            }
        }
        let count = f64::from(count.max(1));
        Crowd { floor: sum.floor / count, others: sum.others / count }
    }

    /// Calls that run at an endpoint now, own ones and what others are expected to have there.
    ///
    /// A report tells others' calls of its moment. Those end within a call's time, and what comes
    /// after follows the mean of all candidates. Taken as it stands, the engine that last reported
    /// the least draws every process's calls until the next report.
    fn beside(&self, load: &LoadView, service: f64) -> f64 {
        let kept = (-load.age.as_secs_f64() / service.max(MIN_SERVICE)).exp();
        let others = f64::from(load.others());
        f64::from(load.own) + self.others + kept * (others - self.others)
    }
}

/// Least seconds that a call's time counts for, so that a division is safe.
const MIN_SERVICE: f64 = 0.001;

/// Prices one candidate.
pub fn price(
    settings: &RouteSettings,
    now: Time,
    registry: &Registry,
    ask: &RouteAsk,
    key: EndpointKey,
    crowd: Crowd,
) -> Choice {
    let Some(endpoint) = registry.get(key) else {
        let cost = Cost { total: f64::INFINITY, ..Cost::default() };
        return Choice { endpoint: key, cost, prefix: Prefix::Absent, fill_tokens: 0 };
    };
    let load = endpoint.load(now);
    let resident = if settings.mechanisms.has(Mechanism::Prefix) {
        held(settings, now, endpoint, ask)
    } else {
        0
    };
    let missing = ask.prompt_tokens - resident;
    let source = import(settings, now, registry, ask, endpoint, resident);
    let fill_tokens = source.as_ref().map_or(missing, |import| missing - import.tokens);
    let mut cost = Cost {
        wait: wait(settings, ask, endpoint, &load, crowd.floor),
        prefill: prefill_time(ask, endpoint, fill_tokens) + source.as_ref().map_or(0.0, |i| i.cost),
        network: network(settings, ask, endpoint),
        decode: decode_time(endpoint, ask.output_guess),
        crowding: 0.0,
        waste: waste(settings, ask, endpoint, &load, ask.prompt_tokens - fill_tokens),
        total: 0.0,
    };
    if let Some(batch) = ask.batch.filter(|_| settings.mechanisms.has(Mechanism::Batch)) {
        let beside = match settings.mechanisms.has(Mechanism::Fading) {
            true => crowd.beside(&load, load.service.unwrap_or(settings.service)),
            false => f64::from(load.total),
        };
        share_steps(&mut cost, batch, beside, ask.output_guess);
    }
    let latency = cost.wait + cost.prefill + cost.network + cost.decode;
    cost.total =
        settings.weights.latency * (latency + cost.crowding) + settings.weights.waste * cost.waste;
    let prefix = match source {
        Some(import) => Prefix::Import { from: import.from, tokens: import.tokens },
        None if resident > 0 => Prefix::Resident(resident),
        None => Prefix::Absent,
    };
    Choice { endpoint: key, cost, prefix, fill_tokens }
}

/// Prices the steps that a call shares with those beside it.
///
/// It is slowed by them, and slows each of them: by its part of every step, and by its prompt, which
/// is read between their tokens.
fn share_steps(cost: &mut Cost, batch: BatchCost, beside: f64, tokens: u64) {
    let tokens = tokens as f64;
    cost.decode = tokens * (batch.alone + batch.slope * beside);
    cost.crowding = beside * (tokens * batch.slope + cost.prefill);
}

/// Tokens of the prompt that the endpoint is believed to hold.
///
/// The program's own record says where it last ran and is exact up to eviction. A hint counts only
/// where it is newer than the record, or where there is no record.
fn held(settings: &RouteSettings, now: Time, endpoint: &Endpoint, ask: &RouteAsk) -> u64 {
    let record = ask.last.iter().find(|run| run.endpoint == endpoint.name);
    let record = record.filter(|run| now.since(run.at) <= settings.record_age);
    let hint = endpoint.hint(ask.program);
    let tokens = match (record, hint) {
        (Some(run), Some(hint)) if hint.at > run.at => hint.tokens,
        (Some(run), _) => run.tokens,
        (None, Some(hint)) => hint.tokens,
        (None, None) => 0,
    };
    tokens.min(ask.prior_tokens).max(held_shared(endpoint, ask)).min(ask.prompt_tokens)
}

/// Tokens of the longest shared start that the endpoint is believed to hold. One that has grown
/// since is held up to where it was.
fn held_shared(endpoint: &Endpoint, ask: &RouteAsk) -> u64 {
    let held = ask
        .shared
        .iter()
        .filter_map(|prefix| endpoint.hint(prefix.hash).map(|hint| hint.tokens.min(prefix.tokens)));
    held.max().unwrap_or(0)
}

fn wait(
    settings: &RouteSettings,
    ask: &RouteAsk,
    endpoint: &Endpoint,
    load: &LoadView,
    floor: f64,
) -> f64 {
    if !settings.mechanisms.has(Mechanism::Queue) {
        return 0.0;
    }
    let slots = f64::from(endpoint.kind.slots());
    let known = f64::from(load.total);
    let total = if load.stale { known.max(floor * slots + f64::from(load.own)) } else { known };
    let service = load.service.unwrap_or(settings.service);
    let ahead = (total + 1.0 - slots).max(0.0);
    // Prompts are filled one after another, so those still to fill delay this one even when slots
    // are free.
    let prompts = prefill_time(ask, endpoint, load.fill_tokens);
    ahead / slots * service + prompts
}

fn network(settings: &RouteSettings, ask: &RouteAsk, endpoint: &Endpoint) -> f64 {
    if !settings.mechanisms.has(Mechanism::Network) {
        return 0.0;
    }
    let link = settings.links.between(ask.place, place(endpoint));
    let reckoned = (ask.prompt_tokens + ask.output_guess) as f64 * settings.text_bytes;
    let bytes = ask.bytes.map_or(reckoned, |bytes| bytes as f64);
    2.0 * link.latency.as_secs_f64() + bytes / link.rate + bytes * link.price
}

/// Prefill seconds that others will pay: what is filled twice, and what this call pushes out.
fn waste(
    settings: &RouteSettings,
    ask: &RouteAsk,
    endpoint: &Endpoint,
    load: &LoadView,
    present: u64,
) -> f64 {
    let EndpointKind::Engine { cache_tokens, .. } = endpoint.kind else { return 0.0 };
    let twice = ask.prior_tokens.saturating_sub(present);
    if !settings.mechanisms.has(Mechanism::Pressure) {
        return prefill_time(ask, endpoint, twice);
    }
    let grows = ask.prompt_tokens + ask.output_guess - present;
    let pushed = (load.cached_tokens + grows).saturating_sub(cache_tokens).min(grows);
    prefill_time(ask, endpoint, twice + pushed)
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
    ask: &RouteAsk,
    endpoint: &Endpoint,
    resident: u64,
) -> Option<Import> {
    if !settings.import || !settings.mechanisms.has(Mechanism::Prefix) {
        return None;
    }
    let mut best: Option<Import> = None;
    for from in ask.last.iter().filter_map(|run| registry.key(&run.endpoint)) {
        let Some(source) = registry.get(from) else { continue };
        let tokens = held(settings, now, source, ask).saturating_sub(resident);
        if source.name == endpoint.name || tokens == 0 {
            continue;
        }
        let link = settings.links.between(place(source), place(endpoint));
        let bytes = tokens as f64 * settings.kv_bytes;
        let cost = link.latency.as_secs_f64() + bytes / link.rate + bytes * link.price;
        let cheaper = cost < prefill_time(ask, endpoint, tokens);
        if cheaper && best.as_ref().is_none_or(|held| cost < held.cost) {
            best = Some(Import { from, tokens, cost });
        }
    }
    best
}

fn place(endpoint: &Endpoint) -> Place {
    Place { domain: endpoint.domain, region: endpoint.region }
}

fn prefill_time(ask: &RouteAsk, endpoint: &Endpoint, tokens: u64) -> f64 {
    match (&endpoint.kind, ask.fill) {
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
