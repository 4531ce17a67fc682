//! Operators' signatures over a bundle: m of n keys that the settings name.

use std::collections::HashSet;
use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};

use super::{Bundle, Digest, Findings};
use crate::prelude::*;
use crate::wire::control as wire;

/// Start of the bytes signed for a bundle, so that a signature can't be used for anything else.
const BUNDLE_DOMAIN: &[u8] = b"gypsumglade bundle v1\0";
/// Start of the bytes signed for a roll back.
const ROLL_BACK_DOMAIN: &[u8] = b"gypsumglade roll back v1\0";

/// An operator's public key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct PublicKey([u8; 32]);

impl PublicKey {
    /// Returns the key's bytes.
    pub fn to_bytes(self) -> [u8; 32] {
        self.0
    }
}

impl FromStr for PublicKey {
    type Err = SignatureError;

    fn from_str(text: &str) -> Result<PublicKey, SignatureError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| SignatureError::MalformedKey)?;
        VerifyingKey::from_bytes(&bytes).map_err(|_| SignatureError::MalformedKey)?;
        Ok(PublicKey(bytes))
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PublicKey({self})")
    }
}

impl Serialize for PublicKey {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for PublicKey {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<PublicKey, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// One operator's signature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// Who signed.
    pub key: PublicKey,
    /// Ed25519 signature, 64 bytes.
    pub bytes: Bytes,
}

impl Signature {
    /// Returns the signature as messages carry it.
    pub fn to_wire(&self) -> wire::Signature {
        wire::Signature { key: Bytes::copy_from_slice(&self.key.0), signature: self.bytes.clone() }
    }

    /// Reads a message's signature, or `None` if the key has the wrong length.
    pub fn from_wire(signature: &wire::Signature) -> Option<Signature> {
        let key = PublicKey(signature.key.as_ref().try_into().ok()?);
        Some(Signature { key, bytes: signature.signature.clone() })
    }
}

/// An operator's private key.
pub struct KeyPair(SigningKey);

impl KeyPair {
    /// Makes the key pair of a seed, which must come from a secure source of randomness.
    pub fn from_seed(seed: [u8; 32]) -> KeyPair {
        KeyPair(SigningKey::from_bytes(&seed))
    }

    /// Returns the public half.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Signs a bundle's digest and version.
    pub fn sign_bundle(&self, digest: &Digest, version: &str) -> Signature {
        self.sign(&bundle_message(digest, version))
    }

    /// Signs a roll back.
    pub fn sign_roll_back(&self, order: &RollBackOrder) -> Signature {
        self.sign(&order.message())
    }

    fn sign(&self, message: &[u8]) -> Signature {
        let signature = self.0.sign(message);
        Signature { key: self.public(), bytes: Bytes::copy_from_slice(&signature.to_bytes()) }
    }
}

/// What operators sign to roll back. It names the base, so that it can't be replayed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RollBackOrder {
    /// Revision in force when the order was made.
    pub base: RevisionNumber,
    /// Earlier revision whose content comes back.
    pub target: RevisionNumber,
    /// Digest of that content.
    pub digest: Digest,
}

impl RollBackOrder {
    fn message(&self) -> Vec<u8> {
        let mut message = ROLL_BACK_DOMAIN.to_vec();
        message.extend_from_slice(&self.base.0.to_be_bytes());
        message.extend_from_slice(&self.target.0.to_be_bytes());
        message.extend_from_slice(&self.digest.0);
        message
    }
}

fn bundle_message(digest: &Digest, version: &str) -> Vec<u8> {
    let mut message = BUNDLE_DOMAIN.to_vec();
    message.extend_from_slice(&digest.0);
    message.extend_from_slice(version.as_bytes());
    message
}

/// The operators' keys of the settings, and how many must sign.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorKeys {
    /// Keys whose signatures count.
    pub keys: Vec<PublicKey>,
    /// Signatures needed, each by another key; at least one.
    pub threshold: usize,
}

impl OperatorKeys {
    /// Checks that enough operators signed this digest and version.
    ///
    /// # Errors
    ///
    /// See [`SignatureError`].
    pub fn check_bundle(
        &self,
        digest: &Digest,
        version: &str,
        signatures: &[Signature],
    ) -> Result<(), SignatureError> {
        self.check(&bundle_message(digest, version), signatures)
    }

    /// Checks that enough operators signed this roll back.
    ///
    /// # Errors
    ///
    /// See [`SignatureError`].
    pub fn check_roll_back(
        &self,
        order: &RollBackOrder,
        signatures: &[Signature],
    ) -> Result<(), SignatureError> {
        self.check(&order.message(), signatures)
    }

    /// A signature by a key that the settings don't name is passed over, not an error: an
    /// operator who left may still stand among the signatures of an old bundle.
    fn check(&self, message: &[u8], signatures: &[Signature]) -> Result<(), SignatureError> {
        let needed = self.threshold.max(1);
        let mut signers = HashSet::new();
        for signature in signatures {
            if self.keys.contains(&signature.key) {
                verify(message, signature)?;
                signers.insert(signature.key);
            }
        }
        if signers.len() < needed {
            return Err(SignatureError::TooFew { found: signers.len(), needed });
        }
        Ok(())
    }
}

fn verify(message: &[u8], signature: &Signature) -> Result<(), SignatureError> {
    let key =
        VerifyingKey::from_bytes(&signature.key.0).map_err(|_| SignatureError::MalformedKey)?;
    let parsed = ed25519_dalek::Signature::from_slice(&signature.bytes)
        .map_err(|_| SignatureError::Invalid(signature.key))?;
    key.verify_strict(message, &parsed).map_err(|_| SignatureError::Invalid(signature.key))
}

/// Why signatures don't count.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignatureError {
    /// The text isn't an Ed25519 public key.
    #[error("an operator key is an Ed25519 public key as 64 hexadecimal digits")]
    MalformedKey,
    /// A named operator's signature belongs to other content.
    #[error("the signature of operator {0} is not over this content: sign it again")]
    Invalid(PublicKey),
    /// Not enough operators signed.
    #[error("{found} of the settings' operators signed, {needed} are needed: collect more")]
    TooFew {
        /// Distinct named operators who signed.
        found: usize,
        /// The settings' threshold.
        needed: usize,
    },
    /// The content itself has faults, so its version can't be read.
    #[error(transparent)]
    Content(#[from] Findings),
}

/// A bundle's text with the signatures collected for it; the file that `bundle sign` writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// YAML text, exactly as signed.
    pub content: Bytes,
    /// Signatures collected so far.
    pub signatures: Vec<Signature>,
}

impl SignedBundle {
    /// Starts with no signature.
    ///
    /// # Errors
    ///
    /// Returns the content's findings.
    pub fn new(content: Bytes) -> Result<SignedBundle, Findings> {
        Bundle::parse(&content)?;
        Ok(SignedBundle { content, signatures: Vec::new() })
    }

    /// Adds an operator's signature, in place of an earlier one by the same key.
    ///
    /// # Errors
    ///
    /// Returns the content's findings.
    pub fn sign(&mut self, pair: &KeyPair) -> Result<(), Findings> {
        let version = Bundle::parse(&self.content)?.version;
        let signature = pair.sign_bundle(&self.digest(), &version);
        self.signatures.retain(|other| other.key != signature.key);
        self.signatures.push(signature);
        Ok(())
    }

    /// Returns the digest of the content.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.content)
    }

    /// Checks content and signatures and returns the content's digest.
    ///
    /// # Errors
    ///
    /// Returns the findings, or why the signatures don't count.
    pub fn verify(&self, keys: &OperatorKeys) -> Result<Digest, SignatureError> {
        let bundle = Bundle::parse(&self.content)?;
        let digest = self.digest();
        keys.check_bundle(&digest, &bundle.version, &self.signatures)?;
        Ok(digest)
    }
}
