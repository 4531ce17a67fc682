//! What an operator does with a bundle: roll it, and wait until it is in force.

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
/// Returns the findings of a bundle whose content does not hold.
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

/// Signs content with one key.
///
/// # Errors
/// Returns the findings of content that does not hold.
pub fn sign(content: &str, key: &KeyPair) -> Result<SignedBundle, Findings> {
    let mut bundle = SignedBundle::new(content.to_owned().into())?;
    bundle.sign(key)?;
    Ok(bundle)
}

/// Gives a command to the control group; `None` when no leader answered.
pub async fn submit(control: &ControlClient, command: Command) -> Option<Answer> {
    let request = ControlRequest { body: Some(RequestBody::Command(command)) };
    match control.ask(&request).await?.body? {
        ReplyBody::Answer(answer) => Some(answer),
        ReplyBody::Status(_) | ReplyBody::NotLeader(_) | ReplyBody::Uncertain(_) => None,
    }
}

/// Asks how far a revision is in force; zero asks about the current one.
pub async fn status(control: &ControlClient, revision: RevisionNumber) -> Option<Status> {
    let query = StatusQuery { revision: revision.0 };
    let request = ControlRequest { body: Some(RequestBody::Status(query)) };
    match control.ask(&request).await?.body? {
        ReplyBody::Status(status) => Some(status),
        ReplyBody::Answer(_) | ReplyBody::NotLeader(_) | ReplyBody::Uncertain(_) => None,
    }
}
