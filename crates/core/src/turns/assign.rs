//! Assignment of turns to engines by the leader of the turn group.
//!
//! It protects against queues at some engines while others idle. In a large deployment each entry
//! VM sends few calls to each engine, so the loads that it knows from its own answers are older
//! than a call takes, and it doesn't know which prompts other VMs have sent there. Every turn is
//! reserved with the leader before it runs and settled afterwards, so the leader knows both. See
//! docs/design/routing.md.
//!
//! Assignments are not replicated: after a change of leader, entry VMs place turns by themselves as
//! long as the new leader knows too little, and turns in flight end within seconds.

use std::collections::{HashMap, VecDeque};

use crate::policy::route::SharedPrefix;
use crate::prelude::*;

/// Time after which a prefix counts as evicted unless another turn has read it.
const PREFIX_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of prefixes; the oldest are removed first.
const MAX_PREFIXES: usize = 16_384;
/// Maximum number of engines recorded for one prefix.
const MAX_HOLDERS: usize = 64;
/// Interval between two removals of expired state.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// An engine that an entry VM offers to use for a turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Name of the engine.
    pub endpoint: EndpointName,
    /// Calls that it can run at the same time.
    pub slots: u32,
    /// Seconds that the turn costs there without load and with its whole prompt cached.
    pub base: f64,
    /// Prompt tokens that the entry VM expects to be cached there.
    pub cached: u64,
}

/// How load adds to the cost of a turn, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadCost {
    /// Prefill of an uncached prompt token.
    pub token: f64,
    /// Delay that the turn and one concurrent call cause each other by sharing engine steps.
    pub call: f64,
    /// Wait for each call ahead in the engine's queue.
    pub wait: f64,
}

/// A turn that needs an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AssignRequest {
    /// Unique id of the turn.
    pub turn: CompactString,
    /// Engines to choose from.
    pub offers: Vec<Offer>,
    /// Prefixes of the prompt, shortest first; the last one is the whole prompt.
    pub prefixes: Vec<SharedPrefix>,
    /// Engine that ran the program's last turn, and the tokens of this prompt that it read.
    pub last_run: Option<(EndpointName, u64)>,
    /// How load adds to the cost.
    pub cost: LoadCost,
    /// Time after which the turn has ended, also if its entry VM never reports that.
    pub lasts: Duration,
}

/// The engine that a turn is assigned to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the engine.
    pub endpoint: EndpointName,
    /// Prompt tokens that are expected to be cached there.
    pub cached: u64,
}

#[derive(Clone, Debug)]
struct ActiveTurn {
    assignment: Assignment,
    until: Time,
}

/// Engines that a prefix was assigned to, and when it was assigned there last.
type Holders = Vec<(EndpointName, Time)>;

/// Turns in flight and prefixes by engine, as assigned by this leader.
#[derive(Clone, Debug, Default)]
pub struct Assignments {
    turns: HashMap<CompactString, ActiveTurn>,
    calls: HashMap<EndpointName, u32>,
    prefixes: HashMap<u64, Holders>,
    insertion_order: VecDeque<u64>,
    next_sweep: Time,
}

impl Assignments {
    /// Chooses the engine where the turn costs the least, and counts the turn there until it is
    /// released. A repeated request for the same turn gets the same engine.
    ///
    /// Returns `None` without offers.
    pub fn assign(&mut self, now: Time, request: &AssignRequest) -> Option<Assignment> {
        self.sweep(now);
        if let Some(turn) = self.turns.get(&request.turn) {
            return Some(turn.assignment.clone());
        }
        let previous = self.previous_engine(request);
        let offers = request.offers.iter().chain(&previous);
        let costs = offers.map(|offer| (self.cost(now, request, offer), offer));
        let (_, offer) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let cached = self.cached_tokens(now, request, offer);
        let assignment = Assignment { endpoint: offer.endpoint.clone(), cached };
        *self.calls.entry(assignment.endpoint.clone()).or_default() += 1;
        for prefix in &request.prefixes {
            self.record_prefix(now, prefix.hash, &assignment.endpoint);
        }
        let turn = ActiveTurn { assignment: assignment.clone(), until: now + request.lasts };
        self.turns.insert(request.turn.clone(), turn);
        Some(assignment)
    }

    /// Counts a turn as ended. Releasing a turn twice has no effect.
    pub fn release(&mut self, turn: &str) {
        let Some(turn) = self.turns.remove(turn) else { return };
        self.end_call(&turn.assignment.endpoint);
    }

    /// Returns the number of turns in flight at all engines.
    pub fn in_flight(&self) -> usize {
        self.turns.len()
    }

    /// Returns the number of turns in flight at an engine.
    pub fn calls(&self, endpoint: &str) -> u32 {
        self.calls.get(endpoint).copied().unwrap_or_default()
    }

    /// Returns an offer of the engine that ran the program's last turn, if the entry VM made none.
    /// It holds the conversation and is near, since the program's turns come from one region.
    fn previous_engine(&self, request: &AssignRequest) -> Option<Offer> {
        let (endpoint, cached) = request.last_run.clone()?;
        let nearest = request.offers.iter().min_by(|a, b| a.base.total_cmp(&b.base))?;
        let offered = request.offers.iter().any(|offer| offer.endpoint == endpoint);
        (!offered).then_some(Offer { endpoint, cached, ..nearest.clone() })
    }

    /// Returns the seconds that the turn costs at an engine, together with the delay of other calls.
    fn cost(&self, now: Time, request: &AssignRequest, offer: &Offer) -> f64 {
        let cost = &request.cost;
        let calls = f64::from(self.calls(&offer.endpoint));
        let slots = f64::from(offer.slots.max(1));
        let running = calls.min(slots);
        let prompt = request.prefixes.last().map_or(0, |prefix| prefix.tokens);
        let missing = prompt.saturating_sub(self.cached_tokens(now, request, offer));
        let prefill = missing as f64 * cost.token;
        let queue = (calls + 1.0 - slots).max(0.0) * cost.wait;
        offer.base + queue + prefill * (1.0 + running) + running * cost.call
    }

    /// Returns the prompt tokens that are expected to be cached at an engine.
    fn cached_tokens(&self, now: Time, request: &AssignRequest, offer: &Offer) -> u64 {
        let last_run = request.last_run.as_ref();
        let last_run = last_run.filter(|(endpoint, _)| *endpoint == offer.endpoint);
        let assigned = request.prefixes.iter().rev().find(|prefix| {
            let holders = self.prefixes.get(&prefix.hash);
            holders.is_some_and(|holders| {
                holders.iter().any(|(endpoint, at)| {
                    *endpoint == offer.endpoint && now.since(*at) < PREFIX_RETENTION
                })
            })
        });
        let assigned = assigned.map_or(0, |prefix| prefix.tokens);
        offer.cached.max(assigned).max(last_run.map_or(0, |(_, tokens)| *tokens))
    }

    fn record_prefix(&mut self, now: Time, hash: u64, endpoint: &EndpointName) {
        if !self.prefixes.contains_key(&hash) {
            if self.insertion_order.len() >= MAX_PREFIXES
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.prefixes.remove(&oldest);
            }
            self.insertion_order.push_back(hash);
        }
        let holders = self.prefixes.entry(hash).or_default();
        holders.retain(|(known, at)| known != endpoint && now.since(*at) < PREFIX_RETENTION);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push((endpoint.clone(), now));
    }

    /// Ends the turns whose entry VMs have not reported their end in time.
    fn sweep(&mut self, now: Time) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let lost: Vec<_> = self.turns.extract_if(|_, turn| turn.until <= now).collect();
        for (_, turn) in lost {
            self.end_call(&turn.assignment.endpoint);
        }
    }

    fn end_call(&mut self, endpoint: &str) {
        let Some(calls) = self.calls.get_mut(endpoint) else { return };
        *calls = calls.saturating_sub(1);
        if *calls == 0 {
            self.calls.remove(endpoint);
        }
    }
}
