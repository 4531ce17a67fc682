//! Builds the replies of a program group.

use std::fmt::Display;

use bytes::Bytes;

use super::history::History;
use super::messages::HASH_LEN;
use super::state::{Call, CallKey, Phase, QualifiedName, State};
use crate::wire::program as wire;
use crate::wire::program::Refusal;
use crate::wire::program::reply::Body;

/// Builds a refusal; `detail` is the explanation that the caller gets.
pub fn refused(code: Refusal, detail: impl Display) -> wire::Refused {
    wire::Refused { code: code.into(), detail: detail.to_string(), leader: 0, retry_ms: 0 }
}

/// Wraps a body in a reply.
pub(super) fn reply(body: Body) -> wire::Reply {
    wire::Reply { body: Some(body) }
}

/// Builds a reply that refuses a request.
pub(super) fn refusal(code: Refusal, detail: impl Display) -> wire::Reply {
    reply(Body::Refused(refused(code, detail)))
}

/// Builds the reply for a call whose outcome is unknown.
pub(super) fn unknown(call: &Call, detail: &str) -> wire::Reply {
    let dispatch = call.dispatch.to_string();
    reply(Body::Unknown(wire::Unknown { dispatch, detail: detail.into() }))
}

/// Builds the reply for a call whose begin is proposed and whose dispatch is not recorded yet.
pub(super) fn unknown_proposed(detail: &str) -> wire::Reply {
    reply(Body::Unknown(wire::Unknown { dispatch: String::new(), detail: detail.into() }))
}

/// Builds the reply with a recorded answer.
pub(super) fn recorded(answer: &Bytes, status: u32, turn: u64) -> wire::Reply {
    reply(Body::Recorded(wire::Recorded { answer: answer.clone(), status, turn }))
}

/// Builds the grant of a running call; returns `None` in any other phase.
pub(super) fn grant(state: &State, key: CallKey) -> Option<wire::Reply> {
    let call = &state.calls[key];
    let Phase::Running(attempt) = &call.phase else { return None };
    let program = &state.programs[call.program];
    let (history, prior) = match call.turn {
        0 => (Bytes::new(), 0),
        _ => program.history.assemble(&attempt.messages),
    };
    let due = state.deadline_ms(call.program);
    Some(reply(Body::Grant(wire::Grant {
        dispatch: call.dispatch.to_string(),
        turn: call.turn,
        history,
        prior,
        endpoints: program.endpoints.iter().map(ToString::to_string).collect(),
        max_output: attempt.max_output,
        attempt: call.attempt,
        isolate: attempt.isolate,
        remaining_ms: due.map_or(0, |due| due.saturating_sub(state.clock_ms).max(1)),
    })))
}

/// Builds the grant of a begin that is proposed but not applied.
pub(super) fn early_grant(state: &State, begin: &wire::Begin) -> wire::Reply {
    let name = QualifiedName::from_wire(begin.program.as_ref());
    let program = state.find(&name);
    let (history, prior) = match (begin.turn, program) {
        (0, _) => (Bytes::new(), 0),
        (_, Some(program)) => program.history.assemble(&begin.messages),
        (_, None) => History::default().assemble(&begin.messages),
    };
    let attempts = state.find_call(&name, &begin.key).map_or(0, |key| state.calls[key].attempt);
    let due = state.names.get(&name).and_then(|key| state.deadline_ms(*key));
    let endpoints = program.map_or(&[][..], |program| &program.endpoints);
    reply(Body::Grant(wire::Grant {
        dispatch: begin.dispatch.clone(),
        turn: begin.turn,
        history,
        prior,
        endpoints: endpoints.iter().map(ToString::to_string).collect(),
        max_output: begin.max_output,
        attempt: attempts + 1,
        isolate: false,
        remaining_ms: due.map_or(0, |due| due.saturating_sub(state.clock_ms).max(1)),
    }))
}

/// Reads a content hash from the wire; one of the wrong length reads as zeros.
pub(super) fn read_hash(bytes: &[u8]) -> [u8; HASH_LEN] {
    bytes.try_into().unwrap_or_default()
}
