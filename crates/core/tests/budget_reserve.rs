//! Budgets: reservations, accounts of parents and children, and charges for lost calls.

mod support;

use gypsumglade_core::program::{Amounts, Input};
use gypsumglade_core::wire::program as wire;
use gypsumglade_core::wire::program::Refusal;
use gypsumglade_core::wire::program::request::Body;
use support::*;

#[test]
fn reserve_caps_output_at_the_remaining_budget() {
    let mut group = Group::new(1);
    let prompt = messages(&[user("a")]).len() as u64 - 2;
    let grant = group.grant(limited("p", "k", tokens(prompt + 40)));
    assert_eq!(grant.max_output, 40);
}

#[test]
fn reserve_refuses_a_prompt_that_does_not_fit() {
    let mut group = Group::new(1);
    assert_eq!(refusal(group.ask(ENTRY, limited("p", "k", tokens(10)))), Refusal::BudgetExceeded);
}

#[test]
fn reserve_uses_the_prompt_tokens_of_the_request() {
    let mut group = Group::new(1);
    let mut begin = begin_turn("p", "k", &[user("a")]);
    begin.budget = Some(tokens(50));
    begin.prompt_tokens = 8;
    assert_eq!(group.grant(Body::BeginTurn(begin)).max_output, 42);
}

#[test]
fn settle_charges_what_was_used() {
    let mut group = Group::new(1);
    let grant = group.grant(limited("p", "k", tokens(1_000)));
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    let used = Amounts { tokens: 10, calls: 1, micros: 1 };
    assert_eq!(consumed(&group, "p"), (used, Amounts::default()));
}

#[test]
fn settle_not_run_releases_the_reservation() {
    let mut group = Group::new(1);
    let grant = group.grant(limited("p", "k", tokens(1_000)));
    group.ask(ENTRY, not_run("p", &grant.dispatch));
    assert_eq!(consumed(&group, "p"), (Amounts::default(), Amounts::default()));
}

#[test]
fn lost_call_keeps_its_reservation() {
    // The engine may have generated every token of a lost call, so the whole reservation counts as
    // spent. Otherwise a program whose calls are lost could exceed its budget.
    let mut group = Group::new(1);
    let mut begin = begin_turn("p", "k", &[user("a")]);
    begin.prompt_tokens = 8;
    group.grant(Body::BeginTurn(begin));
    group.step(0, Input::VmGone { vm: ENTRY });
    assert_eq!(consumed(&group, "p").0.tokens, 108);
}

#[test]
fn lost_call_settled_late_is_charged_what_it_used() {
    let mut group = Group::new(1);
    let grant = group.grant(limited("p", "k", tokens(1_000)));
    group.step(0, Input::VmGone { vm: ENTRY });
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    assert_eq!(consumed(&group, "p").0.tokens, 10);
}

#[test]
fn resend_reserves_nothing() {
    let mut group = Group::new(3);
    let grant = group.grant(limited("p", "k", tokens(1_000)));
    let before = consumed(&group, "p");
    group.send(OTHER, limited("p", "k", tokens(1_000)));
    group.change_leader(1, Fate::Kept);
    group.send(OTHER, limited("p", "k", tokens(1_000)));
    assert_eq!(consumed(&group, "p"), before);
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    assert_eq!(consumed(&group, "p").0.calls, 1);
}

#[test]
fn child_is_charged_to_every_ancestor() {
    // Sub-agents without limits of their own share the root's four calls, at any depth.
    let mut group = Group::new(1);
    let limits = wire::Budget { calls: 4, ..wire::Budget::default() };
    for (program, parent) in [("r", ""), ("r/a", "r"), ("r/a/b", "r/a"), ("r/c", "r")] {
        let grant = group.grant(child(program, "k", parent, limits_of(program, limits)));
        group.ask(ENTRY, done(program, &grant.dispatch, &assistant("b")));
    }
    let reply = group.ask(ENTRY, child("r/a/b", "k2", "r/a", wire::Budget::default()));
    assert_eq!(refusal(reply), Refusal::ProgramEnded);
    assert_eq!(consumed(&group, "r").0.calls, 4);
}

#[test]
fn concurrent_children_stay_within_their_parents_budget() {
    // Two sub-agents compete for the last call of their parent. Both proposals are in flight
    // before either is applied, so the budget must be checked when they are applied.
    let mut group = Group::new(3);
    let calls = wire::Budget { calls: 2, ..wire::Budget::default() };
    let grant = group.grant(child("r", "k", "", calls));
    group.ask(ENTRY, done("r", &grant.dispatch, &assistant("b")));
    group.held = true;
    let first = group.send(ENTRY, child("r/a", "k", "r", wire::Budget::default()));
    let second = group.send(OTHER, child("r/b", "k", "r", wire::Budget::default()));
    group.commit();
    assert!(matches!(group.reply(first), Some(ReplyBody::Grant(_))));
    assert_eq!(refusal(group.reply(second).unwrap()), Refusal::BudgetExceeded);
}

#[test]
fn child_without_its_parents_id_is_refused() {
    // A sub-agent with an unrelated id could be placed in a group without its parent's account,
    // and one without a parent would get a budget of its own.
    let mut group = Group::new(1);
    group.run_turn("r", "k", "a", "b");
    let none = wire::Budget::default();
    assert_eq!(refusal(group.ask(ENTRY, child("x/a", "k", "r", none))), Refusal::Invalid);
    assert_eq!(refusal(group.ask(ENTRY, child("r/a", "k", "", none))), Refusal::Invalid);
    assert_eq!(refusal(group.ask(ENTRY, child("r/a", "k", "r/z", none))), Refusal::ProgramNotFound);
}

fn consumed(group: &Group, program: &str) -> (Amounts, Amounts) {
    group.leader().state().consumed(&name(program)).expect("program exists")
}

fn limits_of(program: &str, root: wire::Budget) -> wire::Budget {
    if program.contains('/') { wire::Budget::default() } else { root }
}

fn tokens(tokens: u64) -> wire::Budget {
    wire::Budget { tokens, ..wire::Budget::default() }
}

fn limited(program: &str, key: &str, budget: wire::Budget) -> Body {
    child(program, key, "", budget)
}

fn child(program: &str, key: &str, parent: &str, budget: wire::Budget) -> Body {
    let mut begin = begin_turn(program, key, &[user("a")]);
    begin.parent = parent.into();
    begin.budget = Some(budget);
    Body::BeginTurn(begin)
}
