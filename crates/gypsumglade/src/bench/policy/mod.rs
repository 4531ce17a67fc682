//! `gypsumglade bench policy`: the core's decisions against the usual ones, on a virtual clock.
//!
//! One decision point stands before small fake engines. There are no VMs, no replication and no
//! membership here: it compares decisions, and says nothing about the processes that carry them.
//! The same seeds give the same output, byte for byte. docs/measurements/policy.md explains it.

mod engine;
mod machine;
mod plot;
mod program;
mod report;
mod run;
mod strategy;
mod tally;
mod workload;

use gypsumglade_core::policy::mechanism::{Mechanism, Mechanisms};
use gypsumglade_core::policy::route::{Link, Links, PolicyWeights};
use gypsumglade_core::prelude::*;

pub use plot::plot;
pub use report::{PolicyReport, Row};
pub use strategy::{Parts, Strategy};
pub use tally::{Tally, quantile};

/// Prompt tokens that an engine fills a second.
const PREFILL_RATE: f64 = 8_000.0;

/// Tokens of an answer that policies expect.
const OUTPUT_GUESS: u64 = 190;

/// Bytes of text for each token.
const TEXT_BYTES: f64 = 4.2;

/// Interval of load reports, which is also their lag.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Prefix tokens that an engine holds: about half, and about all, of what the programs under way at
/// full load would fill.
const TIGHT: u64 = 400_000;
const ROOMY: u64 = 800_000;

/// Programs come until here; those that come within the sample are measured.
const ARRIVALS: Time = Time::from_millis(2_400_000);
const SAMPLE_FROM: Time = Time::from_millis(400_000);
const SAMPLE_TO: Time = Time::from_millis(1_800_000);
const GOODPUT_FROM: Time = Time::from_millis(900_000);
const GOODPUT_TO: Time = Time::from_millis(2_400_000);

/// Engines stop announcing here; all programs are over long before.
const END: Time = Time::from_millis(14_400_000);

/// Engines, links and weights of one user.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The user.
    pub name: &'static str,
    /// Engines for each model.
    pub pools: [u32; 2],
    /// Calls that an engine runs at one time.
    pub slots: u32,
    /// Tokens a second for one call.
    pub decode_rate: f64,
    /// Prefix tokens that an engine holds.
    pub cache_tokens: u64,
    /// Links.
    pub links: Links,
    /// Weights of the user's bundle.
    pub weights: PolicyWeights,
    /// Calls let in for each slot.
    pub overbook: f64,
}

impl Fleet {
    /// Ten advisor and three booking desk workers; wasted cache weighs more.
    pub fn fenyrekesz() -> Fleet {
        let weights = PolicyWeights { latency: 1.0, waste: 12.0 };
        Fleet::new("Fényrekesz", [10, 3], Duration::from_micros(1_500), weights)
    }

    /// Twenty advice and ten booking and consent workers; latency weighs more.
    pub fn velkaneuvo() -> Fleet {
        let weights = PolicyWeights { latency: 1.0, waste: 6.0 };
        Fleet::new("Velkaneuvo", [20, 10], Duration::from_micros(500), weights)
    }

    fn new(name: &'static str, pools: [u32; 2], near: Duration, weights: PolicyWeights) -> Fleet {
        let mut links = Links::default();
        links.region.latency = near;
        links.paid = Link { latency: Duration::from_millis(8), rate: 3.75e6, price: 3e-5 };
        Fleet {
            name,
            pools,
            slots: 16,
            decode_rate: 32.0,
            cache_tokens: TIGHT,
            links,
            weights,
            overbook: 1.1,
        }
    }

    /// Returns the name for files.
    pub fn slug(&self) -> &'static str {
        match self.name {
            "Fényrekesz" => "fenyrekesz",
            _ => "velkaneuvo",
        }
    }

    /// The same with twice the prefix memory, where it is no longer what is short.
    fn roomy(self, name: &'static str) -> Fleet {
        Fleet { name, cache_tokens: ROOMY, ..self }
    }

    fn engines(&self) -> u32 {
        self.pools.iter().sum()
    }
}

/// An endpoint that fails.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// It loses its calls and memory, and comes back later.
    Crash {
        /// Index of the engine.
        engine: usize,
        /// When it dies.
        at: Time,
        /// When it is back.
        back: Time,
    },
    /// It keeps reporting an old load.
    Frozen {
        /// Index of the engine.
        engine: usize,
        /// From when.
        at: Time,
        /// Until when.
        back: Time,
    },
}

/// One run's seed and faults.
#[derive(Clone, Debug)]
pub struct Case {
    /// Seed of the programs and of the policy's own draws.
    pub seed: u64,
    /// Share of capacity that is asked for.
    pub load: f64,
    /// Endpoints that fail.
    pub faults: Vec<Fault>,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct PolicyBench {
    /// Seeds; 1 to 9 are for tuning, 101 to 105 for reports.
    pub seeds: Vec<u64>,
    /// Loads as shares of capacity.
    pub loads: Vec<f64>,
    /// Whether the usual policies are run beside ours.
    pub baselines: bool,
    /// Whether each part of our policy is switched off in turn.
    pub ablations: bool,
    /// Whether runs with faults are added.
    pub faults: bool,
    /// Whether runs with more prefix memory are added.
    pub roomy: bool,
}

impl Default for PolicyBench {
    fn default() -> Self {
        PolicyBench {
            seeds: vec![101, 102, 103, 104, 105],
            loads: vec![0.5, 0.8, 0.95, 1.2, 2.0],
            baselines: true,
            ablations: true,
            faults: true,
            roomy: true,
        }
    }
}

/// Load at which parts are switched off and endpoints fail.
const USUAL_LOAD: f64 = 0.8;

/// Load at which parts are switched off a second time.
const FLOOD: f64 = 2.0;

/// Runs the comparison.
pub fn run(settings: PolicyBench) -> PolicyReport {
    let mut rows = Vec::new();
    for fleet in [Fleet::fenyrekesz(), Fleet::velkaneuvo()] {
        for load in &settings.loads {
            for (name, strategy) in whole(settings.baselines) {
                rows.push(row(&fleet, name, strategy, *load, false, &settings.seeds));
            }
        }
        if settings.ablations {
            for (name, strategy) in ablations() {
                rows.push(row(&fleet, name, strategy, USUAL_LOAD, false, &settings.seeds));
                rows.push(row(&fleet, name, strategy, FLOOD, false, &settings.seeds));
            }
        }
        if settings.faults {
            for (name, strategy) in whole(settings.baselines) {
                rows.push(row(&fleet, name, strategy, USUAL_LOAD, true, &settings.seeds));
            }
        }
    }
    if settings.roomy {
        for (name, fleet) in roomy() {
            for load in [USUAL_LOAD, FLOOD] {
                for (policy, strategy) in whole(settings.baselines) {
                    let fleet = fleet.clone().roomy(name);
                    rows.push(row(&fleet, policy, strategy, load, false, &settings.seeds));
                }
            }
        }
    }
    PolicyReport { seeds: settings.seeds, rows }
}

fn row(
    fleet: &Fleet,
    name: &'static str,
    strategy: Strategy,
    load: f64,
    faults: bool,
    seeds: &[u64],
) -> Row {
    let mut tally = Tally::default();
    std::thread::scope(|scope| {
        let one = |seed: u64| {
            let case = Case { seed, load, faults: planted(fleet, faults) };
            let draw = |pool| workload::draw(fleet, pool, load, ARRIVALS, seed);
            let plans = (0..fleet.pools.len()).flat_map(draw).collect();
            run::run(fleet, strategy, &case, plans)
        };
        let runs: Vec<_> = seeds.iter().map(|seed| scope.spawn(move || one(*seed))).collect();
        for run in runs {
            tally.add(run.join().expect("a run does not panic"));
        }
    });
    Row::new(fleet, name, load, faults, seeds.len(), &tally)
}

fn planted(fleet: &Fleet, faults: bool) -> Vec<Fault> {
    if !faults {
        return Vec::new();
    }
    let at = |seconds: u64| Time::from_millis(seconds * 1_000);
    let far = fleet.pools[0] as usize;
    vec![
        Fault::Crash { engine: 0, at: at(700), back: at(760) },
        Fault::Crash { engine: far, at: at(1_000), back: at(1_060) },
        Fault::Frozen { engine: 1, at: at(500), back: at(1_700) },
    ]
}

fn roomy() -> [(&'static str, Fleet); 2] {
    [("Fényrekesz, roomy", Fleet::fenyrekesz()), ("Velkaneuvo, roomy", Fleet::velkaneuvo())]
}

fn whole(baselines: bool) -> Vec<(&'static str, Strategy)> {
    let ours = ("gypsumglade", Strategy::Ours(Parts::default()));
    if !baselines {
        return vec![ours];
    }
    vec![
        ("round robin", Strategy::RoundRobin),
        ("least loaded", Strategy::LeastLoaded),
        ("sticky session", Strategy::Sticky),
        ("prefix affinity", Strategy::Affinity),
        ours,
    ]
}

fn ablations() -> Vec<(&'static str, Strategy)> {
    let all = Parts::default();
    let cost = |off| Strategy::Ours(Parts { route: Mechanisms::without(&[off]), ..all });
    vec![
        ("no queue cost", cost(Mechanism::Queue)),
        ("no prefix cost", cost(Mechanism::Prefix)),
        ("no pressure cost", cost(Mechanism::Pressure)),
        ("no network cost", cost(Mechanism::Network)),
        ("no retention", Strategy::Ours(Parts { retain: false, ..all })),
        ("no release at end", Strategy::Ours(Parts { free: false, ..all })),
        ("no program order", Strategy::Ours(Parts { order: false, ..all })),
        ("no admission", Strategy::Ours(Parts { admission: false, ..all })),
    ]
}
