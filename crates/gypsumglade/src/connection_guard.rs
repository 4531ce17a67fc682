//! Bound on the open connections of a listener.
//!
//! The decisions are made by [`ConnectionLimit`]; docs/design/callers.md describes them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use gypsumglade_core::policy::connection_limit::{
    Admission, ConnectionKey, ConnectionLimit, ConnectionState,
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::limit_report::{Limit, LimitAction, LimitReport};

/// Bounds the connections of a listener. Clones share the bound.
#[derive(Clone)]
pub struct ConnectionLimiter {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Notified when an evicted connection has closed.
    released: Notify,
    clock: Clock,
    report: LimitReport,
}

struct State {
    limit: ConnectionLimit,
    tokens: HashMap<ConnectionKey, CancellationToken>,
    /// Evicted connections that have not closed yet.
    leaving: usize,
}

/// Evicted connections that may still be open while others take their place.
const MAX_LEAVING: usize = 8;

impl ConnectionLimiter {
    /// Creates a bound of this many connections.
    pub fn new(limit: usize, clock: Clock, report: LimitReport) -> ConnectionLimiter {
        let limit = ConnectionLimit::new(limit);
        let state = Mutex::new(State { limit, tokens: HashMap::new(), leaving: 0 });
        let released = Notify::new();
        ConnectionLimiter { shared: Arc::new(Shared { state, released, clock, report }) }
    }

    /// Admits a new connection, for which another one may be closed. Returns `None` if all others have
    /// a request under way.
    ///
    /// Waits while too many evicted connections are still open, so that a crowd that connects faster than
    /// they close doesn't take more descriptors than the limit.
    pub async fn admit(&self) -> Option<ConnectionGuard> {
        while self.shared.lock().leaving >= MAX_LEAVING {
            self.shared.released.notified().await;
        }
        self.try_admit()
    }

    fn try_admit(&self) -> Option<ConnectionGuard> {
        let shared = &self.shared;
        let mut state = shared.lock();
        let (key, action) = match state.limit.open(shared.clock.now()) {
            Admission::Open(key) => (Some(key), None),
            Admission::InPlaceOf { key, evicted } => {
                if let Some(token) = state.tokens.remove(&evicted) {
                    token.cancel();
                    state.leaving += 1;
                }
                (Some(key), Some(LimitAction::Evicted))
            }
            Admission::Refused => (None, Some(LimitAction::Refused)),
        };
        let closed = CancellationToken::new();
        if let Some(key) = key {
            state.tokens.insert(key, closed.clone());
        }
        drop(state);
        if let Some(action) = action {
            shared.report.reached(Limit::Connections, action);
        }
        let shared = Arc::clone(shared);
        key.map(|key| ConnectionGuard(Arc::new(Connection { shared, key, closed })))
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }
}

/// An open connection, which counts until all clones are dropped.
#[derive(Clone)]
pub struct ConnectionGuard(Arc<Connection>);

struct Connection {
    shared: Arc<Shared>,
    key: ConnectionKey,
    /// Cancelled when the connection must close.
    closed: CancellationToken,
}

impl ConnectionGuard {
    /// Returns the token that is cancelled when the connection must close.
    pub fn closed(&self) -> CancellationToken {
        self.0.closed.clone()
    }

    /// Records what the connection does from now on.
    pub fn set_state(&self, state: ConnectionState) {
        let shared = &self.0.shared;
        shared.lock().limit.set_state(shared.clock.now(), self.0.key, state);
    }

    /// Records whether the peer has stopped to read.
    pub fn set_blocked(&self, blocked: bool) {
        let shared = &self.0.shared;
        shared.lock().limit.set_blocked(shared.clock.now(), self.0.key, blocked);
    }

    /// Records that a limit was reached on this connection.
    pub fn report(&self, limit: Limit, action: LimitAction) {
        self.0.shared.report.reached(limit, action);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if state.tokens.remove(&self.key).is_some() {
            state.limit.close(self.key);
            return;
        }
        state.leaving -= 1;
        self.shared.released.notify_one();
    }
}
