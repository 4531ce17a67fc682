//! HTTP interface of the engine.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::{SystemTime, UNIX_EPOCH};

use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use compact_str::{CompactString, format_compact};
use futures::stream::{self, Stream};
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::chat::{
    Answer, ChatRequest, Choice, Chunk, ChunkChoice, Completion, Delta, answer_tokens,
};
use super::run::{self, Progress, Reader, Run};
use super::state::Shared;
use super::stats::{DispatchStats, ProgramMemory, RunState};
use super::{kv, orders};
use crate::announce::{Load, ModelVersion};
use crate::headers::{self, Refusal};

/// Text in a message that makes the engine crash while the call is in flight.
pub const CRASH_MARKER: &str = "#crash-engine";
/// Largest accepted request body, in bytes, which leaves room for an imported KV cache.
const MAX_BODY_BYTES: usize = 256 << 20;

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/dispatches/{id}", delete(cancel))
        .route("/v1/programs", get(programs))
        .route("/v1/programs/release", post(release))
        .route("/v1/kv/{*program}", get(kv::export).put(kv::import))
        .route("/v1/orders", post(orders::order))
        .route("/v1/load", get(load))
        .route("/v1/stats", get(stats))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(shared)
}

async fn chat(State(shared): State<Arc<Shared>>, head: HeaderMap, body: Bytes) -> Response {
    let given = headers::text(&head, headers::DISPATCH).map(CompactString::from);
    let dispatch = given.unwrap_or_else(|| shared.local_id());
    let mut response = answer(&shared, &head, &dispatch, &body).await;
    headers::echo_dispatch(&mut response, &dispatch);
    response
}

async fn answer(shared: &Arc<Shared>, head: &HeaderMap, dispatch: &str, body: &[u8]) -> Response {
    let request: ChatRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return Refusal::bad_request(&error.to_string()).into_response(),
    };
    let resume: Option<usize> =
        headers::text(head, headers::RESUME_FROM).and_then(|t| t.parse().ok());
    let started = match resume {
        Some(_) => resume_run(shared, dispatch),
        None => start(shared, head, dispatch, &request).await,
    };
    let reader = match started {
        Ok(reader) => reader,
        Err(refusal) => return refusal.into_response(),
    };
    if request.stream {
        let include_usage = request.stream_options.include_usage;
        return Sse::new(events(reader, request.model, resume.unwrap_or(0), include_usage))
            .into_response();
    }
    whole_response(reader, request.model).await
}

fn resume_run(shared: &Shared, dispatch: &str) -> Result<Reader, Refusal> {
    let mut state = shared.lock();
    let Some(run) = state.runs.get(dispatch).map(Arc::clone) else {
        let message = "the dispatch is unknown or can no longer be resumed";
        return Err(Refusal::new(StatusCode::NOT_FOUND, "dispatch_not_found", message));
    };
    state.counts.resumed += 1;
    Ok(Reader::new(run))
}

/// Waits for a slot and starts the generation, or refuses the call without starting anything.
async fn start(
    shared: &Arc<Shared>,
    head: &HeaderMap,
    dispatch: &str,
    request: &ChatRequest,
) -> Result<Reader, Refusal> {
    let version = headers::text(head, headers::MODEL_VERSION);
    let priority: i64 = headers::number(head, headers::PRIORITY);
    admit(shared, request, version)?;
    let Some(slot) = shared.slots.acquire(priority).await else {
        return Err(refuse(shared, "full", "the queue is full"));
    };
    // The engine may have started to leave, or unloaded the model, during the wait.
    let model = admit(shared, request, version)?;
    let program = headers::text(head, headers::PROGRAM).unwrap_or_default();
    let run = Arc::new(prepare(shared, dispatch, program, request, model));
    record(shared, &run, priority, request);
    let reader = Reader::new(Arc::clone(&run));
    tokio::spawn(run::generate(Arc::clone(shared), run, slot));
    Ok(reader)
}

fn admit(
    shared: &Shared,
    request: &ChatRequest,
    version: Option<&str>,
) -> Result<ModelVersion, Refusal> {
    let (leaving, model) = {
        let state = shared.lock();
        (state.leaving, state.model(request, version))
    };
    if leaving {
        return Err(refuse(shared, "leaving", "the engine is leaving"));
    }
    model.ok_or_else(|| refuse(shared, "model_not_loaded", "the model is not loaded here"))
}

fn refuse(shared: &Shared, code: &'static str, message: &str) -> Refusal {
    shared.lock().counts.refused += 1;
    Refusal::not_started(code, message)
}

fn prepare(
    shared: &Shared,
    dispatch: &str,
    program: &str,
    request: &ChatRequest,
    model: ModelVersion,
) -> Run {
    let parts = request.parts();
    let cached_tokens = match program.is_empty() {
        true => 0,
        false => shared.lock().cache.matched_tokens(program, &model, &parts),
    };
    let answer_length = shared.settings.answer_tokens;
    Run {
        dispatch: dispatch.into(),
        program: program.into(),
        model,
        parts,
        tokens: answer_tokens(&request.messages, answer_length.min(request.token_limit())),
        cached_tokens,
        truncated: request.token_limit() < answer_length,
        crash: request.contains(CRASH_MARKER),
        cancel: CancellationToken::new(),
        progress: watch::Sender::new(Progress::default()),
        readers: AtomicUsize::new(0),
    }
}

fn record(shared: &Shared, run: &Arc<Run>, priority: i64, request: &ChatRequest) {
    let usage = run.usage(0);
    let mut state = shared.lock();
    state.counts.started += 1;
    state.counts.reused_tokens += run.cached_tokens;
    state.counts.filled_tokens += usage.prompt_tokens - run.cached_tokens;
    state.history.begin(DispatchStats {
        dispatch: run.dispatch.clone(),
        program: run.program.clone(),
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: run.cached_tokens,
        priority,
        fields: request.others.keys().map(CompactString::from).collect(),
        ..DispatchStats::default()
    });
    state.runs.insert(run.dispatch.clone(), Arc::clone(run));
}

async fn whole_response(reader: Reader, model: CompactString) -> Response {
    let mut progress = reader.run.progress.subscribe();
    // The wait can't fail, since the run owns the sender.
    let _ = progress.wait_for(|p| p.state != RunState::Running).await;
    let last = *progress.borrow();
    if last.state == RunState::Cancelled {
        let message = "the dispatch was cancelled";
        return Refusal::new(StatusCode::CONFLICT, "cancelled", message).into_response();
    }
    let run = &reader.run;
    let message = Answer { role: "assistant", content: run.tokens.join(" ") };
    let choice = Choice { index: 0, message, finish_reason: run.finish_reason() };
    Json(Completion {
        id: format_compact!("chatcmpl-{}", run.dispatch),
        object: "chat.completion",
        created: seconds_now(),
        model,
        choices: [choice],
        usage: run.usage(last.emitted),
    })
    .into_response()
}

/// Next event of a stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Role,
    Tokens(usize),
    Finish,
    Usage,
    End,
    Closed,
}

struct Cursor {
    reader: Reader,
    progress: watch::Receiver<Progress>,
    model: CompactString,
    stage: Stage,
    skipped: usize,
    include_usage: bool,
}

/// Streams the answer without its first `skipped` tokens.
fn events(
    reader: Reader,
    model: CompactString,
    skipped: usize,
    include_usage: bool,
) -> impl Stream<Item = Result<Event, Infallible>> {
    let progress = reader.run.progress.subscribe();
    let cursor = Cursor { reader, progress, model, stage: Stage::Role, skipped, include_usage };
    stream::unfold(cursor, |mut cursor| async move {
        let event = cursor.next().await?;
        Some((Ok(event), cursor))
    })
}

impl Cursor {
    async fn next(&mut self) -> Option<Event> {
        match self.stage {
            Stage::Role => {
                self.stage = Stage::Tokens(self.skipped);
                let delta = Delta { role: Some("assistant"), content: None };
                Some(self.choice(delta, None))
            }
            Stage::Tokens(from) => self.tokens(from).await,
            Stage::Finish => {
                self.stage = if self.include_usage { Stage::Usage } else { Stage::End };
                Some(self.choice(Delta::default(), Some(self.reader.run.finish_reason())))
            }
            Stage::Usage => {
                self.stage = Stage::End;
                Some(self.chunk(Vec::new(), true))
            }
            Stage::End => {
                self.stage = Stage::Closed;
                Some(Event::default().data("[DONE]"))
            }
            Stage::Closed => None,
        }
    }

    /// Waits for the next token. If the run is cancelled, the stream ends without the final events.
    async fn tokens(&mut self, from: usize) -> Option<Event> {
        let next = |p: &Progress| p.emitted > from || p.state != RunState::Running;
        // The wait can't fail, since the run owns the sender.
        let _ = self.progress.wait_for(next).await;
        let Progress { emitted, state } = *self.progress.borrow();
        if emitted > from {
            self.stage = Stage::Tokens(from + 1);
            let token = &self.reader.run.tokens[from];
            let space = if from == 0 { "" } else { " " };
            let delta = Delta { role: None, content: Some(format!("{space}{token}")) };
            return Some(self.choice(delta, None));
        }
        if state == RunState::Cancelled {
            return None;
        }
        self.stage = Stage::Finish;
        Box::pin(self.next()).await
    }

    fn choice(&self, delta: Delta, finish_reason: Option<&'static str>) -> Event {
        self.chunk(vec![ChunkChoice { index: 0, delta, finish_reason }], false)
    }

    fn chunk(&self, choices: Vec<ChunkChoice>, include_usage: bool) -> Event {
        let run = &self.reader.run;
        let chunk = Chunk {
            id: format_compact!("chatcmpl-{}", run.dispatch),
            object: "chat.completion.chunk",
            created: seconds_now(),
            model: self.model.clone(),
            choices,
            usage: include_usage.then(|| run.usage(run.tokens.len())),
        };
        Event::default().data(serde_json::to_string(&chunk).unwrap_or_default())
    }
}

fn seconds_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

async fn cancel(State(shared): State<Arc<Shared>>, Path(id): Path<CompactString>) -> StatusCode {
    let run = shared.lock().runs.get(&id).map(Arc::clone);
    let Some(run) = run else {
        return StatusCode::NOT_FOUND;
    };
    run.cancel.cancel();
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct ReleaseRequest {
    program: CompactString,
}

#[derive(Serialize)]
struct Released {
    tokens: u64,
}

async fn release(
    State(shared): State<Arc<Shared>>,
    Json(request): Json<ReleaseRequest>,
) -> Json<Released> {
    let tokens = shared.lock().release(&request.program);
    Json(Released { tokens })
}

async fn programs(State(shared): State<Arc<Shared>>) -> Json<Vec<ProgramMemory>> {
    Json(shared.lock().programs())
}

async fn load(State(shared): State<Arc<Shared>>) -> Json<Load> {
    Json(shared.load())
}

async fn stats(State(shared): State<Arc<Shared>>) -> Response {
    Json(shared.stats()).into_response()
}
