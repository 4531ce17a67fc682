//! Operators' keys for signing bundles.

use ed25519_dalek::VerifyingKey;
use gypsumglade_core::prelude::*;

use super::Findings;

/// Public keys of the operators, and the number of signatures that a bundle needs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct OperatorSettings {
    /// Ed25519 public keys as 64 hexadecimal digits, as `gypsumglade key new` prints them.
    pub keys: Vec<CompactString>,
    /// Number of distinct keys that must have signed a bundle.
    pub threshold: u32,
}

impl OperatorSettings {
    /// Returns the decoded keys and skips invalid ones, which a loaded file doesn't have.
    pub fn verifying_keys(&self) -> Vec<VerifyingKey> {
        self.keys.iter().filter_map(|k| decode(k)).collect()
    }

    pub(super) fn check(&self, findings: &mut Findings) {
        for (i, key) in self.keys.iter().enumerate() {
            let place = format!("operators.keys[{i}]");
            if decode(key).is_none() {
                let allowed = "64 hexadecimal digits from `gypsumglade key new`";
                findings.add(&place, format_args!("{key:?}"), allowed);
            }
            if self.keys[..i].contains(key) {
                findings.add(&place, format_args!("{key:?} a second time"), "each key once");
            }
        }
        let count = self.keys.len() as u64;
        let threshold = u64::from(self.threshold);
        findings.check_range("operators.threshold", threshold, 1..=count.max(1), "signatures");
        if self.keys.is_empty() {
            findings.add("operators.keys", "no key", "at least one operator's public key");
        }
    }
}

fn decode(key: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = hex::decode(key).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}
