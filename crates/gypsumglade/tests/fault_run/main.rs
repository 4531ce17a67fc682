//! Faults on real processes: nine entries and three stores, killed and frozen under load.
//!
//! The stand-ins run in this process, so that the check can compare what callers observed with what
//! ran. It checks safety only, not timing. `FAULT_RUN_SEED` and `FAULT_RUN_ROUNDS` set the seed and the
//! length; docs/OPERATING.md explains the report.

mod callers;
mod check;
mod faults;
#[allow(dead_code, reason = "each test file uses a part of it")]
mod fleet;
mod outside;

use std::sync::Arc;
use std::time::Instant;

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use callers::Load;
use check::Report;
use faults::{Fault, Schedule};
use fleet::Fleet;
use outside::Outside;

/// Seed of the run in CI.
const SEED: u64 = 20_261_203;
/// Number of rounds over all faults in CI.
const ROUNDS: u64 = 1;

fn variable(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

#[test]
fn fault_run_keeps_promises() {
    // Callers run programs and make deposits, and retry failures. Meanwhile entries, stores and engines
    // are killed, suspended and stopped, one by one and together, and two operators race. What callers
    // observed must agree with what the stand-ins ran.
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let report = runtime.block_on(run(variable("FAULT_RUN_SEED", SEED)));
    println!("{report}");
    assert!(report.broken().is_empty(), "broken: {:#?}", report.broken());
}

async fn run(seed: u64) -> Report {
    let rounds = variable("FAULT_RUN_ROUNDS", ROUNDS);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Arc::new(Fleet::start(seed));
    let outside = Arc::new(Outside::start(&fleet).await);
    outside.roll(&fleet, "1.0.0", "first").await;
    fleet.wait_ready().await;
    let load = Load::start(&fleet, seed);
    let monitor = check::Monitor::start(&fleet);
    let started = Instant::now();
    for _ in 0..rounds {
        for fault in Schedule::shuffled(&mut rng) {
            load.wait_calls(callers::CALLS_BETWEEN_FAULTS).await;
            println!("{:>6.1} s  {fault:?}", started.elapsed().as_secs_f64());
            fault.inflict(&fleet, &outside, &monitor, &mut rng).await;
        }
    }
    fleet.wait_ready().await;
    println!("{:>6.1} s  no more faults", started.elapsed().as_secs_f64());
    let seen = load.finish().await;
    println!("{:>6.1} s  callers are done", started.elapsed().as_secs_f64());
    check::judge(&fleet, &outside, seen, monitor).await
}

/// Every fault is injected in each round.
#[test]
fn schedule_holds_every_fault() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    assert_eq!(Schedule::shuffled(&mut rng).len(), Fault::ALL.len());
}
