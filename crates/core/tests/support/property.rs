//! Settings of property tests. The seed is fixed, so that every run has the same verdict.

#![allow(dead_code, reason = "each test file uses its own part")]

use proptest::test_runner::{Config, RngSeed};

/// Environment variable with the count of cases, for long runs.
const CASES_VARIABLE: &str = "GYPSUMGLADE_CASES";

/// Returns the count of cases: `default` unless the environment names another.
pub fn cases(default: u32) -> u32 {
    let asked = std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok());
    asked.unwrap_or(default)
}

/// Returns a property's settings: exactly `cases` cases, of a fixed seed.
pub fn fixed(seed: u64, cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
