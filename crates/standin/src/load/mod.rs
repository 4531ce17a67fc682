//! Load generator: runs programs of several turns and measures latencies as callers see them.

mod call;
mod report;
mod settings;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use serde_json::{Value, json};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

pub use self::report::{Latency, LoadReport};
pub use self::settings::{Arrivals, LoadSettings};

use self::call::{Call, Outcome, send};
use self::report::{End, Recorder};
use crate::client::{self, HttpClient};

/// State shared by the programs of one load run.
struct Run {
    settings: LoadSettings,
    client: HttpClient,
    recorder: Mutex<Recorder>,
}

/// Runs all programs and returns the measurements.
///
/// # Errors
///
/// Fails if no base URL is set, a setting is not a valid header value, or a program panics.
pub async fn run(settings: LoadSettings) -> anyhow::Result<LoadReport> {
    anyhow::ensure!(!settings.base_urls.is_empty(), "name at least one base URL");
    let start = Instant::now();
    let arrivals = settings.arrivals;
    let programs = settings.programs;
    let recorder = Mutex::new(Recorder::new());
    let run = Arc::new(Run { settings, client: client::new(), recorder });
    // Reports invalid settings before any program starts.
    run.headers("trial", "trial")?;
    let mut tasks = JoinSet::new();
    match arrivals {
        Arrivals::Closed(limit) => {
            let permits = Arc::new(Semaphore::new(limit.max(1)));
            for number in 0..programs {
                let permit = Arc::clone(&permits).acquire_owned().await?;
                let run = Arc::clone(&run);
                tasks.spawn(async move {
                    run.run_program(number).await;
                    drop(permit);
                });
            }
        }
        Arrivals::Open(rate) => {
            let interval = Duration::from_secs_f64(1.0 / rate.max(0.001));
            let mut ticks = tokio::time::interval(interval);
            for number in 0..programs {
                ticks.tick().await;
                let run = Arc::clone(&run);
                tasks.spawn(async move { run.run_program(number).await });
            }
        }
    }
    while let Some(ended) = tasks.join_next().await {
        ended.context("a program's task failed")?;
    }
    Ok(run.lock().finish(start.elapsed()))
}

impl Run {
    fn lock(&self) -> std::sync::MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Runs one program and records its result.
    async fn run_program(&self, number: u64) {
        self.lock().report.begun += 1;
        let name = format!("{}-{number}", self.settings.prefix);
        let start = Instant::now();
        let end = self.run_turns(number, &name).await;
        {
            let mut recorder = self.lock();
            recorder.end(end);
            if end == End::Finished {
                recorder.program.add(start.elapsed());
            }
        }
        self.end_program(number, &name).await;
    }

    async fn run_turns(&self, number: u64, name: &str) -> End {
        for turn in 1..=self.settings.turns {
            let Ok(call) = self.chat_call(number, name, turn) else {
                return End::Refused;
            };
            let outcome = self.send(&call).await;
            if outcome.end != End::Finished {
                return outcome.end;
            }
            if self.settings.tool.is_empty() {
                continue;
            }
            let Ok(call) = self.tool_call(number, name, turn) else {
                return End::Refused;
            };
            let end = self.send(&call).await.end;
            if end != End::Finished {
                return end;
            }
        }
        End::Finished
    }

    /// Sends a call and records its latencies if it was answered.
    async fn send(&self, call: &Call) -> Outcome {
        let outcome = send(&self.client, call, self.settings.retries).await;
        let mut recorder = self.lock();
        recorder.report.retries += outcome.retries;
        if outcome.end != End::Finished {
            return outcome;
        }
        recorder.report.calls += 1;
        recorder.report.tokens += outcome.text.split_whitespace().count() as u64;
        recorder.call.add(outcome.elapsed);
        if let Some(first) = outcome.arrivals.first() {
            recorder.first_token.add(*first);
        }
        for pair in outcome.arrivals.windows(2) {
            recorder.token_gap.add(pair[1] - pair[0]);
        }
        drop(recorder);
        outcome
    }

    /// Ends the program, so that the system frees what it holds for the program.
    async fn end_program(&self, number: u64, name: &str) {
        let uri = format!("{}/v1/programs/{name}", self.base_url(number));
        let Ok(headers) = self.headers(name, "end") else {
            return;
        };
        let method = Method::DELETE;
        let call = Call { method, uri, headers, body: Bytes::new(), stream: false };
        // If this call fails, the program ends by its idle timeout.
        send(&self.client, &call, self.settings.retries).await;
    }

    fn chat_call(&self, number: u64, name: &str, turn: u64) -> anyhow::Result<Call> {
        let settings = &self.settings;
        let words: Vec<String> =
            (0..settings.prompt_words).map(|w| format!("{name}-{turn}-{w}")).collect();
        let mut body = json!({
            "model": settings.model,
            "messages": [{"role": "user", "content": words.join(" ")}],
            "max_tokens": settings.max_tokens,
            "stream": settings.stream,
        });
        if settings.stream {
            body["stream_options"] = json!({"include_usage": true});
        }
        let mut headers = self.headers(name, &format!("{name}-turn-{turn}"))?;
        headers.insert("x-program-turn", HeaderValue::from(turn));
        Ok(self.post(number, "/v1/chat/completions", headers, &body, settings.stream))
    }

    fn tool_call(&self, number: u64, name: &str, turn: u64) -> anyhow::Result<Call> {
        let headers = self.headers(name, &format!("{name}-tool-{turn}"))?;
        let path = format!("/v1/tools/{}", self.settings.tool);
        Ok(self.post(number, &path, headers, &json!({"program": name, "turn": turn}), false))
    }

    fn post(
        &self,
        number: u64,
        path: &str,
        headers: HeaderMap,
        body: &Value,
        stream: bool,
    ) -> Call {
        let uri = format!("{}{path}", self.base_url(number));
        Call { method: Method::POST, uri, headers, body: Bytes::from(body.to_string()), stream }
    }

    fn base_url(&self, number: u64) -> &str {
        let base_urls = &self.settings.base_urls;
        &base_urls[number as usize % base_urls.len()]
    }

    fn headers(&self, program: &str, key: &str) -> anyhow::Result<HeaderMap> {
        let settings = &self.settings;
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {}", settings.api_key);
        headers.insert(header::AUTHORIZATION, HeaderValue::from_str(&bearer)?);
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert("x-program-id", HeaderValue::from_str(program)?);
        let name = HeaderName::from_static("idempotency-key");
        headers.insert(name, HeaderValue::from_str(key)?);
        if !settings.agent.is_empty() {
            headers.insert("x-program-agent", HeaderValue::from_str(&settings.agent)?);
        }
        Ok(headers)
    }
}
