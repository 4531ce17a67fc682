//! Body of `POST /v1/endpoints/announce`, with which an endpoint registers itself.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Path of the announcement on an entry's listener for endpoints.
pub const ANNOUNCE_PATH: &str = "/v1/endpoints/announce";

/// A model in one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: CompactString,
    /// Version of the model.
    pub version: CompactString,
}

impl ModelVersion {
    /// Creates a `ModelVersion` from a name and a version.
    pub fn new(model: &str, version: &str) -> ModelVersion {
        ModelVersion { model: model.into(), version: version.into() }
    }

    /// Parses `model@version`. The version defaults to `1`.
    pub fn parse(text: &str) -> ModelVersion {
        let (model, version) = text.split_once('@').unwrap_or((text, "1"));
        ModelVersion::new(model, version)
    }
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs models.
    Engine,
    /// Runs the operations of one plain service.
    Service,
}

/// Load of an endpoint at its last measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that occupy a slot.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
    /// Tokens in the prefix cache.
    pub cached_tokens: u64,
    /// Age of the measurement in milliseconds.
    pub age_ms: u64,
}

/// A change of the prefix cache. Events may be delayed or missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Organisation and program as `org/program`.
    pub program: CompactString,
    /// Tokens that the program now has in the cache, or had before the eviction.
    pub tokens: u64,
    /// Whether the program was evicted.
    pub evicted: bool,
    /// Number of the event within the incarnation, from one. A gap means that events were lost.
    pub sequence: u64,
}

/// An announcement, which also renews the endpoint's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Instance name, which stays the same after a restart.
    pub name: CompactString,
    /// Number that grows with each start of the instance.
    pub incarnation: u64,
    /// Whether the endpoint runs models or a service.
    pub kind: Kind,
    /// Address on which it serves calls.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: CompactString,
    /// Region of the endpoint.
    pub region: CompactString,
    /// Models that an engine has loaded; empty for a service.
    pub models: Vec<ModelVersion>,
    /// Name of a plain service; empty for an engine.
    pub service: CompactString,
    /// Maximum number of calls that run at the same time.
    pub slots: u32,
    /// Prompt tokens processed per second in each slot.
    pub prefill_rate: u64,
    /// Tokens generated per second in each slot.
    pub decode_rate: u64,
    /// Size of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Whether it refuses orders with a stale fencing number.
    pub fencing: bool,
    /// Length of the lease in milliseconds.
    pub lease_ms: u64,
    /// Whether it refuses new calls because it is about to stop.
    pub leaving: bool,
    /// Number of the announcement within the incarnation.
    pub sequence: u64,
    /// Load at the last measurement.
    pub load: Load,
    /// Changes of the prefix cache that were not yet announced.
    pub cache_events: Vec<CacheEvent>,
}

/// Where and how often an endpoint announces itself.
#[derive(Clone, Debug)]
pub struct AnnounceSettings {
    /// Base URLs of the entries' listeners, used in turn. No announcements are sent if empty.
    pub entries: Vec<CompactString>,
    /// Bearer token with which endpoints of the deployment authenticate.
    pub token: CompactString,
    /// Length of the lease in milliseconds. An announcement is sent every third of it.
    pub lease_ms: u64,
}

impl Default for AnnounceSettings {
    fn default() -> AnnounceSettings {
        AnnounceSettings { entries: Vec::new(), token: CompactString::default(), lease_ms: 3_000 }
    }
}
