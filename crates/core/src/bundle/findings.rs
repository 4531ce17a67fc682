//! Findings of a check, collected with their place and reported together.

use std::fmt;

use crate::prelude::*;

/// One fault in a bundle: where it is, what stands there and what may stand there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path from the bundle's root, such as `agents[2].models[0]`.
    pub path: CompactString,
    /// The value found there.
    pub value: CompactString,
    /// What is allowed, as a sentence part that follows "allowed:".
    pub allowed: CompactString,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {:?}, allowed: {}", self.path, self.value, self.allowed)
    }
}

/// Every fault of one bundle, so that an operator mends them in one go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds one finding.
    pub fn push(&mut self, path: &str, value: impl fmt::Display, allowed: &str) {
        let finding = Finding {
            path: path.to_compact_string(),
            value: value.to_compact_string(),
            allowed: allowed.to_compact_string(),
        };
        self.0.push(finding);
    }

    /// Returns true when nothing was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the bundle has {} fault(s)", self.0.len())?;
        for finding in &self.0 {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
