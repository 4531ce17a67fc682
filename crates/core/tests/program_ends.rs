//! Tests of the end of programs, the releases that follow, and retention.

mod support;

use gypsumglade_core::prelude::*;
use gypsumglade_core::program::{Input, find_leaks};
use gypsumglade_core::wire::program as wire;
use gypsumglade_core::wire::program::Refusal;
use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::request::Body;
use support::*;

#[test]
fn end_releases_until_confirmed() {
    // A lost release would leave the program's memory allocated at the engine. It is sent again
    // until the confirmation is committed.
    let mut group = Group::new(1);
    group.run_turn("p", "k", "a", "b");
    group.ask(ENTRY, end("p"));
    group.advance(5_000);
    assert_eq!(group.releases(), ["e1", "e1", "e1"]);
    group.ask(ENTRY, released("p", "e1"));
    group.advance(10_000);
    assert_eq!(group.releases().len(), 3);
}

#[test]
fn end_releases_after_leader_change() {
    let mut group = Group::new(3);
    group.run_turn("p", "k", "a", "b");
    group.ask(ENTRY, end("p"));
    group.effects.clear();
    group.change_leader(2, Fate::Lost);
    assert_eq!(group.releases(), ["e1"]);
}

#[test]
fn end_stops_releases_to_removed_endpoint() {
    let mut group = Group::new(1);
    group.run_turn("p", "k", "a", "b");
    group.ask(ENTRY, end("p"));
    group.step(0, Input::EndpointGone { endpoint: "e1".into() });
    group.effects.clear();
    group.advance(10_000);
    assert!(group.releases().is_empty());
}

#[test]
fn end_releases_endpoint_of_started_turn() {
    // The entry VM fails during the turn. The group still knows the engine, because a
    // program's first dispatch at an engine is committed to the log.
    let mut group = Group::new(1);
    let grant = group.grant(turn("p", "k", &[user("a")]));
    group.ask(ENTRY, started("p", &grant.dispatch, "e7"));
    group.step(0, Input::VmGone { vm: ENTRY });
    group.ask(OTHER, end("p"));
    assert_eq!(group.releases(), ["e7"]);
}

#[test]
fn end_releases_after_running_turn_settles() {
    // The turn still runs at the engine when the program ends. The release waits for the settle;
    // otherwise the engine would allocate memory again for the rest of the turn.
    let mut group = Group::new(1);
    let grant = group.grant(turn("p", "k", &[user("a")]));
    group.ask(ENTRY, started("p", &grant.dispatch, "e1"));
    group.ask(ENTRY, end("p"));
    group.advance(5_000);
    assert!(group.releases().is_empty());
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    assert_eq!(group.releases(), ["e1"]);
}

#[test]
fn end_by_deadline_after_its_milliseconds() {
    let mut group = Group::new(1);
    group.grant(limited("p", wire::Budget { millis: 2_000, ..wire::Budget::default() }));
    group.advance(3_000);
    assert!(!group.leader().state().is_alive(&name("p")));
}

#[test]
fn end_by_deadline_continues_across_leader_changes() {
    // Leaders have clocks with different origins. The group's time continues from the last log
    // entry, so that leader changes neither shorten nor extend the deadline.
    let mut group = Group::new(3);
    let limits = wire::Budget { millis: 60_000, ..wire::Budget::default() };
    group.grant(limited("p", limits));
    for leader in [1, 2, 0] {
        group.advance(19_000);
        assert!(group.leader().state().is_alive(&name("p")));
        group.change_leader(leader, Fate::Lost);
    }
    group.advance(31_000);
    assert!(!group.leader().state().is_alive(&name("p")));
}

#[test]
fn end_by_idle_time_after_its_process_died() {
    let mut group = Group::new(1);
    let mut begin = begin_turn("p", "k", &[user("a")]);
    begin.idle_ms = 1_000;
    let grant = group.grant(Body::BeginTurn(begin));
    group.advance(3_000);
    assert!(group.leader().state().is_alive(&name("p")), "a running turn is not idle");
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    group.advance(2_000);
    assert!(!group.leader().state().is_alive(&name("p")));
}

#[test]
fn end_by_budget_releases_looping_program() {
    // A program without calls left in its budget can't be granted another one. It ends at once, its
    // engine memory is released, and the last answer stays recorded.
    let mut group = Group::new(1);
    let limits = wire::Budget { calls: 1, ..wire::Budget::default() };
    let grant = group.grant(limited("p", limits));
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    assert_eq!(group.releases(), ["e1"]);
    assert_eq!(recorded(group.ask(ENTRY, limited("p", limits))), assistant("b"));
    let next = group.ask(ENTRY, turn("p", "k2", &[user("c")]));
    assert_eq!(refusal(next), Refusal::ProgramEnded);
}

#[test]
fn end_of_a_parent_ends_its_children() {
    let mut group = Group::new(1);
    group.run_turn("p", "k", "a", "b");
    let mut child = begin_turn("p/c", "k", &[user("a")]);
    child.parent = "p".into();
    let grant = group.grant(Body::BeginTurn(child));
    group.ask(ENTRY, done("p/c", &grant.dispatch, &assistant("b")));
    group.ask(ENTRY, end("p"));
    assert!(!group.leader().state().is_alive(&name("p/c")));
    assert_eq!(group.releases().len(), 2);
}

#[test]
fn end_of_an_unknown_program_is_not_found() {
    let mut group = Group::new(1);
    assert_eq!(refusal(group.ask(ENTRY, end("p"))), Refusal::ProgramNotFound);
}

#[test]
fn find_leaks_lists_programs_that_are_not_alive() {
    let mut group = Group::new(1);
    group.run_turn("alive", "k", "a", "b");
    group.run_turn("ended", "k", "a", "b");
    group.ask(ENTRY, end("ended"));
    let reported = [name("alive"), name("ended"), name("never-seen")];
    let leaks = find_leaks(group.leader().state(), &"e1".into(), &reported);
    let programs: Vec<&str> = leaks.iter().map(|leak| leak.program.program.as_str()).collect();
    assert_eq!(programs, ["ended", "never-seen"]);
}

#[test]
fn audit_skips_program_with_running_dispatch() {
    // The audit reports the memory of an ended program only after its running turn has settled,
    // because the engine stores the prefix again at the end of the turn.
    let mut group = Group::new(1);
    let grant = group.grant(turn("p", "k", &[user("a")]));
    group.ask(ENTRY, end("p"));
    assert_eq!(leaks(group.ask(ENTRY, audit("p"))), 0);
    group.ask(ENTRY, done("p", &grant.dispatch, &assistant("b")));
    assert_eq!(leaks(group.ask(ENTRY, audit("p"))), 1);
}

#[test]
fn retention_keeps_then_removes_ended_programs() {
    let mut group = Group::new(1);
    group.run_turn("p", "k", "a", "b");
    group.ask(ENTRY, end("p"));
    group.ask(ENTRY, released("p", "e1"));
    let day = group.settings.retain_ms;
    group.advance(1_000);
    assert_eq!(recorded(group.ask(ENTRY, turn("p", "k", &[user("a")]))), assistant("b"));
    group.now = group.now + Duration::from_millis(day);
    group.advance(1_000);
    let state = group.leader().state();
    assert_eq!((state.program_count(), state.call_count()), (0, 0));
}

fn audit(program: &str) -> Body {
    let programs = program_ref(program).into_iter().collect();
    Body::Audit(wire::Audit { endpoint: "e1".into(), programs })
}

fn leaks(reply: ReplyBody) -> usize {
    let ReplyBody::Leaks(leaks) = reply else { panic!("expected leaks, got {reply:?}") };
    leaks.programs.len()
}

fn limited(program: &str, limits: wire::Budget) -> Body {
    let mut begin = begin_turn(program, "k", &[user("a")]);
    begin.budget = Some(limits);
    Body::BeginTurn(begin)
}

fn released(program: &str, endpoint: &str) -> Body {
    Body::Released(wire::Released { program: program_ref(program), endpoint: endpoint.into() })
}

/// A VM restarted while its group changed leaders. Its dispatch stayed in flight for ten minutes, so
/// callers got no answer and engines kept the memory of the ended program.
#[test]
fn end_after_restart_of_holder_during_leader_change() {
    let mut group = Group::new(3);
    let before = wire::BeginTurn { boot_id: 1, ..begin_turn("p", "k", &[user("a")]) };
    let grant = group.grant(Body::BeginTurn(before));
    group.ask(ENTRY, started("p", &grant.dispatch, "e7"));
    group.step(1, Input::VmRuns { vm: ENTRY, boot_id: 2 });
    group.change_leader(1, Fate::Kept);
    group.step(1, Input::VmRuns { vm: ENTRY, boot_id: 2 });
    group.ask(OTHER, end("p"));
    assert_eq!(group.releases(), ["e7"]);
}

/// A dispatch of a VM's present process was given up after a change of leader.
#[test]
fn turn_of_running_process_after_leader_change() {
    let mut group = Group::new(3);
    let now = wire::BeginTurn { boot_id: 2, ..begin_turn("p", "k", &[user("a")]) };
    let grant = group.grant(Body::BeginTurn(now));
    group.change_leader(1, Fate::Kept);
    group.step(1, Input::VmRuns { vm: ENTRY, boot_id: 2 });
    group.step(1, Input::VmRuns { vm: OTHER, boot_id: 3 });
    let running = group.leader().state().running();
    assert_eq!(running.first().map(|running| &running.dispatch), Some(&grant.dispatch.into()));
}

/// The boot id of a holder was lost with a restart of its store.
#[test]
fn end_after_restart_of_holder_and_store() {
    let mut group = Group::new(3);
    let before = wire::BeginTurn { boot_id: 1, ..begin_turn("p", "k", &[user("a")]) };
    let grant = group.grant(Body::BeginTurn(before));
    group.ask(ENTRY, started("p", &grant.dispatch, "e7"));
    group.restart(1);
    group.change_leader(1, Fate::Kept);
    group.step(1, Input::VmRuns { vm: ENTRY, boot_id: 2 });
    group.ask(OTHER, end("p"));
    assert_eq!(group.releases(), ["e7"]);
}
