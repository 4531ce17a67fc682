//! The interface for requests that are passed through to endpoints.

use std::net::SocketAddr;

use super::listen::LOOPBACK;
use gypsumglade_core::prelude::*;

/// Addresses of the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct GatewaySettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// The balancer's question whether this VM takes callers.
    pub ready: SocketAddr,
    /// Stores whose loss at one time kept turns bear; each text is put on one more.
    pub tolerate: u32,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings { callers: LOOPBACK, ready: LOOPBACK, tolerate: 1 }
    }
}
