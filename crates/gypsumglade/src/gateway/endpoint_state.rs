//! Finds out whether an endpoint has ended.

use std::net::SocketAddr;

use super::state::GatewayState;

/// What is known of an endpoint after an attempt at it has ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointState {
    /// It refuses connections: its process has ended.
    Ended,
    /// It has announced that it leaves, so its end has another cause than the request.
    Leaving,
    /// It accepts connections.
    Running,
    /// It doesn't respond in time, which also a partition can cause.
    Silent,
}

impl EndpointState {
    /// Returns the name used in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            EndpointState::Ended => "ended",
            EndpointState::Leaving => "leaving",
            EndpointState::Running => "running",
            EndpointState::Silent => "silent",
        }
    }
}

/// Opens a connection to an endpoint to find out whether it has ended.
pub(super) async fn probe(
    state: &GatewayState,
    address: SocketAddr,
    leaving: bool,
) -> EndpointState {
    match state.connections.probe(address).await {
        Some(true) => EndpointState::Running,
        Some(false) if leaving => EndpointState::Leaving,
        Some(false) => EndpointState::Ended,
        None => EndpointState::Silent,
    }
}
