//! What an endpoint says about itself: the JSON of `POST /v1/endpoints/announce`.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Path of the announcement under an entry's address.
pub const ANNOUNCE_PATH: &str = "/v1/endpoints/announce";

/// A model at one version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelVersion {
    /// The model's name.
    pub model: CompactString,
    /// Its version.
    pub version: CompactString,
}

impl ModelVersion {
    /// Builds one from its two texts.
    pub fn new(model: &str, version: &str) -> ModelVersion {
        ModelVersion { model: model.into(), version: version.into() }
    }

    /// Reads `model@version`; without a version it is `1`.
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

/// Load as the endpoint last measured it; it lags behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in a slot.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
    /// Tokens in the prefix cache.
    pub cached_tokens: u64,
    /// Age of these figures in milliseconds.
    pub age_ms: u64,
}

/// A change of the prefix cache, told late and with gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Organisation and program as `org/program`.
    pub program: CompactString,
    /// Tokens that the program now holds, or held until it was evicted.
    pub tokens: u64,
    /// Whether the program's memory was given up.
    pub evicted: bool,
    /// Number of the event within the incarnation, from one, so that gaps show.
    pub sequence: u64,
}

/// One announcement. Each is a lease: without a next one the endpoint counts as gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Instance name, kept over restarts.
    pub name: CompactString,
    /// Grows with each start of the instance.
    pub incarnation: u64,
    /// Whether it runs models or a service.
    pub kind: Kind,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// Its region.
    pub region: CompactString,
    /// Loaded models of an engine.
    pub models: Vec<ModelVersion>,
    /// Name of a plain service; empty for an engine.
    pub service: CompactString,
    /// Calls that run at one time.
    pub slots: u32,
    /// Prompt tokens filled a second, each slot.
    pub prefill_rate: u64,
    /// Tokens generated a second, each slot.
    pub decode_rate: u64,
    /// Size of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Length of the lease in milliseconds.
    pub lease_ms: u64,
    /// Takes no new work any more.
    pub leaving: bool,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Lagging load.
    pub load: Load,
    /// Changes of the prefix cache since the last announcement, as far as they are told.
    pub cache_events: Vec<CacheEvent>,
}

/// Where and how often an endpoint announces itself.
#[derive(Clone, Debug)]
pub struct AnnounceSettings {
    /// Base URLs of the entries' listeners, used in turn; none for no announcements.
    pub entries: Vec<CompactString>,
    /// The deployment's token for endpoints.
    pub token: CompactString,
    /// Length of the lease in milliseconds; announced every third of it.
    pub lease_ms: u64,
}

impl Default for AnnounceSettings {
    fn default() -> AnnounceSettings {
        AnnounceSettings { entries: Vec::new(), token: CompactString::default(), lease_ms: 3_000 }
    }
}
