//! Example settings, one annotated file for each role.

use gypsumglade_core::prelude::*;

/// What a VM does, as far as its settings differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A VM without a disk: callers' interface, routing and membership.
    Entry,
    /// A VM with a disk: replicas as well.
    Store,
}

impl Role {
    /// Returns the annotated file.
    pub(super) fn text(self) -> &'static str {
        match self {
            Role::Entry => include_str!("../../../../examples/entry.yaml"),
            Role::Store => include_str!("../../../../examples/store.yaml"),
        }
    }
}
