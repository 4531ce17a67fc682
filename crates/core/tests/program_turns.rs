//! Tests of the order, history and resends of turns.

mod support;

use gypsumglade_core::wire::program::Refusal;
use gypsumglade_core::wire::program::request::Body;
use support::*;

#[test]
fn turn_twice_appends_both() {
    let mut group = Group::new(3);
    group.run_turn("p", "k1", "a", "b");
    group.run_turn("p", "k2", "c", "d");
    let expected = messages(&[user("a"), assistant("b"), user("c"), assistant("d")]);
    assert_eq!(parsed(&group.history("p")), parsed(std::str::from_utf8(&expected).unwrap()));
}

#[test]
fn turn_whole_history_adds_only_the_new() {
    let mut group = Group::new(1);
    group.run_turn("p", "k1", "a", "b");
    let whole = [user("a"), assistant("b"), user("c")];
    let grant = group.grant(turn("p", "k2", &whole));
    assert_eq!(parsed(std::str::from_utf8(&grant.history).unwrap()).len(), 3);
    assert_eq!(grant.turn, 2);
}

#[test]
fn turn_with_equivalent_json_matches_history() {
    // Client libraries add or drop nulls and empty lists when they send an answer back. A
    // comparison of bytes would refuse the caller's own history.
    let mut group = Group::new(1);
    let grant = group.grant(turn("p", "k1", &[user("a")]));
    let answer = r#"{"choices":[{"message":{"refusal":null,"annotations":[],"content":"b","role":"assistant"}}]}"#;
    group.ask(ENTRY, done("p", &grant.dispatch, answer));
    let whole = [user("a"), assistant("b"), user("c")];
    assert_eq!(group.grant(turn("p", "k2", &whole)).turn, 2);
}

#[test]
fn turn_conflicting_history_reports_position() {
    // A whole history that differs from the stored one is refused with the position of the
    // difference. Appending it would mix two conversations.
    let mut group = Group::new(1);
    group.run_turn("p", "k1", "a", "b");
    let reply = group.ask(ENTRY, turn("p", "k2", &[user("a"), assistant("x"), user("c")]));
    let support::ReplyBody::Refused(refused) = reply else { panic!("{reply:?}") };
    assert_eq!(refused.code(), Refusal::HistoryConflict);
    assert!(refused.detail.starts_with("message 1 differs"), "{}", refused.detail);
}

#[test]
fn turn_repeated_word_is_a_new_message() {
    let mut group = Group::new(1);
    group.run_turn("p", "k1", "hello?", "yes");
    assert_eq!(group.grant(turn("p", "k2", &[user("hello?")])).turn, 2);
}

#[test]
fn turn_resent_gets_the_recorded_answer() {
    let mut group = Group::new(1);
    group.run_turn("p", "k1", "a", "b");
    let reply = group.ask(OTHER, turn("p", "k1", &[user("a")]));
    assert_eq!(recorded(reply), assistant("b"));
}

#[test]
fn turn_resent_while_running_joins_it() {
    // The caller sends a turn again through another entry VM while the first is running. The second
    // waits for the answer of the first and runs nothing.
    let mut group = Group::new(1);
    let grant = group.grant(turn("p", "k1", &[user("a")]));
    let resent = group.send(OTHER, turn("p", "k1", &[user("a")]));
    assert_eq!(group.reply(resent), None);
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    assert_eq!(recorded(group.reply(resent).unwrap()), assistant("b"));
}

#[test]
fn turn_key_with_other_content_is_refused() {
    let mut group = Group::new(1);
    group.run_turn("p", "k1", "a", "b");
    let reply = group.ask(ENTRY, turn("p", "k1", &[user("z")]));
    assert_eq!(refusal(reply), Refusal::KeyReused);
}

#[test]
fn turn_out_of_order_waits_for_earlier() {
    // Turn 2 arrives before turn 1. It is granted only after turn 1 is done, with turn 1 in its
    // history.
    let mut group = Group::new(1);
    let second = numbered("k2", 2, "c");
    let late = group.send(ENTRY, second);
    assert_eq!(group.reply(late), None);
    let first = group.grant(numbered("k1", 1, "a"));
    group.ask(ENTRY, done("p", &first.dispatch, &assistant("b")));
    assert_eq!(granted(group.reply(late).unwrap()).turn, 2);
}

#[test]
fn turn_number_already_done_is_out_of_order() {
    let mut group = Group::new(1);
    group.run_turn("p", "k1", "a", "b");
    assert_eq!(refusal(group.ask(ENTRY, numbered("k2", 1, "x"))), Refusal::TurnOutOfOrder);
}

#[test]
fn turn_of_another_organisation_is_a_program_of_its_own() {
    // Organisations may use the same program id. Neither may see or extend the history of the
    // other.
    let mut group = Group::new(1);
    group.run_turn("p", "k1", "secret", "b");
    let mut foreign = begin_turn("p", "k1", &[user("x")]);
    foreign.program.as_mut().unwrap().org = "other".into();
    let grant = group.grant(Body::BeginTurn(foreign));
    assert_eq!(std::str::from_utf8(&grant.history).unwrap(), r#"[{"content":"x","role":"user"}]"#);
}

#[test]
fn turn_queued_past_deadline_is_refused() {
    let mut group = Group::new(1);
    group.grant(turn("p", "k1", &[user("a")]));
    let mut second = begin_turn("p", "k2", &[user("c")]);
    second.deadline_ms = 300;
    let token = group.send(ENTRY, Body::BeginTurn(second));
    group.advance(300);
    assert_eq!(refusal(group.reply(token).unwrap()), Refusal::DeadlinePassed);
}

#[test]
fn turn_joined_past_deadline_is_unknown() {
    // The deadline of a resend passes while the first turn is still running. The reply must not say
    // that the call was not run.
    let mut group = Group::new(1);
    group.grant(turn("p", "k1", &[user("a")]));
    let mut again = begin_turn("p", "k1", &[user("a")]);
    again.deadline_ms = 300;
    let token = group.send(OTHER, Body::BeginTurn(again));
    group.advance(300);
    assert!(is_unknown(&group.reply(token).unwrap()));
}

#[test]
fn turn_at_follower_names_the_leader() {
    let mut group = Group::new(3);
    let token = group.send_to(1, ENTRY, turn("p", "k1", &[user("a")]));
    assert_eq!(refusal(group.reply(token).unwrap()), Refusal::NotLeader);
}

fn numbered(key: &str, number: u64, text: &str) -> Body {
    let mut begin = begin_turn("p", key, &[user(text)]);
    begin.turn = number;
    Body::BeginTurn(begin)
}

fn parsed(json: &str) -> Vec<serde_json::Value> {
    serde_json::from_str(json).expect("a JSON array")
}
