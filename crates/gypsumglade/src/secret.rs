//! Shared secrets, compared without timing leaks and never printed.

use std::fmt;

use compact_str::CompactString;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use serde::Deserialize;
use sha2::{Digest as _, Sha256};

/// A token or key from the settings.
#[derive(Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(CompactString);

impl Secret {
    /// Creates a secret from its text.
    pub fn new(text: impl Into<CompactString>) -> Secret {
        Secret(text.into())
    }

    /// Returns the text.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns whether the `Authorization: Bearer` header of a request has this secret.
    pub fn matches_bearer(&self, headers: &HeaderMap) -> bool {
        let given = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let given = given.and_then(|value| value.strip_prefix("Bearer "));
        given.is_some_and(|given| self.matches(given))
    }

    /// Returns whether `given` equals this secret; false if the secret is empty.
    ///
    /// Hashes of both are compared, so that the duration doesn't reveal how many leading bytes of a
    /// guess are right.
    pub fn matches(&self, given: &str) -> bool {
        !self.0.is_empty() && Sha256::digest(self.0.as_bytes()) == Sha256::digest(given.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
