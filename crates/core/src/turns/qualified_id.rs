//! Ids of turns and programs, qualified by their owners.

use std::fmt;

use compact_str::format_compact;

use crate::prelude::*;

/// Separates the owner from the id. The bundle allows it in no organisation's name.
const SEPARATOR: char = '/';

/// Id of a turn or a program together with its owner.
///
/// Callers choose their ids freely, so an id alone doesn't say whose it is. The turn group and the
/// stores of texts know only qualified ids, and a qualified id is made only from an owner that the
/// system has checked. Whatever two callers send, their ids are equal only if both the owners and the
/// ids are. See docs/SECURITY.md.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QualifiedId(CompactString);

impl QualifiedId {
    /// Qualifies a caller's id with the name of the caller's organisation. `None` stands for all
    /// callers that belong to no organisation, who share one owner.
    pub fn new(owner: Option<&str>, id: &str) -> QualifiedId {
        let text = match owner {
            Some(owner) => format_compact!("{owner}{SEPARATOR}{id}"),
            // Without the separator at its start it would read as an organisation's id.
            None if id.contains(SEPARATOR) => format_compact!("{SEPARATOR}{id}"),
            None => id.into(),
        };
        QualifiedId(text)
    }

    /// Returns the id as messages and records hold it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for QualifiedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
