//! Example settings files, one for each role.

use gypsumglade_core::prelude::*;

/// Role of a VM, which decides the sections that its settings need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A VM without a disk: serves callers and routes their requests.
    Entry,
    /// A VM with a disk: holds replicas as well.
    Store,
}

impl Role {
    /// Returns the example file of this role.
    pub(super) fn text(self) -> &'static str {
        match self {
            Role::Entry => include_str!("../../../../examples/entry.yaml"),
            Role::Store => include_str!("../../../../examples/store.yaml"),
        }
    }
}
