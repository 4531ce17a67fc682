//! Requests with one whole answer.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt as _, Limited};

use super::call::{Answer, Call, whole};
use super::dialect::Refusal;
use super::lines::{forwarded, is_encoded};
use super::opening::{Attempts, Opened, open};
use super::state::GatewayState;

/// Most bytes of an answer that is read whole before it is passed on.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Answers a request with an endpoint's whole answer.
///
/// It is read to its end before a byte goes to the caller: an answer that breaks off or is spoilt
/// on the way can then still be asked for again, or be told as lost, and never looks like a success.
pub(super) async fn answer(state: &Arc<GatewayState>, call: &Call) -> Result<Answer, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        let opened = open(state, call, &call.body, None, &mut attempts).await?;
        attempts.runs += 1;
        if let Some(answer) = read_whole(state, call, opened).await? {
            return Ok(answer);
        }
        if !attempts.may_repeat(call) {
            return Err(Refusal::Lost);
        }
    }
}

/// Reads an answer to its end; `None` if it broke off.
pub(super) async fn read_whole(
    state: &GatewayState,
    call: &Call,
    opened: Opened,
) -> Result<Option<Answer>, Refusal> {
    let Opened { response, head, channel, flight } = opened;
    let (parts, body) = response.into_parts();
    let reading = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let read = tokio::time::timeout(call.left(), reading).await;
    let read = read.map_err(|_| Refusal::TimedOut)?;
    let (Ok(collected), false) = (read, is_encoded(&parts)) else {
        flight.failed();
        return Ok(None);
    };
    flight.finished();
    state.channels.keep(channel, &head);
    Ok(Some(passed_on(parts, collected.to_bytes())))
}

fn passed_on(parts: http::response::Parts, body: Bytes) -> Answer {
    let mut answer = Response::new(whole(body));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = forwarded(&parts.headers);
    answer
}

/// Returns the answer to a request that has none of an endpoint.
pub(super) fn refused(state: &GatewayState, refusal: Refusal) -> Answer {
    state.dialect.refuse(&refusal).map(whole)
}
