//! One revision: bundle content, who signed it, and the number it took.

use bytes::Bytes;

use crate::bundle::{
    Bundle, Digest, Findings, OperatorKeys, RollBackOrder, Signature, SignatureError,
};
use crate::prelude::*;
use crate::wire::control as wire;

/// A bundle's content under its revision number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Grows with every accepted bundle and every roll back.
    pub number: RevisionNumber,
    /// The bundle's version.
    pub version: CompactString,
    /// Digest of the content.
    pub digest: Digest,
    /// YAML text as signed.
    pub content: Bytes,
    /// Signatures over the bundle, or over the roll back that made this revision.
    pub signatures: Vec<Signature>,
    /// The earlier revision whose content came back; `None` for an accepted bundle.
    pub origin: Option<RevisionNumber>,
    /// The revision before this one, which the signatures of a roll back name.
    pub base: RevisionNumber,
}

impl Revision {
    /// Checks digest, signatures and content with this process's own operator keys.
    ///
    /// Every entry VM does this before it applies a revision. A control leader with wrong keys
    /// in its settings would otherwise spread a bundle that nobody signed off; the entry VM
    /// refuses it, loses its lease and so takes no work under it.
    ///
    /// # Errors
    ///
    /// Returns what is wrong; the revision must not be applied then.
    pub fn verify(&self, keys: &OperatorKeys) -> Result<Bundle, RevisionError> {
        if Digest::of(&self.content) != self.digest {
            return Err(RevisionError::DigestMismatch);
        }
        match self.origin {
            None => keys.check_bundle(&self.digest, &self.version, &self.signatures)?,
            Some(target) => {
                let order = RollBackOrder { base: self.base, target, digest: self.digest };
                keys.check_roll_back(&order, &self.signatures)?;
            }
        }
        let bundle = Bundle::parse(&self.content)?;
        if bundle.version != self.version {
            return Err(RevisionError::VersionMismatch);
        }
        Ok(bundle)
    }

    /// Returns the revision as messages carry it.
    pub fn to_wire(&self) -> wire::Revision {
        wire::Revision {
            number: self.number.0,
            content: self.content.clone(),
            digest: self.digest.to_wire(),
            version: self.version.to_string(),
            signatures: self.signatures.iter().map(Signature::to_wire).collect(),
            origin: self.origin.unwrap_or_default().0,
            base: self.base.0,
        }
    }

    /// Reads a message's revision, or `None` if a field is malformed.
    pub fn from_wire(message: wire::Revision) -> Option<Revision> {
        let signatures = message.signatures.iter().map(Signature::from_wire);
        Some(Revision {
            number: RevisionNumber(message.number),
            version: message.version.into(),
            digest: Digest::from_wire(&message.digest)?,
            content: message.content,
            signatures: signatures.collect::<Option<_>>()?,
            origin: (message.origin > 0).then_some(RevisionNumber(message.origin)),
            base: RevisionNumber(message.base),
        })
    }
}

/// Why a revision must not be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RevisionError {
    /// The content isn't the one that was signed.
    #[error("the content doesn't have the digest of its revision")]
    DigestMismatch,
    /// The revision names another version than its content.
    #[error("the revision's version isn't the one in its content")]
    VersionMismatch,
    /// Not enough operators signed.
    #[error(transparent)]
    Signature(#[from] SignatureError),
    /// The content has faults.
    #[error(transparent)]
    Content(#[from] Findings),
}
