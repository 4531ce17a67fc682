//! SHA-256 digests.

use std::fmt;
use std::str::FromStr;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};

/// Length of a digest, in bytes.
pub const DIGEST_LENGTH: usize = 32;

/// A SHA-256 digest. Its text form has 64 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; DIGEST_LENGTH]);

impl Digest {
    /// Returns the digest of `content`.
    pub fn of(content: &[u8]) -> Digest {
        Digest(Sha256::digest(content).into())
    }

    /// Converts the bytes of a wire message, or returns `None` if they have the wrong length.
    pub fn from_wire(bytes: &[u8]) -> Option<Digest> {
        Some(Digest(bytes.try_into().ok()?))
    }

    /// Converts the digest to the bytes of a wire message.
    pub fn to_wire(self) -> bytes::Bytes {
        bytes::Bytes::copy_from_slice(&self.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Digest, hex::FromHexError> {
        let mut bytes = [0; DIGEST_LENGTH];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Digest(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(|_| D::Error::custom("expected 64 hexadecimal digits"))
    }
}
