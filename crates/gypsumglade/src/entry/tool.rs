//! Runs one call of a plain service, at most once if the operation is not repeatable.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gypsumglade_core::policy::retry::Failure;
use gypsumglade_core::policy::route::{RouteRequest, Target};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::{Class, Outcome};
use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::request::Body as RequestBody;
use gypsumglade_core::wire::program::{
    BeginCall, EndProgram, Grant, ProgramRef, Request, Settle, Unknown, Usage,
};
use http::{HeaderValue, StatusCode};
use sha2::{Digest as _, Sha256};

use super::active_bundle::ActiveBundle;
use super::call::CallHeaders;
use super::endpoint_client::{Dispatch, KEY_HEADER, PROGRAM_HEADER, SendError};
use super::problem::{Problem, ProblemKind};
use super::retrying::Attempts;
use super::state::{DispatchEnd, EntryState, PlacedCall};

/// Timeout of a grant request without a deadline, and of ending a program.
const GROUP_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout for recording an outcome, long enough for a change of leader.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Status inquiries about a call in doubt, with doubling backoff.
const MAX_INQUIRIES: u32 = 6;
/// Backoff before the first status inquiry.
const INQUIRY_BACKOFF: Duration = Duration::from_millis(200);

/// A checked call of a plain service.
#[derive(Clone, Debug)]
pub struct ToolCall {
    /// Organisation of the caller.
    pub org: OrgName,
    /// Program that the call belongs to.
    pub program: ProgramName,
    begin: BeginCall,
    service: CompactString,
    operation: CompactString,
    allowed: Vec<gypsumglade_core::bundle::EndpointPattern>,
    timeout: Duration,
    micros: u64,
    deadline: Option<Time>,
    class: Class,
    body: Bytes,
}

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToolAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response body.
    pub body: Bytes,
}

impl ToolCall {
    /// Creates a call from its headers, body and the active bundle.
    ///
    /// # Errors
    /// Fails if the bundle doesn't allow the operation, if the program is missing, or if the
    /// operation is not repeatable and the key is missing.
    pub fn new(
        state: &EntryState,
        active: &ActiveBundle,
        headers: &CallHeaders,
        service: &str,
        operation: &str,
        body: Bytes,
    ) -> Result<ToolCall, Problem> {
        let org = active.organisation(&headers.token)?;
        let agent = active.agent(org, headers)?;
        let (service, operation) = active.operation(agent, service, operation)?;
        let program = headers.program.clone().ok_or_else(|| missing_header("x-program-id"))?;
        super::check_parent(&program, headers.parent.as_deref())?;
        let key = match &headers.key {
            Some(key) => key.clone(),
            None if operation.repeatable => super::unique_id(state).into(),
            None => return Err(missing_header("idempotency-key")),
        };
        let timeout = Duration::from_millis(operation.timeout_ms);
        let begin = BeginCall {
            program: Some(ProgramRef { org: org.name.to_string(), program: program.to_string() }),
            key: key.to_string(),
            service: service.name.to_string(),
            operation: operation.name.to_string(),
            digest: Bytes::copy_from_slice(&Sha256::digest(&body)),
            repeatable: operation.repeatable,
            max_micros: operation.micros,
            deadline_ms: headers.deadline.unwrap_or(timeout).as_millis() as u64,
            revision: active.revision.0,
            agent: agent.name.to_string(),
            budget: Some(super::call_budget(&agent.budget)),
            idle_ms: agent.idle_ms,
            parent: headers.parent.as_deref().unwrap_or_default().to_owned(),
            ..BeginCall::default()
        };
        Ok(ToolCall {
            org: org.name.clone(),
            program,
            begin,
            service: service.name.clone(),
            operation: operation.name.clone(),
            allowed: service.endpoints.clone(),
            timeout,
            micros: operation.micros,
            deadline: headers.deadline.map(|deadline| state.clock.now() + deadline),
            class: headers.class.unwrap_or_else(|| super::class_of(agent)),
            body,
        })
    }

    /// Returns when the caller stops waiting.
    pub(super) fn deadline(&self) -> Option<Time> {
        self.deadline
    }

    fn repeatable(&self) -> bool {
        self.begin.repeatable
    }
}

fn missing_header(header: &str) -> Problem {
    let message = format!("header {header} is required for this operation");
    Problem::not_run(ProblemKind::BadRequest, message)
}

/// Runs a call and returns its recorded answer.
///
/// # Errors
/// Fails when the call is refused or can't be completed. The problem's outcome says whether the
/// call may have run.
pub async fn run(state: &Arc<EntryState>, call: &ToolCall) -> Result<ToolAnswer, Problem> {
    let mut attempts = Attempts::start(state, &call.org, call.repeatable(), call.deadline);
    loop {
        let grant = match request_grant(state, call).await? {
            Granted::Run(grant) => grant,
            Granted::Answer(answer) => return Ok(answer),
        };
        match run_granted(state, call, &grant, &mut attempts).await {
            Ok(answer) => return Ok(answer),
            Err(problem) if problem.outcome == Outcome::NotRun => return Err(problem),
            Err(problem) => {
                if !attempts.wait_for_retry(state, Failure::Unknown, "service_lost").await {
                    return Err(problem);
                }
            }
        }
    }
}

/// Reply of the program group to a grant request.
enum Granted {
    Run(Grant),
    Answer(ToolAnswer),
}

async fn request_grant(state: &EntryState, call: &ToolCall) -> Result<Granted, Problem> {
    check_revision(state, call)?;
    let granted = begin_call(state, call).await?;
    let Granted::Run(grant) = &granted else { return Ok(granted) };
    if let Err(problem) = check_revision(state, call) {
        return settle_not_run(state, call, grant, problem).await.map(Granted::Answer);
    }
    Ok(granted)
}

/// Refuses a call whose revision is no longer active on this VM.
fn check_revision(state: &EntryState, call: &ToolCall) -> Result<(), Problem> {
    if super::is_active_revision(state, RevisionNumber(call.begin.revision))? {
        return Ok(());
    }
    let message = "the bundle revision was replaced while the call waited";
    Err(Problem::not_run(ProblemKind::Unavailable, message).retry_after(super::GROUP_RETRY_MS))
}

async fn begin_call(state: &EntryState, call: &ToolCall) -> Result<Granted, Problem> {
    let mut begin = call.begin.clone();
    begin.nonce = super::unique_id(state);
    begin.boot_id = state.boot_id;
    let request = Request { body: Some(RequestBody::BeginCall(begin)) };
    let timeout = call.deadline.map_or(GROUP_TIMEOUT, |at| at.since(state.clock.now()));
    match state.groups.ask(&call.org, &call.program, &request, timeout).await {
        Ok(ReplyBody::Grant(grant)) => Ok(Granted::Run(grant)),
        Ok(ReplyBody::Recorded(recorded)) => Ok(Granted::Answer(ToolAnswer {
            status: status_of(recorded.status),
            body: recorded.answer,
        })),
        Ok(ReplyBody::Refused(refused)) => Err(refused.into()),
        Ok(ReplyBody::Unknown(unknown)) => resolve_unknown(state, call, unknown).await,
        Ok(ReplyBody::Done(_) | ReplyBody::Leaks(_)) => {
            Err(Problem::unknown("the program group sent an unexpected reply to a grant request"))
        }
        // A call that is not repeatable has the caller's own key and may have run before.
        Err(_) => Err(super::no_quorum(!call.repeatable())),
    }
}

/// Asks the instances of the service for the result of a call in doubt, before reporting an unknown
/// outcome to the caller.
async fn resolve_unknown(
    state: &EntryState,
    call: &ToolCall,
    unknown: Unknown,
) -> Result<Granted, Problem> {
    for address in instances(state, call) {
        let Some(answer) = inquire(state, call, &address).await else { continue };
        let grant = Grant { dispatch: unknown.dispatch.clone(), ..Grant::default() };
        settle(state, call, inquired_settle(call, &grant, &answer)).await?;
        return Ok(Granted::Answer(answer));
    }
    Err(unknown.into())
}

fn instances(state: &EntryState, call: &ToolCall) -> Vec<CompactString> {
    let routing = state.routing();
    let keys = routing.registry.services(&call.service).iter();
    keys.filter_map(|key| Some(routing.registry.get(*key)?.address.clone())).collect()
}

fn status_of(status: u32) -> StatusCode {
    let code = u16::try_from(status).unwrap_or_default();
    StatusCode::from_u16(code).unwrap_or(StatusCode::OK)
}

async fn run_granted(
    state: &Arc<EntryState>,
    call: &ToolCall,
    grant: &Grant,
    attempts: &mut Attempts,
) -> Result<ToolAnswer, Problem> {
    let mut excluded = disallowed_endpoints(state, call);
    loop {
        let request = route_request(state, call, grant, &excluded);
        let placed = match state.place_call(&request) {
            Ok(placed) => placed,
            Err(error) => {
                let problem = Problem::not_run(ProblemKind::Unavailable, &error)
                    .retry_after(super::route_retry_ms(&error));
                return settle_not_run(state, call, grant, problem).await;
            }
        };
        let dispatch = dispatch(call, grant, &placed);
        match state.endpoints.send_once(&dispatch, call.timeout).await {
            Ok((status, body)) => {
                state.release_call(&placed, DispatchEnd::Finished);
                return settle_done(state, call, grant, ToolAnswer { status, body }).await;
            }
            Err(SendError::NotSent) => {
                state.release_call(&placed, DispatchEnd::Failed);
                excluded.push(placed.name.clone());
                if !attempts.wait_for_retry(state, Failure::NotRun, "refused").await {
                    let problem =
                        Problem::not_run(ProblemKind::Overloaded, "the service refused the call")
                            .retry_after(super::GROUP_RETRY_MS);
                    return settle_not_run(state, call, grant, problem).await;
                }
            }
            Err(error) => {
                state.release_call(&placed, DispatchEnd::Failed);
                return in_doubt(state, call, grant, &placed, error).await;
            }
        }
    }
}

async fn settle_done(
    state: &EntryState,
    call: &ToolCall,
    grant: &Grant,
    answer: ToolAnswer,
) -> Result<ToolAnswer, Problem> {
    settle(state, call, done_settle(call, grant, &answer)).await?;
    Ok(answer)
}

/// Returns the settlement of an answer learnt by inquiry, which any VM may settle with.
fn inquired_settle(call: &ToolCall, grant: &Grant, answer: &ToolAnswer) -> Settle {
    Settle { inquired: true, ..done_settle(call, grant, answer) }
}

fn done_settle(call: &ToolCall, grant: &Grant, answer: &ToolAnswer) -> Settle {
    Settle {
        answer: answer.body.clone(),
        status: u32::from(answer.status.as_u16()),
        usage: Some(Usage { micros: call.micros, ..Usage::default() }),
        ..outcome(call, grant, Outcome::Done, "")
    }
}

async fn settle_not_run(
    state: &EntryState,
    call: &ToolCall,
    grant: &Grant,
    problem: Problem,
) -> Result<ToolAnswer, Problem> {
    // The call did not run even if the group couldn't record that. A resend under the key is
    // granted only once it has.
    let _ = settle(state, call, outcome(call, grant, Outcome::NotRun, &problem.message)).await;
    Err(problem)
}

/// Handles a call that may have run.
///
/// Asks the service for the result, and records the outcome as unknown if it has none. A call that
/// is not repeatable is never sent again; inquiries continue in the background and may settle it.
async fn in_doubt(
    state: &Arc<EntryState>,
    call: &ToolCall,
    grant: &Grant,
    placed: &PlacedCall,
    error: SendError,
) -> Result<ToolAnswer, Problem> {
    slog::warn!(state.log, "outcome of a service call unknown, asking the service";
        "program" => %call.program, "dispatch" => &grant.dispatch,
        "endpoint" => %placed.name, "error" => ?error);
    if let Some(answer) = inquire(state, call, &placed.address).await {
        return settle_done(state, call, grant, answer).await;
    }
    let mut settled = outcome(call, grant, Outcome::Unknown, "no answer from the service");
    settled.endpoint = placed.name.to_string();
    settled.crashed = error == SendError::Broken;
    settle(state, call, settled).await?;
    if !call.repeatable() {
        inquire_later(state, call, grant, placed);
    }
    Err(Problem::unknown(format!("service {:?} did not answer", call.service)))
}

fn inquire_later(state: &Arc<EntryState>, call: &ToolCall, grant: &Grant, placed: &PlacedCall) {
    let (state, call) = (Arc::clone(state), call.clone());
    let (grant, placed) = (grant.clone(), placed.clone());
    tokio::spawn(async move {
        let mut backoff = INQUIRY_BACKOFF;
        for _ in 0..MAX_INQUIRIES {
            tokio::time::sleep(backoff).await;
            backoff *= 2;
            if let Some(answer) = inquire(&state, &call, &placed.address).await {
                let _ = settle(&state, &call, inquired_settle(&call, &grant, &answer)).await;
                return;
            }
        }
    });
}

/// Asks a service instance for the result of the call's key.
///
/// Only a `200` with the answer counts. A reply that the call did not run doesn't: the request may
/// still be on its way.
async fn inquire(state: &EntryState, call: &ToolCall, address: &str) -> Option<ToolAnswer> {
    let path = format!("/v1/tools/status/{}", service_key(call));
    let timeout = state.settings.timeouts.peer();
    let asked = state.endpoints.control(http::Method::GET, address, &path, Bytes::new(), timeout);
    let (status, body) = asked.await.ok()?;
    (status == StatusCode::OK).then_some(ToolAnswer { status, body })
}

/// Returns the key sent to the service, since callers' own keys are unique only within a program.
fn service_key(call: &ToolCall) -> String {
    let text = format!("{}\n{}\n{}", call.org, call.program, call.begin.key);
    hex::encode(&Sha256::digest(text.as_bytes())[..SERVICE_KEY_BYTES])
}

/// Length of a service key, 128 bits of the digest.
const SERVICE_KEY_BYTES: usize = 16;

fn dispatch(call: &ToolCall, grant: &Grant, placed: &PlacedCall) -> Dispatch {
    let mut headers = Vec::new();
    if let Ok(value) = HeaderValue::from_str(&service_key(call)) {
        headers.push((KEY_HEADER, value));
    }
    if let Ok(value) = HeaderValue::from_str(&format!("{}/{}", call.org, call.program)) {
        headers.push((PROGRAM_HEADER, value));
    }
    Dispatch {
        address: placed.address.clone(),
        path: format!("/v1/tools/{}", call.operation).into(),
        id: grant.dispatch.as_str().into(),
        headers,
        body: call.body.clone(),
    }
}

fn route_request(
    state: &EntryState,
    call: &ToolCall,
    grant: &Grant,
    excluded: &[EndpointName],
) -> RouteRequest {
    RouteRequest {
        target: Target::Service(call.service.clone()),
        program: super::program_hash(&call.org, &call.program),
        prompt_tokens: 0,
        prior_tokens: 0,
        expected_output: 0,
        batch: None,
        prefill_seconds: None,
        bytes: None,
        last_runs: Vec::new(),
        shared_prefixes: Vec::new(),
        class: call.class,
        place: state.place,
        excluded: excluded.to_vec(),
        isolate: grant.isolate,
    }
}

fn disallowed_endpoints(state: &EntryState, call: &ToolCall) -> Vec<EndpointName> {
    let routing = state.routing();
    let keys = routing.registry.services(&call.service).iter();
    let names = keys.filter_map(|key| routing.registry.get(*key)).map(|found| &found.name);
    names.filter(|name| !super::matches_any(&call.allowed, name)).cloned().collect()
}

fn outcome(call: &ToolCall, grant: &Grant, outcome: Outcome, reason: &str) -> Settle {
    Settle {
        program: call.begin.program.clone(),
        dispatch: grant.dispatch.clone(),
        outcome: outcome.into(),
        reason: reason.to_owned(),
        ..Settle::default()
    }
}

async fn settle(state: &EntryState, call: &ToolCall, settle: Settle) -> Result<(), Problem> {
    super::settle(state, &call.org, &call.program, settle, SETTLE_TIMEOUT).await
}

/// Ends a program at its caller's request.
///
/// # Errors
/// Fails when the program group refuses or does not answer.
pub async fn end(state: &EntryState, org: &str, program: &str) -> Result<(), Problem> {
    let program_ref = ProgramRef { org: org.to_owned(), program: program.to_owned() };
    let request =
        Request { body: Some(RequestBody::EndProgram(EndProgram { program: Some(program_ref) })) };
    match state.groups.ask(org, program, &request, GROUP_TIMEOUT).await {
        Ok(ReplyBody::Done(_)) => Ok(()),
        Ok(ReplyBody::Refused(refused)) => Err(refused.into()),
        _ => Err(Problem::unknown("the program group did not confirm the end of the program")
            .retry_after(super::GROUP_RETRY_MS)),
    }
}

/// Ends a program that was generated for a single call. If this fails, its idle timeout ends it.
pub async fn end_or_log(state: &EntryState, org: &str, program: &str) {
    if let Err(problem) = end(state, org, program).await {
        slog::info!(state.log, "failed to end a single-call program, left to its idle timeout";
            "program" => program, "reason" => %problem.message);
    }
}
