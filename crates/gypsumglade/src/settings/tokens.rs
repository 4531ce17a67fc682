//! Shared secrets of the listeners.

use std::path::Path;

use gypsumglade_core::prelude::*;

use super::Findings;
use crate::secret::Secret;

/// Prefix of a setting that names a file with the secret.
const FILE_PREFIX: &str = "file:";
/// Minimum length of a secret, in bytes, against guessing.
const MIN_SECRET_BYTES: usize = 16;

/// One secret for each listener except the callers', whose keys are in the bundle.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct TokenSettings {
    /// Shared by the VMs of the deployment.
    #[serde(deserialize_with = "deserialize_secret")]
    pub peers: Secret,
    /// Required from operators by the admin listener.
    #[serde(deserialize_with = "deserialize_secret")]
    pub admin: Secret,
    /// Required from endpoints that announce themselves.
    #[serde(deserialize_with = "deserialize_secret")]
    pub endpoints: Secret,
}

impl Default for TokenSettings {
    fn default() -> TokenSettings {
        TokenSettings { peers: Secret::new(""), admin: Secret::new(""), endpoints: Secret::new("") }
    }
}

fn deserialize_secret<'de, D: serde::Deserializer<'de>>(decoder: D) -> Result<Secret, D::Error> {
    CompactString::deserialize(decoder).map(Secret::new)
}

impl TokenSettings {
    /// Returns random tokens, for a deployment of one process.
    pub fn random() -> TokenSettings {
        let token = || Secret::new(hex::encode(rand::random::<[u8; MIN_SECRET_BYTES]>()));
        TokenSettings { peers: token(), admin: token(), endpoints: token() }
    }

    /// Replaces each `file:PATH` by the file's trimmed text. Relative paths are relative to `folder`.
    pub(super) fn resolve(&mut self, folder: &Path, findings: &mut Findings) {
        for (place, secret) in [
            ("tokens.peers", &mut self.peers),
            ("tokens.admin", &mut self.admin),
            ("tokens.endpoints", &mut self.endpoints),
        ] {
            let Some(path) = secret.reveal().strip_prefix(FILE_PREFIX) else {
                continue;
            };
            match std::fs::read_to_string(folder.join(path)) {
                Ok(text) => *secret = Secret::new(text.trim()),
                Err(error) => {
                    let found = format!("{:?} ({error})", secret.reveal());
                    findings.add(place, found, "`file:` and the path of a readable file");
                    // Passes the length check, which would add a second finding.
                    *secret = Secret::new("-".repeat(MIN_SECRET_BYTES));
                }
            }
        }
    }

    pub(super) fn check(&self, findings: &mut Findings) {
        for (place, secret) in [
            ("tokens.peers", &self.peers),
            ("tokens.admin", &self.admin),
            ("tokens.endpoints", &self.endpoints),
        ] {
            let length = secret.reveal().len();
            if length < MIN_SECRET_BYTES {
                let found = format!("a secret of {length} bytes");
                findings.add(place, found, "at least 16 bytes, inline or as `file:PATH`");
            }
        }
    }
}
