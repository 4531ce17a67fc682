//! Finds out whether an endpoint ended under a request.
//!
//! A broken attempt alone doesn't tell: an answer may be lost on its way, spoiled, or reset together
//! with its connection while the endpoint goes on. An endpoint that has ended refuses connections.

use std::sync::Arc;

use super::call::Call;
use super::placement::ActiveDispatch;
use super::state::GatewayState;

/// What is known of an endpoint after it broke off an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndpointState {
    /// It refuses connections: its process has ended.
    Ended,
    /// It accepts connections.
    Running,
    /// It doesn't respond in time, which also a partition can cause.
    Silent,
}

impl EndpointState {
    /// Returns the name used in logs and metrics.
    const fn name(self) -> &'static str {
        match self {
            EndpointState::Ended => "ended",
            EndpointState::Running => "running",
            EndpointState::Silent => "silent",
        }
    }
}

/// Ends an attempt that the endpoint broke off after it may have begun to run the request.
pub(super) fn record(state: &Arc<GatewayState>, call: &Call, dispatch: ActiveDispatch) {
    let beside = dispatch.others_in_flight();
    let log = state.log.new(slog::o!("request" => call.head.id.to_string(),
        "route" => call.route.name.to_string(), "digest" => hex::encode(call.digest()),
        "endpoint" => dispatch.name.to_string(), "incarnation" => dispatch.incarnation,
        "ran_ms" => dispatch.started.elapsed().as_millis() as u64, "beside" => beside));
    let (address, state) = (dispatch.address, Arc::clone(state));
    dispatch.failed();
    tokio::spawn(async move {
        let endpoint = match state.connections.probe(address).await {
            Some(true) => EndpointState::Running,
            Some(false) => EndpointState::Ended,
            None => EndpointState::Silent,
        };
        state.metrics.broken_attempt(endpoint.name());
        slog::info!(log, "endpoint broke off an attempt"; "state" => endpoint.name());
    });
}
