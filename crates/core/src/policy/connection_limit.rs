//! Which connections a listener keeps when its limit is reached.
//!
//! The load pattern is a crowd that connects and sends nothing, a part of a request, or reads no answer.
//! If the newest connection were refused, such a crowd would keep everybody else out. A connection
//! closes instead on which nothing is lost: first one that has not sent a whole request, the oldest
//! first, then one that is idle, then one whose caller doesn't read. See docs/design/callers.md.

use std::collections::BTreeSet;

use crate::arena::{Arena, ArenaKey};
use crate::prelude::*;

/// Key of a connection.
pub type ConnectionKey = ArenaKey;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Its peer has not sent a whole request yet.
    Receiving,
    /// It has carried requests and waits for the next one.
    Idle,
    /// A request is under way, so that it stays open while its peer reads.
    Busy,
}

/// Connections that may close, in the order in which they do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Evictable {
    Receiving,
    Idle,
    Unread,
}

/// Result of opening a connection at the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is room.
    Open(ConnectionKey),
    /// Another connection must be closed for it; it counts no more.
    InPlaceOf {
        /// The new connection.
        key: ConnectionKey,
        /// The connection to close.
        evicted: ConnectionKey,
    },
    /// All other connections are busy.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    state: ConnectionState,
    /// Whether the peer has stopped to read.
    blocked: bool,
    /// When one of both last changed.
    since: Time,
}

impl Connection {
    fn evictable(&self) -> Option<Evictable> {
        match self.state {
            ConnectionState::Receiving => Some(Evictable::Receiving),
            ConnectionState::Idle => Some(Evictable::Idle),
            ConnectionState::Busy if self.blocked => Some(Evictable::Unread),
            ConnectionState::Busy => None,
        }
    }
}

/// Connections of a listener.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    limit: usize,
    connections: Arena<Connection>,
    evictable: BTreeSet<(Evictable, Time, ConnectionKey)>,
}

impl ConnectionLimit {
    /// Creates a table for this many connections.
    pub fn new(limit: usize) -> ConnectionLimit {
        ConnectionLimit { limit, connections: Arena::default(), evictable: BTreeSet::new() }
    }

    /// Adds a connection that has sent nothing yet.
    pub fn open(&mut self, now: Time) -> Admission {
        if self.connections.len() < self.limit {
            return Admission::Open(self.insert(now));
        }
        let Some(&(_, _, evicted)) = self.evictable.first() else { return Admission::Refused };
        self.close(evicted);
        Admission::InPlaceOf { key: self.insert(now), evicted }
    }

    /// Records what a connection does from now on.
    pub fn set_state(&mut self, now: Time, key: ConnectionKey, state: ConnectionState) {
        if let Some(connection) = self.connections.get(key).filter(|one| one.state != state) {
            self.update(key, Connection { state, since: now, ..*connection });
        }
    }

    /// Records whether a connection's peer has stopped to read.
    pub fn set_blocked(&mut self, now: Time, key: ConnectionKey, blocked: bool) {
        if let Some(connection) = self.connections.get(key).filter(|one| one.blocked != blocked) {
            self.update(key, Connection { blocked, since: now, ..*connection });
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.remove_evictable(key, connection);
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn insert(&mut self, now: Time) -> ConnectionKey {
        let state = ConnectionState::Receiving;
        let connection = Connection { state, blocked: false, since: now };
        let key = self.connections.insert(connection);
        self.add_evictable(key, connection);
        key
    }

    fn update(&mut self, key: ConnectionKey, connection: Connection) {
        let Some(entry) = self.connections.get_mut(key) else { return };
        let before = std::mem::replace(entry, connection);
        self.remove_evictable(key, before);
        self.add_evictable(key, connection);
    }

    fn add_evictable(&mut self, key: ConnectionKey, connection: Connection) {
        if let Some(rank) = connection.evictable() {
            self.evictable.insert((rank, connection.since, key));
        }
    }

    fn remove_evictable(&mut self, key: ConnectionKey, connection: Connection) {
        if let Some(rank) = connection.evictable() {
            self.evictable.remove(&(rank, connection.since, key));
        }
    }
}
