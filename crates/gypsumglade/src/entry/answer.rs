//! Assembles streamed answers, and keeps retries from repeating text on the caller's stream.

use serde_json::{Map, Value, json};

use gypsumglade_core::wire::program::Usage;

/// Builds an answer from the chunks of one or more attempts.
#[derive(Clone, Debug, Default)]
pub struct AnswerBuilder {
    /// Text already sent to the caller.
    emitted: String,
    /// Text of the current attempt.
    text: String,
    /// Chunks with text in the current attempt, counted as one token each.
    tokens: u64,
    tool_calls: Vec<Value>,
    finish_reason: Option<Value>,
    usage: Option<Value>,
    model: Option<Value>,
}

/// What to do with a chunk of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ChunkAction {
    /// Forward this chunk to the caller.
    Forward(Value),
    /// Don't forward: the caller already has the text, or it is held back until the answer is
    /// recorded.
    Hold,
    /// The attempt's text differs from what the caller already has.
    Diverged,
}

impl AnswerBuilder {
    /// Starts another attempt, whose text must agree with what was sent to the caller.
    pub fn restart(&mut self) {
        let emitted = std::mem::take(&mut self.emitted);
        *self = AnswerBuilder { emitted, ..AnswerBuilder::default() };
    }

    /// Returns the number of tokens in the current attempt.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns true if some text was sent to the caller.
    pub fn has_output(&self) -> bool {
        !self.emitted.is_empty()
    }

    /// Returns the text of a recorded answer that the caller doesn't have yet.
    ///
    /// Returns `None` when the answer has no text or its text differs from what was sent.
    pub fn remaining_text<'a>(&self, answer: &'a Value) -> Option<&'a str> {
        let text = answer.pointer("/choices/0/message/content").and_then(Value::as_str)?;
        text.strip_prefix(self.emitted.as_str())
    }

    /// Adds a chunk of the engine's stream.
    ///
    /// Another engine may generate a different text. A chunk is forwarded only while the attempt's
    /// text agrees with what was sent, so that the caller never gets parts of two answers.
    pub fn push_chunk(&mut self, mut chunk: Value) -> ChunkAction {
        if let Some(usage) = chunk.get("usage").filter(|usage| !usage.is_null()) {
            self.usage = Some(usage.clone());
        }
        if self.model.is_none() {
            self.model = chunk.get("model").cloned();
        }
        let Some(choice) = chunk.pointer_mut("/choices/0") else { return ChunkAction::Hold };
        if let Some(reason) = choice.get("finish_reason").filter(|reason| !reason.is_null()) {
            self.finish_reason = Some(reason.clone());
            choice["finish_reason"] = Value::Null;
        }
        let tool_calls = choice.pointer("/delta/tool_calls").and_then(Value::as_array).cloned();
        self.merge_tool_calls(tool_calls.as_deref().unwrap_or_default());
        let text = choice.pointer("/delta/content").and_then(Value::as_str).unwrap_or_default();
        if text.is_empty() {
            // Tool calls are sent whole at the end, since a retry could repeat parts of them.
            return ChunkAction::Hold;
        }
        let text = text.to_owned();
        self.tokens += 1;
        self.text.push_str(&text);
        self.forward_new_text(chunk, &text)
    }

    fn forward_new_text(&mut self, mut chunk: Value, text: &str) -> ChunkAction {
        let agreed = self.text.len().min(self.emitted.len());
        if self.text.as_bytes()[..agreed] != self.emitted.as_bytes()[..agreed] {
            return ChunkAction::Diverged;
        }
        let new_bytes = self.text.len().saturating_sub(self.emitted.len());
        if new_bytes == 0 {
            return ChunkAction::Hold;
        }
        let kept = text.len().min(new_bytes);
        let new = text[text.len() - kept..].to_owned();
        if !self.has_output() {
            chunk["choices"][0]["delta"]["role"] = "assistant".into();
        }
        self.emitted.push_str(&new);
        chunk["choices"][0]["delta"]["content"] = Value::String(new);
        ChunkAction::Forward(chunk)
    }

    fn merge_tool_calls(&mut self, deltas: &[Value]) {
        for delta in deltas {
            let index = delta.get("index").and_then(Value::as_u64).unwrap_or(0) as usize;
            if index >= MAX_TOOL_CALLS {
                continue;
            }
            while self.tool_calls.len() <= index {
                self.tool_calls.push(json!({"type": "function", "function": {"arguments": ""}}));
            }
            merge_tool_call(&mut self.tool_calls[index], delta);
        }
    }

    /// Returns the answer in the OpenAI chat format, or `None` without a finish reason.
    pub fn complete(&self, dispatch: &str, created: u64) -> Option<Value> {
        let finish_reason = self.finish_reason.clone()?;
        let mut message = Map::new();
        message.insert("role".into(), "assistant".into());
        message.insert("content".into(), self.text.clone().into());
        if !self.tool_calls.is_empty() {
            message.insert("tool_calls".into(), self.tool_calls.clone().into());
        }
        Some(json!({
            "id": format!("chatcmpl-{dispatch}"),
            "object": "chat.completion",
            "created": created,
            "model": self.model,
            "choices": [{"index": 0, "message": message, "finish_reason": finish_reason}],
            "usage": self.usage,
        }))
    }
}

/// Most tool calls kept of one answer; bounds memory against a bad index.
const MAX_TOOL_CALLS: usize = 128;

fn merge_tool_call(call: &mut Value, delta: &Value) {
    if let Some(id) = delta.get("id") {
        call["id"] = id.clone();
    }
    if let Some(name) = delta.pointer("/function/name") {
        call["function"]["name"] = name.clone();
    }
    if let Some(more) = delta.pointer("/function/arguments").and_then(Value::as_str) {
        let so_far = call["function"]["arguments"].as_str().unwrap_or_default();
        call["function"]["arguments"] = format!("{so_far}{more}").into();
    }
}

/// Returns the usage that a complete answer reports, with its price.
pub fn usage_of(answer: &Value, input_micros: u64, output_micros: u64) -> Usage {
    let count = |path: &str| answer.pointer(path).and_then(Value::as_u64).unwrap_or(0);
    let prompt_tokens = count("/usage/prompt_tokens");
    let output_tokens = count("/usage/completion_tokens");
    Usage {
        prompt_tokens,
        output_tokens,
        micros: prompt_tokens
            .saturating_mul(input_micros)
            .saturating_add(output_tokens.saturating_mul(output_micros)),
        cached_tokens: count("/usage/prompt_tokens_details/cached_tokens"),
    }
}

/// Returns a chunk with `text` for the stream of a recorded answer.
pub fn text_chunk(answer: &Value, text: &str) -> Value {
    let delta = json!({"role": "assistant", "content": text});
    chunk(answer, json!([{"index": 0, "delta": delta, "finish_reason": null}]))
}

/// Returns the last chunks of a recorded answer: tool calls, finish reason and optionally usage.
pub fn final_chunks(answer: &Value, include_usage: bool) -> Vec<Value> {
    let reason = answer.pointer("/choices/0/finish_reason").cloned().unwrap_or("stop".into());
    let mut delta = Map::new();
    let tool_calls = answer.pointer("/choices/0/message/tool_calls").and_then(Value::as_array);
    if let Some(tool_calls) = tool_calls {
        delta.insert("tool_calls".into(), tool_calls.iter().enumerate().map(with_index).collect());
    }
    let choices = json!([{"index": 0, "delta": delta, "finish_reason": reason}]);
    let mut chunks = vec![chunk(answer, choices)];
    if include_usage {
        let mut last = chunk(answer, json!([]));
        last["usage"] = answer["usage"].clone();
        chunks.push(last);
    }
    chunks
}

fn with_index((index, call): (usize, &Value)) -> Value {
    let mut call = call.clone();
    call["index"] = index.into();
    call
}

fn chunk(answer: &Value, choices: Value) -> Value {
    json!({
        "id": answer["id"],
        "object": "chat.completion.chunk",
        "created": answer["created"],
        "model": answer["model"],
        "choices": choices,
    })
}
