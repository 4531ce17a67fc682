//! Addresses that the process listens on.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use gypsumglade_core::prelude::*;

use super::Findings;

/// Addresses of the listeners, each apart so that a firewall can keep them apart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ListenSettings {
    /// The callers' HTTP interface, behind the platform's balancer.
    pub callers: SocketAddr,
    /// Announcements of endpoints.
    pub endpoints: SocketAddr,
    /// Calls from the other VMs of the system.
    pub peers: SocketAddr,
    /// The operators' interface, metrics and dumps.
    pub admin: SocketAddr,
    /// Metrics page without a token, for a network that only the provider reaches; absent where
    /// the operators' interface serves it.
    pub metrics: Option<SocketAddr>,
    /// Membership datagrams, UDP.
    pub gossip: SocketAddr,
}

/// Loopback with a free port, which suits an embedded process and a test.
pub(super) const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Default for ListenSettings {
    fn default() -> ListenSettings {
        ListenSettings {
            callers: LOOPBACK,
            endpoints: LOOPBACK,
            peers: LOOPBACK,
            admin: LOOPBACK,
            metrics: None,
            gossip: LOOPBACK,
        }
    }
}

impl ListenSettings {
    pub(super) fn check(&self, findings: &mut Findings) {
        let tcp = [
            ("listen.callers", self.callers),
            ("listen.endpoints", self.endpoints),
            ("listen.peers", self.peers),
            ("listen.admin", self.admin),
        ];
        for (i, (place, address)) in tcp.iter().enumerate() {
            let duplicate = tcp[..i].iter().find(|(_, a)| a == address && a.port() != 0);
            if let Some((other, _)) = duplicate {
                findings.add(place, address, &format!("an address that {other} does not use"));
            }
        }
    }
}
