//! Revisions of the control group: compare-and-set, retries, conflicts and roll backs.

#[path = "support/property.rs"]
mod property;

use bytes::Bytes;
use gypsumglade_core::bundle::{Digest, KeyPair, OperatorKeys, RollBackOrder, SignedBundle};
use gypsumglade_core::control::{Control, MAX_DEDUP_RECORDS, Mutation, delta};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::{
    Accept, Answer, Command, Content, Fault, Rejected, RollBack, content,
};
use property::{cases, fixed};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};
use prost::Message as _;

fn bundle(version: u64, text: u8) -> Bytes {
    format!("version: \"{version}\"\n# variant {text}\n").into()
}

fn accept(order: &str, base: u64, version: u64, text: u8) -> Accept {
    let content = bundle(version, text);
    Accept {
        order_id: order.to_string(),
        base_revision: base,
        version: version.to_string(),
        digest: Digest::of(&content).to_wire(),
        content: Some(Content { body: Some(content::Body::Whole(content)) }),
        signatures: Vec::new(),
    }
}

fn command(body: CommandBody) -> Command {
    Command { body: Some(body) }
}

fn apply(control: &mut Control, accept: Accept) -> AnswerBody {
    body(control.apply(&command(CommandBody::Accept(accept))))
}

fn roll_back(control: &mut Control, order: &str, base: u64, target: u64) -> AnswerBody {
    let order = RollBack {
        order_id: order.to_string(),
        base_revision: base,
        to_revision: target,
        signatures: Vec::new(),
    };
    body(control.apply(&command(CommandBody::RollBack(order))))
}

fn body(answer: Answer) -> AnswerBody {
    answer.body.expect("every command is answered")
}

fn revision(answer: &AnswerBody) -> Option<u64> {
    match answer {
        AnswerBody::Accepted(accepted) => Some(accepted.revision),
        _ => None,
    }
}

fn fault(answer: &AnswerBody) -> Option<Fault> {
    match answer {
        AnswerBody::Rejected(Rejected { fault, .. }) => Fault::try_from(*fault).ok(),
        _ => None,
    }
}

#[test]
fn accept_resent_order_gets_first_answer() {
    // An order is retried after a lost answer, when another order was already accepted. Accepting
    // it twice would put old content back in force.
    let mut control = Control::new();
    let first = apply(&mut control, accept("a", 0, 1, 0));
    assert_eq!(revision(&apply(&mut control, accept("b", 1, 2, 0))), Some(2));
    assert_eq!(apply(&mut control, accept("a", 0, 1, 0)), first);
    assert_eq!(control.history().number(), RevisionNumber(2));
}

#[test]
fn accept_same_content_under_new_order_gets_first_answer() {
    let mut control = Control::new();
    let first = apply(&mut control, accept("a", 0, 1, 0));
    assert_eq!(apply(&mut control, accept("b", 1, 1, 0)), first);
}

#[test]
fn accept_same_version_names_both_digests() {
    // Two operators use the same version; the second must learn which content was accepted.
    let mut control = Control::new();
    apply(&mut control, accept("a", 0, 1, 0));
    let AnswerBody::Conflict(conflict) = apply(&mut control, accept("b", 0, 1, 7)) else {
        panic!("expected a conflict: the version is already used");
    };
    assert_eq!(conflict.accepted, Digest::of(&bundle(1, 0)).to_wire());
    assert_eq!(conflict.offered, Digest::of(&bundle(1, 7)).to_wire());
}

#[test]
fn accept_stale_base_is_refused() {
    let mut control = Control::new();
    apply(&mut control, accept("a", 0, 1, 0));
    let answer = apply(&mut control, accept("b", 0, 2, 0));
    assert!(matches!(answer, AnswerBody::Stale(stale) if stale.current == 1));
}

#[test]
fn accept_order_id_used_twice_is_refused() {
    let mut control = Control::new();
    apply(&mut control, accept("a", 0, 1, 0));
    let answer = apply(&mut control, accept("a", 1, 2, 0));
    assert_eq!(fault(&answer), Some(Fault::OrderIdReused));
}

#[test]
fn accept_delta_changes_the_base() {
    let mut control = Control::new();
    apply(&mut control, accept("a", 0, 1, 0));
    let mut order = accept("b", 1, 2, 9);
    let change = delta::diff(&bundle(1, 0), &bundle(2, 9));
    order.content = Some(Content { body: Some(content::Body::Delta(change)) });
    assert_eq!(revision(&apply(&mut control, order)), Some(2));
    assert_eq!(control.current().map(|now| now.content.clone()), Some(bundle(2, 9)));
}

/// Each small change of a large bundle was replicated whole, also over the link between regions.
#[test]
fn shorten_small_change_of_large_bundle() {
    let large = |version: u64| {
        let lines = (0..1_000).map(|n| format!("# line {n} of a large bundle\n"));
        Bytes::from(format!("version: \"{version}\"\n{}", lines.collect::<String>()))
    };
    let order = |version: u64| Accept {
        digest: Digest::of(&large(version)).to_wire(),
        content: Some(Content { body: Some(content::Body::Whole(large(version))) }),
        ..accept(&version.to_string(), version - 1, version, 0)
    };
    let mut control = Control::new();
    let first = command(CommandBody::Accept(order(1)));
    assert_eq!(control.shorten(first.clone()), first, "there is no base yet");
    control.apply(&first);
    let short = control.shorten(command(CommandBody::Accept(order(2))));
    assert!(short.encoded_len() < 512, "{} bytes", short.encoded_len());
    assert_eq!(revision(&body(control.apply(&short))), Some(2));
    assert_eq!(control.current().map(|now| now.content.clone()), Some(large(2)));
    let stale = command(CommandBody::Accept(Accept { base_revision: 1, ..order(3) }));
    assert_eq!(control.shorten(stale.clone()), stale, "the delta would have another base");
}

#[test]
fn roll_back_is_a_higher_revision() {
    let mut control = Control::new();
    apply(&mut control, accept("a", 0, 1, 0));
    apply(&mut control, accept("b", 1, 2, 0));
    assert_eq!(revision(&roll_back(&mut control, "c", 2, 1)), Some(3));
    let current = control.current().expect("three revisions");
    assert_eq!((current.content.clone(), current.origin), (bundle(1, 0), Some(RevisionNumber(1))));
    assert_eq!(revision(&roll_back(&mut control, "c", 2, 1)), Some(3));
    assert_eq!(fault(&roll_back(&mut control, "d", 3, 9)), Some(Fault::RevisionNotKept));
}

fn evicted_version_answer(mutation: Mutation) -> AnswerBody {
    let mut control = Control::with_mutation(mutation);
    for version in 1..=MAX_DEDUP_RECORDS as u64 + 1 {
        apply(&mut control, accept(&version.to_string(), version - 1, version, 0));
    }
    let base = control.history().number().0;
    apply(&mut control, accept("replayed", base, 1, 0))
}

#[test]
fn accept_evicted_version_is_refused() {
    // Guards against replay of an old signed bundle after its version was evicted from the group's
    // records.
    let answer = evicted_version_answer(Mutation::None);
    assert_eq!(fault(&answer), Some(Fault::VersionTooOld));
    let answer = evicted_version_answer(Mutation::NoVersionFloor);
    assert!(revision(&answer).is_some(), "without the version floor the replay is accepted");
}

#[test]
fn check_needs_signatures() {
    let pair = KeyPair::from_seed([1; 32]);
    let keys = OperatorKeys { keys: vec![pair.public()], threshold: 1 };
    let mut control = Control::new();
    let mut order = accept("a", 0, 1, 0);
    let unsigned = control.check(&command(CommandBody::Accept(order.clone())), &keys);
    assert_eq!(unsigned.err().map(body).as_ref().and_then(fault), Some(Fault::NotSigned));
    let mut signed = SignedBundle::new(bundle(1, 0)).expect("a valid bundle");
    signed.sign(&pair).expect("a valid bundle");
    order.signatures = signed.signatures.iter().map(|signature| signature.to_wire()).collect();
    assert_eq!(control.check(&command(CommandBody::Accept(order.clone())), &keys), Ok(()));
    apply(&mut control, order);
    assert!(control.current().expect("accepted").verify(&keys).is_ok());
}

#[test]
fn check_roll_back_signature_holds_for_one_base() {
    // Guards against replay of a signed roll back when another revision is in force.
    let pair = KeyPair::from_seed([1; 32]);
    let keys = OperatorKeys { keys: vec![pair.public()], threshold: 1 };
    let mut control = Control::new();
    for version in 1..=3 {
        apply(&mut control, accept(&version.to_string(), version - 1, version, 0));
    }
    let digest = Digest::of(&bundle(1, 0));
    let signed = RollBackOrder { base: RevisionNumber(3), target: RevisionNumber(1), digest };
    let order = |id: &str, base_revision| {
        command(CommandBody::RollBack(RollBack {
            order_id: id.to_string(),
            base_revision,
            to_revision: 1,
            signatures: vec![pair.sign_roll_back(&signed).to_wire()],
        }))
    };
    assert_eq!(control.check(&order("a", 3), &keys), Ok(()));
    control.apply(&order("a", 3));
    assert!(control.current().expect("rolled back").verify(&keys).is_ok());
    let replayed = control.check(&order("b", 4), &keys).err().map(body);
    assert_eq!(replayed.as_ref().and_then(fault), Some(Fault::NotSigned));
}

/// Order of one of several operators, with few ids, bases, versions and texts so that they
/// conflict.
#[derive(Clone, Debug)]
enum Order {
    Accept { id: u8, back: u64, version: u64, text: u8, damaged: bool },
    RollBack { id: u8, back: u64, target: u64 },
    Restart,
}

fn order() -> impl Strategy<Value = Order> {
    prop_oneof![
        6 => (0..40_u8, 0..2_u64, 1..8_u64, 0..2_u8, prop::bool::weighted(0.1)).prop_map(
            |(id, back, version, text, damaged)| Order::Accept { id, back, version, text, damaged }
        ),
        2 => (0..40_u8, 0..2_u64, 1..6_u64)
            .prop_map(|(id, back, target)| Order::RollBack { id, back, target }),
        1 => Just(Order::Restart),
    ]
}

/// Runs the orders and checks each answer against the earlier ones.
fn run_orders(mutation: Mutation, orders: &[Order]) -> Result<(), TestCaseError> {
    let mut control = Control::with_mutation(mutation);
    let mut revisions: Vec<(u64, Digest)> = Vec::new();
    let mut versions: std::collections::HashMap<u64, Digest> = Default::default();
    let mut completed_orders: std::collections::HashMap<u8, u64> = Default::default();
    for order in orders {
        let before = control.history().number().0;
        let (id, base, answer) = match *order {
            Order::Accept { id, back, version, text, damaged } => {
                let base = before.saturating_sub(back);
                let mut order = accept(&id.to_string(), base, version, text);
                if damaged {
                    let content = content::Body::Whole(bundle(version, 99));
                    order.content = Some(Content { body: Some(content) });
                }
                (id, base, apply(&mut control, order))
            }
            Order::RollBack { id, back, target } => {
                let base = before.saturating_sub(back);
                (id, base, roll_back(&mut control, &id.to_string(), base, target))
            }
            Order::Restart => {
                let restored = Control::restore(&control.snapshot()).expect("a valid snapshot");
                prop_assert_eq!(restored.snapshot(), control.snapshot());
                continue;
            }
        };
        let after = control.history().number().0;
        prop_assert!(after >= before, "revision went down from {before} to {after}");
        let Some(current) = control.current() else { continue };
        prop_assert_eq!(Digest::of(&current.content), current.digest);
        let Some(number) = revision(&answer) else { continue };
        if let Some(first) = completed_orders.insert(id, number) {
            prop_assert_eq!(first, number, "order {} was executed twice", id);
        }
        if after == before {
            continue;
        }
        prop_assert_eq!(base, before, "an order for another base was accepted");
        revisions.push((number, current.digest));
        if let Order::Accept { version, .. } = order {
            let taken = versions.insert(*version, current.digest);
            prop_assert!(taken.is_none(), "version {version} was accepted twice");
        }
    }
    for (number, digest) in revisions {
        let retained = control.history().find(RevisionNumber(number)).map(|found| found.digest);
        prop_assert_eq!(retained, Some(digest));
    }
    Ok(())
}

/// Number of cases unless the environment sets another.
const CASES: u32 = 1_000;

fn run(mutation: Mutation, cases: u32) -> Result<(), String> {
    let config = Config { max_shrink_iters: 0, ..fixed(4, cases) };
    let orders = prop::collection::vec(order(), 1..40);
    let result = TestRunner::new(config).run(&orders, |orders| run_orders(mutation, &orders));
    result.map_err(|error| error.to_string())
}

fn assert_caught(mutation: Mutation) {
    assert!(run(mutation, 5_000).is_err(), "{mutation:?} was not detected");
}

#[test]
fn apply_concurrent_orders() {
    assert_eq!(run(Mutation::None, cases(CASES)), Ok(()));
}

#[test]
fn apply_without_base_check_is_caught() {
    assert_caught(Mutation::IgnoreBase);
}

#[test]
fn apply_without_order_dedup_is_caught() {
    assert_caught(Mutation::ForgetOrders);
}

#[test]
fn apply_without_version_dedup_is_caught() {
    assert_caught(Mutation::ForgetVersions);
}

#[test]
fn apply_without_digest_check_is_caught() {
    assert_caught(Mutation::TrustDigest);
}

#[test]
fn apply_with_reused_number_is_caught() {
    assert_caught(Mutation::ReuseNumber);
}
