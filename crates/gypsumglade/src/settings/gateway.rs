//! Settings of the gateway, which passes callers' requests through to endpoints.

use std::net::SocketAddr;

use super::listen::LOOPBACK;
use gypsumglade_core::prelude::*;

/// Listen addresses of the gateway and the replication of kept turns.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct GatewaySettings {
    /// Listener for callers' requests.
    pub callers: SocketAddr,
    /// Listener for the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Number of stores that can be lost at once without losing kept turns. Each text is written to
    /// one store more than this.
    pub tolerate: u32,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings { callers: LOOPBACK, ready: LOOPBACK, tolerate: 1 }
    }
}
