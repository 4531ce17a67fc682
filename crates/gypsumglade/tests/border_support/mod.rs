//! A system with three organisations, and a caller that sends arbitrary bytes over a plain socket.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gypsumglade::admin::ControlClient;
use gypsumglade::embedded::{Embedded, wait_until};
use gypsumglade::operator;
use gypsumglade::settings::{OperatorSettings, Settings};
use gypsumglade_core::bundle::{Digest, KeyPair};
use gypsumglade_core::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::Value;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// API key of the first organisation.
pub const OURS: &str = "the key of the first organisation";
/// API key of the second organisation.
pub const THEIRS: &str = "the key of the second organisation";
/// API key of an organisation that may send two requests.
pub const LIMITED: &str = "the key of the limited organisation";
/// Environment variable with the number of cases, for long runs.
const CASES_VARIABLE: &str = "GYPSUMGLADE_CASES";
/// Bound on waits for the system, which only a hang exceeds.
const PATIENCE: Duration = Duration::from_secs(30);

/// Returns a property's settings: a fixed seed, and `cases` unless the environment sets more.
pub fn config(seed: u64, cases: u32) -> Config {
    let asked = std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok());
    Config {
        cases: asked.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A running store and entry.
pub struct System {
    pub embedded: Embedded,
    pub settings: Settings,
    _folder: TempDir,
}

impl System {
    /// Starts a system without a bundle.
    pub async fn bare() -> System {
        System::start(KeyPair::from_seed([1; 32])).await
    }

    /// Starts a system with a bundle in force and no endpoint.
    pub async fn rolled() -> System {
        let key = KeyPair::from_seed([1; 32]);
        let system = System::start(KeyPair::from_seed([1; 32])).await;
        let state = system.embedded.entry.state();
        let control =
            ControlClient { directory: Arc::clone(&state.directory), peers: state.peers.clone() };
        let signed = operator::sign(&bundle(), &key).expect("the bundle is sound");
        let command = operator::accept_command(&signed, RevisionNumber(0), "border");
        let command = command.expect("the bundle is sound");
        operator::submit(&control, command).await.expect("the control group answers");
        let ready = async || state.config.active(state.clock.now()).is_ok();
        assert!(wait_until(PATIENCE, ready).await, "the bundle is not in force");
        system
    }

    async fn start(key: KeyPair) -> System {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let mut settings = Settings::embedded(folder.path());
        let keys = vec![key.public().to_compact_string()];
        settings.operators = OperatorSettings { keys, threshold: 1 };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let embedded = Embedded::start(settings.clone(), log).await.expect("the system starts");
        System { embedded, settings, _folder: folder }
    }

    /// Returns the callers' address.
    pub fn callers(&self) -> SocketAddr {
        self.embedded.entry.addresses().callers
    }
}

fn bundle() -> String {
    let mut text = include_str!("../../src/demo/bundle.yaml")
        .replace("KEY_DIGEST", &Digest::of(OURS.as_bytes()).to_string());
    let line = format!(
        "  - {{ name: other, key_digest: \"{}\", share: 1, agents: [kit-planner] }}\n  \
         - {{ name: small, key_digests: [\"{}\"], agents: [kit-planner], \
         limit: {{ per_second: 0.001, burst: 2 }} }}\npolicy:",
        Digest::of(THEIRS.as_bytes()),
        Digest::of(LIMITED.as_bytes())
    );
    text = text.replace("policy:", &line);
    text
}

/// A request as bytes on the wire.
#[derive(Clone, Debug)]
pub struct Raw {
    pub method: String,
    pub path: Vec<u8>,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Raw {
    /// Returns a chat call of our organisation with this body.
    pub fn chat(body: impl Into<Vec<u8>>) -> Raw {
        Raw::new("POST", "/v1/chat/completions").header("authorization", bearer(OURS)).body(body)
    }

    /// Returns a request without headers or body.
    pub fn new(method: &str, path: impl Into<Vec<u8>>) -> Raw {
        Raw { method: method.to_owned(), path: path.into(), headers: vec![], body: vec![] }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<Vec<u8>>) -> Raw {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Raw {
        self.body = body.into();
        self
    }

    /// Sends the request and reads the whole answer.
    pub async fn send(&self, address: SocketAddr) -> Answer {
        let mut bytes = format!("{} ", self.method).into_bytes();
        bytes.extend_from_slice(&self.path);
        bytes.extend_from_slice(b" HTTP/1.1\r\nhost: border\r\nconnection: close\r\n");
        for (name, value) in &self.headers {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", self.body.len()).as_bytes());
        bytes.extend_from_slice(&self.body);
        let exchange = exchange(address, bytes);
        let answer = tokio::time::timeout(PATIENCE, exchange).await.expect("the answer comes");
        Answer::read(&answer)
    }
}

async fn exchange(address: SocketAddr, request: Vec<u8>) -> Vec<u8> {
    let stream = TcpStream::connect(address).await.expect("the listener is up");
    let (mut reader, mut writer) = stream.into_split();
    // A listener may answer and close before it has read the body.
    let writing = tokio::spawn(async move {
        let _ = writer.write_all(&request).await;
        writer
    });
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(count) = reader.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..count]);
    }
    writing.abort();
    answer
}

/// Returns the header value of an API key or token.
pub fn bearer(token: &str) -> String {
    format!("Bearer {token}")
}

/// An answer as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Value,
}

impl Answer {
    fn read(bytes: &[u8]) -> Answer {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        let body = serde_json::from_str(body).unwrap_or(Value::Null);
        Answer { status, head: head.to_ascii_lowercase(), body }
    }

    /// Returns a member of the error, or an empty text if the body has another format.
    pub fn error(&self, member: &str) -> &str {
        self.body["error"][member].as_str().unwrap_or("")
    }

    /// Returns what is wrong with the answer to an invalid request.
    pub fn fault(&self) -> Option<String> {
        let members = ["code", "message", "advice", "outcome"];
        let shaped = members.iter().all(|member| !self.error(member).is_empty());
        let client_error = (400..500).contains(&self.status);
        let told = self.head.contains("x-program-outcome: not-run");
        let sound = shaped && client_error && told && self.error("outcome") == "not-run";
        (!sound).then(|| format!("{} {}", self.head, self.body))
    }
}
