//! The policy comparison is repeatable.

use gypsumglade::bench::policy::{PolicyBench, run};

// A figure in docs/measurements must come out again from its seed, byte for byte. Hash maps in the
// core that are walked in their own order, or threads that finish in another, would break that.
#[test]
fn run_same_seed_same_bytes() {
    let settings = || PolicyBench {
        seeds: vec![1, 2],
        loads: vec![0.1],
        baselines: false,
        ablations: false,
        faults: false,
        roomy: false,
    };
    assert_eq!(run(settings()).table(), run(settings()).table());
}
