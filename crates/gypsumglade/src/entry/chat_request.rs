//! Parses chat requests in the OpenAI format. Unknown members are passed through to the engine.

use bytes::Bytes;
use serde_json::{Map, Value};
use sha2::{Digest as _, Sha256};

use super::problem::{Problem, ProblemKind};
use gypsumglade_core::prelude::*;

/// Output limit of a call that sets none, in tokens.
const DEFAULT_OUTPUT: u64 = 1_024;

/// A parsed chat request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    /// Name of the requested model.
    pub model: CompactString,
    /// Messages, as an encoded JSON array.
    pub messages: Bytes,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a streamed answer ends with a usage chunk.
    pub include_usage: bool,
    /// Output limit, in tokens.
    pub max_output: u64,
    other_fields: Map<String, Value>,
}

impl ChatRequest {
    /// Parses and checks a request body.
    ///
    /// # Errors
    /// Fails when a member is invalid, and says what is allowed.
    pub fn parse(body: &[u8]) -> Result<ChatRequest, Problem> {
        let mut other_fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| invalid(&format!("the body is not a JSON object: {error}")))?;
        let model = match other_fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => model.into(),
            _ => return Err(invalid("`model` must be a model name that is not empty")),
        };
        let messages = match other_fields.remove("messages") {
            Some(Value::Array(list)) if valid_messages(&list) => Value::Array(list),
            _ => {
                return Err(invalid(
                    "`messages` must be a non-empty list of objects with a `role`",
                ));
            }
        };
        let stream = flag(other_fields.remove("stream"), "stream")?;
        let include_usage = match other_fields.remove("stream_options") {
            Some(Value::Object(options)) => {
                flag(options.get("include_usage").cloned(), "stream_options.include_usage")?
            }
            None | Some(Value::Null) => false,
            Some(_) => return Err(invalid("`stream_options` must be an object")),
        };
        let max_output = output_limit(&other_fields)?;
        Ok(ChatRequest {
            model,
            messages: encode(&messages),
            stream,
            include_usage,
            max_output,
            other_fields,
        })
    }

    /// Returns the digest of the request without its messages and stream options, to detect a key
    /// that is reused for another request.
    ///
    /// The stream options are left out, so that a resend may change them.
    pub fn digest(&self) -> Bytes {
        let mut hash = Sha256::new();
        hash.update(encode(&Value::Object(self.other_fields.clone())));
        Bytes::copy_from_slice(&hash.finalize())
    }

    /// Returns the body for the engine: the history, the granted output limit and the members that
    /// are passed through.
    ///
    /// # Errors
    /// Fails when the stored history is not valid JSON.
    pub fn engine_body(&self, history: &[u8], max_output: u64) -> anyhow::Result<Bytes> {
        let mut body = self.other_fields.clone();
        body.remove("max_completion_tokens");
        body.insert("messages".into(), serde_json::from_slice(history)?);
        body.insert("max_tokens".into(), max_output.into());
        body.insert("stream".into(), self.stream.into());
        if self.stream {
            body.insert("stream_options".into(), serde_json::json!({"include_usage": true}));
        }
        Ok(encode(&Value::Object(body)))
    }
}

fn output_limit(other_fields: &Map<String, Value>) -> Result<u64, Problem> {
    let given =
        other_fields.get("max_completion_tokens").or_else(|| other_fields.get("max_tokens"));
    match given {
        None | Some(Value::Null) => Ok(DEFAULT_OUTPUT),
        Some(value) => match value.as_u64() {
            Some(count) if count > 0 => Ok(count),
            _ => Err(invalid("`max_tokens` must be a whole number above zero")),
        },
    }
}

fn valid_messages(list: &[Value]) -> bool {
    !list.is_empty() && list.iter().all(|message| message.get("role").is_some_and(Value::is_string))
}

fn flag(value: Option<Value>, name: &str) -> Result<bool, Problem> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(flag),
        Some(_) => Err(invalid(&format!("`{name}` must be true or false"))),
    }
}

fn invalid(message: &str) -> Problem {
    Problem::not_run(ProblemKind::BadRequest, message)
}

fn encode(value: &Value) -> Bytes {
    // Writing a JSON value to memory cannot fail.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}
