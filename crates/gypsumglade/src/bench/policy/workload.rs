//! Programs drawn from seeded distributions, the same for every policy that is compared.

use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::route::Place;
use gypsumglade_core::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fleet, PREFILL_RATE};

/// Most turns and tokens that a program may have.
const MAX_TURNS: u32 = 78;
const MAX_HISTORY: u64 = 140_000;

/// Mean turns of a normal, an urgent and a sub-agent program.
const MEAN_TURNS: [f64; 3] = [9.0, 2.0, 3.0];

/// Share of programs that are urgent, and of pauses in which sub-agents run.
const URGENT_SHARE: f64 = 0.1;
const SUB_AGENT_SHARE: f64 = 0.05;

/// Organisations, with shares that fall as one over their rank.
const ORGS: u64 = 20;

/// Tools: name, share, median pause in seconds, spread of its logarithm.
const TOOLS: [(&str, f64, f64, f64); 4] = [
    ("search", 0.5, 0.4, 0.5),
    ("booking", 0.25, 2.0, 0.6),
    ("person", 0.22, 25.0, 0.8),
    ("export", 0.03, 150.0, 0.4),
];

/// One turn: what is added to the history, and the pause after it.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Tokens that the caller or a tool adds.
    pub input: u64,
    /// Tokens generated.
    pub output: u64,
    /// Tool that runs after it, an index of its name.
    pub tool: usize,
    /// How long the tool takes.
    pub pause: Duration,
    /// Sub-agents that must end before the next turn.
    pub children: Vec<Plan>,
}

/// A program as it will unfold. No policy sees more of it than has happened.
#[derive(Clone, Debug)]
pub struct Plan {
    /// When its first call comes; for a sub-agent, the pause decides.
    pub at: Time,
    /// Pool of engines that serve its model.
    pub pool: usize,
    /// Its organisation.
    pub org: u64,
    /// Its urgency.
    pub class: Class,
    /// Where its caller is.
    pub place: Place,
    /// Its turns.
    pub turns: Vec<Turn>,
}

impl Plan {
    /// Returns the engine seconds that it needs when every token is filled once: slots held, over
    /// the slots of one engine.
    pub fn work(&self, fleet: &Fleet) -> f64 {
        let turn = |turn: &Turn| {
            let own = turn.input as f64 / PREFILL_RATE + turn.output as f64 / fleet.decode_rate;
            let children: f64 = turn.children.iter().map(|child| child.work(fleet)).sum();
            own / f64::from(fleet.slots) + children
        };
        self.turns.iter().map(turn).sum()
    }
}

/// Returns the name of a tool.
pub fn tool_name(tool: usize) -> &'static str {
    TOOLS[tool].0
}

/// Draws programs for one pool until `end`, at `load` of the pool's capacity.
pub fn draw(fleet: &Fleet, pool: usize, load: f64, end: Time, seed: u64) -> Vec<Plan> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(31) + pool as u64);
    let trial: f64 = (0..2_000).map(|_| plan(&mut rng, pool, 0).work(fleet)).sum();
    let rate = load * f64::from(fleet.pools[pool]) / (trial / 2_000.0);
    let mut plans = Vec::new();
    let mut at = Time::ZERO;
    loop {
        at = at + Duration::from_secs_f64(exponential(&mut rng) / rate);
        if at >= end {
            return plans;
        }
        let mut plan = plan(&mut rng, pool, 0);
        plan.at = at;
        plans.push(plan);
    }
}

fn plan(rng: &mut ChaCha8Rng, pool: usize, depth: u32) -> Plan {
    let urgent = depth == 0 && rng.random_bool(URGENT_SHARE);
    let kind = if depth > 0 { 2 } else { usize::from(urgent) };
    let count = geometric(rng, MEAN_TURNS[kind]).min(MAX_TURNS);
    let domain = rng.random_range(0..3_u16);
    let place = Place { domain: DomainId(domain), region: RegionId(domain / 2) };
    let org = ((ORGS as f64).powf(rng.random_range(0.0..1.0))) as u64;
    let mut turns = Vec::new();
    let mut history = 0;
    for index in 0..count {
        let turn = turn(rng, pool, depth, index == 0);
        history += turn.input + turn.output;
        if history > MAX_HISTORY {
            break;
        }
        turns.push(turn);
    }
    let class = if urgent { Class::Urgent } else { Class::Normal };
    Plan { at: Time::ZERO, pool, org, class, place, turns }
}

fn turn(rng: &mut ChaCha8Rng, pool: usize, depth: u32, first: bool) -> Turn {
    let median = if first { 1_800.0 } else { 700.0 };
    let input = lognormal(rng, median, 0.9).clamp(20.0, 30_000.0) as u64;
    let output = lognormal(rng, 160.0, 0.6).clamp(8.0, 2_000.0) as u64;
    let mut draw = rng.random_range(0.0..1.0);
    let mut tool = 0;
    while tool + 1 < TOOLS.len() && draw >= TOOLS[tool].1 {
        draw -= TOOLS[tool].1;
        tool += 1;
    }
    let pause = Duration::from_secs_f64(lognormal(rng, TOOLS[tool].2, TOOLS[tool].3));
    let mut children = Vec::new();
    if depth == 0 && rng.random_bool(SUB_AGENT_SHARE) {
        let count = rng.random_range(1..=3);
        children = (0..count).map(|_| plan(rng, pool, depth + 1)).collect();
    }
    Turn { input, output, tool, pause, children }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random_range(0.0..1.0_f64)).ln()
}

fn geometric(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    let step = (1.0 - 1.0 / mean).ln();
    1 + (-exponential(rng) / step) as u32
}

/// Draws from a log-normal distribution by the Box-Muller transform.
fn lognormal(rng: &mut ChaCha8Rng, median: f64, spread: f64) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    let angle = rng.random_range(0.0..std::f64::consts::TAU);
    median * (spread * radius * angle.cos()).exp()
}
