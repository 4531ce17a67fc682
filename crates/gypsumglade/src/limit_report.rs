//! Log lines and counters of limits that callers reach.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use gypsumglade_core::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

use crate::clock::Clock;
use crate::connection_guard::ConnectionLimiter;
use crate::settings::{LimitSettings, ListenerRole};

/// Shortest interval between two log lines, since a crowd can reach a limit thousands of times a second.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limit that callers may reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Memory of all requests together.
    Memory,
    /// Open connections of a listener.
    Connections,
    /// Time for a request's head.
    HeadTime,
    /// Time in which a caller reads nothing of an answer.
    WriteTime,
}

impl Limit {
    const fn name(self) -> &'static str {
        match self {
            Limit::Memory => "memory",
            Limit::Connections => "connections",
            Limit::HeadTime => "head_time",
            Limit::WriteTime => "write_time",
        }
    }
}

/// What was done when a limit was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitAction {
    /// Others had to give way.
    Evicted,
    /// The new request or connection was refused.
    Refused,
    /// The connection was closed.
    Closed,
}

impl LimitAction {
    const fn name(self) -> &'static str {
        match self {
            LimitAction::Evicted => "evicted",
            LimitAction::Refused => "refused",
            LimitAction::Closed => "closed",
        }
    }
}

/// Counts how often limits are reached, and logs it at most once a second. Clones share the state.
#[derive(Clone)]
pub struct LimitReport {
    reached: Counter<u64>,
    clock: Clock,
    log: slog::Logger,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    count: AtomicU64,
    /// Time of the last log line in microseconds.
    logged: AtomicU64,
}

impl LimitReport {
    /// Creates a report that counts with `reached`.
    pub fn new(reached: Counter<u64>, clock: Clock, log: slog::Logger) -> LimitReport {
        LimitReport { reached, clock, log, state: Arc::default() }
    }

    /// Creates a report that neither counts nor logs.
    pub fn silent() -> LimitReport {
        let reached = opentelemetry::global::meter("").u64_counter("limits_reached").build();
        LimitReport::new(reached, Clock::start(), slog::Logger::root(slog::Discard, slog::o!()))
    }

    /// Returns the bound on the connections of a listener.
    pub fn limiter(&self, limits: &LimitSettings, role: ListenerRole) -> ConnectionLimiter {
        ConnectionLimiter::new(limits.connections(role), self.clock, self.clone())
    }

    /// Records that a limit was reached.
    pub fn reached(&self, limit: Limit, action: LimitAction) {
        let labels = [KeyValue::new("limit", limit.name()), KeyValue::new("action", action.name())];
        self.reached.add(1, &labels);
        let count = self.state.count.fetch_add(1, Ordering::Relaxed) + 1;
        let (now, logged) = (self.clock.now(), Time(self.state.logged.load(Ordering::Relaxed)));
        if logged != Time::ZERO && now.since(logged) < LOG_INTERVAL {
            return;
        }
        self.state.logged.store(now.0, Ordering::Relaxed);
        slog::warn!(self.log, "callers reach a limit"; "limit" => limit.name(),
            "action" => action.name(), "count" => count);
    }
}
