//! A caller of the demo: plain HTTP towards an entry VM, as any client library would speak it.

use std::net::SocketAddr;

use anyhow::Context as _;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

/// A program's view of the system.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entry: SocketAddr,
    api_key: String,
    /// True towards an engine itself, as a baseline.
    direct: bool,
}

/// An answer as it came over HTTP.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Returns the body as JSON, null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the answer's text, of a plain or streamed chat call.
    pub fn text(&self) -> String {
        let plain = self.json();
        if let Some(text) = plain.pointer("/choices/0/message/content").and_then(Value::as_str) {
            return text.to_owned();
        }
        let chunks = String::from_utf8_lossy(&self.body);
        let data = chunks.lines().filter_map(|line| line.strip_prefix("data: "));
        let values = data.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let text = |value: Value| {
            value.pointer("/choices/0/delta/content").and_then(Value::as_str).map(str::to_owned)
        };
        values.filter_map(text).collect()
    }
}

/// One chat call of a program.
#[derive(Clone, Debug, Default)]
pub struct ChatCall<'a> {
    /// Program id.
    pub program: &'a str,
    /// Agent program of the bundle.
    pub agent: &'a str,
    /// Turn number; zero leaves it out.
    pub turn: u64,
    /// Model.
    pub model: &'a str,
    /// What the user says.
    pub says: &'a str,
    /// Parent program, for a sub-agent.
    pub parent: Option<&'a str>,
    /// True for an urgent call.
    pub urgent: bool,
    /// True for a stream.
    pub stream: bool,
    /// Idempotency key.
    pub key: Option<&'a str>,
    /// Most tokens of the answer; zero for a short one.
    pub output: u64,
}

/// Tokens of a short answer.
const DEFAULT_OUTPUT: u64 = 24;

impl Caller {
    /// Creates a caller of the entry at `entry` with an organisation's API key.
    pub fn new(entry: SocketAddr, api_key: &str) -> Caller {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Caller { client, entry, api_key: api_key.to_owned(), direct: false }
    }

    /// Creates a caller that bypasses the system and calls the engine at `engine`.
    pub fn direct(engine: SocketAddr) -> Caller {
        Caller { direct: true, ..Caller::new(engine, "") }
    }

    /// Makes a chat call.
    ///
    /// # Errors
    /// Fails when no whole HTTP answer comes back.
    pub async fn chat(&self, call: &ChatCall<'_>) -> anyhow::Result<HttpAnswer> {
        let body = json!({
            "model": call.model,
            "messages": [{"role": "user", "content": call.says}],
            "max_tokens": if call.output == 0 { DEFAULT_OUTPUT } else { call.output },
            "stream": call.stream,
        });
        let mut headers = vec![
            ("x-program-id", call.program.to_owned()),
            ("x-program-agent", call.agent.to_owned()),
        ];
        if self.direct {
            headers.push(("x-dispatch-id", call.program.to_owned()));
        }
        if call.turn > 0 {
            headers.push(("x-program-turn", call.turn.to_string()));
        }
        if call.urgent {
            headers.push(("x-program-class", "urgent".to_owned()));
        }
        if let Some(parent) = call.parent {
            headers.push(("x-program-parent", parent.to_owned()));
        }
        if let Some(key) = call.key {
            headers.push(("idempotency-key", key.to_owned()));
        }
        self.send(Method::POST, "/v1/chat/completions", &headers, body.to_string()).await
    }

    /// Makes a call of a plain service.
    ///
    /// # Errors
    /// Fails when no whole HTTP answer comes back.
    pub async fn tool(
        &self,
        program: &str,
        agent: &str,
        path: &str,
        key: &str,
        body: Value,
    ) -> anyhow::Result<HttpAnswer> {
        let headers = [
            ("x-program-id", program.to_owned()),
            ("x-program-agent", agent.to_owned()),
            ("idempotency-key", key.to_owned()),
        ];
        self.send(Method::POST, &format!("/v1/tools/{path}"), &headers, body.to_string()).await
    }

    /// Ends a program.
    ///
    /// # Errors
    /// Fails when no whole HTTP answer comes back.
    pub async fn end(&self, program: &str) -> anyhow::Result<HttpAnswer> {
        self.send(Method::DELETE, &format!("/v1/programs/{program}"), &[], String::new()).await
    }

    /// Sends any request with the organisation's API key.
    ///
    /// # Errors
    /// Fails when no whole HTTP answer comes back.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: String,
    ) -> anyhow::Result<HttpAnswer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.entry))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.api_key));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(body)))?;
        let response = self.client.request(request).await.context("no answer from the entry")?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.context("the answer was cut short")?.to_bytes();
        Ok(HttpAnswer { status: head.status, headers: head.headers, body })
    }
}
