//! Tests of the quarantine of requests that crash endpoints.

mod support;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program::{Effect, Input};
use gypsumglade_core::wire::program as wire;
use gypsumglade_core::wire::program::Refusal;
use gypsumglade_core::wire::program::request::Body;
use support::*;

#[test]
fn crash_twice_quarantines_the_request_for_every_program() {
    // A request that crashes its engine is sent again with new keys and from new programs. The
    // second attempt runs alone, so a second crash proves that the request is the cause.
    let mut group = Group::new(1);
    let mut deaths = 0;
    for program in 0..20 {
        let program = format!("p{program}");
        let reply = group.ask(ENTRY, turn(&program, "k", &[user("poison")]));
        let ReplyBody::Grant(grant) = reply else {
            assert_eq!(refusal(reply), Refusal::Quarantined);
            continue;
        };
        group.ask(ENTRY, crashed(&program, &grant.dispatch, "e1"));
        deaths += 1;
    }
    assert_eq!(deaths, 2);
}

#[test]
fn crash_resent_under_the_same_key_is_quarantined() {
    let mut group = Group::new(1);
    for alone in [false, true] {
        let grant = group.grant(turn("p", "k", &[user("poison")]));
        assert_eq!(grant.isolate, alone);
        group.ask(ENTRY, crashed("p", &grant.dispatch, "e1"));
    }
    assert_eq!(refusal(group.ask(OTHER, turn("p", "k", &[user("poison")]))), Refusal::Quarantined);
}

#[test]
fn crash_suspects_all_requests_and_clears_those_that_complete() {
    // All requests on a crashed engine become suspect and run alone the next time. Those that
    // complete are cleared; the one that crashes its engine again is quarantined.
    let mut group = Group::new(1);
    let programs = ["good", "bad", "fine"];
    let mut grants = vec![];
    for program in programs {
        let grant = group.grant(turn(program, "k", &[user(program)]));
        group.ask(ENTRY, started(program, &grant.dispatch, "e1"));
        grants.push(grant);
    }
    for (program, grant) in programs.iter().zip(&grants) {
        group.ask(ENTRY, crashed(program, &grant.dispatch, "e1"));
    }
    for program in ["good", "fine"] {
        let grant = group.grant(turn(program, "k", &[user(program)]));
        assert!(grant.isolate, "{program} runs alone");
        group.ask(ENTRY, done(program, &grant.dispatch, &assistant("b")));
        let fresh = format!("{program}2");
        assert!(!group.grant(turn(&fresh, "k", &[user(program)])).isolate, "{program} is cleared");
    }
    let grant = group.grant(turn("bad", "k", &[user("bad")]));
    group.ask(ENTRY, crashed("bad", &grant.dispatch, "e2"));
    assert_eq!(refusal(group.ask(ENTRY, turn("bad", "k", &[user("bad")]))), Refusal::Quarantined);
}

#[test]
fn crash_reported_by_each_holder_is_scored_once() {
    // Two holders report the same crash. If the second report counted only the requests left on the
    // engine, its request would seem to have run alone.
    let mut group = Group::new(1);
    let mut grants = vec![];
    for program in ["p", "q"] {
        let grant = group.grant(turn(program, "k", &[user(program)]));
        group.ask(ENTRY, started(program, &grant.dispatch, "e1"));
        grants.push(grant);
    }
    group.ask(ENTRY, crashed("p", &grants[0].dispatch, "e1"));
    group.ask(ENTRY, crashed("q", &grants[1].dispatch, "e1"));
    let blame: Vec<u32> = scores(&group).iter().map(|score| score.blame).collect();
    assert_eq!(blame, [500, 500]);
}

#[test]
fn crash_reported_after_a_leader_change_quarantines_nobody() {
    // A new leader doesn't know all requests that ran on the crashed engine. Reports of the same
    // crash must not repeatedly blame the only request that it knows.
    let mut group = Group::new(3);
    let mut grants = vec![];
    for program in ["p", "q", "r", "s"] {
        let grant = group.grant(turn(program, "k", &[user(program)]));
        group.ask(ENTRY, started(program, &grant.dispatch, "e1"));
        grants.push(grant);
    }
    group.change_leader(1, Fate::Kept);
    let late = group.grant(turn("t", "k", &[user("t")]));
    group.ask(ENTRY, started("t", &late.dispatch, "e1"));
    for (program, grant) in ["p", "q", "r", "s"].iter().zip(&grants) {
        group.ask(ENTRY, crashed(program, &grant.dispatch, "e1"));
    }
    group.ask(ENTRY, crashed("t", &late.dispatch, "e1"));
    assert!(scores(&group).iter().all(|score| !score.quarantined && score.deaths == 1));
}

#[test]
fn suspect_runs_one_at_a_time() {
    // The same suspect request arrives in two programs. If both ran at the same time, they could
    // crash two more engines, so the second waits for the first.
    let mut group = Group::new(1);
    let grant = group.grant(turn("p", "k", &[user("poison")]));
    group.ask(ENTRY, crashed("p", &grant.dispatch, "e1"));
    let alone = group.grant(turn("p", "k", &[user("poison")]));
    let waiting = group.send(OTHER, turn("q", "k", &[user("poison")]));
    assert_eq!(group.reply(waiting), None);
    group.ask(ENTRY, crashed("p", &alone.dispatch, "e2"));
    assert_eq!(refusal(group.reply(waiting).unwrap()), Refusal::Quarantined);
}

#[test]
fn suspect_that_completes_releases_waiting_requests() {
    let mut group = Group::new(1);
    let grant = group.grant(turn("p", "k", &[user("harmless")]));
    group.ask(ENTRY, crashed("p", &grant.dispatch, "e1"));
    let alone = group.grant(turn("p", "k", &[user("harmless")]));
    let waiting = group.send(OTHER, turn("q", "k", &[user("harmless")]));
    group.ask(ENTRY, done("p", &alone.dispatch, &assistant("fine")));
    assert!(!granted(group.reply(waiting).unwrap()).isolate);
}

#[test]
fn suspects_take_few_engines_at_once() {
    // An engine crashes with ten requests. Only two suspects run alone at a time, so that they
    // don't take ten engines at once.
    let mut group = Group::new(1);
    let programs: Vec<String> = (0..10).map(|i| format!("p{i}")).collect();
    let mut grants = vec![];
    for program in &programs {
        let grant = group.grant(turn(program, "k", &[user(program)]));
        group.ask(ENTRY, started(program, &grant.dispatch, "e1"));
        grants.push(grant);
    }
    for (program, grant) in programs.iter().zip(&grants) {
        group.ask(ENTRY, crashed(program, &grant.dispatch, "e1"));
    }
    let asked = programs.iter().map(|p| group.send(ENTRY, turn(p, "k", &[user(p)])));
    let tokens: Vec<_> = asked.collect();
    for (i, (program, token)) in programs.iter().zip(&tokens).enumerate() {
        let waiting = tokens.iter().filter(|token| group.reply(**token).is_none()).count();
        assert_eq!(waiting, 10_usize.saturating_sub(i + 2));
        let grant = granted(group.reply(*token).unwrap());
        group.ask(ENTRY, done(program, &grant.dispatch, &assistant("fine")));
    }
}

#[test]
fn quarantine_survives_leader_change_and_restart() {
    let mut group = Group::new(3);
    quarantine(&mut group);
    group.restart(1);
    group.change_leader(1, Fate::Lost);
    assert_eq!(refusal(group.ask(OTHER, turn("q", "k", &[user("poison")]))), Refusal::Quarantined);
}

#[test]
fn quarantine_is_shared_with_other_groups() {
    // Another group learns the score from the control group, and refuses the request before it
    // crashes a third engine.
    let mut first = Group::new(1);
    quarantine(&mut first);
    let mut second = Group::new(1);
    second.step(0, Input::Scores { scores: scores(&first) });
    assert_eq!(refusal(second.ask(ENTRY, turn("q", "k", &[user("poison")]))), Refusal::Quarantined);
}

#[test]
fn quarantine_lifted_by_bundle_stays_lifted() {
    // Operators lift the quarantine of a digest with a bundle. An old score that arrives later must
    // not restore it.
    let mut group = Group::new(1);
    quarantine(&mut group);
    let old = scores(&group);
    let lifted: Vec<Bytes> = old.iter().map(|score| score.digest.clone()).collect();
    group.step(0, Input::Config { revision: RevisionNumber(2), lifted });
    group.step(0, Input::Scores { scores: old });
    let mut begin = begin_turn("q", "k", &[user("poison")]);
    begin.revision = 2;
    group.grant(Body::BeginTurn(begin));
}

#[test]
fn quarantine_spares_other_requests() {
    let mut group = Group::new(1);
    quarantine(&mut group);
    group.grant(turn("q", "k", &[user("harmless")]));
}

fn quarantine(group: &mut Group) {
    for engine in ["e1", "e2"] {
        let grant = group.grant(turn("p", "k", &[user("poison")]));
        group.ask(ENTRY, crashed("p", &grant.dispatch, engine));
    }
}

/// Returns the scores that the group has published, in order.
fn scores(group: &Group) -> Vec<wire::Score> {
    let told = group.effects.iter().filter_map(|effect| match effect {
        Effect::Scored { score } => Some(score.clone()),
        _ => None,
    });
    told.collect()
}
