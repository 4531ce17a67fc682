//! The policies that are compared, at the one place where they differ: the choice of an engine.

use gypsumglade_core::policy::mechanism::Mechanisms;
use gypsumglade_core::policy::registry::{EndpointKey, Registry};
use gypsumglade_core::policy::route::{LastRun, RouteRequest, Router};
use gypsumglade_core::prelude::*;

/// Parts of our policy, each of which the benchmark switches off in turn.
#[derive(Clone, Copy, Debug)]
pub struct Parts {
    /// Mechanisms of the routing cost.
    pub route: Mechanisms,
    /// Prefix memory is marked in pauses.
    pub retain: bool,
    /// Prefix memory of ended programs is freed.
    pub free: bool,
    /// Programs are ordered by attained service.
    pub order: bool,
    /// Calls wait at the entry, where they are let in or shed.
    pub admission: bool,
}

impl Default for Parts {
    fn default() -> Self {
        let route = Mechanisms::default();
        Parts { route, retain: true, free: true, order: true, admission: true }
    }
}

/// A policy.
#[derive(Clone, Copy, Debug)]
pub enum Strategy {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the fewest calls, reported and own.
    LeastLoaded,
    /// The program's first engine as long as it lives; that one by least load.
    Sticky,
    /// The engine that holds most of the prefix; in turn where none does.
    Affinity,
    /// Ours, with the parts that are on.
    Ours(Parts),
}

impl Strategy {
    /// Returns the parts of our policy, if it is ours.
    pub fn parts(self) -> Option<Parts> {
        match self {
            Strategy::Ours(parts) => Some(parts),
            _ => None,
        }
    }
}

/// Chooses an engine for one call.
pub fn choose(
    strategy: Strategy,
    now: Time,
    registry: &Registry,
    router: &mut Router,
    turn: &mut usize,
    ask: &RouteRequest,
) -> Option<EndpointKey> {
    let gypsumglade_core::policy::route::Target::Model(model) = &ask.target else { return None };
    let all = registry.candidates(model).iter().copied();
    let open: Vec<EndpointKey> = all.filter(|key| registry.is_available(now, *key)).collect();
    if open.is_empty() {
        return None;
    }
    let own = ask.last_runs.first().and_then(|run| registry.key(&run.endpoint));
    match strategy {
        Strategy::RoundRobin => Some(next(&open, turn)),
        Strategy::LeastLoaded => least(now, registry, &open, turn),
        Strategy::Sticky => match own.filter(|key| open.contains(key)) {
            Some(key) => Some(key),
            None => least(now, registry, &open, turn),
        },
        Strategy::Affinity => {
            let key = |run: &LastRun| registry.key(&run.endpoint).filter(|key| open.contains(key));
            let longest =
                ask.last_runs.iter().filter(|run| key(run).is_some()).max_by_key(|run| run.tokens);
            Some(longest.and_then(key).unwrap_or_else(|| next(&open, turn)))
        }
        Strategy::Ours(_) => router.choose(now, registry, ask).ok().map(|choice| choice.endpoint),
    }
}

fn next(open: &[EndpointKey], turn: &mut usize) -> EndpointKey {
    *turn += 1;
    open[*turn % open.len()]
}

fn least(
    now: Time,
    registry: &Registry,
    open: &[EndpointKey],
    turn: &mut usize,
) -> Option<EndpointKey> {
    *turn += 1;
    let start = *turn % open.len();
    let rotated = open[start..].iter().chain(&open[..start]);
    let load = |key: &EndpointKey| registry.get(*key).map(|endpoint| endpoint.load(now).total);
    rotated.min_by_key(|key| load(key)).copied()
}
