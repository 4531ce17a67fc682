//! Types of the chat completions API, and the deterministic answers.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cache::Part;

/// One message of a chat request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// Author of the message, such as `user` or `assistant`.
    pub role: CompactString,
    /// Text, a list of content parts, or null for a tool call.
    #[serde(default)]
    pub content: Value,
}

/// A chat request. The names of fields that the engine doesn't use are kept for the statistics.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ChatRequest {
    pub(super) model: CompactString,
    pub(super) messages: Vec<Message>,
    #[serde(default)]
    pub(super) max_tokens: Option<u64>,
    #[serde(default)]
    pub(super) max_completion_tokens: Option<u64>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default)]
    pub(super) stream_options: StreamOptions,
    #[serde(flatten)]
    pub(super) others: serde_json::Map<String, Value>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(super) struct StreamOptions {
    #[serde(default)]
    pub(super) include_usage: bool,
}

impl ChatRequest {
    /// Returns the maximum number of tokens in the answer.
    pub(super) fn token_limit(&self) -> u64 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(u64::MAX)
    }

    pub(super) fn parts(&self) -> Vec<Part> {
        self.messages.iter().map(part).collect()
    }

    pub(super) fn contains(&self, marker: &str) -> bool {
        self.messages.iter().any(|m| text(&m.content).contains(marker))
    }
}

/// Returns the number of tokens in a text, which is its number of words but at least one.
pub fn count_tokens(text: &str) -> u64 {
    (text.split_whitespace().count() as u64).max(1)
}

/// Returns the first `count` tokens of the answer to these messages.
///
/// The answer depends only on the messages, so that every engine gives the same one.
pub fn answer_tokens(messages: &[Message], count: u64) -> Vec<CompactString> {
    let seed = messages.iter().fold(0, |seed, m| xxh3_64_with_seed(hash_input(m).as_bytes(), seed));
    let word = |i: u64| xxh3_64_with_seed(&i.to_le_bytes(), seed) & 0xffff;
    (0..count).map(|i| compact_str::format_compact!("w{:04x}", word(i))).collect()
}

/// Returns the tokens of [`answer_tokens`] as one text.
pub fn answer_text(messages: &[Message], count: u64) -> String {
    answer_tokens(messages, count).join(" ")
}

/// Returns the part for an answer that is sent as a message of the next prompt.
pub(super) fn answer_part(answer: &str) -> Part {
    part(&Message { role: "assistant".into(), content: Value::from(answer) })
}

fn part(message: &Message) -> Part {
    let hash = xxh3_64_with_seed(hash_input(message).as_bytes(), 0);
    Part { hash, tokens: count_tokens(&text(&message.content)) }
}

fn hash_input(message: &Message) -> String {
    format!("{}\n{}", message.role, message.content)
}

fn text(content: &Value) -> String {
    match content {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// Token counts of a call.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Usage {
    pub(super) prompt_tokens: u64,
    pub(super) completion_tokens: u64,
    pub(super) total_tokens: u64,
    pub(super) prompt_tokens_details: PromptDetails,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct PromptDetails {
    pub(super) cached_tokens: u64,
}

/// An answer that is not streamed.
#[derive(Serialize)]
pub(super) struct Completion {
    pub(super) id: CompactString,
    pub(super) object: &'static str,
    pub(super) created: u64,
    pub(super) model: CompactString,
    pub(super) choices: [Choice; 1],
    pub(super) usage: Usage,
}

#[derive(Serialize)]
pub(super) struct Choice {
    pub(super) index: u32,
    pub(super) message: Answer,
    pub(super) finish_reason: &'static str,
}

#[derive(Serialize)]
pub(super) struct Answer {
    pub(super) role: &'static str,
    pub(super) content: String,
}

/// One event of a streamed answer.
#[derive(Serialize)]
pub(super) struct Chunk {
    pub(super) id: CompactString,
    pub(super) object: &'static str,
    pub(super) created: u64,
    pub(super) model: CompactString,
    pub(super) choices: Vec<ChunkChoice>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) usage: Option<Usage>,
}

#[derive(Serialize)]
pub(super) struct ChunkChoice {
    pub(super) index: u32,
    pub(super) delta: Delta,
    pub(super) finish_reason: Option<&'static str>,
}

#[derive(Default, Serialize)]
pub(super) struct Delta {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) content: Option<String>,
}
