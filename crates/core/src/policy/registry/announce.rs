//! Announcements of endpoints: what they run, where, and how busy they are.

use crate::prelude::*;

/// A model and its version, as named in the bundle.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelId {
    /// Name of the model.
    pub model: CompactString,
    /// Version of the model.
    pub version: CompactString,
}

impl ModelId {
    /// Creates the ID of `version` of `model`.
    pub fn new(model: &str, version: &str) -> ModelId {
        ModelId { model: model.into(), version: version.into() }
    }
}

/// What an endpoint runs, with its announced capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointKind {
    /// A model engine with continuous batching and a prefix cache.
    Engine {
        /// Models that are loaded.
        models: Vec<ModelId>,
        /// Calls that run at the same time.
        slots: u32,
        /// Prompt tokens prefilled per second, over all calls.
        prefill_rate: f64,
        /// Tokens generated per second for one call.
        decode_rate: f64,
        /// Capacity of the prefix cache in tokens.
        cache_tokens: u64,
    },
    /// A plain service, without models or a prefix cache.
    Service {
        /// Name of the service in the bundle.
        name: CompactString,
        /// Calls that run at the same time.
        slots: u32,
    },
}

impl EndpointKind {
    /// Returns the capacity of the prefix cache in tokens; zero for a plain service.
    pub fn cache_tokens(&self) -> u64 {
        match self {
            EndpointKind::Engine { cache_tokens, .. } => *cache_tokens,
            EndpointKind::Service { .. } => 0,
        }
    }

    /// Returns true for an engine that has loaded the model.
    pub fn serves(&self, model: &ModelId) -> bool {
        match self {
            EndpointKind::Engine { models, .. } => models.contains(model),
            EndpointKind::Service { .. } => false,
        }
    }

    /// Returns how many calls run at the same time, at least one.
    pub fn slots(&self) -> u32 {
        match self {
            EndpointKind::Engine { slots, .. } | EndpointKind::Service { slots, .. } => {
                (*slots).max(1)
            }
        }
    }
}

/// Load that an endpoint reported, with the age of the figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that were running.
    pub running: u32,
    /// Calls that were waiting inside the endpoint.
    pub waiting: u32,
    /// Tokens in the prefix cache.
    pub cached_tokens: u64,
    /// Age of the figures when the report was received.
    pub age: Duration,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    /// The engine now holds this many tokens of a program's prefix.
    Filled {
        /// Hash of the program.
        program: u64,
        /// Tokens held.
        tokens: u64,
    },
    /// The engine evicted the program's prefix.
    Evicted {
        /// Hash of the program.
        program: u64,
    },
}

/// Consecutive cache events, numbered by the engine so that gaps can be detected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the first event.
    pub first: u64,
    /// Events in the order in which the engine recorded them.
    pub events: Vec<CacheEvent>,
    /// Age of the newest event when it was received.
    pub age: Duration,
}

/// Announcement of an endpoint, received from itself or relayed by its home VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Instance name, unique among endpoints.
    pub name: EndpointName,
    /// Incarnation, which increases with each start of the instance.
    pub incarnation: u64,
    /// Sequence number within the incarnation, by which replays are detected.
    pub sequence: u64,
    /// Models or service that the endpoint runs.
    pub kind: EndpointKind,
    /// Address for calls: host and port, or a base URL.
    pub address: CompactString,
    /// Failure domain that the endpoint runs in.
    pub domain: DomainId,
    /// Region that the endpoint runs in.
    pub region: RegionId,
    /// Whether the endpoint refuses orders with an outdated fencing number.
    pub fencing: bool,
    /// Validity of the announcement from now; a relay subtracts the time for which it held it.
    pub lease: Duration,
    /// Whether the endpoint takes no new work. An incarnation can't take this back.
    pub leaving: bool,
    /// Load report, if the announcement carries one.
    pub load: Option<LoadReport>,
    /// Changes of the prefix cache; empty if the announcement carries none.
    pub cache_events: CacheEvents,
}
