//! What a caller asks for, model call and service call alike, read once and checked.

use bytes::Bytes;

use super::messages::{MessageHash, Prompt, fingerprint, parse_messages};
use super::settings::Settings;
use super::state::QualifiedName;
use crate::prelude::*;
use crate::wire::program as wire;

/// A request to run a call.
#[derive(Clone, Debug)]
pub(super) struct CallRequest {
    pub(super) name: QualifiedName,
    pub(super) key: CompactString,
    pub(super) content: MessageHash,
    pub(super) revision: RevisionNumber,
    pub(super) parent: CompactString,
    pub(super) budget: wire::Budget,
    pub(super) max_micros: u64,
    pub(super) idle_ms: u64,
    /// Milliseconds the caller waits; zero for no deadline.
    pub(super) timeout_ms: u64,
    pub(super) nonce: CompactString,
    pub(super) repeatable: bool,
    pub(super) digest: Bytes,
    pub(super) model: Option<ModelRequest>,
}

/// What only a model call has.
#[derive(Clone, Debug)]
pub(super) struct ModelRequest {
    pub(super) prompt: Prompt,
    /// Zero for the next turn.
    pub(super) turn: u64,
    pub(super) max_output: u64,
    /// Zero for the bytes of the prompt.
    pub(super) prompt_tokens: u64,
}

impl CallRequest {
    /// Reads a model call, or tells what is wrong with it.
    pub(super) fn from_turn(
        turn: &wire::BeginTurn,
        settings: &Settings,
    ) -> Result<CallRequest, String> {
        let prompt = parse_messages(&turn.messages)?;
        let content = fingerprint(&[b"turn".as_slice(), &turn.digest, &prompt.hash_bytes(0)]);
        let request = CallRequest {
            name: checked_name(turn.program.as_ref(), &turn.key)?,
            key: (&turn.key).into(),
            content,
            revision: RevisionNumber(turn.revision),
            parent: (&turn.parent).into(),
            budget: turn.budget.unwrap_or_default(),
            max_micros: turn.max_micros,
            idle_ms: turn.idle_ms,
            timeout_ms: turn.deadline_ms,
            nonce: (&turn.nonce).into(),
            repeatable: true,
            digest: turn.digest.clone(),
            model: Some(ModelRequest {
                prompt,
                turn: turn.turn,
                max_output: match turn.max_output {
                    0 => settings.output_tokens,
                    bound => bound,
                },
                prompt_tokens: turn.prompt_tokens,
            }),
        };
        Ok(request)
    }

    /// Reads a service call, or tells what is wrong with it.
    pub(super) fn from_call(call: &wire::BeginCall) -> Result<CallRequest, String> {
        let parts =
            [b"call".as_slice(), call.service.as_bytes(), call.operation.as_bytes(), &call.digest];
        let content = fingerprint(&parts);
        Ok(CallRequest {
            name: checked_name(call.program.as_ref(), &call.key)?,
            key: (&call.key).into(),
            content,
            revision: RevisionNumber(call.revision),
            parent: (&call.parent).into(),
            budget: call.budget.unwrap_or_default(),
            max_micros: call.max_micros,
            idle_ms: call.idle_ms,
            timeout_ms: call.deadline_ms,
            nonce: (&call.nonce).into(),
            repeatable: call.repeatable,
            digest: Bytes::copy_from_slice(&content),
            model: None,
        })
    }

    /// Returns the digest of all that an engine would get: the same wherever it is sent from.
    pub(super) fn crash_digest(&self, stored: &[MessageHash], skip: usize) -> MessageHash {
        let Some(model) = &self.model else { return self.content };
        let fresh = model.prompt.hash_bytes(skip);
        let whole = [&stored.concat()[..], &fresh[..]].concat();
        fingerprint(&[b"crash".as_slice(), &self.digest, &whole])
    }
}

fn checked_name(program: Option<&wire::ProgramRef>, key: &str) -> Result<QualifiedName, String> {
    let name = QualifiedName::from_wire(program);
    if name.org.is_empty() || name.program.is_empty() {
        return Err("the request names no organisation or no program".into());
    }
    if key.is_empty() {
        return Err("the request carries no idempotency key".into());
    }
    Ok(name)
}
