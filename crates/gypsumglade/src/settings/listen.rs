//! Listen addresses of the process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use gypsumglade_core::prelude::*;

use super::Findings;

/// Listen addresses. Each listener has its own, so that firewall rules can tell them apart.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ListenSettings {
    /// The callers' HTTP interface, behind the platform's load balancer.
    pub callers: SocketAddr,
    /// Announcements from endpoints.
    pub endpoints: SocketAddr,
    /// Calls from other VMs.
    pub peers: SocketAddr,
    /// The operators' interface, with metrics and dumps.
    pub admin: SocketAddr,
    /// Metrics without a token, for a network that only the provider can reach. If absent, only the
    /// operators' interface serves them.
    pub metrics: Option<SocketAddr>,
    /// Membership datagrams (UDP).
    pub gossip: SocketAddr,
}

/// Loopback with a port chosen by the kernel, for embedded processes and tests.
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
