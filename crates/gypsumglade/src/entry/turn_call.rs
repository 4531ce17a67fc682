//! One model call as its headers, body and bundle make it.

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::Class;
use gypsumglade_core::wire::program::{BeginTurn, ProgramRef};

use super::chat_request::ChatRequest;
use super::state::EntryState;

/// Bytes of text that count as one token, for estimates before an engine has counted.
pub(super) const BYTES_PER_TOKEN: u64 = 4;

/// One model call, from its headers, body and bundle.
#[derive(Clone, Debug)]
pub struct TurnCall {
    /// Organisation.
    pub org: OrgName,
    /// Program.
    pub program: ProgramName,
    /// Parent program, empty for a root.
    pub parent: ProgramName,
    /// Agent program of the bundle.
    pub agent: gypsumglade_core::bundle::Agent,
    /// Model of the bundle.
    pub model: gypsumglade_core::bundle::Model,
    /// Bundle revision acted under.
    pub revision: RevisionNumber,
    /// Idempotency key.
    pub key: CompactString,
    /// Turn number, or zero for the next.
    pub turn: u64,
    /// Urgency.
    pub class: Class,
    /// When the caller gives up.
    pub deadline: Option<Time>,
    /// The body.
    pub request: ChatRequest,
    /// True when the caller will resend under the key if it loses the answer.
    pub has_key: bool,
}

/// Returns the request for the right to run the call.
pub(super) fn begin_turn(state: &EntryState, call: &TurnCall) -> BeginTurn {
    let budget = call.agent.budget;
    let prompt = call.request.messages.len() as u64 / BYTES_PER_TOKEN + 1;
    // A price that wrapped round would reserve next to nothing for the largest call of all.
    let output_price = call.request.max_output.saturating_mul(call.model.output_micros);
    let price = prompt.saturating_mul(call.model.input_micros).saturating_add(output_price);
    BeginTurn {
        program: Some(program_ref(call)),
        key: call.key.to_string(),
        turn: call.turn,
        messages: call.request.messages.clone(),
        parent: call.parent.to_string(),
        budget: Some(super::call_budget(&budget)),
        max_output: call.request.max_output,
        max_micros: price,
        class: call.class.into(),
        deadline_ms: time_left(state, call).map_or(0, |left| left.as_millis() as u64),
        revision: call.revision.0,
        agent: call.agent.name.to_string(),
        digest: call.request.digest(),
        idle_ms: call.agent.idle_ms,
        nonce: super::unique_id(state),
        ..BeginTurn::default()
    }
}

/// Names the call's program on the wire.
pub(super) fn program_ref(call: &TurnCall) -> ProgramRef {
    ProgramRef { org: call.org.to_string(), program: call.program.to_string() }
}

/// Returns how long the caller still waits, `None` if it gave no deadline.
pub(super) fn time_left(state: &EntryState, call: &TurnCall) -> Option<Duration> {
    call.deadline.map(|deadline| deadline.since(state.clock.now()))
}
