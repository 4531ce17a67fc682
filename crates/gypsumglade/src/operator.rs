//! Operators' requests to the control group: rolling out a bundle, and its status.

use gypsumglade_core::bundle::{Findings, KeyPair, SignedBundle};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::content::Body as ContentBody;
use gypsumglade_core::wire::control::{Accept, Answer, Command, Content};
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::control_request::Body as RequestBody;
use gypsumglade_core::wire::operator::{ControlRequest, Status, StatusQuery};

use crate::admin::ControlClient;

/// Returns the command that rolls a signed bundle out on top of revision `base`.
///
/// # Errors
/// Returns the findings if the bundle's content is invalid.
pub fn accept_command(
    bundle: &SignedBundle,
    base: RevisionNumber,
    order_id: &str,
) -> Result<Command, Findings> {
    let parsed = gypsumglade_core::bundle::Bundle::parse(&bundle.content)?;
    let accept = Accept {
        order_id: order_id.to_owned(),
        base_revision: base.0,
        version: parsed.version.to_string(),
        digest: bundle.digest().to_wire(),
        content: Some(Content { body: Some(ContentBody::Whole(bundle.content.clone())) }),
        signatures: bundle.signatures.iter().map(|signature| signature.to_wire()).collect(),
    };
    Ok(Command { body: Some(CommandBody::Accept(accept)) })
}

/// Creates a bundle from `content` with the signature of one key.
///
/// # Errors
/// Returns the findings if the content is invalid.
pub fn sign(content: &str, key: &KeyPair) -> Result<SignedBundle, Findings> {
    let mut bundle = SignedBundle::new(content.to_owned().into())?;
    bundle.sign(key)?;
    Ok(bundle)
}

/// Sends a command to the control group. Returns `None` if no leader answered.
pub async fn submit(control: &ControlClient, command: Command) -> Option<Answer> {
    let request = ControlRequest { body: Some(RequestBody::Command(command)) };
    match control.ask(&request).await?.body? {
        ReplyBody::Answer(answer) => Some(answer),
        ReplyBody::Status(_)
        | ReplyBody::Content(_)
        | ReplyBody::NotLeader(_)
        | ReplyBody::Uncertain(_) => None,
    }
}

/// Asks whether a revision is in force; zero means the current one. Returns `None` if no leader
/// answered.
pub async fn status(control: &ControlClient, revision: RevisionNumber) -> Option<Status> {
    let query = StatusQuery { revision: revision.0 };
    let request = ControlRequest { body: Some(RequestBody::Status(query)) };
    match control.ask(&request).await?.body? {
        ReplyBody::Status(status) => Some(status),
        ReplyBody::Answer(_)
        | ReplyBody::Content(_)
        | ReplyBody::NotLeader(_)
        | ReplyBody::Uncertain(_) => None,
    }
}
