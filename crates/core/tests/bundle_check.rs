//! Bundle validation and m-of-n operator signatures.

use bytes::Bytes;
use gypsumglade_core::bundle::{
    Bundle, Class, Digest, KeyPair, OperatorKeys, SignatureError, SignedBundle,
};
use gypsumglade_core::prelude::*;

const EXAMPLE: &str = include_str!("../../../examples/bundle.yaml");

fn paths(yaml: &str) -> Vec<CompactString> {
    let findings = Bundle::parse(yaml.as_bytes()).expect_err("the bundle is invalid");
    findings.0.into_iter().map(|finding| finding.path).collect()
}

#[test]
fn parse_example() {
    let bundle = Bundle::parse(EXAMPLE.as_bytes()).expect("the example is valid");
    assert_eq!(bundle.agent("counter-check").map(|agent| agent.class), Some(Class::Urgent));
    assert!(bundle.fencing.is_ignored_by("old-7"));
    assert!(!bundle.fencing.is_ignored_by("adv-7"));
}

#[test]
fn parse_reports_all_findings_together() {
    let yaml = EXAMPLE
        .replace("\"2026.12.1\"", "latest")
        .replace("models: [advisor]", "models: [adviser]")
        .replace("share: 1", "share: 0")
        .replace("waste_weight: 6.0", "waste_weight: .nan\n  colour: blue")
        .replace("\"old-*\"", "\"o*d\"");
    let expected = [
        "policy.colour",
        "version",
        "agents[0].models[0]",
        "agents[1].models[0]",
        "organisations[0].share",
        "policy.waste_weight",
        "fencing.ignored_by[0]",
    ];
    assert_eq!(paths(&yaml), expected);
}

#[test]
fn parse_reports_the_path_of_a_wrong_type() {
    let yaml = EXAMPLE.replace("share: 1", "share: many");
    assert_eq!(paths(&yaml), ["organisations[0].share"]);
}

#[test]
fn parse_refuses_a_key_shared_by_two_organisations() {
    let key = Digest::of(b"example-key");
    let duplicate = format!("  - {{name: twin, key_digest: \"{key}\", agents: []}}\n\npolicy:");
    assert_eq!(
        paths(&EXAMPLE.replace("\npolicy:", &duplicate)),
        ["organisations[1].key_digests[0]"]
    );
}

fn key_pairs() -> Vec<KeyPair> {
    (1..=3).map(|seed| KeyPair::from_seed([seed; 32])).collect()
}

fn two_of_three() -> OperatorKeys {
    OperatorKeys { keys: key_pairs().iter().map(KeyPair::public).collect(), threshold: 2 }
}

fn signed_by(signers: &[usize]) -> SignedBundle {
    let content = Bytes::from_static(EXAMPLE.as_bytes());
    let mut signed = SignedBundle::new(content).expect("the example is valid");
    for signer in signers {
        signed.sign(&key_pairs()[*signer]).expect("the example is valid");
    }
    signed
}

#[test]
fn verify_threshold_reached() {
    let digest = signed_by(&[0, 2]).verify(&two_of_three());
    assert_eq!(digest, Ok(Digest::of(EXAMPLE.as_bytes())));
}

#[test]
fn verify_counts_an_operator_once() {
    // A repeated signature must not let one operator reach the threshold alone.
    let mut signed = signed_by(&[1]);
    signed.signatures.push(signed.signatures[0].clone());
    let too_few = SignatureError::TooFew { found: 1, needed: 2 };
    assert_eq!(signed.verify(&two_of_three()), Err(too_few));
}

#[test]
fn verify_refuses_changed_content() {
    let mut signed = signed_by(&[0, 1]);
    signed.content = EXAMPLE.replace("share: 1", "share: 9").into_bytes().into();
    let invalid = SignatureError::Invalid(key_pairs()[0].public());
    assert_eq!(signed.verify(&two_of_three()), Err(invalid));
}

#[test]
fn verify_ignores_unknown_signers() {
    let mut signed = signed_by(&[0, 1]);
    signed.sign(&KeyPair::from_seed([9; 32])).expect("the example is valid");
    assert!(signed.verify(&two_of_three()).is_ok());
}

#[test]
fn verify_needs_one_signature_when_threshold_is_zero() {
    let keys = OperatorKeys { threshold: 0, ..two_of_three() };
    let too_few = SignatureError::TooFew { found: 0, needed: 1 };
    assert_eq!(signed_by(&[]).verify(&keys), Err(too_few));
}
