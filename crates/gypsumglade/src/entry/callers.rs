//! HTTP interface for callers. docs/API.md describes it with examples.

use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::rejection::{BytesRejection, PathRejection};
use axum::extract::{DefaultBodyLimit, Path, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::sse::{KeepAlive, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::Outcome;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde_json::Value;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;

use super::active_bundle::ActiveBundle;
use super::admit::{self, AdmissionRequest};
use super::answer::final_chunks;
use super::call::CallHeaders;
use super::chat_request::ChatRequest;
use super::problem::{OUTCOME_HEADER, Problem, ProblemKind, outcome_name};
use super::state::EntryState;
use super::turn_call::TurnCall;
use super::waiting_caller::Caller;
use super::{quota, sse, tool, turn};
use crate::guarded_body::GuardedBody;
use crate::request_body::{self, BodyError};

/// Response header with the program of the call, which may have been generated.
const PROGRAM_HEADER: HeaderName = HeaderName::from_static("x-program-id");
/// Outcomes as metric labels, which must be static.
const OUTCOMES: [&str; 3] = ["done", "not-run", "unknown"];
/// Estimated duration of a call, used to check whether its deadline can be met.
const EXPECTED_SERVICE: Duration = Duration::from_secs(2);
/// Retry-After of a VM at its limit of concurrent calls.
const OVERLOAD_RETRY_MS: u64 = 1_000;
/// Events buffered for a slow caller before backpressure reaches the engine's stream.
const STREAM_BUFFER: usize = 64;

/// Returns the HTTP routes for callers.
pub fn routes(state: Arc<EntryState>) -> Router {
    let limits = &state.settings.limits;
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    let max_calls =
        usize::try_from(limits.concurrent + limits.queue).unwrap_or(Semaphore::MAX_PERMITS);
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/tools/{service}/{operation}", post(tools))
        .route("/v1/programs/{*program}", delete(end_program))
        .route("/healthz", get(health))
        .route("/readyz", get(ready))
        .fallback(no_route)
        .method_not_allowed_fallback(no_method)
        .layer(DefaultBodyLimit::max(limit))
        .layer(from_fn_with_state(Arc::clone(&state), buffer_body))
        .layer(from_fn_with_state(Arc::new(Semaphore::new(max_calls)), limit_calls))
        .with_state(state)
}

/// Reads the body of a call into accounted memory, which it holds until its answer has been sent.
async fn buffer_body(
    State(state): State<Arc<EntryState>>,
    request: Request,
    next: Next,
) -> Response {
    let limit = usize::try_from(state.settings.limits.body_bytes).unwrap_or(usize::MAX);
    let (request, held) = match request_body::buffer(&state.memory, request, limit).await {
        Ok(buffered) => buffered,
        Err(error) => return body_problem(error).into_response(),
    };
    next.run(request).await.map(|body| Body::new(GuardedBody::new(body, held)))
}

fn body_problem(error: BodyError) -> Problem {
    let kind = match error {
        BodyError::TooLarge => ProblemKind::TooLarge,
        BodyError::Incomplete => ProblemKind::BadRequest,
        BodyError::TimedOut | BodyError::OutOfMemory(_) => ProblemKind::Overloaded,
    };
    let problem = Problem::not_run(kind, error);
    match kind {
        ProblemKind::Overloaded => problem.retry_after(OVERLOAD_RETRY_MS),
        _ => problem,
    }
}

/// Refuses calls beyond the limit.
async fn limit_calls(
    State(limiter): State<Arc<Semaphore>>,
    request: Request,
    next: Next,
) -> Response {
    let Ok(_permit) = limiter.try_acquire() else {
        let message = "this VM is at its limit of concurrent calls";
        return Problem::not_run(ProblemKind::Overloaded, message)
            .retry_after(OVERLOAD_RETRY_MS)
            .into_response();
    };
    next.run(request).await
}

/// Body of a request, or the reason why it couldn't be read.
type BodyResult = Result<Bytes, BytesRejection>;

async fn chat(
    State(state): State<Arc<EntryState>>,
    headers: HeaderMap,
    body: BodyResult,
) -> Response {
    let started = state.clock.now();
    let answered = chat_answer(&state, &headers, body).await;
    let refused = answered.is_err();
    let response = answered.unwrap_or_else(IntoResponse::into_response);
    if refused {
        record_call(&state, started, "model", &response);
    }
    response
}

async fn chat_answer(
    state: &Arc<EntryState>,
    headers: &HeaderMap,
    body: BodyResult,
) -> Result<Response, Problem> {
    let body = check_body(body)?;
    let headers = CallHeaders::read(headers)?;
    let active = state.config.active(state.clock.now())?;
    let org = active.organisation(&headers.token)?;
    let request = ChatRequest::parse(&body)?;
    let call = turn_call(state, &active, &headers, request)?;
    quota::admit(state, org, active.revision, call.turn > 1, call.deadline).await?;
    let permit =
        state.admission.admit(&state.metrics, &call.model.name, admission_request(&call)).await?;
    let program = call.program.clone();
    let generated_id = headers.program.is_none();
    let stream = call.request.stream;
    let usage = call.request.include_usage;
    let (caller, mut watch) = connect_caller(&call);
    let task_state = Arc::clone(state);
    let running = state.tasks.spawn(async move {
        let started = task_state.clock.now();
        task_state.metrics.in_flight(1);
        let answer = turn::run(&task_state, &call, &caller).await;
        task_state.metrics.in_flight(-1);
        drop(permit);
        let outcome = answer.as_ref().map_or_else(|problem| problem.outcome, |_| Outcome::Done);
        let seconds = task_state.clock.now().since(started).as_secs_f64();
        task_state.metrics.call(seconds, "model", outcome_name(outcome));
        if generated_id {
            tool::end_or_log(&task_state, &call.org, &call.program).await;
        }
        finish_stream(&caller, &answer, usage).await;
        answer
    });
    let response = if stream {
        let events = watch.events.take().expect("a stream has a receiver");
        streamed(events)
    } else {
        let answer = running.await.map_err(|_| Problem::unknown("the task of the call failed"))?;
        watch.disarm();
        json_answer(&answer?)
    };
    Ok(with_program_header(response, &program))
}

/// Handler's side of a call. Dropping it tells the call's task that the caller has disconnected.
struct CallerWatch {
    events: Option<mpsc::Receiver<Result<axum::response::sse::Event, std::convert::Infallible>>>,
    disconnect_guard: Option<tokio_util::sync::DropGuard>,
}

impl CallerWatch {
    /// Drops the watch without cancelling the call.
    fn disarm(mut self) {
        if let Some(guard) = self.disconnect_guard.take() {
            guard.disarm();
        }
    }
}

/// Connects the task of a call with its HTTP handler.
///
/// The server drops the handler when the connection closes, which cancels the call. An unstreamed
/// call with the caller's own key continues instead, so that a resend gets the recorded answer.
fn connect_caller(call: &TurnCall) -> (Caller, CallerWatch) {
    let disconnected = CancellationToken::new();
    let guard = (!call.has_key && !call.request.stream).then(|| disconnected.clone().drop_guard());
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    let events = call.request.stream.then_some(sender);
    let receiver = call.request.stream.then_some(receiver);
    (
        Caller { events, disconnected, program_ended: CancellationToken::new() },
        CallerWatch { events: receiver, disconnect_guard: guard },
    )
}

/// Sends the end of a stream, which is held back until the outcome is recorded.
async fn finish_stream(caller: &Caller, answer: &Result<Value, Problem>, usage: bool) {
    let Some(events) = &caller.events else { return };
    match answer {
        Ok(answer) => {
            for chunk in final_chunks(answer, usage) {
                let _ = events.send(sse::event(&chunk)).await;
            }
            let _ = events.send(sse::done()).await;
        }
        Err(problem) => {
            // Without `[DONE]`, client libraries don't take the cut stream for a complete answer.
            let body = serde_json::to_value(problem.body()).unwrap_or_default();
            let _ = events.send(sse::event(&body)).await;
        }
    }
}

fn streamed(
    events: mpsc::Receiver<Result<axum::response::sse::Event, std::convert::Infallible>>,
) -> Response {
    Sse::new(ReceiverStream::new(events)).keep_alive(KeepAlive::default()).into_response()
}

fn json_answer(answer: &Value) -> Response {
    let mut response = axum::Json(answer).into_response();
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("done"));
    response
}

fn with_program_header(mut response: Response, program: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(program) {
        response.headers_mut().insert(PROGRAM_HEADER, value);
    }
    response
}

fn turn_call(
    state: &EntryState,
    active: &ActiveBundle,
    headers: &CallHeaders,
    request: ChatRequest,
) -> Result<TurnCall, Problem> {
    let org = active.organisation(&headers.token)?;
    let agent = active.agent(org, headers)?;
    let model = active.model(agent, &request.model)?;
    let program = headers.program.clone().unwrap_or_else(|| super::unique_id(state).into());
    super::check_parent(&program, headers.parent.as_deref())?;
    Ok(TurnCall {
        org: org.name.clone(),
        program,
        parent: headers.parent.clone().unwrap_or_default(),
        agent: agent.clone(),
        model: model.clone(),
        revision: active.revision,
        key: headers.key.clone().unwrap_or_else(|| super::unique_id(state).into()),
        turn: headers.turn.unwrap_or(0),
        class: headers.class.unwrap_or_else(|| super::class_of(agent)),
        deadline: headers.deadline.map(|deadline| state.clock.now() + deadline),
        request,
        has_key: headers.key.is_some(),
    })
}

fn admission_request(call: &TurnCall) -> AdmissionRequest {
    AdmissionRequest {
        org: call.org.clone(),
        class: call.class,
        under_way: call.turn > 1,
        priority: admit::priority(call.class, call.turn),
        deadline: call.deadline,
        service_time: EXPECTED_SERVICE,
    }
}

async fn tools(
    State(state): State<Arc<EntryState>>,
    path: Result<Path<(String, String)>, PathRejection>,
    headers: HeaderMap,
    body: BodyResult,
) -> Response {
    let started = state.clock.now();
    let answered = match path {
        Ok(Path((service, operation))) => {
            tool_answer(&state, &service, &operation, &headers, body).await
        }
        Err(rejection) => Err(invalid_path(rejection)),
    };
    let response = answered.unwrap_or_else(IntoResponse::into_response);
    record_call(&state, started, "tool", &response);
    response
}

async fn tool_answer(
    state: &Arc<EntryState>,
    service: &str,
    operation: &str,
    headers: &HeaderMap,
    body: BodyResult,
) -> Result<Response, Problem> {
    let body = check_body(body)?;
    let headers = CallHeaders::read(headers)?;
    let active = state.config.active(state.clock.now())?;
    let call = tool::ToolCall::new(state, &active, &headers, service, operation, body)?;
    let org = active.organisation(&headers.token)?;
    quota::admit(state, org, active.revision, true, call.deadline()).await?;
    let program = call.program.clone();
    let (sender, receiver) = oneshot::channel();
    let task_state = Arc::clone(state);
    // Runs in its own task, so that a call whose caller disconnects still gets an outcome.
    state.tasks.spawn(async move {
        let _ = sender.send(tool::run(&task_state, &call).await);
    });
    let answer = receiver.await.map_err(|_| Problem::unknown("the task of the call failed"))??;
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("done"));
    Ok(with_program_header(response, &program))
}

async fn end_program(
    State(state): State<Arc<EntryState>>,
    path: Result<Path<String>, PathRejection>,
    headers: HeaderMap,
) -> Response {
    let ended = match path {
        Ok(Path(program)) => end_answer(&state, &program, &headers).await,
        Err(rejection) => Err(invalid_path(rejection)),
    };
    match ended {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(problem) => problem.into_response(),
    }
}

async fn end_answer(state: &EntryState, program: &str, headers: &HeaderMap) -> Result<(), Problem> {
    let headers = CallHeaders::read(headers)?;
    let active = state.config.active(state.clock.now())?;
    let org = active.organisation(&headers.token)?;
    tool::end(state, &org.name, program).await
}

async fn health() -> &'static str {
    "ok"
}

/// Readiness check for the load balancer.
async fn ready(State(state): State<Arc<EntryState>>) -> Response {
    if state.stop.is_cancelled() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping").into_response();
    }
    match state.config.active(state.clock.now()) {
        Ok(_) => "ready".into_response(),
        Err(problem) => {
            (StatusCode::SERVICE_UNAVAILABLE, problem.message.to_string()).into_response()
        }
    }
}

async fn no_route() -> Problem {
    Problem::not_run(ProblemKind::NotFound, "unknown path; see docs/API.md")
}

async fn no_method() -> Problem {
    Problem::not_run(ProblemKind::BadMethod, "method not allowed on this path; see docs/API.md")
}

fn invalid_path(rejection: PathRejection) -> Problem {
    Problem::not_run(ProblemKind::BadRequest, rejection)
}

fn check_body(body: BodyResult) -> Result<Bytes, Problem> {
    body.map_err(|rejection| {
        let kind = match rejection.status() {
            StatusCode::PAYLOAD_TOO_LARGE => ProblemKind::TooLarge,
            _ => ProblemKind::BadRequest,
        };
        Problem::not_run(kind, rejection)
    })
}

fn record_call(state: &EntryState, started: Time, kind: &'static str, response: &Response) {
    let seconds = state.clock.now().since(started).as_secs_f64();
    let header = response.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
    // A response without an outcome header is a stream, whose outcome comes with its end.
    let outcome = OUTCOMES.into_iter().find(|name| header == Some(*name)).unwrap_or("streamed");
    state.metrics.call(seconds, kind, outcome);
}
