//! What an endpoint says about itself.

use crate::prelude::*;

/// A model at one version, as the bundle names it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelId {
    /// The model's name.
    pub model: CompactString,
    /// The version served.
    pub version: CompactString,
}

impl ModelId {
    /// Names `version` of `model`.
    pub fn new(model: &str, version: &str) -> ModelId {
        ModelId { model: model.into(), version: version.into() }
    }
}

/// What an endpoint runs, with the capacity it claims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndpointKind {
    /// A model engine that batches continuously and caches prompt prefixes.
    Engine {
        /// Models it has loaded.
        models: Vec<ModelId>,
        /// Calls it runs at one time.
        slots: u32,
        /// Prompt tokens it fills a second, over all calls.
        prefill_rate: f64,
        /// Tokens it generates a second for one call.
        decode_rate: f64,
        /// Prefix tokens its memory holds.
        cache_tokens: u64,
    },
    /// A plain service.
    Service {
        /// The service's name in the bundle.
        name: CompactString,
        /// Calls it runs at one time.
        slots: u32,
    },
}

impl EndpointKind {
    /// Returns how many prefix tokens the endpoint holds; zero for a plain service.
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

    /// Returns how many calls the endpoint runs at one time, never zero.
    pub fn slots(&self) -> u32 {
        match self {
            EndpointKind::Engine { slots, .. } | EndpointKind::Service { slots, .. } => {
                (*slots).max(1)
            }
        }
    }
}

/// Load as the endpoint saw it some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls running.
    pub running: u32,
    /// Calls waiting inside the endpoint.
    pub waiting: u32,
    /// Prefix tokens held.
    pub cached_tokens: u64,
    /// How old the figures were when the announcement was received.
    pub age: Duration,
}

/// One change of an engine's prefix memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheEvent {
    /// The engine now holds this many tokens of a program's prefix.
    Filled {
        /// Hash of the program.
        program: u64,
        /// Tokens held.
        tokens: u64,
    },
    /// The engine threw the program's prefix away.
    Evicted {
        /// Hash of the program.
        program: u64,
    },
}

/// A run of cache events, numbered by the engine so that gaps show.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of the first event in `events`.
    pub first: u64,
    /// The events in the engine's order.
    pub events: Vec<CacheEvent>,
    /// How old the newest event was when it was received.
    pub age: Duration,
}

/// An endpoint's word about itself; also what a home VM passes on for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Instance name, unique among endpoints.
    pub name: EndpointName,
    /// Grows with each start of the instance.
    pub incarnation: u64,
    /// Grows with each announcement of one incarnation, so that replays show.
    pub sequence: u64,
    /// What it runs.
    pub kind: EndpointKind,
    /// Host and port, or base URL, that calls go to.
    pub address: CompactString,
    /// Failure domain it runs in.
    pub domain: DomainId,
    /// Region it runs in.
    pub region: RegionId,
    /// Whether it refuses orders that carry an old fencing number.
    pub fencing: bool,
    /// How long the announcement holds from now; a relay subtracts the time that it held it.
    pub lease: Duration,
    /// True when it takes no new work; cannot be taken back in the same incarnation.
    pub leaving: bool,
    /// Load, when the announcement carries it.
    pub load: Option<LoadReport>,
    /// Changes of prefix memory, when the announcement carries them.
    pub cache_events: CacheEvents,
}
