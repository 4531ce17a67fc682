//! What a routing decision weighs, and the prices of the links between endpoints and VMs.

use crate::policy::mechanism::Mechanisms;
use crate::prelude::*;

/// Weights of the operator's bundle: what a second and a wasted token are worth.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyWeights {
    /// Worth of a second of the program's own latency.
    pub latency: f64,
    /// Worth of a second of prefill spent because prefix memory was thrown away. More than one even
    /// where only latency counts: that second also delays every prompt behind it.
    pub waste: f64,
}

impl Default for PolicyWeights {
    fn default() -> Self {
        PolicyWeights { latency: 1.0, waste: 6.0 }
    }
}

/// A kind of link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// One-way latency.
    pub latency: Duration,
    /// Bytes a second that one transfer may count on.
    pub rate: f64,
    /// Seconds of cost for each byte, on top of the time it takes: the price of paid volume.
    pub price: f64,
}

/// The three kinds of links there are.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Links {
    /// Within a failure domain.
    pub domain: Link,
    /// Between failure domains of a region.
    pub region: Link,
    /// Between regions: slow, narrow and paid by volume.
    pub paid: Link,
}

impl Default for Links {
    fn default() -> Self {
        Links {
            domain: Link { latency: Duration::from_micros(200), rate: 1.25e9, price: 0.0 },
            region: Link { latency: Duration::from_micros(1500), rate: 1.25e9, price: 0.0 },
            paid: Link { latency: Duration::from_millis(8), rate: 3.75e6, price: 3e-5 },
        }
    }
}

/// A place: where a VM or an endpoint stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
}

impl Links {
    /// Returns the link between two places.
    pub fn between(&self, a: Place, b: Place) -> &Link {
        if a.region != b.region {
            &self.paid
        } else if a.domain != b.domain {
            &self.region
        } else {
            &self.domain
        }
    }
}

/// Settings of the router. docs/design/routing.md gives the figures behind the defaults.
#[derive(Clone, Debug)]
pub struct RouteSettings {
    /// Candidates drawn for each decision, besides the program's own engines.
    pub sample_size: usize,
    /// Weights from the bundle in force.
    pub weights: PolicyWeights,
    /// Links and prices.
    pub links: Links,
    /// Bytes of KV cache for each token, for transfers between engines.
    pub kv_bytes: f64,
    /// Bytes of text for each prompt token sent to an engine.
    pub text_bytes: f64,
    /// Whether engines may hand prefix memory to each other.
    pub import: bool,
    /// Age past which the program's own record of an engine's memory counts for nothing.
    pub record_age: Duration,
    /// Seconds assumed for a call's service where no call finished yet.
    pub service_time: f64,
    /// Mechanisms that are on.
    pub mechanisms: Mechanisms,
}

impl Default for RouteSettings {
    fn default() -> Self {
        RouteSettings {
            sample_size: 16,
            weights: PolicyWeights::default(),
            links: Links::default(),
            kv_bytes: 160_000.0,
            text_bytes: 4.2,
            import: false,
            record_age: Duration::from_secs(1800),
            service_time: 4.0,
            mechanisms: Mechanisms::default(),
        }
    }
}
