//! Attempts at endpoints: choose one, send the request, and classify the head of the answer.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::policy::mechanism::Mechanism;
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::Assignment;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::broken_attempt::{self, CrashReport};
use super::call::Call;
use super::connections::{Connection, ConnectionError};
use super::dialect::{AnswerHead, AnswerKind, AttemptHead, Refusal};
use super::placement::{ActiveDispatch, place};
use super::state::GatewayState;
use super::suspects::{self, TrialDecision};

/// Number of endpoints that may refuse a request or be unreachable before the caller is told to retry
/// later; more attempts would add load to a pool that is probably full.
const MAX_REFUSALS: usize = 3;
/// Retry delay for callers whose request no endpoint has accepted; some of the endpoints' requests
/// have ended by then.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// An endpoint's answer to the request, with its head read and its body unread.
pub(super) struct EndpointAnswer {
    pub(super) response: Response<Incoming>,
    pub(super) head: AnswerHead,
    pub(super) connection: Connection,
    pub(super) dispatch: ActiveDispatch,
}

/// Result of one attempt.
enum DispatchOutcome {
    Answered(Box<EndpointAnswer>),
    /// The endpoint has not run the request.
    NotRun,
    /// The endpoint may have run the request.
    MaybeRun,
    /// The same, and the endpoint has broken off the connection.
    Broken(CrashReport),
}

/// Attempts made for a request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Endpoints that must not be chosen again; the last one is the current one.
    pub(super) tried: Vec<EndpointName>,
    /// Number of attempts that may have run.
    pub(super) runs: u32,
    /// The engine that was assigned to the request, until it is tried.
    pub(super) assigned: Option<Assignment>,
}

impl Attempts {
    /// Returns the refusal of a request that must not be sent again: an earlier attempt may have run.
    fn refusal(&self, not_run: Refusal) -> Refusal {
        if self.runs == 0 { not_run } else { Refusal::Lost }
    }

    /// Returns whether the request may be sent again although an attempt may have run.
    pub(super) fn may_retry(&self, call: &Call) -> bool {
        call.is_idempotent() && self.runs < call.route.attempts
    }
}

/// Sends a request to one endpoint after another until one answers. A stream starts after the event
/// `after`.
///
/// # Errors
/// Fails when no endpoint answers in time; the refusal states whether the request may have run. A
/// request that is not idempotent is never sent again after an endpoint may have read it.
pub(super) async fn send_until_answered(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    body: &Bytes,
    after: Option<u64>,
    attempts: &mut Attempts,
) -> Result<EndpointAnswer, Refusal> {
    let mut refusals = 0;
    loop {
        if call.time_left().is_zero() {
            return Err(timeout_refusal(attempts));
        }
        let dispatch = match place(state, call, body, &attempts.tried, attempts.assigned.take()) {
            Ok(dispatch) => dispatch,
            Err(pause) if attempts.runs == 0 => {
                let retry_after = if refusals > 0 { FULL_RETRY_AFTER } else { pause };
                return Err(Refusal::Unavailable { retry_after });
            }
            Err(_) => return Err(Refusal::Lost),
        };
        let dispatch = match suspects::begin_trial(state, call, &dispatch.name).await {
            Ok(TrialDecision::Proceed(trial)) => dispatch.with_trial(trial),
            Ok(TrialDecision::Wait) => {
                drop(dispatch);
                suspects::await_trial(call).await.map_err(|refusal| attempts.refusal(refusal))?;
                continue;
            }
            Err(refusal) => return Err(attempts.refusal(refusal)),
        };
        attempts.tried.push(dispatch.name.clone());
        // Asking leave for a trial may have taken some of the time.
        let left = call.time_left();
        let (endpoint, sent) = (dispatch.endpoint, Instant::now());
        let timeout = answer_timeout(state, call, attempts, left);
        let sending = send(state, call, body, after, dispatch);
        match tokio::time::timeout(timeout, sending).await {
            Ok(DispatchOutcome::Answered(answer)) => {
                record_answer_time(state, call, sent.elapsed());
                return Ok(*answer);
            }
            Ok(DispatchOutcome::NotRun) => refusals += 1,
            Ok(DispatchOutcome::MaybeRun) => {
                attempts.runs += 1;
                if !attempts.may_retry(call) {
                    return Err(Refusal::Lost);
                }
            }
            Ok(DispatchOutcome::Broken(report)) => {
                attempts.runs += 1;
                if !attempts.may_retry(call) {
                    return Err(Refusal::Lost);
                }
                report.finish().await;
            }
            Err(_) if timeout < left => {
                attempts.runs += 1;
                let now = state.clock.now();
                state.routing().registry.timed_out(now, endpoint);
                slog::info!(state.log, "no answer in time, another endpoint is tried"; "request" => %call.head.id,
                    "route" => %call.route.name, "endpoint" => attempts.tried.last().map(|name| name.as_str()),
                    "digest" => hex::encode(call.digest()), "ms" => timeout.as_millis() as u64);
            }
            Err(_) => return Err(Refusal::TimedOut),
        }
        if refusals >= MAX_REFUSALS && attempts.runs == 0 {
            return Err(Refusal::Unavailable { retry_after: FULL_RETRY_AFTER });
        }
    }
}

/// Returns how long to wait for the answer head of an attempt: all the time left for streams, whose
/// events show progress, and for requests that can't be retried; otherwise less, so that there is
/// time for another attempt.
fn answer_timeout(
    state: &GatewayState,
    call: &Call,
    attempts: &Attempts,
    left: Duration,
) -> Duration {
    let further = call.route.attempts.saturating_sub(attempts.runs + 1);
    let repeats = call.is_idempotent() && call.stream().is_none();
    if !repeats || !state.settings.policy.mechanisms().has(Mechanism::Patience) {
        return left;
    }
    let time = state.routing().answer_times.get(&call.route.name).copied().unwrap_or_default();
    time.attempt_timeout(left, further)
}

fn record_answer_time(state: &GatewayState, call: &Call, took: Duration) {
    if call.stream().is_none() {
        let mut routing = state.routing();
        routing.answer_times.entry(call.route.name.clone()).or_default().observe(took);
    }
}

/// Returns the refusal for a request whose deadline passed between two attempts.
fn timeout_refusal(attempts: &Attempts) -> Refusal {
    match attempts.runs {
        0 => Refusal::Unavailable { retry_after: Duration::ZERO },
        _ => Refusal::TimedOut,
    }
}

async fn send(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    body: &Bytes,
    after: Option<u64>,
    mut dispatch: ActiveDispatch,
) -> DispatchOutcome {
    let Ok(mut connection) = state.connections.open(dispatch.address).await else {
        dispatch.failed();
        return DispatchOutcome::NotRun;
    };
    dispatch.mark_sent(call);
    let mut sent = connection.send(endpoint_request(state, call, body, after, &dispatch)).await;
    if sent.as_ref().is_err_and(|error| *error == ConnectionError::NotSent)
        && connection.is_reused()
    {
        // The endpoint has closed the idle connection, which is not a failure of the endpoint.
        let Ok(fresh) = state.connections.connect(dispatch.address).await else {
            dispatch.failed();
            return DispatchOutcome::NotRun;
        };
        connection = fresh;
        sent = connection.send(endpoint_request(state, call, body, after, &dispatch)).await;
    }
    match sent {
        Ok(response) => classify(state, call, response, connection, dispatch),
        Err(ConnectionError::NotSent) => {
            dispatch.failed();
            DispatchOutcome::NotRun
        }
        Err(ConnectionError::MaybeSent) => {
            DispatchOutcome::Broken(broken_attempt::record(state, call, dispatch))
        }
    }
}

fn classify(
    state: &GatewayState,
    call: &Call,
    response: Response<Incoming>,
    connection: Connection,
    dispatch: ActiveDispatch,
) -> DispatchOutcome {
    let (parts, body) = response.into_parts();
    let head = state.dialect.read_answer(&parts, &call.head.id);
    if let Some(load) = head.load {
        dispatch.record_load(load);
    }
    match head.kind {
        AnswerKind::Answered => {
            let response = Response::from_parts(parts, body);
            DispatchOutcome::Answered(Box::new(EndpointAnswer {
                response,
                head,
                connection,
                dispatch,
            }))
        }
        // A full endpoint is healthy; the load recorded above keeps other requests away from it.
        AnswerKind::NotRun => {
            dispatch.not_run();
            DispatchOutcome::NotRun
        }
        AnswerKind::OtherEndpoint => {
            dispatch.misdirected();
            DispatchOutcome::NotRun
        }
        // Drops the connection too: the next answer on it may be just as wrong.
        AnswerKind::Untrusted => {
            dispatch.failed();
            DispatchOutcome::MaybeRun
        }
    }
}

fn endpoint_request(
    state: &GatewayState,
    call: &Call,
    body: &Bytes,
    after: Option<u64>,
    dispatch: &ActiveDispatch,
) -> Request<Full<Bytes>> {
    let attempt = AttemptHead {
        identity: &call.sender.identity,
        endpoint: &dispatch.name,
        time_left: call.time_left(),
        after_event: after,
    };
    let path = call.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    *request.headers_mut() = state.dialect.write_attempt(&call.parts.headers, &attempt);
    request
}
