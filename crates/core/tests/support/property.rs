//! Settings of property tests. The seed is fixed, so that runs are reproducible.

#![allow(dead_code, reason = "each test file uses its own part")]

use proptest::test_runner::{Config, RngSeed};

/// Environment variable that overrides the number of cases.
const CASES_VARIABLE: &str = "GYPSUMGLADE_CASES";

/// Returns the number of cases: `default` unless the environment variable is set to a number.
pub fn cases(default: u32) -> u32 {
    let asked = std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok());
    asked.unwrap_or(default)
}

/// Returns settings for `cases` cases with a fixed seed, without persisted failures.
pub fn fixed(seed: u64, cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
