//! Findings of a bundle's validation, which are reported together.

use std::fmt;

use crate::prelude::*;

/// An invalid value in a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path from the bundle's root, such as `agents[2].models[0]`.
    pub path: CompactString,
    /// The invalid value, or a description of it.
    pub value: CompactString,
    /// Description of the allowed values, as a phrase that follows "allowed:".
    pub allowed: CompactString,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {:?}, allowed: {}", self.path, self.value, self.allowed)
    }
}

/// All findings of one bundle, so that an operator can fix them at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding about the value at `path`.
    pub fn push(&mut self, path: &str, value: impl fmt::Display, allowed: &str) {
        let finding = Finding {
            path: path.to_compact_string(),
            value: value.to_compact_string(),
            allowed: allowed.to_compact_string(),
        };
        self.0.push(finding);
    }

    /// Returns `true` if there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the bundle has {} error(s)", self.0.len())?;
        for finding in &self.0 {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
