//! Requests whose answer is a stream of events.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::policy::mechanism::Mechanism;
use gypsumglade_core::policy::overload::{self, ProgramStatus};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use super::call::{Answer, Call};
use super::dialect::Refusal;
use super::lines::forwarded;
use super::opening::{Attempts, open};
use super::placing::{note_run, pool_load};
use super::plain::read_whole;
use super::relay::{Relay, RelayFrame, Source, Timeline};
use super::settlement::{Held, Leave, reserve};
use super::state::GatewayState;

/// Frames that may wait for a caller that reads slowly before its endpoint is slowed down.
const FRAME_BUFFER: usize = 16;

/// Answers a request with an endpoint's stream.
///
/// The head goes out with the first event, not before: until then the request can still be sent
/// elsewhere, or be refused with a word on whether it ran.
pub(super) async fn answer(state: &Arc<GatewayState>, call: Arc<Call>) -> Result<Answer, Refusal> {
    let Leave { body, under_way, ran, held } = reserve(state, &call).await?;
    let mechanisms = state.settings.policy.mechanisms();
    if let Some(run) = ran.as_ref().filter(|_| mechanisms.has(Mechanism::LastRun)) {
        note_run(state, run);
    }
    let reserved = call.arrived.elapsed();
    let started = match admitted(state, &call, under_way) {
        Ok(()) => start(state, &call, &body).await,
        Err(refusal) => Err(refusal),
    };
    match started? {
        Started::Stream(mut relay, head) => {
            relay.reservation = held.and_then(Held::take);
            relay.timeline = Timeline { reserved, first: call.arrived.elapsed() };
            let (sender, receiver) = mpsc::channel(FRAME_BUFFER);
            state.tasks.spawn(relay.run(sender));
            Ok(streamed(*head, receiver))
        }
        Started::Whole(answer) => Ok(answer),
    }
}

/// Turns a new program away while its pool has more work than it can do in time.
fn admitted(state: &GatewayState, call: &Call, under_way: bool) -> Result<(), Refusal> {
    if !state.settings.policy.mechanisms().has(Mechanism::Admission) {
        return Ok(());
    }
    let load = pool_load(state, call);
    let standing = ProgramStatus { rank: call.route.rank, under_way };
    let spread = rand::random::<f64>();
    overload::admit(load, standing, spread).map_err(|after| {
        slog::info!(state.log, "new program turned away"; "request" => %call.head.id,
            "route" => %call.route.name, "calls" => load.calls, "slots" => load.slots,
            "stretch" => load.slowdown);
        Refusal::Unavailable { after }
    })
}

enum Started {
    /// A stream with its first event read.
    Stream(Box<Relay>, Box<http::response::Parts>),
    /// An answer that is no stream.
    Whole(Answer),
}

async fn start(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    body: &Bytes,
) -> Result<Started, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        let opened = open(state, call, body, call.head.last_event, &mut attempts).await?;
        attempts.runs += 1;
        if opened.response.status() != StatusCode::OK {
            match read_whole(state, call, opened).await? {
                Some(answer) => return Ok(Started::Whole(answer)),
                None => return Err(Refusal::Lost),
            }
        }
        let (parts, stream) = opened.response.into_parts();
        let source = Source::new(stream, opened.flight, opened.channel, opened.head);
        let mut relay = Relay::new(Arc::clone(state), Arc::clone(call), body.clone(), source);
        let first = tokio::time::timeout(call.left(), relay.read_first()).await;
        match first {
            Ok(true) => return Ok(Started::Stream(Box::new(relay), Box::new(parts))),
            Ok(false) => {}
            Err(_) => return Err(Refusal::TimedOut),
        }
        if !attempts.may_repeat(call) {
            return Err(Refusal::Lost);
        }
    }
}

fn streamed(head: http::response::Parts, frames: mpsc::Receiver<RelayFrame>) -> Answer {
    let body = StreamBody::new(ReceiverStream::new(frames));
    let mut answer = Response::new(BodyExt::boxed(body));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = forwarded(&head.headers);
    answer
}
