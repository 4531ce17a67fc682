//! Log lines of a leader about members that fall behind.

use std::time::Duration;

use gypsumglade::replica::HostStatus;
use gypsumglade::store::follower_watch::{Change, FollowerState, FollowerWatch};
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Lag, LogIndex, Members, Position, Role, Status, Term};

const FOLLOWER: VmId = VmId(2);

fn lag(bytes: u64, silent_ms: u64) -> Lag {
    let silent = Duration::from_millis(silent_ms);
    Lag { vm: FOLLOWER, entries: bytes / 1_000, bytes, silent, snapshot: false }
}

fn status(role: Role, followers: Vec<Lag>) -> HostStatus {
    let group = Status {
        group: GroupId::TURNS,
        role,
        term: Term(2),
        leader: Some(VmId(1)),
        commit: LogIndex(9),
        last: Position::default(),
        snapshot: Position::default(),
        members: Members::from_voters(vec![VmId(1), FOLLOWER]),
        settled: true,
        lease: true,
        backlog: 0,
        followers,
    };
    HostStatus { groups: vec![group], ..HostStatus::default() }
}

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn steps(changes: &[Change]) -> Vec<(FollowerState, FollowerState)> {
    changes.iter().map(|change| (change.before, change.now)).collect()
}

#[test]
fn look_behind_and_back() {
    let mut watch = FollowerWatch::default();
    let mut look =
        |ms, bytes| steps(&watch.update(&status(Role::Leader, vec![lag(bytes, 20)]), at(ms)));
    assert_eq!(look(500, 1_000), []);
    assert_eq!(look(1_000, 2_000_000), [(FollowerState::CaughtUp, FollowerState::Behind)]);
    assert_eq!(look(3_500, 300_000), [], "half of the bound isn't caught up yet");
    assert_eq!(look(4_000, 1_000), [(FollowerState::Behind, FollowerState::CaughtUp)]);
}

#[test]
fn look_silent_and_heard() {
    let mut watch = FollowerWatch::default();
    let mut look =
        |ms, silent| steps(&watch.update(&status(Role::Leader, vec![lag(0, silent)]), at(ms)));
    assert_eq!(look(500, 1_400), []);
    assert_eq!(look(1_000, 1_900), [(FollowerState::CaughtUp, FollowerState::Unresponsive)]);
    assert_eq!(look(4_000, 50), [(FollowerState::Unresponsive, FollowerState::CaughtUp)]);
}

/// A member that alternated between states at each check filled the disk with log lines.
#[test]
fn look_bounded_lines() {
    let mut watch = FollowerWatch::default();
    let mut lines = 0;
    for look in 1..=1_000_u64 {
        let silent = if look % 2 == 0 { 5_000 } else { 0 };
        lines += watch.update(&status(Role::Leader, vec![lag(0, silent)]), at(look * 100)).len();
    }
    assert!(lines > 0 && lines <= 50, "{lines} lines in 100 s");
}

#[test]
fn look_nothing_as_follower() {
    let mut watch = FollowerWatch::default();
    assert!(watch.update(&status(Role::Follower, vec![lag(9_000_000, 9_000)]), at(500)).is_empty());
}
