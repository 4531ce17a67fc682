//! Accepts callers' connections and handles their requests.

use std::convert::Infallible;
use std::sync::Arc;

use gypsumglade_core::bundle::{Access, CallerLimits, Route};
use gypsumglade_core::policy::memory_budget::{OutOfMemory, RequestPhase};
use gypsumglade_core::prelude::*;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, request};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::buffered::{self, refusal_answer};
use super::call::{AnswerBody, Call, Received, RouteMatch, Sender};
use super::dialect::{Identity, KeyHeader, Refusal};
use super::placement::choose_pool;
use super::state::GatewayState;
use super::streaming;
use super::suspects;
use crate::client_io::{ClientConnection, RequestGuard};
use crate::entry::active_bundle::ActiveBundle;
use crate::guarded_body::GuardedBody;
use crate::listener::MIN_FIELD_BYTES;
use crate::request_body::{self, BodyError};
use crate::request_memory::HeldMemory;

/// How long a caller's connection may be idle. Longer than any idle timeout that callers are told, so
/// that a connection is not closed just as a request arrives.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// How long a planned stop keeps accepting connections and keeps idle ones open. By its end the
/// balancer sends no more callers, and most callers have got a `Connection: close`.
const DRAIN_DELAY: Duration = Duration::from_millis(3_000);
/// Retry delay for callers while no bundle is in force; about as long as an election, so that callers
/// don't use up their attempts during one.
const NO_BUNDLE_RETRY_AFTER: Duration = Duration::from_millis(900);
/// Upper bound of the time for a caller to send its body, so that unresponsive callers don't hold
/// resources.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry delay for callers whose request has no room in memory; some of the others have ended by then.
pub(super) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Added to the time that callers are given for a head, for delays of the network.
const HEAD_SLACK: Duration = Duration::from_secs(1);
/// Bytes that a connection may have read besides a head of the full size.
const HEAD_MARGIN: usize = 1 << 10;
/// Memory of a parsed header besides its text, as received and as forwarded, in bytes.
const FIELD_MEMORY: usize = 256;
/// Memory of a request without headers and body, in bytes.
const REQUEST_MEMORY: usize = 4 << 10;
/// Delay after a failed accept (typically: out of file descriptors), which prevents a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts connections until [`DRAIN_DELAY`] after the start of a planned stop.
pub(super) async fn accept(state: Arc<GatewayState>, socket: TcpListener) {
    let closing = async {
        state.stop.cancelled().await;
        tokio::time::sleep(DRAIN_DELAY).await;
    };
    tokio::pin!(closing);
    loop {
        let accepted = tokio::select! {
            () = &mut closing => return,
            accepted = socket.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without room the caller learns at once that it has to connect elsewhere.
                let Some(guard) = state.caller_connections.admit().await else { continue };
                let connection = ClientConnection::new(guard);
                drop(state.tasks.spawn(serve_connection(Arc::clone(&state), stream, connection)));
            }
            Err(error) => {
                slog::warn!(state.log, "cannot accept a connection"; "error" => %error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Returns the limits for callers in force, and at least the default size of a head.
fn caller_limits(state: &GatewayState) -> CallerLimits {
    let least = CallerLimits::default();
    let Ok(active) = state.config.active(state.clock.now()) else { return least };
    let limits = active.bundle.callers;
    CallerLimits { header_bytes: limits.header_bytes.max(least.header_bytes), ..limits }
}

/// Serves a caller's connection until the caller, a limit or a planned stop closes it.
async fn serve_connection(
    state: Arc<GatewayState>,
    stream: TcpStream,
    connection: ClientConnection,
) {
    // Send the small frames of a token stream at once (Nagle's algorithm would delay them).
    let _ = stream.set_nodelay(true);
    let limits = caller_limits(&state);
    let head_bytes = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX);
    let io = connection.wrap(stream, Duration::from_millis(limits.header_ms) + HEAD_SLACK);
    let closed = connection.closed();
    let serving = Arc::clone(&state);
    // A request's state is large, and most connections are idle most of the time.
    let service = service_fn(move |request| {
        let (state, guard) = (Arc::clone(&serving), connection.begin_request());
        let serving =
            async move { Ok::<_, Infallible>(serve_request(state, request, guard).await) };
        Box::pin(serving)
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(head_bytes + HEAD_MARGIN)
        .max_headers(head_bytes / MIN_FIELD_BYTES)
        .serve_connection(TokioIo::new(io), service);
    tokio::pin!(served);
    let closing = async {
        state.stop.cancelled().await;
        tokio::time::sleep(DRAIN_DELAY).await;
    };
    tokio::select! {
        // Errors on a caller's connection need no handling: the caller notices them.
        _ = served.as_mut() => return,
        () = closed.cancelled() => return,
        () = closing => {}
    }
    served.as_mut().graceful_shutdown();
    tokio::select! {
        _ = served => {}
        () = closed.cancelled() => {}
    }
}

/// Answer to a caller that holds the request's memory until it has been sent.
type SentAnswer = Response<GuardedBody<AnswerBody, (RequestGuard, Arc<HeldMemory>)>>;

/// Handles one request from its head to the caller's answer.
async fn serve_request(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
    guard: RequestGuard,
) -> SentAnswer {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let request_line = format!("{} {}", parts.method, parts.uri.path());
    let memory = Arc::new(state.memory.open(guard.closed()));
    let prepared = prepare(&state, parts, body, arrived, &memory).await;
    guard.received();
    memory.set_phase(RequestPhase::Running);
    let (id, result) = match prepared {
        Ok(call) => {
            let call = Arc::new(call);
            let result = match (suspects::check(&state, &call), call.stream()) {
                (Err(refusal), _) => Err(refusal),
                (Ok(_), Some(_)) => streaming::answer(&state, Arc::clone(&call)).await,
                (Ok(_), None) => buffered::answer(&state, &call).await,
            };
            (call.head.id.clone(), result)
        }
        Err((id, refusal)) => (id, Err(refusal)),
    };
    let outcome = match &result {
        Ok(_) => "answered",
        Err(refusal) => refusal.name(),
    };
    let status = result.as_ref().ok().map(|answer| answer.status().as_u16());
    slog::info!(state.log, "request"; "request" => %id, "line" => request_line, "outcome" => outcome,
        "status" => status, "ms" => arrived.elapsed().as_millis() as u64,
        "revision" => state.config.applied().0);
    state.metrics.call(arrived.elapsed().as_secs_f64(), "passed", outcome);
    let mut answer = result.unwrap_or_else(|refusal| refusal_answer(&state, refusal));
    if state.stop.is_cancelled() {
        // Makes the caller open its next connection, which the balancer sends to another VM.
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer.map(|body| GuardedBody::new(body, (guard, memory)))
}

type Refused = (CompactString, Refusal);

async fn prepare(
    state: &GatewayState,
    parts: request::Parts,
    body: Incoming,
    arrived: Instant,
    memory: &Arc<HeldMemory>,
) -> Result<Call, Refused> {
    let full = |OutOfMemory| Refusal::Unavailable { retry_after: MEMORY_RETRY_AFTER };
    memory.grow(head_memory(&parts)).map_err(|error| (CompactString::default(), full(error)))?;
    let head = state.dialect.read_call(&parts);
    let head = head.ok_or((CompactString::default(), Refusal::Malformed))?;
    let refuse = |refusal| (head.id.clone(), refusal);
    let bundle = state.config.active(state.clock.now());
    let bundle =
        bundle.map_err(|_| refuse(Refusal::Unavailable { retry_after: NO_BUNDLE_RETRY_AFTER }))?;
    let route = bundle.route(&head.host, parts.uri.path()).cloned();
    let sender = identify(&bundle, route.as_ref(), &head.key).map_err(refuse)?;
    let route = route.ok_or_else(|| refuse(Refusal::NoRoute))?;
    let limit = usize::try_from(bundle.bundle.callers.body_bytes).unwrap_or(usize::MAX);
    let timeout = Duration::from_millis(route.timeout_ms);
    let body_timeout = head.timeout.unwrap_or(timeout).min(timeout).min(BODY_TIMEOUT);
    let reading = request_body::read(body, limit, memory);
    let reading = tokio::time::timeout_at(arrived + body_timeout, reading).await;
    let body = reading.unwrap_or(Err(BodyError::TimedOut)).map_err(|error| match error {
        BodyError::TooLarge => Refusal::TooLarge,
        // The caller has disconnected and does not read the answer.
        BodyError::Incomplete => Refusal::Malformed,
        BodyError::TimedOut => Refusal::Unavailable { retry_after: Duration::ZERO },
        BodyError::OutOfMemory(error) => full(error),
    });
    let received = Received { body: body.map_err(refuse)?, memory: Arc::clone(memory) };
    let program = head.turn.as_ref().map(|turn| &turn.program);
    let pool = choose_pool(&route, program.unwrap_or(&head.id));
    Ok(Call::new(head, parts, received, RouteMatch { route, pool, bundle, sender }, arrived))
}

/// Returns the memory of a request's head.
fn head_memory(parts: &request::Parts) -> usize {
    let text = |(name, value): (&http::HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    let texts: usize = parts.headers.iter().map(text).sum();
    REQUEST_MEMORY + texts + parts.headers.len() * FIELD_MEMORY
}

/// Determines who sends a request.
///
/// A caller without a key doesn't learn which routes exist, since the key is checked first.
fn identify(
    bundle: &ActiveBundle,
    route: Option<&Route>,
    key: &KeyHeader,
) -> Result<Sender, Refusal> {
    if !bundle.has_keys() {
        return Ok(Sender::default());
    }
    let holder = match key {
        KeyHeader::Key(key) => bundle.holder(key.reveal()),
        KeyHeader::Absent | KeyHeader::Malformed => None,
    };
    let is_open = route.is_some_and(|route| route.access == Access::Open);
    match holder {
        Some(org) => Ok(Sender::of(org)),
        None if is_open => Ok(Sender { identity: Identity::Anonymous, ..Sender::default() }),
        None => Err(Refusal::Unauthorized),
    }
}
