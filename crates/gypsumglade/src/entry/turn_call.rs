//! A model call, assembled from its headers, its body and the bundle.

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::Class;
use gypsumglade_core::wire::program::{BeginTurn, ProgramRef};

use super::chat_request::ChatRequest;
use super::state::EntryState;

/// Estimated bytes of text per token, used until an engine reports token counts.
pub(super) const BYTES_PER_TOKEN: u64 = 4;

/// A checked model call.
#[derive(Clone, Debug)]
pub struct TurnCall {
    /// Organisation of the caller.
    pub org: OrgName,
    /// Program that the call belongs to.
    pub program: ProgramName,
    /// Parent program, empty for a root program.
    pub parent: ProgramName,
    /// Agent program, as the bundle defines it.
    pub agent: gypsumglade_core::bundle::Agent,
    /// Model, as the bundle defines it.
    pub model: gypsumglade_core::bundle::Model,
    /// Bundle revision under which the call was read.
    pub revision: RevisionNumber,
    /// Idempotency key, generated if the caller sent none.
    pub key: CompactString,
    /// Turn number, or zero for the next turn.
    pub turn: u64,
    /// Urgency class.
    pub class: Class,
    /// Time at which the caller stops waiting.
    pub deadline: Option<Time>,
    /// Parsed body.
    pub request: ChatRequest,
    /// True when the caller sent the key itself, so that it may resend the call.
    pub has_key: bool,
}

/// Returns the grant request of a call.
pub(super) fn begin_turn(state: &EntryState, call: &TurnCall) -> BeginTurn {
    let budget = call.agent.budget;
    let prompt = call.request.messages.len() as u64 / BYTES_PER_TOKEN + 1;
    // Saturates, since an overflow would reserve almost nothing for a huge call.
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
        boot_id: state.boot_id,
        ..BeginTurn::default()
    }
}

/// Returns the wire reference of the call's program.
pub(super) fn program_ref(call: &TurnCall) -> ProgramRef {
    ProgramRef { org: call.org.to_string(), program: call.program.to_string() }
}

/// Returns the time until the caller's deadline, or `None` if it gave none.
pub(super) fn time_left(state: &EntryState, call: &TurnCall) -> Option<Duration> {
    call.deadline.map(|deadline| deadline.since(state.clock.now()))
}
