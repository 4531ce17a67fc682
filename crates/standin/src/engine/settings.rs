//! Configuration of the stand-in engine.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::announce::{AnnounceSettings, ModelVersion};

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Instance name.
    pub name: CompactString,
    /// Number that grows with each start. Zero selects the Unix time in milliseconds.
    pub incarnation: u64,
    /// Address to listen on. Port zero selects a free port.
    pub listen: SocketAddr,
    /// Failure domain that it announces.
    pub domain: CompactString,
    /// Region that it announces.
    pub region: CompactString,
    /// Models that are loaded at the start.
    pub models: Vec<ModelVersion>,
    /// Maximum number of models that are loaded at the same time.
    pub model_slots: usize,
    /// Maximum number of calls that run at the same time.
    pub slots: u32,
    /// Maximum number of calls that wait for a slot. Further calls are refused.
    pub queue: usize,
    /// Prompt tokens processed per second in each slot.
    pub prefill_rate: u64,
    /// Tokens generated per second in each slot.
    pub decode_rate: u64,
    /// Size of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Number of tokens in an answer, unless the caller's limit is lower.
    pub answer_tokens: u64,
    /// Whether it refuses orders with a stale fencing number.
    pub fencing: bool,
    /// Time to load a model in milliseconds, in addition to reading its weights.
    pub load_ms: u64,
    /// Base URL of the weight store. Without it, no weights are read.
    pub weights: Option<CompactString>,
    /// Bytes per token of an exported KV cache, far fewer than in a real engine.
    pub kv_bytes: usize,
    /// Time in milliseconds in which a generation that has lost its readers, or has ended, can be
    /// resumed.
    pub resume_ms: u64,
    /// Delays and gaps of its reports.
    pub reports: ReportSettings,
    /// Where and how often it announces itself.
    pub announce: AnnounceSettings,
}

/// Delays and gaps of an engine's reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportSettings {
    /// Minimum age of reported load in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events in milliseconds.
    pub event_delay_ms: u64,
    /// Drops each cache event whose number is a multiple of this. Zero drops none.
    pub event_gap: u64,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            name: "engine-1".into(),
            incarnation: 0,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            domain: "local".into(),
            region: "local".into(),
            models: vec![ModelVersion::new("advisor", "1")],
            model_slots: 2,
            slots: 8,
            queue: 32,
            prefill_rate: 20_000,
            decode_rate: 500,
            cache_tokens: 100_000,
            answer_tokens: 16,
            fencing: true,
            load_ms: 50,
            weights: None,
            kv_bytes: 64,
            resume_ms: 2_000,
            reports: ReportSettings::default(),
            announce: AnnounceSettings::default(),
        }
    }
}
