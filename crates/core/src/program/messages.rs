//! Parses, compares and hashes chat messages.
//!
//! A caller may send the whole history or only the new messages; [`compare_history`] tells them
//! apart. Messages are compared by meaning, because client libraries reorder fields, add nulls and
//! drop fields when they send an answer back.

use bytes::{BufMut, Bytes, BytesMut};
use serde_json::Value;
use xxhash_rust::xxh3::Xxh3;

/// Hash of one message; see [`message_hash`] for what it covers.
pub(super) type MessageHash = [u8; HASH_LEN];

/// Length of a [`MessageHash`] in bytes.
pub(super) const HASH_LEN: usize = 16;

/// Fields that engines add to an answer and that callers may drop when they send it back.
const ENGINE_FIELDS: [&str; 4] = ["annotations", "reasoning", "reasoning_content", "refusal"];

/// Parsed messages of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Canonical JSON text of each message.
    pub texts: Vec<Bytes>,
    pub(super) hashes: Vec<MessageHash>,
    roles: Vec<Role>,
}

impl Prompt {
    /// Returns the messages from `start` on, joined with commas.
    pub(super) fn joined(&self, start: usize) -> Bytes {
        join(&self.texts[start.min(self.texts.len())..])
    }

    /// Returns the concatenated hashes of the messages from `start` on.
    pub(super) fn hash_bytes(&self, start: usize) -> Bytes {
        Bytes::from(self.hashes[start.min(self.hashes.len())..].concat())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    User,
    Assistant,
    Other,
}

/// Error for a full history that differs from the stored one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "message {index} differs from the stored history of {stored} messages: send only the new \
     messages, or begin a new program"
)]
pub struct HistoryConflict {
    /// Index of the first message that differs.
    pub index: usize,
    /// Number of messages in the stored history.
    pub stored: usize,
}

/// Parses a JSON array of chat messages.
///
/// Returns a description of the problem if the JSON is malformed or an item is not an object.
pub fn parse_messages(json: &[u8]) -> Result<Prompt, String> {
    let value: Value = serde_json::from_slice(json).map_err(|e| format!("messages: {e}"))?;
    let Value::Array(items) = value else {
        return Err("messages: expected a JSON array".into());
    };
    let mut prompt = Prompt { texts: vec![], hashes: vec![], roles: vec![] };
    for (index, item) in items.iter().enumerate() {
        if !item.is_object() {
            return Err(format!("messages[{index}]: expected an object"));
        }
        prompt.texts.push(canonical(item));
        prompt.hashes.push(message_hash(item));
        prompt.roles.push(role_of(item));
    }
    Ok(prompt)
}

/// Returns how many leading messages of the prompt the stored history already contains.
///
/// A prompt that starts with the stored messages is a full history. A prompt that differs from them
/// but has an assistant's message, or starts with the same message and is not just one user
/// message, is refused: appending it would mix two conversations. Any other prompt counts as new
/// messages only.
pub fn compare_history(
    stored: &[[u8; HASH_LEN]],
    prompt: &Prompt,
) -> Result<usize, HistoryConflict> {
    if stored.is_empty() || prompt.hashes.is_empty() {
        return Ok(0);
    }
    if prompt.hashes.starts_with(stored) {
        return Ok(stored.len());
    }
    let same_start = prompt.hashes[0] == stored[0];
    let single_user = prompt.hashes.len() == 1 && prompt.roles[0] == Role::User;
    let answered = prompt.roles.contains(&Role::Assistant);
    if answered || (same_start && !single_user) {
        let equal = prompt.hashes.iter().zip(stored).take_while(|(a, b)| a == b).count();
        return Err(HistoryConflict { index: equal, stored: stored.len() });
    }
    Ok(0)
}

/// Extracts the assistant's message from a chat completion response.
///
/// A bare message is also accepted, so that stand-ins need no envelope.
pub(super) fn answer_message(body: &[u8]) -> Option<Value> {
    let mut value: Value = serde_json::from_slice(body).ok()?;
    if let Some(message) = value.pointer_mut("/choices/0/message") {
        return Some(message.take());
    }
    value.get("role").is_some().then_some(value)
}

/// Serialises a value with sorted object keys, so that equal values give equal bytes.
pub(super) fn canonical(value: &Value) -> Bytes {
    let mut out = BytesMut::new();
    write_canonical(value, &mut out);
    out.freeze()
}

/// Hashes a message's fields in canonical order, without nulls, empty lists and [`ENGINE_FIELDS`].
pub(super) fn message_hash(message: &Value) -> MessageHash {
    let mut kept = message.clone();
    if let Value::Object(fields) = &mut kept {
        fields.retain(|name, value| {
            let empty = value.is_null() || value.as_array().is_some_and(Vec::is_empty);
            !empty && !ENGINE_FIELDS.contains(&name.as_str())
        });
    }
    fingerprint(&[&canonical(&kept)])
}

/// Hashes a list of byte strings; their lengths are hashed too, so that boundaries matter.
pub(super) fn fingerprint(parts: &[&[u8]]) -> MessageHash {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.digest128().to_le_bytes()
}

/// Joins canonical messages with commas, the form in which the history stores them.
pub(super) fn join(texts: &[Bytes]) -> Bytes {
    let len = texts.iter().map(|text| text.len() + 1).sum();
    let mut out = BytesMut::with_capacity(len);
    for text in texts {
        if !out.is_empty() {
            out.put_u8(b',');
        }
        out.put_slice(text);
    }
    out.freeze()
}

fn role_of(message: &Value) -> Role {
    match message.get("role").and_then(Value::as_str) {
        Some("user") => Role::User,
        Some("assistant") => Role::Assistant,
        _ => Role::Other,
    }
}

fn write_canonical(value: &Value, out: &mut BytesMut) {
    match value {
        Value::Array(items) => {
            out.put_u8(b'[');
            for (i, item) in items.iter().enumerate() {
                if i > 0 {
                    out.put_u8(b',');
                }
                write_canonical(item, out);
            }
            out.put_u8(b']');
        }
        Value::Object(fields) => {
            let mut names: Vec<&String> = fields.keys().collect();
            names.sort();
            out.put_u8(b'{');
            for (i, name) in names.into_iter().enumerate() {
                if i > 0 {
                    out.put_u8(b',');
                }
                out.put_slice(Value::from(name.as_str()).to_string().as_bytes());
                out.put_u8(b':');
                write_canonical(&fields[name], out);
            }
            out.put_u8(b'}');
        }
        leaf => out.put_slice(leaf.to_string().as_bytes()),
    }
}
