//! Runs one model call of a program: requests a grant, dispatches to an engine, records the answer
//! and retries on another engine if one is lost.

use std::borrow::Cow;
use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::policy::admission::Signal;
use gypsumglade_core::policy::retry::Failure;
use gypsumglade_core::policy::route::{LastRun, RouteRequest, Target};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::{Class, Outcome};
use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::request::Body as RequestBody;
use gypsumglade_core::wire::program::{Grant, Recorded, Refusal, Request, Started};
use http::HeaderValue;
use serde_json::Value;

use super::answer::{AnswerBuilder, text_chunk};
use super::endpoint_client::{
    Dispatch, PRIORITY_HEADER, PROGRAM_HEADER, SendError, VERSION_HEADER,
};
use super::groups::GroupUnavailable;
use super::model_version::serves;
use super::newer_revision;
use super::problem::{Problem, ProblemKind};
use super::retrying::Attempts;
use super::sse::engine_events;
use super::state::{DispatchEnd, EntryState, PlacedCall};
use super::turn_call::{BYTES_PER_TOKEN, TurnCall, begin_turn, program_ref, time_left};
use super::turn_dispatch::{Attempt, RunningDispatch, with_time_limit};
use super::turn_settlement::{outcome, settle_not_run, settle_or_log};
use super::waiting_caller::Caller;

/// Retry-After when the engines refused the call.
const REFUSED_RETRY_MS: u64 = 1_000;
/// Timeout of a grant request when the caller gave no deadline.
const GRANT_TIMEOUT: Duration = Duration::from_secs(15);
/// Engine priority of urgent calls. Normal calls use their turn number, capped below this.
const URGENT_PRIORITY: u64 = 1_000;

/// Runs a model call and returns its recorded answer.
///
/// # Errors
/// Fails when the call is refused or can't be completed. The problem's outcome says whether the
/// call may have run.
pub async fn run(
    state: &Arc<EntryState>,
    call: &TurnCall,
    caller: &Caller,
) -> Result<Value, Problem> {
    let mut call = Cow::Borrowed(call);
    let mut builder = AnswerBuilder::default();
    let mut attempts = Attempts::start(state, &call.org, true, call.deadline);
    loop {
        let grant = match request_current_grant(state, &mut call).await? {
            Granted::Run(grant) => grant,
            Granted::Answer(recorded) => return replay(caller, &builder, &recorded).await,
        };
        let program_ended = state.running.add(&grant.dispatch);
        let attempt = {
            let caller = caller.with_program_end(program_ended);
            run_granted(state, &call, &grant, &caller, &mut builder, &mut attempts).await
        };
        state.running.remove(&grant.dispatch);
        match attempt {
            Attempt::Complete(answer) => return Ok(answer),
            Attempt::Retry(problem) => {
                if !attempts.wait_for_retry(state, Failure::Unknown, "engine_lost").await {
                    return Err(problem);
                }
            }
            Attempt::Failed(problem) => return Err(problem),
        }
        builder.restart();
    }
}

/// Reply of the program group to a grant request.
enum Granted {
    Run(Grant),
    Answer(Recorded),
}

/// Requests a grant, again under a newer revision if the call's is no longer active.
async fn request_current_grant(
    state: &EntryState,
    call: &mut Cow<'_, TurnCall>,
) -> Result<Granted, Problem> {
    loop {
        if super::is_active_revision(state, call.revision)? {
            match request_grant(state, call).await? {
                Some(Granted::Run(grant))
                    if !super::is_active_revision(state, call.revision).unwrap_or(false) =>
                {
                    return_grant(state, call, &grant).await;
                    continue;
                }
                Some(granted) => return Ok(granted),
                None => {}
            }
        }
        *call = Cow::Owned(newer_revision::wait_for_newer(state, call).await?);
    }
}

/// Returns a grant unused because the revision of the call is no longer active on this VM.
async fn return_grant(state: &EntryState, call: &TurnCall, grant: &Grant) {
    let settle = outcome(call, grant, Outcome::NotRun, "the bundle revision was replaced");
    settle_or_log(state, call, settle).await;
}

/// Requests a grant. Returns `None` when the group is at a newer revision than the call.
async fn request_grant(state: &EntryState, call: &TurnCall) -> Result<Option<Granted>, Problem> {
    let request = Request { body: Some(RequestBody::BeginTurn(begin_turn(state, call))) };
    let timeout = time_left(state, call).unwrap_or(GRANT_TIMEOUT);
    match state.groups.ask(&call.org, &call.program, &request, timeout).await {
        Ok(ReplyBody::Grant(grant)) => Ok(Some(Granted::Run(grant))),
        Ok(ReplyBody::Recorded(recorded)) => Ok(Some(Granted::Answer(recorded))),
        Ok(ReplyBody::Refused(refused)) if refused.code() == Refusal::StaleRevision => Ok(None),
        Ok(ReplyBody::Refused(refused)) => Err(refused.into()),
        Ok(ReplyBody::Unknown(unknown)) => Err(unknown.into()),
        Ok(ReplyBody::Done(_) | ReplyBody::Leaks(_)) => {
            Err(Problem::unknown("the program group sent an unexpected reply to a grant request"))
        }
        Err(GroupUnavailable { .. }) => Err(super::no_quorum(call.has_key)),
    }
}

async fn run_granted(
    state: &Arc<EntryState>,
    call: &TurnCall,
    grant: &Grant,
    caller: &Caller,
    builder: &mut AnswerBuilder,
    attempts: &mut Attempts,
) -> Attempt {
    let body = match call.request.engine_body(&grant.history, grant.max_output) {
        Ok(body) => body,
        Err(error) => {
            let problem = Problem::not_run(ProblemKind::Unavailable, error);
            return settle_not_run(state, call, grant, problem).await;
        }
    };
    let mut excluded = disallowed_endpoints(state, call);
    loop {
        let placed = match state.place_call(&route_request(state, call, grant, &excluded)) {
            Ok(placed) => placed,
            Err(error) => {
                let problem = Problem::not_run(ProblemKind::Unavailable, &error)
                    .retry_after(super::route_retry_ms(&error));
                return settle_not_run(state, call, grant, problem).await;
            }
        };
        let dispatch = dispatch(state, call, grant, &placed, body.clone());
        // Reported while the request is sent, which saves a round trip. If this VM dies before the
        // report arrives, the leak audit frees the engine's memory.
        let (_, sent) = tokio::join!(
            report_started(state, call, grant, &placed),
            with_time_limit(state, call, state.endpoints.send(&dispatch)),
        );
        match sent {
            Err(SendError::NotSent) => {
                state.release_call(&placed, DispatchEnd::Failed);
                state.admission.observe(&call.model.name, Signal::Overloaded);
                excluded.push(placed.name.clone());
                if !attempts.wait_for_retry(state, Failure::NotRun, "refused").await {
                    let problem =
                        Problem::not_run(ProblemKind::Overloaded, "engines refused the call")
                            .retry_after(REFUSED_RETRY_MS);
                    return settle_not_run(state, call, grant, problem).await;
                }
            }
            Err(error) => {
                let running =
                    RunningDispatch { state, call, grant, placed: &placed, dispatch: &dispatch };
                return running.engine_lost(error, builder).await;
            }
            Ok(response) => {
                let running =
                    RunningDispatch { state, call, grant, placed: &placed, dispatch: &dispatch };
                return if call.request.stream {
                    running.receive_stream(engine_events(response), caller, builder).await
                } else {
                    running.receive_answer(response, caller).await
                };
            }
        }
    }
}

/// Reports to the program group which engine runs the dispatch and will hold its prefix.
async fn report_started(state: &EntryState, call: &TurnCall, grant: &Grant, placed: &PlacedCall) {
    let started = Started {
        program: Some(program_ref(call)),
        dispatch: grant.dispatch.clone(),
        endpoint: placed.name.to_string(),
    };
    let request = Request { body: Some(RequestBody::Started(started)) };
    // A lost report is made up for by the settlement, which names the endpoint too.
    let timeout = state.settings.timeouts.peer();
    let _ = state.groups.ask(&call.org, &call.program, &request, timeout).await;
}

fn route_request(
    state: &EntryState,
    call: &TurnCall,
    grant: &Grant,
    excluded: &[EndpointName],
) -> RouteRequest {
    let prior_tokens = grant.prior / BYTES_PER_TOKEN;
    let last = grant.endpoints.iter().map(|name| LastRun {
        endpoint: name.as_str().into(),
        tokens: prior_tokens,
        at: state.clock.now(),
    });
    RouteRequest {
        target: Target::Model(state.served_version(&call.model)),
        program: super::program_hash(&call.org, &call.program),
        prompt_tokens: grant.history.len() as u64 / BYTES_PER_TOKEN,
        prior_tokens,
        expected_output: grant.max_output.min(call.request.max_output) / 2,
        batch: None,
        prefill_seconds: None,
        bytes: None,
        last_runs: last.take(MAX_LAST_RUNS).collect(),
        shared_prefixes: Vec::new(),
        class: call.class,
        place: state.place,
        excluded: excluded.to_vec(),
        isolate: grant.isolate,
    }
}

/// Most earlier engines considered for prefix reuse; older ones have likely evicted the prefix.
const MAX_LAST_RUNS: usize = 2;

/// Returns the engines that serve the model but that the bundle doesn't allow for it.
fn disallowed_endpoints(state: &EntryState, call: &TurnCall) -> Vec<EndpointName> {
    let routing = state.routing();
    let engines = routing.registry.iter().filter(|(_, found)| serves(found, &call.model));
    let names = engines.map(|(_, found)| &found.name);
    let allowed = |name: &str| call.model.endpoints.iter().any(|pattern| pattern.matches(name));
    names.filter(|name| !allowed(name)).cloned().collect()
}

fn dispatch(
    state: &EntryState,
    call: &TurnCall,
    grant: &Grant,
    placed: &PlacedCall,
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

/// Returns an answer that was recorded earlier under the same key, and streams to the caller the
/// text that it doesn't have yet.
async fn replay(
    caller: &Caller,
    builder: &AnswerBuilder,
    recorded: &Recorded,
) -> Result<Value, Problem> {
    let answer: Value = serde_json::from_slice(&recorded.answer)
        .map_err(|_| Problem::unknown("the recorded answer is not valid JSON"))?;
    let has_text = answer.pointer("/choices/0/message/content").is_some_and(Value::is_string);
    match builder.remaining_text(&answer) {
        Some(text) => caller.forward(&text_chunk(&answer, text)).await,
        None if builder.has_output() && has_text => {
            return Err(Problem::unknown(
                "the recorded answer differs from the text streamed so far; resend the call",
            ));
        }
        None => {}
    }
    Ok(answer)
}
