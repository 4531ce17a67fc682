//! Attempts that were given up before the endpoint answered or broke them off: their time was over,
//! or the caller left.
//!
//! The load pattern is a request that crashes endpoints, and that is slow enough for the gateway or
//! the caller to give it up first. The endpoint ends a moment later, when no attempt is left to
//! notice. See docs/design/quarantine.md.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use gypsumglade_core::prelude::*;
use tokio::time::Instant;

use super::endpoint_state::{EndpointState, probe};
use super::state::GatewayState;
use super::suspects::{Run, Trial, report_crash};

/// How long after its end an attempt is held responsible for the end of its endpoint. Most endpoints
/// drop a request when its connection closes, and the others finish soon.
const WATCH_TIME: Duration = Duration::from_millis(500);
/// Interval between probes of an endpoint with abandoned attempts, which bounds the connections that
/// they cost it.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of abandoned attempts that are remembered for an endpoint.
const MAX_ABANDONED: usize = 64;

/// One start of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Incarnation {
    pub(super) name: EndpointName,
    pub(super) number: u64,
}

/// An attempt that was given up.
pub(super) struct AbandonedAttempt {
    run: Run,
    at: Instant,
    /// Keeps other copies of a suspected request from running until the endpoint's state is known.
    trial: Option<Trial>,
}

impl AbandonedAttempt {
    /// Describes an attempt that is given up now.
    pub(super) fn new(run: Run, trial: Option<Trial>) -> AbandonedAttempt {
        AbandonedAttempt { run, at: Instant::now(), trial }
    }
}

/// Recently abandoned attempts by endpoint.
#[derive(Default)]
pub(super) struct AbandonedAttempts {
    by_endpoint: Mutex<HashMap<Incarnation, Vec<AbandonedAttempt>>>,
}

impl AbandonedAttempts {
    /// Adds an attempt. Returns `true` if it is the first one at its endpoint, which is to be
    /// probed from now on.
    fn add(&self, endpoint: &Incarnation, attempt: AbandonedAttempt) -> bool {
        let mut all = self.lock();
        let attempts = all.entry(endpoint.clone()).or_default();
        if attempts.len() < MAX_ABANDONED {
            attempts.push(attempt);
        }
        attempts.len() == 1
    }

    /// Removes and returns the attempts at an endpoint.
    fn take(&self, endpoint: &Incarnation) -> Vec<AbandonedAttempt> {
        self.lock().remove(endpoint).unwrap_or_default()
    }

    /// Forgets attempts that ended too long ago. Returns `false` if none is left.
    fn expire(&self, endpoint: &Incarnation) -> bool {
        let mut all = self.lock();
        let Some(attempts) = all.get_mut(endpoint) else { return false };
        attempts.retain(|attempt| attempt.at.elapsed() < WATCH_TIME);
        if attempts.is_empty() {
            all.remove(endpoint);
            return false;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Incarnation, Vec<AbandonedAttempt>>> {
        self.by_endpoint.lock().expect("no panic while held")
    }
}

/// Watches an endpoint for some time after an attempt at it was given up, and reports its end as a
/// crash under the request.
pub(super) fn watch(
    state: &Arc<GatewayState>,
    endpoint: Incarnation,
    address: SocketAddr,
    attempt: AbandonedAttempt,
) {
    if state.abandoned.add(&endpoint, attempt) {
        tokio::spawn(probe_endpoint(Arc::clone(state), endpoint, address));
    }
}

async fn probe_endpoint(state: Arc<GatewayState>, endpoint: Incarnation, address: SocketAddr) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let leaving = state.is_leaving(&endpoint.name, endpoint.number);
        match probe(&state, address, leaving).await {
            EndpointState::Ended => return report(&state, &endpoint),
            EndpointState::Leaving => return drop(state.abandoned.take(&endpoint)),
            EndpointState::Running | EndpointState::Silent => {}
        }
        if !state.abandoned.expire(&endpoint) {
            return;
        }
    }
}

/// Reports that an endpoint has ended soon after attempts at it were given up.
pub(super) fn report(state: &Arc<GatewayState>, endpoint: &Incarnation) {
    for attempt in state.abandoned.take(endpoint) {
        let AbandonedAttempt { run, at, trial } = attempt;
        state.metrics.broken_attempt("abandoned");
        slog::info!(state.log, "endpoint ended after an attempt was abandoned";
            "endpoint" => %endpoint.name, "incarnation" => endpoint.number,
            "digest" => hex::encode(run.digest), "after_ms" => at.elapsed().as_millis() as u64);
        let (state, endpoint) = (Arc::clone(state), endpoint.clone());
        tokio::spawn(async move {
            report_crash(&state, run, &endpoint).await;
            drop(trial);
        });
    }
}
