//! Puts a streamed answer together, and guards the caller's stream against doubled tokens.

use serde_json::{Map, Value, json};

use gypsumglade_core::wire::program::Usage;

/// An answer as far as it has come, over one or more attempts.
#[derive(Clone, Debug, Default)]
pub struct AnswerBuilder {
    /// Text that the caller's stream already has.
    emitted: String,
    /// Text that the present attempt has produced.
    text: String,
    /// Chunks with text in the present attempt; one a token.
    tokens: u64,
    tool_calls: Vec<Value>,
    finish_reason: Option<Value>,
    usage: Option<Value>,
    model: Option<Value>,
}

/// What to do with one chunk of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum ChunkAction {
    /// Pass this chunk on.
    Forward(Value),
    /// The caller has it already, or it is held back until the answer is recorded.
    Hold,
    /// The attempt contradicts what the caller already has.
    Diverged,
}

impl AnswerBuilder {
    /// Starts another attempt, which may repeat what was emitted but not contradict it.
    pub fn restart(&mut self) {
        let emitted = std::mem::take(&mut self.emitted);
        *self = AnswerBuilder { emitted, ..AnswerBuilder::default() };
    }

    /// Returns how many tokens the present attempt has produced.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tells whether the caller has seen any of the answer.
    pub fn has_output(&self) -> bool {
        !self.emitted.is_empty()
    }

    /// Returns what is missing on the caller's stream of an answer that was recorded elsewhere.
    ///
    /// Nothing is missing for certain when the recorded text contradicts what was emitted.
    pub fn remaining_text<'a>(&self, answer: &'a Value) -> Option<&'a str> {
        let text = answer.pointer("/choices/0/message/content").and_then(Value::as_str)?;
        text.strip_prefix(self.emitted.as_str())
    }

    /// Takes in one chunk of the engine's stream.
    ///
    /// A second engine may word the answer otherwise. The caller must not get two halves of two
    /// answers, so a chunk is passed on only while the new text agrees with what was emitted.
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
            // Tool calls go out whole with the finish: a second attempt could repeat their pieces.
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

    /// Returns the whole answer in the published shape, once the engine has said that it is whole.
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

/// Most tool calls that one answer may ask for.
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

/// Reads usage from a whole answer, priced per token.
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

/// Returns the chunk that carries `text` of a recorded answer.
pub fn text_chunk(answer: &Value, text: &str) -> Value {
    let delta = json!({"role": "assistant", "content": text});
    chunk(answer, json!([{"index": 0, "delta": delta, "finish_reason": null}]))
}

/// Returns the chunks held back until the answer is recorded: tool calls, finish reason, usage.
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
