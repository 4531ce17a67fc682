//! A bundle's content with its signatures, under a revision number.

use bytes::Bytes;

use crate::bundle::{
    Bundle, Digest, Findings, OperatorKeys, RollBackOrder, Signature, SignatureError,
};
use crate::prelude::*;
use crate::wire::control as wire;

/// A signed bundle that was accepted as a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Number of the revision, which grows with every accepted bundle and every roll back.
    pub number: RevisionNumber,
    /// Version that the content names.
    pub version: CompactString,
    /// SHA-256 digest of the content, which the signatures cover.
    pub digest: Digest,
    /// YAML text, exactly as signed.
    pub content: Bytes,
    /// Signatures over the bundle, or over the roll back that created this revision.
    pub signatures: Vec<Signature>,
    /// Earlier revision that a roll back restored; `None` for an accepted bundle.
    pub origin: Option<RevisionNumber>,
    /// Revision that this one replaced; the signatures of a roll back cover it.
    pub base: RevisionNumber,
}

impl Revision {
    /// Checks the digest, signatures and content, and returns the parsed bundle.
    ///
    /// Every entry VM does this with its own operator keys before it applies a revision. Otherwise
    /// a control leader with wrong keys in its settings could distribute an unsigned bundle.
    ///
    /// # Errors
    ///
    /// Returns an error if a check fails; the revision must not be applied then.
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

    /// Converts the revision to its wire message.
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

    /// Converts a wire message, or returns `None` if a field is malformed.
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

/// Reason why a revision must not be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RevisionError {
    /// The content doesn't match the digest that was signed.
    #[error("the digest of the content doesn't match the revision's digest")]
    DigestMismatch,
    /// The revision and its content name different versions.
    #[error("the version in the content doesn't match the revision's version")]
    VersionMismatch,
    /// A signature is invalid, or there are too few.
    #[error(transparent)]
    Signature(#[from] SignatureError),
    /// The content isn't a valid bundle.
    #[error(transparent)]
    Content(#[from] Findings),
}
