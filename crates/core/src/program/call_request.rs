//! Parsed and checked requests to run a model call or a service call.

use bytes::Bytes;

use super::messages::{MessageHash, Prompt, fingerprint, parse_messages};
use super::settings::Settings;
use super::state::QualifiedName;
use crate::prelude::*;
use crate::wire::program as wire;

/// Request to run a call.
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
    /// Milliseconds that the caller still waits; zero for no deadline.
    pub(super) timeout_ms: u64,
    pub(super) nonce: CompactString,
    /// Boot id of the process that asks.
    pub(super) boot_id: u32,
    pub(super) repeatable: bool,
    pub(super) digest: Bytes,
    pub(super) model: Option<ModelRequest>,
}

/// Fields that only a model call has.
#[derive(Clone, Debug)]
pub(super) struct ModelRequest {
    pub(super) prompt: Prompt,
    /// Turn number that the caller gave; zero for the next turn.
    pub(super) turn: u64,
    pub(super) max_output: u64,
    /// Upper bound of the prompt tokens; zero uses the size of history and prompt in bytes.
    pub(super) prompt_tokens: u64,
}

impl CallRequest {
    /// Parses a model call; returns a description of the problem if it is invalid.
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
            boot_id: turn.boot_id,
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

    /// Parses a service call; returns a description of the problem if it is invalid.
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
            boot_id: call.boot_id,
            repeatable: call.repeatable,
            digest: Bytes::copy_from_slice(&content),
            model: None,
        })
    }

    /// Returns the digest of everything that the engine receives, independent of program and group.
    ///
    /// `stored` are the hashes of the program's history, and `skip` is the number of messages of
    /// the prompt that the history already contains.
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
        return Err("the request does not name its organisation and program".into());
    }
    if key.is_empty() {
        return Err("the request has no idempotency key".into());
    }
    Ok(name)
}
