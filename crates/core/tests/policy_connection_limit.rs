//! Tests of the choice of connections that close when a listener's limit is reached.

use gypsumglade_core::policy::connection_limit::{
    Admission, ConnectionKey, ConnectionLimit, ConnectionState,
};
use gypsumglade_core::prelude::*;

const LIMIT: usize = 4;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Opens as many connections as the limit allows, one every millisecond.
fn full() -> (ConnectionLimit, Vec<ConnectionKey>) {
    let mut limit = ConnectionLimit::new(LIMIT);
    let open = |number: usize| match limit.open(at(number as u64)) {
        Admission::Open(key) => key,
        other => panic!("{other:?} below the limit"),
    };
    let keys = (0..LIMIT).map(open).collect();
    (limit, keys)
}

/// Opens one more connection, and returns the one that closes for it.
fn evict(limit: &mut ConnectionLimit, now: Time) -> Option<ConnectionKey> {
    match limit.open(now) {
        Admission::InPlaceOf { evicted, .. } => Some(evicted),
        Admission::Refused => None,
        Admission::Open(_) => panic!("the limit is reached"),
    }
}

/// Connections that send nothing kept everybody else out.
#[test]
fn open_evicts_oldest_silent() {
    let (mut limit, keys) = full();
    limit.set_state(at(10), keys[0], ConnectionState::Busy);
    limit.set_state(at(11), keys[1], ConnectionState::Idle);
    assert_eq!(evict(&mut limit, at(20)), Some(keys[2]));
    assert_eq!(evict(&mut limit, at(21)), Some(keys[3]));
    assert_eq!(limit.len(), LIMIT);
}

/// Of connections that carried requests, the one closes that has been idle for the longest.
#[test]
fn open_evicts_longest_idle() {
    let (mut limit, keys) = full();
    for (millis, key) in [(13, keys[0]), (11, keys[1]), (12, keys[2]), (14, keys[3])] {
        limit.set_state(at(millis), key, ConnectionState::Idle);
    }
    assert_eq!(evict(&mut limit, at(20)), Some(keys[1]));
}

/// A connection with a request under way was closed.
#[test]
fn open_refuses_when_busy() {
    let (mut limit, keys) = full();
    keys.iter().for_each(|key| limit.set_state(at(10), *key, ConnectionState::Busy));
    assert_eq!(evict(&mut limit, at(20)), None);
}

/// Answers that nobody reads kept everybody else out.
#[test]
fn open_evicts_unread_answer() {
    let (mut limit, keys) = full();
    keys.iter().for_each(|key| limit.set_state(at(10), *key, ConnectionState::Busy));
    limit.set_blocked(at(11), keys[1], true);
    limit.set_blocked(at(12), keys[2], true);
    limit.set_blocked(at(13), keys[1], false);
    assert_eq!(evict(&mut limit, at(20)), Some(keys[2]));
}

/// A closed connection's key closed the one that has its place now.
#[test]
fn close_ignores_old_key() {
    let (mut limit, keys) = full();
    limit.close(keys[0]);
    let Admission::Open(newer) = limit.open(at(20)) else { panic!("there is room") };
    limit.close(keys[0]);
    assert_eq!(limit.len(), LIMIT);
    limit.close(newer);
    assert_eq!(limit.len(), LIMIT - 1);
}
