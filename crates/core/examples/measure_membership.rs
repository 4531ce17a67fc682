//! Measures membership with many cores in one process: detection time, false suspicions and
//! bytes by size and loss. Run it with `--release`; the figures are on a virtual clock, so they
//! depend on the seed alone. A size as argument runs only that one, without loss. See
//! docs/measurements/membership.md.

#[path = "../tests/membership_harness/mod.rs"]
mod harness;

use bytes::Bytes;
use gypsumglade_core::membership::{Input, Liveness, Mutation};
use gypsumglade_core::prelude::*;
use harness::Net;

const SEED: u64 = 11;
const SIZES: [u32; 4] = [9, 50, 200, 390];
const LOSSES: [f64; 3] = [0.0, 0.05, 0.2];
const QUIET: Duration = Duration::from_secs(120);
const KILLS: u32 = 5;

fn main() {
    let only: Option<u32> = std::env::args().nth(1).and_then(|size| size.parse().ok());
    println!(
        "| VMs | loss | join s | suspicions/VM/h | false deaths | first dead s | all know s | B/s/VM | with load B/s/VM |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    if let Some(size) = only {
        return measure(size, 0.0);
    }
    for size in SIZES {
        for loss in LOSSES {
            measure(size, loss);
        }
    }
}

fn measure(size: u32, loss: f64) {
    let mut net = Net::new(size, loss, SEED, Mutation::None);
    let start = net.now;
    let joined = net.run_until(start + Duration::from_secs(300), Net::agreed);
    let join = net.now.since(start).as_secs_f64();
    let before = (net.suspicions(), net.false_deaths, net.bytes);
    net.run(QUIET);
    let hours = QUIET.as_secs_f64() / 3_600.0 * f64::from(size);
    let suspicions = (net.suspicions() - before.0) as f64 / hours;
    let deaths = net.false_deaths - before.1;
    let rate = per_vm(&net, net.bytes - before.2, QUIET);
    let loaded = loaded_rate(&mut net);
    let (first, all) = kill_some(&mut net, size);
    let joined = if joined { "" } else { "+" };
    println!(
        "| {size} | {:.0} % | {join:.1}{joined} | {suspicions:.1} | {deaths} | {first} | {all} | {rate:.0} | {loaded:.0} |",
        loss * 100.0
    );
}

fn per_vm(net: &Net, bytes: u64, time: Duration) -> f64 {
    bytes as f64 / time.as_secs_f64() / net.nodes.len() as f64
}

/// Every VM changes its digest each second.
fn loaded_rate(net: &mut Net) -> f64 {
    let before = net.bytes;
    const SECONDS: u64 = 20;
    for second in 0..SECONDS {
        let vms: Vec<VmId> = net.nodes.keys().copied().collect();
        for vm in vms {
            let mut digest = [7; 32];
            digest[0] = second as u8;
            net.input(vm, Input::SetDigest(Bytes::copy_from_slice(&digest)));
        }
        net.run(Duration::from_secs(1));
    }
    per_vm(net, net.bytes - before, Duration::from_secs(SECONDS))
}

/// Kills a few VMs one after the other; returns mean and worst time to the first and the last
/// VM that holds it for dead.
fn kill_some(net: &mut Net, size: u32) -> (String, String) {
    let (mut firsts, mut lasts) = (Vec::new(), Vec::new());
    for kill in 0..KILLS.min(size / 3) {
        let vm = VmId(size - kill);
        let start = net.now;
        let end = start + Duration::from_secs(120);
        net.kill(vm);
        net.run_until(end, |net| net.holding(vm, Liveness::Dead) > 0);
        firsts.push(net.now.since(start).as_secs_f64());
        net.run_until(end, |net| net.holding(vm, Liveness::Dead) == net.nodes.len());
        lasts.push(net.now.since(start).as_secs_f64());
    }
    (mean_and_worst(&firsts), mean_and_worst(&lasts))
}

fn mean_and_worst(times: &[f64]) -> String {
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    let worst = times.iter().copied().fold(0.0, f64::max);
    format!("{mean:.1} ({worst:.1})")
}
