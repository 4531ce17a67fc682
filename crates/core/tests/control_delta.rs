//! Deltas between bundle contents, and their size for a large bundle.

use std::fmt::Write as _;

use gypsumglade_core::bundle::{Bundle, Digest};
use gypsumglade_core::control::delta::{apply, diff};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use prost::Message;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..Config::default() }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn diff_applied_gives_the_target(
        base in "([a-c]{0,30}\n){0,12}[a-c]{0,4}",
        target in "([a-c]{0,30}\n){0,12}[a-c]{0,4}",
    ) {
        let change = diff(base.as_bytes(), target.as_bytes());
        let result = apply(base.as_bytes(), &change);
        prop_assert_eq!(result.as_deref(), Some(target.as_bytes()));
    }
}

#[test]
fn apply_refuses_a_step_outside_the_base() {
    let change =
        diff(b"a line that is long enough to copy\n", b"a line that is long enough to copy\n");
    assert_eq!(apply(b"short", &change), None);
}

/// Returns a bundle with 4,500 organisations and 7 models; organisation `changed` has another
/// share.
fn large(version: &str, changed: usize) -> String {
    let mut text = format!("version: \"{version}\"\nmodels:\n");
    for model in 0..7 {
        let _ = writeln!(
            text,
            "  - {{name: m{model}, version: \"1\", input_micros: 2, output_micros: 6, \
             context_tokens: 160000, endpoints: [\"m{model}-*\"]}}"
        );
    }
    text.push_str("agents:\n  - name: planner\n    models: [m0]\n");
    text.push_str("    budget: {tokens: 1, calls: 1, millis: 1, micros: 1}\n");
    text.push_str("    idle_ms: 1\n    max_turns: 78\norganisations:\n");
    for org in 0..4_500 {
        let key = Digest::of(format!("{org}").as_bytes());
        let share = if org == changed { 2 } else { 1 };
        let _ = writeln!(
            text,
            "  - name: organisation-{org}\n    key_digest: \"{key}\"\n    share: {share}\n    \
             agents: [planner]"
        );
    }
    text
}

#[test]
fn diff_of_one_organisation_is_small() {
    let (base, target) = (large("2026.12.1", usize::MAX), large("2026.12.2", 3_000));
    Bundle::parse(target.as_bytes()).expect("the large bundle is valid");
    let bytes = diff(base.as_bytes(), target.as_bytes()).encoded_len();
    println!("content {} bytes, delta {bytes} bytes", target.len());
    assert!(bytes < 100, "the delta has {bytes} bytes");
}
