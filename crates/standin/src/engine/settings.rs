//! Settings of a stand-in engine.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::announce::{AnnounceSettings, ModelVersion};

/// How the engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Instance name.
    pub name: CompactString,
    /// Grows with each start; the milliseconds since 1970 when zero.
    pub incarnation: u64,
    /// Where it listens; port zero takes a free one.
    pub listen: SocketAddr,
    /// Failure domain that it announces.
    pub domain: CompactString,
    /// Region that it announces.
    pub region: CompactString,
    /// Models loaded from the start.
    pub models: Vec<ModelVersion>,
    /// Most models loaded at one time.
    pub model_slots: usize,
    /// Calls that run at one time.
    pub slots: u32,
    /// Calls that wait for a slot before the engine refuses.
    pub queue: usize,
    /// Prompt tokens filled a second, each slot.
    pub prefill_rate: u64,
    /// Tokens generated a second, each slot.
    pub decode_rate: u64,
    /// Size of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Tokens of an answer, unless the caller allows fewer.
    pub answer_tokens: u64,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Milliseconds that loading a model takes, besides reading its weights.
    pub load_ms: u64,
    /// Base URL of the weight store; none to load without it.
    pub weights: Option<CompactString>,
    /// Bytes of exported KV cache a token; far smaller than a real engine's.
    pub kv_bytes: usize,
    /// Milliseconds that a generation outlives its last reader, so that it can be resumed.
    pub resume_ms: u64,
    /// Faults of its reports.
    pub reports: ReportSettings,
    /// Where it announces itself.
    pub announce: AnnounceSettings,
}

/// How late and how incomplete the engine's reports are.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportSettings {
    /// Age of reported load in milliseconds.
    pub load_lag_ms: u64,
    /// Age at which a cache event is first told, in milliseconds.
    pub event_delay_ms: u64,
    /// Every so many cache events one is never told; zero for none.
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
