//! Invalid input to bundle handling: arbitrary bytes, forged signatures and replayed orders.

#[path = "support/property.rs"]
mod property;

use bytes::Bytes;
use gypsumglade_core::bundle::{Bundle, KeyPair, OperatorKeys, Signature, SignedBundle};
use gypsumglade_core::control::Control;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control as wire;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::content::Body as ContentBody;
use property::{cases, fixed};
use proptest::collection::vec;
use proptest::prelude::*;
use prost::Message as _;

const EXAMPLE: &str = include_str!("../../../examples/bundle.yaml");
/// Number of generated cases, unless the environment sets another.
const CASES: u32 = 128;

fn key(seed: u8) -> KeyPair {
    KeyPair::from_seed([seed; 32])
}

/// Operators 1, 2 and 3, of whom two must sign.
fn keys() -> OperatorKeys {
    OperatorKeys { keys: (1..=3).map(|seed| key(seed).public()).collect(), threshold: 2 }
}

fn signed(content: &str, signers: &[u8]) -> SignedBundle {
    let mut bundle =
        SignedBundle::new(Bytes::from(content.to_owned())).expect("the bundle is valid");
    signers.iter().for_each(|signer| bundle.sign(&key(*signer)).expect("the bundle is valid"));
    bundle
}

fn example(version: &str) -> String {
    EXAMPLE.replace("2026.12.1", version)
}

fn accept(bundle: &SignedBundle, base: u64, order: &str) -> wire::Command {
    let version = Bundle::parse(&bundle.content).expect("the bundle is valid").version.to_string();
    let accept = wire::Accept {
        order_id: order.to_owned(),
        base_revision: base,
        version,
        digest: bundle.digest().to_wire(),
        content: Some(wire::Content { body: Some(ContentBody::Whole(bundle.content.clone())) }),
        signatures: bundle.signatures.iter().map(Signature::to_wire).collect(),
    };
    wire::Command { body: Some(CommandBody::Accept(accept)) }
}

/// Checks an order and applies it if it is valid, as a leader does.
fn submit(control: &mut Control, command: &wire::Command) -> wire::Answer {
    match control.check(command, &keys()) {
        Ok(()) => control.apply(command),
        Err(answer) => answer,
    }
}

fn revision(answer: &wire::Answer) -> Option<u64> {
    match &answer.body {
        Some(AnswerBody::Accepted(accepted)) => Some(accepted.revision),
        _ => None,
    }
}

/// Generates the example bundle with a random part replaced by other text.
fn damaged_example() -> impl Strategy<Value = Vec<u8>> {
    (0..EXAMPLE.len(), 0..40_usize, "[ -~\n]{0,20}").prop_map(|(at, length, text)| {
        let end = (at + length).min(EXAMPLE.len());
        let mut yaml = EXAMPLE.as_bytes().to_vec();
        yaml.splice(at..end, text.into_bytes());
        yaml
    })
}

proptest! {
    #![proptest_config(fixed(72, cases(CASES)))]

    #[test]
    fn parse_survives_any_bytes(yaml in vec(any::<u8>(), 0..300)) {
        let _ = Bundle::parse(&yaml);
    }

    #[test]
    fn parse_survives_a_damaged_bundle(yaml in damaged_example()) {
        if let Err(findings) = Bundle::parse(&yaml) {
            prop_assert!(!findings.is_empty());
        }
    }

    #[test]
    fn check_refuses_damaged_signatures(at in 0..64_usize, flip in 1..=255_u8, cut in 0..64_usize) {
        let valid = signed(EXAMPLE, &[1, 2]);
        let mut damaged = valid.clone();
        let mut bytes = damaged.signatures[1].bytes.to_vec();
        bytes[at] ^= flip;
        damaged.signatures[1].bytes = bytes.into();
        prop_assert_eq!(revision(&submit(&mut Control::new(), &accept(&damaged, 0, "a"))), None);
        let mut truncated = valid;
        truncated.signatures[1].bytes.truncate(cut);
        prop_assert_eq!(revision(&submit(&mut Control::new(), &accept(&truncated, 0, "a"))), None);
    }

    #[test]
    fn restore_survives_any_bytes(bytes in vec(any::<u8>(), 0..300)) {
        let _ = Control::restore(&bytes);
    }

    #[test]
    fn restore_survives_a_damaged_snapshot(at in any::<prop::sample::Index>(), flip in 1..=255_u8) {
        let mut control = Control::new();
        submit(&mut control, &accept(&signed(EXAMPLE, &[1, 2]), 0, "a"));
        let mut bytes = control.snapshot().to_vec();
        let at = at.index(bytes.len());
        bytes[at] ^= flip;
        if let Ok(restored) = Control::restore(&bytes) {
            prop_assert_eq!(Control::restore(&restored.snapshot()).is_ok(), true);
        }
    }

    #[test]
    fn apply_survives_any_command(bytes in vec(any::<u8>(), 0..200)) {
        let Ok(command) = wire::Command::decode(bytes.as_slice()) else { return Ok(()) };
        let mut control = Control::new();
        let _ = control.check(&command, &keys());
        control.apply(&command);
        prop_assert!(Control::restore(&control.snapshot()).is_ok());
    }
}

#[test]
fn parse_refuses_an_alias_bomb() {
    // Nested aliases that expand to 10^9 values would exhaust a parser that resolves them.
    let mut yaml = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for level in 1..9 {
        let aliases = vec![format!("*a{}", level - 1); 10].join(", ");
        yaml.push_str(&format!("a{level}: &a{level} [{aliases}]\n"));
    }
    yaml.push_str("models: *a8\n");
    assert!(Bundle::parse(yaml.as_bytes()).is_err());
}

#[test]
fn parse_refuses_deep_nesting() {
    // The YAML parser takes quadratic time in the number of open brackets, so a deeply nested
    // bundle would block the store that checks it.
    let yaml = format!("models: {}", "[".repeat(1 << 20));
    let findings = Bundle::parse(yaml.as_bytes()).expect_err("the nesting is too deep");
    assert!(findings.to_string().contains("brackets"), "{findings}");
}

#[test]
fn check_refuses_too_few_operators() {
    let forged = [
        signed(EXAMPLE, &[]),
        signed(EXAMPLE, &[1]),
        signed(EXAMPLE, &[1, 1]),
        signed(EXAMPLE, &[1, 9]),
        signed(EXAMPLE, &[8, 9]),
    ];
    for bundle in forged {
        let answer = submit(&mut Control::new(), &accept(&bundle, 0, "a"));
        assert_eq!(revision(&answer), None, "{:?}", bundle.signatures);
    }
}

#[test]
fn check_refuses_a_signature_of_another_bundle() {
    let mut bundle = signed(EXAMPLE, &[1, 2]);
    bundle.signatures = signed(&example("2026.12.2"), &[1, 2]).signatures;
    assert_eq!(revision(&submit(&mut Control::new(), &accept(&bundle, 0, "a"))), None);
}

#[test]
fn accept_replayed_returns_the_first_answer() {
    // A replayed order must not bring back its bundle after a newer one was accepted.
    let mut control = Control::new();
    let old = accept(&signed(EXAMPLE, &[1, 2]), 0, "a");
    let first = submit(&mut control, &old);
    let new = accept(&signed(&example("2026.12.2"), &[1, 2]), 1, "b");
    assert_eq!(revision(&submit(&mut control, &new)), Some(2));
    assert_eq!(submit(&mut control, &old), first);
    let current = control.current().expect("a revision is in force");
    assert_eq!(current.version, "2026.12.2");
}

#[test]
fn accept_of_an_old_bundle_in_a_new_order_changes_nothing() {
    // An old signed bundle in a new order could restore a revoked API key or budget. Its version
    // is already used, so the answer is its old revision and the newer one stays in force.
    let mut control = Control::new();
    submit(&mut control, &accept(&signed(EXAMPLE, &[1, 2]), 0, "a"));
    submit(&mut control, &accept(&signed(&example("2026.12.2"), &[1, 2]), 1, "b"));
    let replayed = accept(&signed(EXAMPLE, &[1, 2]), 2, "c");
    assert_eq!(revision(&submit(&mut control, &replayed)), Some(1));
    let other = accept(&signed(EXAMPLE, &[2, 3]), 2, "b");
    assert_eq!(revision(&submit(&mut control, &other)), None, "an order id must not be used twice");
    let current = control.current().expect("a revision is in force");
    assert_eq!((current.number, current.version.as_str()), (RevisionNumber(2), "2026.12.2"));
}
