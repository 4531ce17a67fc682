//! Sends one call to the system and retries it with the same idempotency key.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use serde_json::Value;

use super::report::End;
use crate::client::HttpClient;
use crate::headers;

/// Shortest delay before a retry, used if the refusal names none.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a retry, whatever the refusal asks for.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Data of the last event of a streamed answer.
const DONE_EVENT: &str = "[DONE]";

/// An HTTP request to the system, which can be sent several times.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) uri: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) stream: bool,
}

/// Result of a call after its last attempt.
pub(super) struct Outcome {
    pub(super) end: End,
    /// Text of the model's answer.
    pub(super) text: String,
    pub(super) retries: u64,
    pub(super) elapsed: Duration,
    /// Arrival time of each token of a stream, from the call's start.
    pub(super) arrivals: Vec<Duration>,
}

/// Result of one attempt.
enum Attempt {
    Answered(String, Vec<Duration>),
    /// Not run. The call may be sent again after this delay.
    Refused(Duration),
    /// Refused as invalid; a retry would be refused too.
    Invalid,
    Unknown,
}

/// Sends a call and retries it after refusals, until it ends otherwise or no retries are left.
pub(super) async fn send(client: &HttpClient, call: &Call, retries: u32) -> Outcome {
    let start = Instant::now();
    let mut outcome = Outcome {
        end: End::Refused,
        text: String::new(),
        retries: 0,
        elapsed: Duration::ZERO,
        arrivals: Vec::new(),
    };
    for attempt in 0..=retries {
        match attempt_once(client, call, start).await {
            Attempt::Answered(text, arrivals) => {
                outcome = Outcome { end: End::Finished, text, arrivals, ..outcome };
                break;
            }
            Attempt::Unknown => {
                outcome.end = End::Unknown;
                break;
            }
            Attempt::Refused(delay) if attempt < retries => {
                outcome.retries += 1;
                tokio::time::sleep(delay).await;
            }
            Attempt::Refused(_) => {}
            Attempt::Invalid => break,
        }
    }
    outcome.elapsed = start.elapsed();
    outcome
}

async fn attempt_once(client: &HttpClient, call: &Call, start: Instant) -> Attempt {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    let Ok(uri) = call.uri.parse() else {
        return Attempt::Refused(RETRY_DELAY);
    };
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers.clone();
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Attempt::Refused(RETRY_DELAY),
        Err(_) => return Attempt::Unknown,
    };
    if !response.status().is_success() {
        return read_refusal(response.status(), response.headers().clone(), response.into_body())
            .await;
    }
    let body = response.into_body();
    if call.stream { read_stream(body, start).await } else { read_whole(body).await }
}

async fn read_refusal(status: StatusCode, head: HeaderMap, body: Incoming) -> Attempt {
    let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    let error: Value = serde_json::from_slice(&body).unwrap_or_default();
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        return Attempt::Invalid;
    }
    if error["error"]["outcome"] != "not-run" && !head.contains_key(headers::NOT_STARTED) {
        return Attempt::Unknown;
    }
    let seconds: u64 = headers::number(&head, header::RETRY_AFTER.as_str());
    let millis = error["error"]["retry_after_ms"].as_u64().unwrap_or(seconds * 1_000);
    let delay = Duration::from_millis(millis).clamp(RETRY_DELAY, MAX_RETRY_DELAY);
    Attempt::Refused(delay)
}

async fn read_whole(body: Incoming) -> Attempt {
    let Ok(body) = body.collect().await else {
        return Attempt::Unknown;
    };
    let answer: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let text = answer["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    Attempt::Answered(text.to_owned(), Vec::new())
}

/// Reads a streamed answer. The outcome is unknown if the stream ends without its last event.
async fn read_stream(mut body: Incoming, start: Instant) -> Attempt {
    let mut buffer = BytesMut::new();
    let mut text = String::new();
    let mut arrivals = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Attempt::Unknown;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(event) = next_event(&mut buffer) {
            if event == DONE_EVENT {
                return Attempt::Answered(text, arrivals);
            }
            let chunk: Value = serde_json::from_str(&event).unwrap_or_default();
            if let Some(token) = chunk["choices"][0]["delta"]["content"].as_str() {
                text += token;
                arrivals.push(start.elapsed());
            }
        }
    }
    Attempt::Unknown
}

/// Removes lines from the buffer up to the next `data:` line and returns its data.
///
/// Returns `None` if the buffer has no more complete lines.
fn next_event(buffer: &mut BytesMut) -> Option<CompactString> {
    loop {
        let end = buffer.iter().position(|b| *b == b'\n')?;
        let line = buffer.split_to(end + 1);
        let line = String::from_utf8_lossy(&line);
        if let Some(data) = line.trim_end().strip_prefix("data:") {
            return Some(data.trim_start().into());
        }
    }
}
