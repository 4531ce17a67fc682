//! Settings of the router: weights, links and estimates.

use crate::policy::mechanism::Mechanisms;
use crate::prelude::*;

/// Weights of the cost, from the operator's bundle.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyWeights {
    /// Weight of a second of the program's own latency.
    pub latency: f64,
    /// Weight of a second of prefill that is repeated because a prefix was evicted. More than one
    /// by default, because that second also delays every prompt queued behind it.
    pub waste: f64,
}

impl Default for PolicyWeights {
    fn default() -> Self {
        PolicyWeights { latency: 1.0, waste: 6.0 }
    }
}

/// Properties of a kind of network link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// One-way latency.
    pub latency: Duration,
    /// Bytes per second that one transfer may expect.
    pub rate: f64,
    /// Cost of each byte in seconds, on top of the transfer time; expresses the price of paid
    /// traffic.
    pub price: f64,
}

/// Properties of links by their distance.
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

/// Location of a VM or an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Failure domain of the VM or endpoint.
    pub domain: DomainId,
    /// Region of the VM or endpoint.
    pub region: RegionId,
}

impl Links {
    /// Returns the kind of link that connects two locations.
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

/// Settings of the router. docs/design/routing.md explains the defaults.
#[derive(Clone, Debug)]
pub struct RouteSettings {
    /// Candidates drawn at random for each decision, besides the program's previous engines and the
    /// engines that hold a prefix of the prompt.
    pub sample_size: usize,
    /// Weights from the bundle in force.
    pub weights: PolicyWeights,
    /// Latency, rate and price of links.
    pub links: Links,
    /// Bytes of KV cache per token, for transfers between engines.
    pub kv_bytes: f64,
    /// Bytes of text per token, for calls and their answers.
    pub text_bytes: f64,
    /// Whether engines can transfer cached prefixes to each other.
    pub import: bool,
    /// Age above which the program's record of an earlier run is ignored.
    pub record_age: Duration,
    /// Service time in seconds that is assumed until a call has finished at the endpoint.
    pub service_time: f64,
    /// Mechanisms that are enabled.
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
