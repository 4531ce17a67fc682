//! Requests whose answer is read completely before it is passed on.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::policy::memory_budget::RequestPhase;
use http::Response;

use super::attempt::{Attempts, EndpointAnswer, send_until_answered};
use super::broken_attempt::{self, CrashReport};
use super::call::{Answer, Call, full_body};
use super::dialect::Refusal;
use super::headers::{forwarded_headers, is_encoded};
use super::quota;
use super::state::GatewayState;
use super::suspects;
use crate::request_body::{self, BodyError};

/// Largest answer that is buffered.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Sends a request and returns the endpoint's complete answer.
///
/// The caller gets nothing before the answer has been read to its end, so an incomplete answer can
/// still lead to a retry or an error and is never taken for a success.
pub(super) async fn answer(state: &Arc<GatewayState>, call: &Arc<Call>) -> Result<Answer, Refusal> {
    quota::admit(state, call).await?;
    let mut attempts = Attempts::default();
    loop {
        let answer = send_until_answered(state, call, &call.body, None, &mut attempts).await?;
        attempts.runs += 1;
        let broken = match read_to_end(state, call, answer).await? {
            ReadEnd::Whole(answer) => return Ok(answer),
            ReadEnd::Unusable => None,
            ReadEnd::Broken(report) => Some(report),
        };
        if !attempts.may_retry(call) {
            return Err(Refusal::Lost);
        }
        if let Some(report) = broken {
            report.finish().await;
        }
    }
}

/// How reading an answer ended.
pub(super) enum ReadEnd {
    /// The answer is complete.
    Whole(Answer),
    /// The answer is too large or has a content encoding.
    Unusable,
    /// The endpoint has broken off the answer.
    Broken(CrashReport),
}

/// Reads an answer to its end.
pub(super) async fn read_to_end(
    state: &Arc<GatewayState>,
    call: &Call,
    answer: EndpointAnswer,
) -> Result<ReadEnd, Refusal> {
    let EndpointAnswer { response, head, connection, dispatch } = answer;
    let (parts, body) = response.into_parts();
    let reading = request_body::read(body, MAX_ANSWER_BYTES, &call.memory);
    let read = tokio::time::timeout(call.time_left(), reading).await;
    let body = match read.unwrap_or(Err(BodyError::TimedOut)) {
        Ok(body) if !is_encoded(&parts) => body,
        Err(BodyError::Incomplete) => {
            return Ok(ReadEnd::Broken(broken_attempt::record(state, call, dispatch)));
        }
        // The endpoint is not at fault, and has run the request.
        Err(BodyError::OutOfMemory(_)) => return Err(Refusal::Lost),
        Err(BodyError::TimedOut) => return Err(Refusal::TimedOut),
        Ok(_) | Err(BodyError::TooLarge) => {
            dispatch.failed();
            return Ok(ReadEnd::Unusable);
        }
    };
    call.memory.set_phase(RequestPhase::Answering);
    dispatch.finished();
    suspects::clear(state, call);
    state.connections.put_back(connection, &head);
    Ok(ReadEnd::Whole(into_answer(parts, body)))
}

fn into_answer(parts: http::response::Parts, body: Bytes) -> Answer {
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = forwarded_headers(&parts.headers);
    answer
}

/// Returns the caller's answer to a request that no endpoint has answered.
pub(super) fn refusal_answer(state: &GatewayState, refusal: Refusal) -> Answer {
    state.dialect.refuse(&refusal).map(full_body)
}
