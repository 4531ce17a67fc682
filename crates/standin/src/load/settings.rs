//! Settings of the load generator.

use compact_str::CompactString;

/// How programs arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// Runs at most this many programs at the same time and starts the next when one ends.
    Closed(usize),
    /// Starts this many programs per second, whether or not earlier ones have ended.
    Open(f64),
}

/// Describes a load of programs, each of which makes several model calls one after the other.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Base URLs of the callers' listeners, used in turn by program.
    pub base_urls: Vec<CompactString>,
    /// API key of the organisation.
    pub api_key: CompactString,
    /// Agent program of the bundle; the organisation's first if empty.
    pub agent: CompactString,
    /// Requested model.
    pub model: CompactString,
    /// Total number of programs.
    pub programs: u64,
    /// When programs are started.
    pub arrivals: Arrivals,
    /// Number of model calls in each program.
    pub turns: u64,
    /// Number of words in each user message.
    pub prompt_words: u64,
    /// Maximum number of tokens in each answer.
    pub max_tokens: u64,
    /// Whether to ask for streamed answers.
    pub stream: bool,
    /// Tool to call after each model call, as `service/operation`; none if empty.
    pub tool: CompactString,
    /// Maximum number of retries of a refused call.
    pub retries: u32,
    /// Prefix of program names and prompts. Runs with different prefixes share no programs.
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
