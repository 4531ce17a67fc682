//! One attempt: place a request, send it, and read the head of what comes back.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::policy::mechanism::Mechanism;
use gypsumglade_core::prelude::*;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::call::Call;
use super::channels::{Channel, ChannelError};
use super::dialect::{AnswerHead, Order, Refusal, Standing};
use super::placing::{Flight, place};
use super::state::GatewayState;

/// Endpoints that may refuse a request before it is given up: with more than that full, another
/// try would only add to their queues.
const MAX_REFUSALS: usize = 3;
/// When to come back after several endpoints were full: some of their requests have ended by then.
const FULL_PAUSE: Duration = Duration::from_millis(250);

/// An answer whose head is an endpoint's word on the request.
pub(super) struct Opened {
    pub(super) response: Response<Incoming>,
    pub(super) head: AnswerHead,
    pub(super) channel: Channel,
    pub(super) flight: Flight,
}

/// How one attempt went.
enum Outcome {
    Opened(Box<Opened>),
    /// Surely not run there.
    NotRun,
    /// It may have run.
    InDoubt,
}

/// A request's attempts so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Endpoints that it must not go to again.
    pub(super) tried: Vec<EndpointName>,
    /// Attempts that may have run.
    pub(super) runs: u32,
}

impl Attempts {
    /// Tells whether a request that broke may be sent again.
    pub(super) fn may_repeat(&self, call: &Call) -> bool {
        call.is_idempotent() && self.runs < call.route.attempts
    }
}

/// Sends a request until an endpoint answers, and returns the answer with its head read.
///
/// # Errors
/// Tells the caller whether it may have run. A request that may not be repeated is never sent again
/// once a byte of it may have been read.
pub(super) async fn open(
    state: &Arc<GatewayState>,
    call: &Call,
    body: &Bytes,
    after: Option<u64>,
    attempts: &mut Attempts,
) -> Result<Opened, Refusal> {
    let mut refusals = 0;
    loop {
        let left = call.left();
        if left.is_zero() {
            return Err(over(attempts));
        }
        let flight = match place(state, call, body, &attempts.tried) {
            Ok(flight) => flight,
            Err(pause) if attempts.runs == 0 => {
                let after = if refusals > 0 { FULL_PAUSE } else { pause };
                return Err(Refusal::Unavailable { after });
            }
            Err(_) => return Err(Refusal::Lost),
        };
        attempts.tried.push(flight.name.clone());
        let (endpoint, sent) = (flight.endpoint, Instant::now());
        let patience = patience(state, call, attempts, left);
        let sending = send(state, call, body, after, flight);
        match tokio::time::timeout(patience, sending).await {
            Ok(Outcome::Opened(opened)) => {
                note_answer(state, call, sent.elapsed());
                return Ok(*opened);
            }
            Ok(Outcome::NotRun) => refusals += 1,
            Ok(Outcome::InDoubt) => {
                attempts.runs += 1;
                if !attempts.may_repeat(call) {
                    return Err(Refusal::Lost);
                }
            }
            Err(_) if patience < left => {
                attempts.runs += 1;
                let now = state.clock.now();
                state.desk().registry.timed_out(now, endpoint);
                slog::info!(state.log, "answer overdue"; "request" => %call.head.id,
                    "route" => %call.route.name, "endpoint" => attempts.tried.last().map(|name| name.as_str()),
                    "ms" => patience.as_millis() as u64);
            }
            Err(_) => return Err(Refusal::TimedOut),
        }
        if refusals >= MAX_REFUSALS && attempts.runs == 0 {
            return Err(Refusal::Unavailable { after: FULL_PAUSE });
        }
    }
}

/// Returns how long to wait for an attempt's answer. A stream shows by its events that it is alive, and a
/// call that may not be repeated has no other attempt.
fn patience(state: &GatewayState, call: &Call, attempts: &Attempts, left: Duration) -> Duration {
    let further = call.route.attempts.saturating_sub(attempts.runs + 1);
    let repeats = call.is_idempotent() && call.stream().is_none();
    if !repeats || !state.settings.policy.mechanisms().has(Mechanism::Patience) {
        return left;
    }
    let time = state.desk().answers.get(&call.route.name).copied().unwrap_or_default();
    time.hedge_delay(left, further)
}

fn note_answer(state: &GatewayState, call: &Call, took: Duration) {
    if call.stream().is_none() {
        let mut desk = state.desk();
        desk.answers.entry(call.route.name.clone()).or_default().observe(took);
    }
}

/// Says why a request's time ended between two attempts.
fn over(attempts: &Attempts) -> Refusal {
    match attempts.runs {
        0 => Refusal::Unavailable { after: Duration::ZERO },
        _ => Refusal::TimedOut,
    }
}

async fn send(
    state: &Arc<GatewayState>,
    call: &Call,
    body: &Bytes,
    after: Option<u64>,
    flight: Flight,
) -> Outcome {
    let Ok(mut channel) = state.channels.open(flight.address).await else {
        flight.failed();
        return Outcome::NotRun;
    };
    let mut sent = channel.send(request(state, call, body, after, &flight)).await;
    if sent.as_ref().is_err_and(|error| *error == ChannelError::NotSent) && channel.is_reused() {
        // The endpoint closed an idle connection; that says nothing about the endpoint.
        let Ok(fresh) = state.channels.connect(flight.address).await else {
            flight.failed();
            return Outcome::NotRun;
        };
        channel = fresh;
        sent = channel.send(request(state, call, body, after, &flight)).await;
    }
    match sent {
        Ok(response) => classify(state, call, response, channel, flight),
        Err(ChannelError::NotSent) => {
            flight.failed();
            Outcome::NotRun
        }
        Err(ChannelError::Broken) => {
            flight.failed();
            Outcome::InDoubt
        }
    }
}

fn classify(
    state: &GatewayState,
    call: &Call,
    response: Response<Incoming>,
    channel: Channel,
    flight: Flight,
) -> Outcome {
    let (parts, body) = response.into_parts();
    let head = state.dialect.read_answer(&parts, &call.head.id);
    if let Some(load) = head.load {
        flight.reported(load);
    }
    match head.standing {
        Standing::Answered => {
            let response = Response::from_parts(parts, body);
            Outcome::Opened(Box::new(Opened { response, head, channel, flight }))
        }
        // Full: it is not the endpoint's fault, and the load that it told keeps others away.
        Standing::NotRun => Outcome::NotRun,
        Standing::OtherEndpoint => {
            flight.misdirected();
            Outcome::NotRun
        }
        // The connection is dropped with it: what else is on it belongs to no request either.
        Standing::Foreign => {
            flight.failed();
            Outcome::InDoubt
        }
    }
}

fn request(
    state: &GatewayState,
    call: &Call,
    body: &Bytes,
    after: Option<u64>,
    flight: &Flight,
) -> Request<Full<Bytes>> {
    let order = Order { endpoint: &flight.name, left: call.left(), after_event: after };
    let path = call.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    *request.headers_mut() = state.dialect.write_order(&call.parts.headers, &order);
    request
}
