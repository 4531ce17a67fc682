//! What the load tool sends.

use compact_str::CompactString;

/// How programs arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// This many programs at one time; the next begins when one ends.
    Closed(usize),
    /// This many programs a second, whether or not earlier ones have ended.
    Open(f64),
}

/// A load of programs, each a chain of model calls with a tool call between them.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Base URLs of the callers' listeners, used in turn by program.
    pub base_urls: Vec<CompactString>,
    /// API key of the organisation.
    pub api_key: CompactString,
    /// Agent program of the bundle; the organisation's first when empty.
    pub agent: CompactString,
    /// Model asked for.
    pub model: CompactString,
    /// Programs to run in all.
    pub programs: u64,
    /// How they arrive.
    pub arrivals: Arrivals,
    /// Model calls of each program.
    pub turns: u64,
    /// Words of each user message.
    pub prompt_words: u64,
    /// Most tokens of each answer.
    pub max_tokens: u64,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Tool call after each turn as `service/operation`; none when empty.
    pub tool: CompactString,
    /// Most times that a call is sent again after a refusal.
    pub retries: u32,
    /// Prefix of program names, so that two runs don't share programs; also their seed.
    pub prefix: CompactString,
}

impl Default for LoadSettings {
    fn default() -> LoadSettings {
        LoadSettings {
            base_urls: Vec::new(),
            api_key: CompactString::default(),
            agent: CompactString::default(),
            model: "advisor".into(),
            programs: 100,
            arrivals: Arrivals::Closed(8),
            turns: 4,
            prompt_words: 40,
            max_tokens: 64,
            stream: true,
            tool: CompactString::default(),
            retries: 5,
            prefix: "load".into(),
        }
    }
}
