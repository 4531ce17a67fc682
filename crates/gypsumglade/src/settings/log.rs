//! Where log lines go.

use std::path::PathBuf;

use gypsumglade_core::prelude::*;

/// How much is logged; each level includes the ones before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// What lost work or needs a person.
    Error,
    /// What the system worked round.
    Warning,
    /// Starts, stops, changes of leader, revision or membership.
    #[default]
    Info,
    /// Every call.
    Debug,
    /// Every message between VMs.
    Trace,
}

/// The log's level and target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// How much is logged.
    pub level: Level,
    /// File that lines are appended to; standard error when absent, standard output for `-`.
    pub file: Option<PathBuf>,
}
