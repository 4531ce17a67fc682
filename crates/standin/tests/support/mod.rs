//! A small HTTP client for the stand-ins' tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// A whole answer.
pub struct Answer {
    pub status: StatusCode,
    pub head: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    pub fn refused_before_start(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE && self.head.contains_key("x-not-started")
    }

    /// The text that a streamed answer carries, and whether the stream was whole.
    #[allow(dead_code, reason = "each test file is a crate and not all of them stream")]
    pub fn streamed(&self) -> (String, bool) {
        let text = String::from_utf8_lossy(&self.body);
        let events = text.lines().filter_map(|l| l.strip_prefix("data: "));
        let mut content = String::new();
        let mut whole = false;
        for event in events {
            whole = event == "[DONE]";
            let chunk: Value = serde_json::from_str(event).unwrap_or_default();
            content += chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        }
        (content, whole)
    }
}

/// Sends one request on a connection of its own; `None` when the connection broke.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Option<Answer> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).expect("a valid request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Answer { status: head.status, head: head.headers, body })
}
