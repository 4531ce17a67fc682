//! Runs one model call of a program: grant, engine, record, and again elsewhere if need be.

use std::borrow::Cow;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::response::sse::Event;
use bytes::Bytes;
use futures::StreamExt as _;
use gypsumglade_core::policy::admission::Signal;
use gypsumglade_core::policy::route::{LastRun, RouteAsk, Target};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::{Class, Outcome};
use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::request::Body as RequestBody;
use gypsumglade_core::wire::program::{
    BeginTurn, Grant, ProgramRef, Recorded, Refusal, Request, Settle, Started, Usage,
};
use http::{HeaderValue, Response};
use hyper::body::Incoming;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::answer::{AnswerBuilder, Passed, text_chunk, usage_of};
use super::chat_request::ChatRequest;
use super::endpoint_client::{
    Dispatch, PRIORITY_HEADER, PROGRAM_HEADER, RESUME_HEADER, SendError, VERSION_HEADER, read_whole,
};
use super::groups::GroupUnavailable;
use super::model_version::serves;
use super::newer_revision;
use super::problem::{Problem, ProblemKind};
use super::sse::{EngineEvent, EngineEvents, engine_events, event};
use super::state::{DispatchEnd, EntryState, Placed};
use crate::clock::Clock;
use crate::metrics::CacheUse;

/// Grants asked for one call before the caller is told to come back.
const MAX_GRANTS: usize = 4;
/// Endpoints tried under one grant, each refused before it started.
const MAX_REFUSALS: usize = 8;
/// Longest wait for a group to take an outcome, across a change of leader.
const SETTLE_PATIENCE: Duration = Duration::from_secs(30);
/// Longest wait for a grant when the caller gave no deadline.
const GRANT_PATIENCE: Duration = Duration::from_secs(15);
/// Bytes of text that count as one token, for estimates before an engine has counted.
const BYTES_PER_TOKEN: u64 = 4;
/// Priority of urgent calls towards engines; normal ones go by turns attained.
const URGENT_PRIORITY: u64 = 1_000;

/// Where a caller's stream is written to.
pub type Sink = mpsc::Sender<Result<Event, Infallible>>;

/// The waiting side of a call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The stream, if the caller asked for one.
    pub events: Option<Sink>,
    /// Cancelled when a caller that will not resend has gone away.
    pub gone: CancellationToken,
    /// Cancelled when the program ends with the call under way.
    pub ended: CancellationToken,
}

impl Caller {
    fn until(&self, ended: CancellationToken) -> Caller {
        Caller { ended, ..self.clone() }
    }

    async fn left(&self) {
        let closed = async {
            match &self.events {
                Some(events) => events.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = closed => {}
            () = self.gone.cancelled() => {}
            () = self.ended.cancelled() => {}
        }
    }

    async fn forward(&self, chunk: &Value) {
        if let Some(events) = &self.events {
            // A caller that went away is noticed by the loop that reads the engine.
            let _ = events.send(event(chunk)).await;
        }
    }
}

/// One model call, from its headers, body and bundle.
#[derive(Clone, Debug)]
pub struct TurnCall {
    /// Organisation.
    pub org: OrgName,
    /// Program.
    pub program: ProgramName,
    /// Parent program, empty for a root.
    pub parent: ProgramName,
    /// Agent program of the bundle.
    pub agent: gypsumglade_core::bundle::Agent,
    /// Model of the bundle.
    pub model: gypsumglade_core::bundle::Model,
    /// Bundle revision acted under.
    pub revision: RevisionNumber,
    /// Idempotency key.
    pub key: CompactString,
    /// Turn number, or zero for the next.
    pub turn: u64,
    /// Urgency.
    pub class: Class,
    /// When the caller gives up.
    pub deadline: Option<Time>,
    /// The body.
    pub request: ChatRequest,
    /// True when the caller will resend under the key if it loses the answer.
    pub resends: bool,
}

/// How a granted attempt ended.
enum Attempt {
    /// The engine finished; the answer is recorded.
    Whole(Value),
    /// Another grant is worth asking for; the last one was settled.
    Again(Problem),
    /// Final.
    Failed(Problem),
}

/// Runs the call to its recorded answer.
///
/// # Errors
/// Every problem says whether the call ran.
pub async fn run(
    state: &Arc<EntryState>,
    call: &TurnCall,
    caller: &Caller,
) -> Result<Value, Problem> {
    let mut call = Cow::Borrowed(call);
    let mut builder = AnswerBuilder::default();
    let mut last = Problem::not_run(ProblemKind::Unavailable, "no attempt was possible");
    for attempt in 0..MAX_GRANTS {
        if attempt > 0 {
            state.metrics.retry("engine_lost");
        }
        let grant = match ask_current(state, &mut call).await? {
            Granted::Run(grant) => grant,
            Granted::Answer(recorded) => return replay(caller, &builder, &recorded).await,
        };
        let ended = state.running.add(&grant.dispatch);
        let ran = run_granted(state, &call, &grant, &caller.until(ended), &mut builder).await;
        state.running.remove(&grant.dispatch);
        match ran {
            Attempt::Whole(answer) => return Ok(answer),
            Attempt::Again(problem) => last = problem,
            Attempt::Failed(problem) => return Err(problem),
        }
        builder.restart();
    }
    Err(last)
}

enum Granted {
    Run(Grant),
    Answer(Recorded),
}

/// Asks for a grant, and asks again under the next revision if that is in force meanwhile.
async fn ask_current(state: &EntryState, call: &mut Cow<'_, TurnCall>) -> Result<Granted, Problem> {
    loop {
        if let Some(granted) = ask_grant(state, call).await? {
            return Ok(granted);
        }
        *call = Cow::Owned(newer_revision::renewed(state, call).await?);
    }
}

/// Asks for a grant; `None` when the group acts under a newer revision than the call.
async fn ask_grant(state: &EntryState, call: &TurnCall) -> Result<Option<Granted>, Problem> {
    let request = Request { body: Some(RequestBody::BeginTurn(begin_turn(state, call))) };
    let patience = time_left(state, call).unwrap_or(GRANT_PATIENCE);
    match state.groups.ask(&call.org, &call.program, &request, patience).await {
        Ok(ReplyBody::Grant(grant)) => Ok(Some(Granted::Run(grant))),
        Ok(ReplyBody::Recorded(recorded)) => Ok(Some(Granted::Answer(recorded))),
        Ok(ReplyBody::Refused(refused)) if refused.code() == Refusal::StaleRevision => Ok(None),
        Ok(ReplyBody::Refused(refused)) => Err(refused.into()),
        Ok(ReplyBody::Unknown(unknown)) => Err(unknown.into()),
        Ok(ReplyBody::Done(_) | ReplyBody::Leaks(_)) => {
            Err(Problem::unknown("the program group gave no grant"))
        }
        Err(GroupUnavailable { .. }) => Err(super::no_quorum(call.resends)),
    }
}

fn begin_turn(state: &EntryState, call: &TurnCall) -> BeginTurn {
    let budget = call.agent.budget;
    let prompt = call.request.messages.len() as u64 / BYTES_PER_TOKEN + 1;
    // A price that wrapped round would reserve next to nothing for the largest call of all.
    let output_price = call.request.output.saturating_mul(call.model.output_micros);
    let price = prompt.saturating_mul(call.model.input_micros).saturating_add(output_price);
    BeginTurn {
        program: Some(program_ref(call)),
        key: call.key.to_string(),
        turn: call.turn,
        messages: call.request.messages.clone(),
        parent: call.parent.to_string(),
        budget: Some(super::call_budget(&budget)),
        max_output: call.request.output,
        max_micros: price,
        class: call.class.into(),
        deadline_ms: time_left(state, call).map_or(0, |left| left.as_millis() as u64),
        revision: call.revision.0,
        agent: call.agent.name.to_string(),
        digest: call.request.digest(),
        idle_ms: call.agent.idle_ms,
        nonce: super::fresh_id(state),
        ..BeginTurn::default()
    }
}

async fn run_granted(
    state: &Arc<EntryState>,
    call: &TurnCall,
    grant: &Grant,
    caller: &Caller,
    builder: &mut AnswerBuilder,
) -> Attempt {
    let body = match call.request.engine_body(&grant.history, grant.max_output) {
        Ok(body) => body,
        Err(error) => {
            let problem = Problem::not_run(ProblemKind::Unavailable, error);
            return settle_not_run(state, call, grant, problem).await;
        }
    };
    let mut excluded = not_allowed(state, call);
    for _ in 0..MAX_REFUSALS {
        let placed = match state.place_call(&route_ask(state, call, grant, &excluded)) {
            Ok(placed) => placed,
            Err(error) => {
                let problem = Problem::not_run(ProblemKind::Unavailable, &error)
                    .retry_after(super::route_retry_ms(&error));
                return settle_not_run(state, call, grant, problem).await;
            }
        };
        let dispatch = dispatch(state, call, grant, &placed, body.clone());
        // Told beside the sending and not before it: if this VM dies in between, the leak audit
        // finds what the engine holds, and the caller does not wait for another round trip.
        let (_, sent) = tokio::join!(
            tell_started(state, call, grant, &placed),
            within(state, call, state.endpoints.send(&dispatch)),
        );
        match sent {
            Err(SendError::NotSent) => {
                state.release_call(&placed, DispatchEnd::Failed);
                state.metrics.retry("refused");
                state.gate.observe(&call.model.name, Signal::Overloaded);
                excluded.push(placed.name.clone());
            }
            Err(error) => {
                let running = Running { state, call, grant, placed: &placed, dispatch: &dispatch };
                return running.lost(error, builder).await;
            }
            Ok(response) => {
                let running = Running { state, call, grant, placed: &placed, dispatch: &dispatch };
                return if call.request.stream {
                    running.stream(engine_events(response), caller, builder).await
                } else {
                    running.whole(response, caller).await
                };
            }
        }
    }
    let problem =
        Problem::not_run(ProblemKind::Overloaded, "every engine refused").retry_after(1_000);
    settle_not_run(state, call, grant, problem).await
}

/// One dispatch that an engine has accepted.
struct Running<'a> {
    state: &'a Arc<EntryState>,
    call: &'a TurnCall,
    grant: &'a Grant,
    placed: &'a Placed,
    dispatch: &'a Dispatch,
}

impl Running<'_> {
    async fn whole(&self, response: Response<Incoming>, caller: &Caller) -> Attempt {
        let status = response.status();
        let nothing = AnswerBuilder::default();
        let read = tokio::select! {
            () = caller.left() => return self.caller_gone(&nothing).await,
            read = within(self.state, self.call, read_whole(response)) => read,
        };
        let body = match read {
            Ok(body) => body,
            Err(error) => return self.lost(error, &nothing).await,
        };
        self.state.release_call(self.placed, DispatchEnd::Finished);
        let answer: Value = match serde_json::from_slice(&body) {
            Ok(answer) if status.is_success() => answer,
            _ => return self.refused(status.as_u16(), &body).await,
        };
        self.record(answer).await
    }

    /// Passes on an engine's own refusal of the request, such as a context that is too long.
    async fn refused(&self, status: u16, body: &[u8]) -> Attempt {
        let shown: String = String::from_utf8_lossy(body).chars().take(300).collect();
        let problem = Problem::not_run(
            ProblemKind::BadRequest,
            format!("the engine answered {status}: {shown}"),
        );
        settle_not_run(self.state, self.call, self.grant, problem).await
    }

    async fn stream(
        &self,
        mut events: EngineEvents,
        caller: &Caller,
        builder: &mut AnswerBuilder,
    ) -> Attempt {
        let started = self.state.clock.now();
        let mut resumed = false;
        loop {
            let next = tokio::select! {
                () = caller.left() => return self.caller_gone(builder).await,
                next = within(self.state, self.call, next_event(&mut events)) => next,
            };
            match next {
                Ok(EngineEvent::Chunk(chunk)) => {
                    let first = builder.tokens() == 0;
                    let passed = builder.take(chunk);
                    if first && builder.tokens() == 1 {
                        self.first_token(started);
                    }
                    match passed {
                        Passed::Forward(chunk) => caller.forward(&chunk).await,
                        Passed::Hold => {}
                        Passed::Diverged => return self.diverged().await,
                    }
                }
                Ok(EngineEvent::End) => break,
                Err(SendError::Broken) if !resumed => {
                    resumed = true;
                    match self.resume(builder.tokens()).await {
                        Some(again) => events = again,
                        None => return self.lost(SendError::Broken, builder).await,
                    }
                }
                Err(error) => return self.lost(error, builder).await,
            }
        }
        self.state.release_call(self.placed, DispatchEnd::Finished);
        match builder.whole(&self.grant.dispatch, Clock::wall_millis() / 1_000) {
            Some(answer) => self.record(answer).await,
            None => {
                // An end without a finish reason is a cut stream, whatever the engine says.
                self.settle_lost(SendError::Mismatched, builder).await
            }
        }
    }

    fn first_token(&self, started: Time) {
        let seconds = self.state.clock.now().since(started).as_secs_f64();
        self.state.metrics.first_token(seconds, &self.call.model.name);
        self.state.prompt_filled(self.placed);
    }

    /// Takes a stream up again on the same engine, after the last token that arrived.
    async fn resume(&self, tokens: u64) -> Option<EngineEvents> {
        self.state.metrics.retry("resume");
        let mut dispatch = self.dispatch.clone();
        dispatch.headers.push((RESUME_HEADER, HeaderValue::from(tokens)));
        let response = self.state.endpoints.send(&dispatch).await.ok()?;
        response.status().is_success().then(|| engine_events(response))
    }

    async fn lost(&self, error: SendError, builder: &AnswerBuilder) -> Attempt {
        self.state.release_call(self.placed, DispatchEnd::Failed);
        if error == SendError::TimedOut {
            self.cancel().await;
        }
        self.settle_lost(error, builder).await
    }

    /// Settles a dispatch whose engine went silent or away, and says whether to try elsewhere.
    ///
    /// The group scores the request against the engine's death, so the next grant may be for an
    /// engine of its own, or refused: without that, one bad request would take down engine after
    /// engine from a single VM.
    async fn settle_lost(&self, error: SendError, builder: &AnswerBuilder) -> Attempt {
        let Running { state, call, grant, placed, .. } = self;
        slog::warn!(state.log, "engine lost with a call in flight";
            "program" => %call.program, "turn" => grant.turn, "dispatch" => &grant.dispatch,
            "endpoint" => %placed.name, "error" => ?error);
        let mut settle = outcome(call, grant, Outcome::Unknown, "the engine went away");
        settle.crashed = error == SendError::Broken;
        settle.endpoint = placed.name.to_string();
        settle.usage = Some(partial_usage(call, grant, builder));
        if let Err(problem) = settle_now(state, call, settle).await {
            return Attempt::Failed(problem);
        }
        if time_left(state, call).is_some_and(|left| left.is_zero()) {
            let mut problem = Problem::unknown("the deadline passed while an engine had the call");
            problem.kind = ProblemKind::Deadline;
            return Attempt::Failed(problem);
        }
        Attempt::Again(Problem::unknown("every engine that had the call went away"))
    }

    async fn diverged(&self) -> Attempt {
        self.cancel().await;
        self.state.release_call(self.placed, DispatchEnd::Cancelled);
        let settle = outcome(self.call, self.grant, Outcome::Unknown, "answers diverged");
        settle_quietly(self.state, self.call, settle).await;
        Attempt::Failed(Problem::unknown("the engine was lost and another words it otherwise"))
    }

    /// Frees the engine and settles what was generated; a resend under the key runs it again.
    async fn caller_gone(&self, builder: &AnswerBuilder) -> Attempt {
        self.cancel().await;
        self.state.release_call(self.placed, DispatchEnd::Cancelled);
        let mut settle = outcome(self.call, self.grant, Outcome::Unknown, "the caller went away");
        settle.usage = Some(partial_usage(self.call, self.grant, builder));
        settle.endpoint = self.placed.name.to_string();
        settle_quietly(self.state, self.call, settle).await;
        Attempt::Failed(Problem::unknown("the caller went away"))
    }

    async fn cancel(&self) {
        let path = format!("/v1/dispatches/{}", self.dispatch.id);
        let timeout = self.state.settings.timeouts.peer();
        let cancel = self.state.endpoints.control(
            http::Method::DELETE,
            &self.placed.address,
            &path,
            Bytes::new(),
            timeout,
        );
        // The engine also notices the closed connection; the order only makes it faster.
        let _ = cancel.await;
    }

    /// Makes the answer durable; only then may the caller see its end.
    async fn record(&self, answer: Value) -> Attempt {
        let model = &self.call.model;
        let usage = usage_of(&answer, model.input_micros, model.output_micros);
        let mut settle = outcome(self.call, self.grant, Outcome::Done, "");
        settle.answer = Bytes::from(answer.to_string());
        settle.status = 200;
        settle.usage = Some(usage);
        settle.endpoint = self.placed.name.to_string();
        match settle_now(self.state, self.call, settle).await {
            Ok(()) => {
                self.state.gate.observe(&model.name, Signal::Waited(Duration::ZERO));
                self.count(&usage);
                Attempt::Whole(answer)
            }
            Err(problem) => Attempt::Failed(problem),
        }
    }

    fn count(&self, usage: &Usage) {
        let metrics = &self.state.metrics;
        let prior = self.grant.prior / BYTES_PER_TOKEN;
        let filled = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        let fresh = usage.prompt_tokens.saturating_sub(prior);
        metrics.cache(filled, CacheUse::Filled);
        metrics.cache(usage.cached_tokens, CacheUse::Reused);
        metrics.cache(filled.saturating_sub(fresh), CacheUse::Refilled);
        metrics.output(usage.output_tokens, &self.call.model.name);
        slog::debug!(self.state.log, "turn recorded";
            "program" => %self.call.program, "turn" => self.grant.turn,
            "dispatch" => &self.grant.dispatch, "endpoint" => %self.placed.name,
            "revision" => self.call.revision.0);
    }
}

async fn next_event(events: &mut EngineEvents) -> Result<EngineEvent, SendError> {
    match events.next().await {
        Some(Ok(event)) => Ok(event),
        Some(Err(_)) | None => Err(SendError::Broken),
    }
}

/// Bounds a step by the caller's deadline and by the silence an engine is allowed.
async fn within<T>(
    state: &EntryState,
    call: &TurnCall,
    step: impl Future<Output = Result<T, SendError>>,
) -> Result<T, SendError> {
    let silence = state.settings.timeouts.silence();
    let limit = time_left(state, call).map_or(silence, |left| left.min(silence));
    tokio::time::timeout(limit, step).await.unwrap_or(Err(SendError::TimedOut))
}

/// What a dispatch without a whole answer has used, as far as its tokens arrived.
///
/// The prompt is estimated: an engine counts it only in a whole answer.
fn partial_usage(call: &TurnCall, grant: &Grant, builder: &AnswerBuilder) -> Usage {
    let prompt_tokens = grant.history.len() as u64 / BYTES_PER_TOKEN + 1;
    let output_tokens = builder.tokens();
    let prompt = prompt_tokens.saturating_mul(call.model.input_micros);
    let output = output_tokens.saturating_mul(call.model.output_micros);
    let micros = prompt.saturating_add(output);
    Usage { prompt_tokens, output_tokens, micros, cached_tokens: 0 }
}

async fn settle_not_run(
    state: &EntryState,
    call: &TurnCall,
    grant: &Grant,
    problem: Problem,
) -> Attempt {
    let settle = outcome(call, grant, Outcome::NotRun, &problem.message);
    match settle_now(state, call, settle).await {
        Ok(()) => Attempt::Failed(problem),
        // Nothing was sent, whether or not the group has heard of it yet.
        Err(_) => Attempt::Failed(problem.retry_after(super::GROUP_RETRY_MS)),
    }
}

async fn settle_quietly(state: &EntryState, call: &TurnCall, settle: Settle) {
    if let Err(problem) = settle_now(state, call, settle).await {
        slog::warn!(state.log, "an outcome was not recorded";
            "program" => %call.program, "reason" => %problem.message);
    }
}

async fn settle_now(state: &EntryState, call: &TurnCall, settle: Settle) -> Result<(), Problem> {
    super::settle(state, &call.org, &call.program, settle, SETTLE_PATIENCE).await
}

fn outcome(call: &TurnCall, grant: &Grant, outcome: Outcome, reason: &str) -> Settle {
    Settle {
        program: Some(program_ref(call)),
        dispatch: grant.dispatch.clone(),
        outcome: outcome.into(),
        reason: reason.to_owned(),
        ..Settle::default()
    }
}

async fn tell_started(state: &EntryState, call: &TurnCall, grant: &Grant, placed: &Placed) {
    let started = Started {
        program: Some(program_ref(call)),
        dispatch: grant.dispatch.clone(),
        endpoint: placed.name.to_string(),
    };
    let request = Request { body: Some(RequestBody::Started(started)) };
    // The group learns where memory will be held. If it cannot be told now, the settlement tells.
    let patience = state.settings.timeouts.peer();
    let _ = state.groups.ask(&call.org, &call.program, &request, patience).await;
}

fn route_ask(
    state: &EntryState,
    call: &TurnCall,
    grant: &Grant,
    excluded: &[EndpointName],
) -> RouteAsk {
    let prior_tokens = grant.prior / BYTES_PER_TOKEN;
    let last = grant.endpoints.iter().map(|name| LastRun {
        endpoint: name.as_str().into(),
        tokens: prior_tokens,
        at: state.clock.now(),
    });
    RouteAsk {
        target: Target::Model(state.served_version(&call.model)),
        program: super::program_hash(&call.org, &call.program),
        prompt_tokens: grant.history.len() as u64 / BYTES_PER_TOKEN,
        prior_tokens,
        output_guess: grant.max_output.min(call.request.output) / 2,
        last: last.take(MAX_LAST_RUNS).collect(),
        class: call.class,
        place: state.place,
        excluded: excluded.to_vec(),
        isolate: grant.isolate,
    }
}

/// Earlier engines that are worth a look; older ones have most likely dropped the prefix.
const MAX_LAST_RUNS: usize = 2;

fn not_allowed(state: &EntryState, call: &TurnCall) -> Vec<EndpointName> {
    let desk = state.desk();
    let engines = desk.registry.iter().filter(|(_, found)| serves(found, &call.model));
    let names = engines.map(|(_, found)| &found.name);
    let allowed = |name: &str| call.model.endpoints.iter().any(|pattern| pattern.matches(name));
    names.filter(|name| !allowed(name)).cloned().collect()
}

fn dispatch(
    state: &EntryState,
    call: &TurnCall,
    grant: &Grant,
    placed: &Placed,
    body: Bytes,
) -> Dispatch {
    let priority = match call.class {
        Class::Urgent => URGENT_PRIORITY,
        Class::Normal => grant.turn.min(URGENT_PRIORITY - 1),
    };
    let mut headers = vec![(PRIORITY_HEADER, HeaderValue::from(priority))];
    if let Ok(value) = HeaderValue::from_str(&state.version_at(&placed.name, &call.model)) {
        headers.push((VERSION_HEADER, value));
    }
    let program = format!("{}/{}", call.org, call.program);
    if let Ok(value) = HeaderValue::from_str(&program) {
        headers.push((PROGRAM_HEADER, value));
    }
    Dispatch {
        address: placed.address.clone(),
        path: "/v1/chat/completions".into(),
        id: grant.dispatch.as_str().into(),
        headers,
        body,
    }
}

/// Gives a caller the answer that another asking of the same key has recorded.
async fn replay(
    caller: &Caller,
    builder: &AnswerBuilder,
    recorded: &Recorded,
) -> Result<Value, Problem> {
    let answer: Value = serde_json::from_slice(&recorded.answer)
        .map_err(|_| Problem::unknown("the recorded answer cannot be read"))?;
    let has_text = answer.pointer("/choices/0/message/content").is_some_and(Value::is_string);
    match builder.missing(&answer) {
        Some(text) => caller.forward(&text_chunk(&answer, text)).await,
        None if builder.begun() && has_text => {
            return Err(Problem::unknown("the recorded answer is worded otherwise; ask again"));
        }
        None => {}
    }
    Ok(answer)
}

fn program_ref(call: &TurnCall) -> ProgramRef {
    ProgramRef { org: call.org.to_string(), program: call.program.to_string() }
}

fn time_left(state: &EntryState, call: &TurnCall) -> Option<Duration> {
    call.deadline.map(|deadline| deadline.since(state.clock.now()))
}
