//! Calls that must run at most once: committed intents, outcomes, and who may report them.

mod support;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program::{Effect, Input};
use gypsumglade_core::wire::common::Outcome;
use gypsumglade_core::wire::program::Refusal;
use gypsumglade_core::wire::program::request::Body;
use support::*;

#[test]
fn call_is_granted_only_after_its_intent_is_committed() {
    // If the leader failed after a grant whose intent is not durable, the next leader would grant
    // the same call again and it would run twice.
    let mut group = Group::new(3);
    group.held = true;
    let token = group.send(ENTRY, call("p", "k"));
    assert_eq!(group.reply(token), None);
    group.commit();
    assert_eq!(granted(group.reply(token).unwrap()).attempt, 1);
}

#[test]
fn call_resent_gets_the_recorded_answer() {
    let mut group = Group::new(1);
    let grant = group.grant(call("p", "k"));
    group.ask(ENTRY, done("p", &grant.dispatch, "booked"));
    assert_eq!(recorded(group.ask(OTHER, call("p", "k"))), "booked");
}

#[test]
fn call_of_a_dead_vm_is_unknown_and_never_granted_again() {
    // The VM that holds the grant may have run the call, or may resume and run it later, so every
    // resend is answered `unknown`.
    let mut group = Group::new(3);
    group.grant(call("p", "k"));
    group.step(0, Input::VmGone { vm: ENTRY });
    assert!(is_unknown(&group.ask(OTHER, call("p", "k"))));
    group.advance(10_000);
    assert!(is_unknown(&group.ask(OTHER, call("p", "k"))));
}

#[test]
fn call_that_expired_is_unknown() {
    // A missing outcome does not prove that the call was not run, so its key is not granted again.
    let mut group = Group::new(1);
    let mut begin = begin_call("p", "k");
    begin.deadline_ms = 1_000;
    group.grant(Body::BeginCall(begin));
    group.advance(7_000);
    assert!(is_unknown(&group.ask(OTHER, call("p", "k"))));
}

#[test]
fn call_with_unknown_outcome_is_settled_by_a_late_answer() {
    // The holder of the grant settles the call after its VM was reported gone. The answer is
    // recorded and returned to later resends.
    let mut group = Group::new(1);
    let grant = group.grant(call("p", "k"));
    group.step(0, Input::VmGone { vm: ENTRY });
    group.ask(ENTRY, done("p", &grant.dispatch, "booked"));
    assert_eq!(recorded(group.ask(OTHER, call("p", "k"))), "booked");
}

#[test]
fn call_proved_not_run_gets_a_new_attempt() {
    // The holder of the grant reports `not-run`. The key can then be granted again, with the next
    // attempt number and another dispatch.
    let mut group = Group::new(1);
    let first = group.grant(call("p", "k"));
    group.ask(ENTRY, not_run("p", &first.dispatch));
    let second = group.grant(call("p", "k"));
    assert_eq!((second.attempt, second.dispatch == first.dispatch), (2, false));
}

#[test]
fn settle_by_another_vm_is_refused() {
    // Accepting `not-run` from a VM that does not hold the grant would allow a second run while
    // the holder still runs the call.
    let mut group = Group::new(1);
    let grant = group.grant(call("p", "k"));
    assert_eq!(refusal(group.ask(OTHER, not_run("p", &grant.dispatch))), Refusal::NotHolder);
}

#[test]
fn settle_by_inquiry_accepts_only_done() {
    // Another VM asks the service about the call of a lost holder. `done` is final, but `not-run`
    // is refused, because the holder may only be paused and send the request later.
    let mut group = Group::new(1);
    let grant = group.grant(call("p", "k"));
    group.step(0, Input::VmGone { vm: ENTRY });
    for (outcome, code) in [(Outcome::NotRun, Some(Refusal::NotHolder)), (Outcome::Done, None)] {
        let mut told = settle("p", &grant.dispatch, outcome);
        told.inquired = true;
        told.answer = Bytes::from_static(b"booked");
        let reply = group.ask(OTHER, Body::Settle(told));
        assert_eq!(code, matches!(reply, ReplyBody::Refused(_)).then(|| refusal(reply)));
    }
    assert_eq!(recorded(group.ask(OTHER, call("p", "k"))), "booked");
}

#[test]
fn settle_of_an_unknown_dispatch_is_refused() {
    let mut group = Group::new(1);
    group.grant(call("p", "k"));
    let reply = group.ask(ENTRY, done("p", "g1.t9.9", "booked"));
    assert_eq!(refusal(reply), Refusal::DispatchUnknown);
}

#[test]
fn settle_resent_is_confirmed_and_changes_nothing() {
    // A repeated settle must not overwrite the recorded outcome, even if it reports another one.
    let mut group = Group::new(1);
    let grant = group.grant(call("p", "k"));
    group.ask(ENTRY, done("p", &grant.dispatch, "booked"));
    group.ask(ENTRY, not_run("p", &grant.dispatch));
    assert_eq!(recorded(group.ask(ENTRY, call("p", "k"))), "booked");
}

#[test]
fn settle_after_leader_change_is_recorded() {
    // The intent is in the log, so a new leader knows the dispatch and accepts its outcome.
    let mut group = Group::new(3);
    let grant = group.grant(call("p", "k"));
    group.change_leader(1, Fate::Lost);
    group.ask(ENTRY, done("p", &grant.dispatch, "booked"));
    assert_eq!(recorded(group.ask(OTHER, call("p", "k"))), "booked");
}

#[test]
fn settle_after_store_restart_is_recorded() {
    let mut group = Group::new(1);
    let grant = group.grant(call("p", "k"));
    group.restart(0);
    group.lead(0);
    group.ask(ENTRY, done("p", &grant.dispatch, "booked"));
    assert_eq!(recorded(group.ask(OTHER, call("p", "k"))), "booked");
}

#[test]
fn call_committed_by_the_next_leader_is_granted_to_its_requester_only() {
    // The leader fails after its proposal reached a quorum and before it replied. A retry with the
    // same nonce gets the grant; a request with another nonce waits, since the first may run it.
    let mut group = Group::new(3);
    group.held = true;
    let lost = group.send(ENTRY, named("k", "n1"));
    group.change_leader(1, Fate::Kept);
    group.held = false;
    group.commit();
    assert_eq!(refusal(group.reply(lost).unwrap()), Refusal::NotLeader);
    let joined = group.send(OTHER, named("k", "n2"));
    assert_eq!(group.reply(joined), None);
    assert_eq!(granted(group.ask(ENTRY, named("k", "n1"))).attempt, 1);
}

#[test]
fn call_lost_with_its_leader_can_be_granted() {
    let mut group = Group::new(3);
    group.held = true;
    group.send(ENTRY, call("p", "k"));
    group.change_leader(1, Fate::Lost);
    group.held = false;
    group.commit();
    assert_eq!(group.grant(call("p", "k")).attempt, 1);
}

#[test]
fn call_at_a_deposed_leader_is_not_granted() {
    // Two replicas act as leader. The old one cannot commit its proposal, so only the new leader
    // may reply with a grant.
    let mut group = Group::new(3);
    group.held = true;
    let stale = group.send_to(0, ENTRY, call("p", "k"));
    group.flight.clear();
    group.lead(1);
    group.commit();
    let fresh = group.send_to(1, OTHER, call("p", "k"));
    group.commit();
    assert!(matches!(group.reply(fresh), Some(ReplyBody::Grant(_))));
    assert_eq!(group.reply(stale), None);
}

#[test]
fn call_waits_for_the_first_commit_of_a_new_leader() {
    // A new leader may not have applied its predecessor's last entries and could take a used key
    // for a free one, so requests wait for its first commit.
    let mut group = Group::new(3);
    group.grant(call("p", "k"));
    group.held = true;
    group.change_leader(1, Fate::Lost);
    let token = group.send(OTHER, call("q", "k"));
    assert_eq!(group.reply(token), None);
    group.commit();
    assert!(matches!(group.reply(token), Some(ReplyBody::Grant(_))));
}

#[test]
fn call_without_a_quorum_is_answered_at_its_deadline() {
    // The leader cannot commit, and the request is refused at its deadline. If the intent commits
    // later, it must be withdrawn rather than granted; a retry gets a new attempt.
    let mut group = Group::new(3);
    group.held = true;
    let mut begin = begin_call("p", "k");
    begin.deadline_ms = 1_000;
    begin.nonce = "n".into();
    let token = group.send(ENTRY, Body::BeginCall(begin.clone()));
    group.advance(1_000);
    assert_eq!(refusal(group.reply(token).unwrap()), Refusal::DeadlinePassed);
    group.held = false;
    group.commit();
    let again = group.ask(ENTRY, Body::BeginCall(begin));
    assert_eq!(granted(again).attempt, 2);
}

#[test]
fn call_joined_before_its_commit_is_unknown_at_its_deadline() {
    // Two VMs send the same key, and the deadline of the second passes before the intent of the
    // first commits. The call may still run, so the second must not be told that it did not.
    let mut group = Group::new(3);
    group.held = true;
    let first = group.send(ENTRY, call("p", "k"));
    let mut short_lived = begin_call("p", "k");
    short_lived.deadline_ms = 200;
    let second = group.send(OTHER, Body::BeginCall(short_lived));
    group.advance(300);
    assert!(is_unknown(&group.reply(second).unwrap()));
    group.commit();
    assert!(matches!(group.reply(first), Some(ReplyBody::Grant(_))));
}

#[test]
fn call_of_a_vm_that_died_while_waiting_is_not_granted() {
    // The VM is lost while one request waits for its commit and another is queued behind it.
    // Granting either would block the program until the grant expires.
    let mut group = Group::new(3);
    group.held = true;
    group.send(ENTRY, call("p", "k1"));
    group.send(ENTRY, call("p", "k2"));
    group.step(0, Input::VmGone { vm: ENTRY });
    group.held = false;
    group.commit();
    assert_eq!(group.grant_to(OTHER, call("p", "k1")).attempt, 2);
}

#[test]
fn entry_that_cannot_be_read_halts_the_replica() {
    // Skipping a damaged entry would let this replica diverge from the others, so it halts and
    // answers requests with `NotLeader`.
    let mut group = Group::new(1);
    group.step(0, Input::Committed { index: 9, data: Bytes::from_static(b"\xff\xff") });
    assert!(matches!(group.effects.last(), Some(Effect::Halt { .. })));
    let token = group.send_to(0, ENTRY, call("p", "k"));
    assert_eq!(refusal(group.reply(token).unwrap()), Refusal::NotLeader);
}

#[test]
fn call_under_an_old_revision_is_refused() {
    let mut group = Group::new(1);
    group.step(0, Input::Config { revision: RevisionNumber(7), lifted: vec![] });
    let mut begin = begin_call("p", "k");
    begin.revision = 6;
    let reply = group.ask(ENTRY, Body::BeginCall(begin.clone()));
    assert_eq!(refusal(reply), Refusal::StaleRevision);
    begin.revision = 7;
    group.grant(Body::BeginCall(begin));
}

#[test]
fn call_recorded_under_an_old_revision_keeps_its_answer() {
    // A refusal means that the call was not run, so the record is looked up before the revision
    // of the request is checked.
    let mut group = Group::new(1);
    let grant = group.grant(call("p", "k"));
    group.ask(ENTRY, done("p", &grant.dispatch, "booked"));
    group.step(0, Input::Config { revision: RevisionNumber(7), lifted: vec![] });
    assert_eq!(recorded(group.ask(ENTRY, call("p", "k"))), "booked");
}

#[test]
fn call_waits_while_another_of_its_program_runs() {
    let mut group = Group::new(1);
    let first = group.grant(call("p", "k1"));
    let second = group.send(ENTRY, call("p", "k2"));
    assert_eq!(group.reply(second), None);
    group.ask(ENTRY, done("p", &first.dispatch, "booked"));
    assert!(matches!(group.reply(second), Some(ReplyBody::Grant(_))));
}

#[test]
fn call_with_a_used_key_and_another_body_is_refused() {
    let mut group = Group::new(1);
    let grant = group.grant(call("p", "k"));
    group.ask(ENTRY, done("p", &grant.dispatch, "booked"));
    let mut begin = begin_call("p", "k");
    begin.digest = "other body".into();
    assert_eq!(refusal(group.ask(ENTRY, Body::BeginCall(begin))), Refusal::KeyReused);
}

#[test]
fn turn_lost_is_granted_again_and_its_late_answer_dropped() {
    // A model call can be repeated, so a lost one is granted again. A late answer of the first
    // attempt must not enter the history as well.
    let mut group = Group::new(1);
    let first = group.grant(turn("p", "k", &[user("a")]));
    group.step(0, Input::VmGone { vm: ENTRY });
    let second = granted(group.ask(OTHER, turn("p", "k", &[user("a")])));
    let late = group.ask(ENTRY, done("p", &first.dispatch, &assistant("first")));
    assert_eq!(refusal(late), Refusal::DispatchUnknown);
    group.ask(OTHER, done("p", &second.dispatch, &assistant("second")));
    assert!(group.history("p").contains("second") && !group.history("p").contains("first"));
}

#[test]
fn turn_lost_is_taken_from_its_late_answer_if_nothing_replaced_it() {
    let mut group = Group::new(1);
    let grant = group.grant(turn("p", "k", &[user("a")]));
    group.step(0, Input::VmGone { vm: ENTRY });
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    assert_eq!(recorded(group.ask(OTHER, turn("p", "k", &[user("a")]))), assistant("b"));
}

#[test]
fn turn_with_an_error_answer_stays_out_of_the_history() {
    let mut group = Group::new(1);
    let grant = group.grant(turn("p", "k", &[user("a")]));
    let mut settled = settle("p", &grant.dispatch, Outcome::Done);
    settled.status = 400;
    settled.answer = assistant("bad request").into();
    group.ask(ENTRY, Body::Settle(settled));
    assert_eq!(group.history("p"), "[]");
}

#[test]
fn end_cancels_the_call_in_flight() {
    let mut group = Group::new(1);
    let grant = group.grant(call("p", "k"));
    group.ask(ENTRY, end("p"));
    let cancel = Effect::Cancel { dispatch: grant.dispatch.into(), vm: ENTRY };
    assert!(group.effects.contains(&cancel));
}

fn named(key: &str, nonce: &str) -> Body {
    let mut begin = begin_call("p", key);
    begin.nonce = nonce.into();
    Body::BeginCall(begin)
}
