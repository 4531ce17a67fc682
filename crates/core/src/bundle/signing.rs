//! Operators' signatures over bundles and roll backs, of which the settings require m of n.

use std::collections::HashSet;
use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use ed25519_dalek::{Signer, SigningKey, VerifyingKey};

use super::{Bundle, Digest, Findings};
use crate::prelude::*;
use crate::wire::control as wire;

/// Prefix of the signed bytes of a bundle, so that a signature can't be used for anything else.
const BUNDLE_DOMAIN: &[u8] = b"gypsumglade bundle v1\0";
/// Prefix of the signed bytes of a roll back.
const ROLL_BACK_DOMAIN: &[u8] = b"gypsumglade roll back v1\0";

/// An operator's Ed25519 public key. Its text form has 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct PublicKey([u8; 32]);

impl PublicKey {
    /// Returns the raw bytes of the key.
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

/// An operator's signature over a bundle or a roll back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// Public key of the operator who signed.
    pub key: PublicKey,
    /// Ed25519 signature, 64 bytes.
    pub bytes: Bytes,
}

impl Signature {
    /// Converts the signature to its wire message.
    pub fn to_wire(&self) -> wire::Signature {
        wire::Signature { key: Bytes::copy_from_slice(&self.key.0), signature: self.bytes.clone() }
    }

    /// Converts a wire message, or returns `None` if the key has the wrong length.
    pub fn from_wire(signature: &wire::Signature) -> Option<Signature> {
        let key = PublicKey(signature.key.as_ref().try_into().ok()?);
        Some(Signature { key, bytes: signature.signature.clone() })
    }
}

/// An operator's Ed25519 key pair, which signs bundles and roll backs.
pub struct KeyPair(SigningKey);

impl KeyPair {
    /// Creates the key pair of a seed, which must come from a secure source of randomness.
    pub fn from_seed(seed: [u8; 32]) -> KeyPair {
        KeyPair(SigningKey::from_bytes(&seed))
    }

    /// Returns the public key.
    pub fn public(&self) -> PublicKey {
        PublicKey(self.0.verifying_key().to_bytes())
    }

    /// Signs the digest and version of a bundle.
    pub fn sign_bundle(&self, digest: &Digest, version: &str) -> Signature {
        self.sign(&bundle_message(digest, version))
    }

    /// Signs a roll back order.
    pub fn sign_roll_back(&self, order: &RollBackOrder) -> Signature {
        self.sign(&order.message())
    }

    fn sign(&self, message: &[u8]) -> Signature {
        let signature = self.0.sign(message);
        Signature { key: self.public(), bytes: Bytes::copy_from_slice(&signature.to_bytes()) }
    }
}

/// The fields of a roll back that operators sign. They include the base, so that the signature
/// can't be replayed on a later revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RollBackOrder {
    /// Current revision when the order was created.
    pub base: RevisionNumber,
    /// Earlier revision to restore.
    pub target: RevisionNumber,
    /// Digest of the target's content.
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

/// The operators' public keys, and how many of them must sign.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorKeys {
    /// Public keys whose signatures are accepted.
    pub keys: Vec<PublicKey>,
    /// Number of different keys that must sign. Zero counts as one.
    pub threshold: usize,
}

impl OperatorKeys {
    /// Checks that enough operators signed this digest and version.
    ///
    /// # Errors
    ///
    /// Returns an error if a known key's signature is invalid or there are too few signatures.
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
    /// Returns an error if a known key's signature is invalid or there are too few signatures.
    pub fn check_roll_back(
        &self,
        order: &RollBackOrder,
        signatures: &[Signature],
    ) -> Result<(), SignatureError> {
        self.check(&order.message(), signatures)
    }

    /// Checks the signatures over a message.
    ///
    /// Signatures by unknown keys are ignored, since an old bundle may carry the signature of an
    /// operator whose key was removed.
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

/// Reason why signatures are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SignatureError {
    /// A key isn't a valid Ed25519 public key.
    #[error("an operator key must be an Ed25519 public key as 64 hexadecimal digits")]
    MalformedKey,
    /// The signature of a known key doesn't match the content.
    #[error("the signature of operator {0} doesn't match this content: sign it again")]
    Invalid(PublicKey),
    /// Not enough operators signed.
    #[error(
        "{found} operators in the settings signed, {needed} are needed: collect more signatures"
    )]
    TooFew {
        /// Number of known keys that signed.
        found: usize,
        /// Number of known keys that must sign.
        needed: usize,
    },
    /// The content isn't a valid bundle, so its version is unknown.
    #[error(transparent)]
    Content(#[from] Findings),
}

/// A bundle's text with the signatures collected so far; the file that `bundle sign` writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// YAML text, exactly as signed.
    pub content: Bytes,
    /// Signatures over the content's digest and version, at most one for each key.
    pub signatures: Vec<Signature>,
}

impl SignedBundle {
    /// Creates an unsigned bundle.
    ///
    /// # Errors
    ///
    /// Returns the findings if the content isn't a valid bundle.
    pub fn new(content: Bytes) -> Result<SignedBundle, Findings> {
        Bundle::parse(&content)?;
        Ok(SignedBundle { content, signatures: Vec::new() })
    }

    /// Adds an operator's signature, and replaces an earlier one by the same key.
    ///
    /// # Errors
    ///
    /// Returns the findings if the content isn't a valid bundle.
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

    /// Checks the content and its signatures, and returns the content's digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the content isn't a valid bundle or the signatures are rejected.
    pub fn verify(&self, keys: &OperatorKeys) -> Result<Digest, SignatureError> {
        let bundle = Bundle::parse(&self.content)?;
        let digest = self.digest();
        keys.check_bundle(&digest, &bundle.version, &self.signatures)?;
        Ok(digest)
    }
}
