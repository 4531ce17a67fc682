//! The policy comparison is reproducible.

use gypsumglade::bench::policy::{PolicyBench, run};

// The figures in docs/measurements must be reproducible from their seeds. Iteration over hash maps or
// the order in which threads finish would change them.
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
