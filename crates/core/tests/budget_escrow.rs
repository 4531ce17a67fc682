//! Escrow: turns granted from budget reserved in advance, before their begin commits.

mod support;

use gypsumglade_core::program::{Amounts, Input, Safeguards, Settings};
use gypsumglade_core::wire::program as wire;
use gypsumglade_core::wire::program::Refusal;
use gypsumglade_core::wire::program::request::Body;
use support::*;

#[test]
fn escrow_grants_the_second_turn_without_a_commit() {
    let mut group = after_first_turn(Settings::default(), 100);
    let token = group.send(ENTRY, turn("p", "k2", &[user("c")]));
    let grant = granted(group.reply(token).unwrap());
    assert_eq!((grant.turn, grant.attempt), (2, 1));
    assert!(!group.flight.is_empty(), "the begin must not be committed yet");
}

#[test]
fn escrow_grants_no_unrepeatable_call() {
    let mut group = after_first_turn(Settings::default(), 100);
    let token = group.send(ENTRY, call("p", "booking"));
    assert_eq!(group.reply(token), None);
}

#[test]
fn settle_before_its_begin_commits_waits() {
    // An engine can answer before the begin of its turn commits. The settle must wait instead of
    // being refused for an unknown dispatch.
    let mut group = after_first_turn(Settings::default(), 100);
    let token = group.send(ENTRY, turn("p", "k2", &[user("c")]));
    let grant = granted(group.reply(token).unwrap());
    let settled = group.send(ENTRY, done("p", &grant.dispatch, &assistant("d")));
    assert_eq!(group.reply(settled), None);
    group.commit();
    assert_eq!(group.reply(settled), Some(ReplyBody::Done(wire::Done {})));
    assert!(group.history("p").contains(r#""content":"d""#));
}

#[test]
fn escrow_lost_with_its_leader_counts_as_spent() {
    // The leader grants a turn from the escrow and fails before its begin is replicated. The turn
    // may run without a record, so the next leader charges the rest of the escrow.
    let spent = spent_after_lost_grant(Settings::default());
    assert!(spent.calls >= 3, "the escrow of the lost leader must be charged: {spent:?}");
}

#[test]
fn mutation_spend_escrow_is_caught() {
    let safeguards = Safeguards { spend_escrow: false, ..Safeguards::default() };
    let spent = spent_after_lost_grant(Settings { safeguards, ..Settings::default() });
    assert_eq!(spent.calls, 2, "only the two recorded turns must be charged");
}

#[test]
fn escrow_is_released_after_a_leader_change_during_a_committed_turn() {
    // The turn in flight is in the log, so no other was granted from the escrow. The whole escrow
    // is released when the turn settles at the next leader.
    let mut group = after_first_turn(Settings::default(), 100);
    let token = group.send(ENTRY, turn("p", "k2", &[user("c")]));
    let grant = granted(group.reply(token).unwrap());
    group.held = false;
    group.commit();
    group.change_leader(1, Fate::Lost);
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("d")));
    let used = Amounts { tokens: 20, calls: 2, micros: 2 };
    assert_eq!(consumed(&group), (used, Amounts::default()));
}

#[test]
fn escrow_grant_of_a_program_that_ended_is_cancelled_and_settled() {
    let mut group = after_first_turn(Settings::default(), 100);
    group.send(ENTRY, end("p"));
    let token = group.send(ENTRY, turn("p", "k2", &[user("c")]));
    let grant = granted(group.reply(token).unwrap());
    group.held = false;
    group.commit();
    let cancelled = group.effects.iter().any(|e| format!("{e:?}").contains(&grant.dispatch));
    assert!(cancelled);
    let settled = group.ask(ENTRY, done("p", &grant.dispatch, &assistant("d")));
    assert_eq!(settled, ReplyBody::Done(wire::Done {}));
    group.advance(5_000);
    assert_eq!(consumed(&group).1, Amounts::default());
}

#[test]
fn escrow_grant_of_a_dead_vm_is_lost() {
    let mut group = after_first_turn(Settings::default(), 100);
    group.send(ENTRY, turn("p", "k2", &[user("c")]));
    group.step(0, Input::VmGone { vm: ENTRY });
    group.held = false;
    group.commit();
    assert_eq!(group.grant_to(OTHER, turn("p", "k2", &[user("c")])).attempt, 2);
}

#[test]
fn escrow_grants_nothing_while_a_late_answer_is_pending() {
    // The late answer of a lost turn follows the loss in the log. A resend that is retried between
    // the two entries must not be granted from the escrow, but get the late answer.
    let mut group = after_first_turn(Settings::default(), 100);
    let first = group.send(ENTRY, turn("p", "k2", &[user("c")]));
    let grant = granted(group.reply(first).unwrap());
    group.commit();
    let resent = group.send(OTHER, turn("p", "k2", &[user("c")]));
    group.step(0, Input::VmGone { vm: ENTRY });
    group.send(ENTRY, done("p", &grant.dispatch, &assistant("late")));
    group.commit();
    assert_eq!(recorded(group.reply(resent).unwrap()), assistant("late"));
}

#[test]
fn escrow_of_an_idle_child_is_released() {
    // The escrow of an idle sub-agent would keep budget from its siblings.
    let mut group = Group::with_settings(1, Settings { escrow_turns: 4, ..Settings::default() });
    let limits = wire::Budget { calls: 20, ..wire::Budget::default() };
    for (program, parent) in [("p", ""), ("p/a", "p")] {
        let mut begin = begin_turn(program, "k", &[user("a")]);
        begin.parent = parent.into();
        begin.budget = Some(if parent.is_empty() { limits } else { wire::Budget::default() });
        let grant = group.grant(Body::BeginTurn(begin));
        group.ask(ENTRY, done(program, &grant.dispatch, &assistant("b")));
    }
    assert_ne!(consumed(&group).1, Amounts::default());
    group.advance(5_000);
    assert_eq!(consumed(&group).1, Amounts::default());
}

#[test]
fn escrow_lets_a_small_budget_be_used_up() {
    let mut group = Group::with_settings(1, Settings { escrow_turns: 4, ..Settings::default() });
    for key in 0..9 {
        let mut begin = begin_turn("p", &format!("k{key}"), &[user("a")]);
        begin.budget = Some(wire::Budget { calls: 9, ..wire::Budget::default() });
        let grant = group.grant(Body::BeginTurn(begin));
        group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    }
    let tenth = group.ask(ENTRY, turn("p", "k9", &[user("a")]));
    assert_eq!(refusal(tenth), Refusal::ProgramEnded);
}

/// Returns a group whose program has completed one turn and has an escrow; proposals are held.
fn after_first_turn(settings: Settings, calls: u64) -> Group {
    let mut group = Group::with_settings(3, Settings { escrow_turns: 4, ..settings });
    let mut begin = begin_turn("p", "k1", &[user("a")]);
    begin.budget = Some(wire::Budget { calls, ..wire::Budget::default() });
    let grant = group.grant(Body::BeginTurn(begin));
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    group.held = true;
    group
}

/// Runs a first turn, a second that is lost with its leader, and a third at the next leader.
fn spent_after_lost_grant(settings: Settings) -> Amounts {
    let mut group = after_first_turn(settings, 100);
    let lost = group.send(ENTRY, turn("p", "k2", &[user("c")]));
    granted(group.reply(lost).unwrap());
    group.change_leader(1, Fate::Lost);
    group.held = false;
    group.commit();
    let grant = group.grant(turn("p", "k3", &[user("e")]));
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("f")));
    consumed(&group).0
}

fn consumed(group: &Group) -> (Amounts, Amounts) {
    group.leader().state().consumed(&name("p")).expect("program exists")
}
