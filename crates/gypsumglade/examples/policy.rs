//! Runs the policy comparison: `cargo run --release --example policy -- [seed,..] [load,..] [full]`.

use gypsumglade::bench::policy::{PolicyBench, run};

fn main() {
    let mut settings = PolicyBench::default();
    let mut args = std::env::args().skip(1);
    if let Some(seeds) = args.next() {
        settings.seeds = seeds.split(',').filter_map(|seed| seed.parse().ok()).collect();
    }
    if let Some(loads) = args.next() {
        settings.loads = loads.split(',').filter_map(|load| load.parse().ok()).collect();
    }
    let full = args.next().is_some();
    settings.ablations = full;
    settings.faults = full;
    println!("{}", run(settings).table());
}
