//! Requests whose answer is a stream of events.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::policy::mechanism::Mechanism;
use gypsumglade_core::policy::overload::{self, ProgramStatus};
use gypsumglade_core::turns::Assignment;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::attempt::{Attempts, send_until_answered};
use super::buffered::{ReadEnd, read_to_end};
use super::call::{Answer, Call};
use super::dialect::Refusal;
use super::headers::forwarded_headers;
use super::placement::{pool_load, record_prompt_run};
use super::relay::{Relay, RelayFrame, Source, Timeline};
use super::settlement::{ReservationGuard, ReservedTurn, reserve};
use super::state::GatewayState;

/// Frames buffered for a slow caller before reading from the endpoint pauses.
const FRAME_BUFFER: usize = 16;

/// Answers a request with an endpoint's event stream.
///
/// The caller gets the head together with the first event. Until then the request can be sent to
/// another endpoint, or be refused with a status that states whether it may have run.
pub(super) async fn answer(state: &Arc<GatewayState>, call: Arc<Call>) -> Result<Answer, Refusal> {
    let ReservedTurn { body, under_way, last_run, assigned, guard } = reserve(state, &call).await?;
    let mechanisms = state.settings.policy.mechanisms();
    if let Some(run) = last_run.as_ref().filter(|_| mechanisms.has(Mechanism::LastRun)) {
        record_prompt_run(state, run);
    }
    let reserved = call.arrived.elapsed();
    let engine = assigned.as_ref().map(|assignment| assignment.endpoint.clone());
    let stream = match admit(state, &call, under_way) {
        Ok(()) => start_stream(state, &call, &body, assigned).await,
        Err(refusal) => Err(refusal),
    };
    match stream? {
        StreamStart::Stream(mut relay, head) => {
            relay.reservation = guard.and_then(ReservationGuard::take);
            relay.assigned = engine;
            relay.timeline = Timeline { reserved, first: call.arrived.elapsed() };
            let (sender, receiver) = mpsc::channel(FRAME_BUFFER);
            state.tasks.spawn(relay.run(sender));
            Ok(stream_answer(*head, receiver))
        }
        StreamStart::Whole(answer) => Ok(answer),
    }
}

/// Refuses the first turn of a program while its pool is overloaded.
fn admit(state: &GatewayState, call: &Call, under_way: bool) -> Result<(), Refusal> {
    if !state.settings.policy.mechanisms().has(Mechanism::Admission) {
        return Ok(());
    }
    let load = pool_load(state, call);
    let status = ProgramStatus { rank: call.rank(), under_way };
    let spread = rand::random::<f64>();
    overload::admit(load, status, spread).map_err(|retry_after| {
        slog::info!(state.log, "new program refused, its pool is overloaded"; "request" => %call.head.id,
            "route" => %call.route.name, "calls" => load.calls, "slots" => load.slots,
            "stretch" => load.slowdown);
        Refusal::Unavailable { retry_after }
    })
}

enum StreamStart {
    /// A stream whose first event has been read, and its head.
    Stream(Box<Relay>, Box<http::response::Parts>),
    /// A complete answer with a status other than 200.
    Whole(Answer),
}

async fn start_stream(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    body: &Bytes,
    assigned: Option<Assignment>,
) -> Result<StreamStart, Refusal> {
    let mut attempts = Attempts { assigned, ..Attempts::default() };
    loop {
        let answer =
            send_until_answered(state, call, body, call.head.last_event, &mut attempts).await?;
        attempts.runs += 1;
        if answer.response.status() != StatusCode::OK {
            match read_to_end(state, call, answer).await? {
                ReadEnd::Whole(answer) => return Ok(StreamStart::Whole(answer)),
                ReadEnd::Unusable | ReadEnd::Broken(_) => return Err(Refusal::Lost),
            }
        }
        let (parts, stream) = answer.response.into_parts();
        let source = Source::new(stream, answer.dispatch, answer.connection, answer.head);
        let (state, call) = (Arc::clone(state), Arc::clone(call));
        let mut relay = Relay::new(state, Arc::clone(&call), body.clone(), source, attempts);
        let first = tokio::time::timeout(call.time_left(), relay.read_first_event()).await;
        let broken = match first {
            Ok(true) => return Ok(StreamStart::Stream(Box::new(relay), Box::new(parts))),
            Ok(false) => relay.record_break(),
            Err(_) => return Err(Refusal::TimedOut),
        };
        attempts = relay.attempts;
        if !attempts.may_retry(&call) {
            return Err(Refusal::Lost);
        }
        if let Some(report) = broken {
            report.finish().await;
        }
    }
}

fn stream_answer(head: http::response::Parts, frames: mpsc::Receiver<RelayFrame>) -> Answer {
    let body = StreamBody::new(ReceiverStream::new(frames));
    let mut answer = Response::new(BodyExt::boxed(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = forwarded_headers(&head.headers);
    answer
}
