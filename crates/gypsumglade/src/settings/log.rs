//! Log level and destination.

use std::path::PathBuf;

use gypsumglade_core::prelude::*;

/// Log level; each level includes the ones before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Lost work, or a condition that needs an operator.
    Error,
    /// Problems that the system recovers from.
    Warning,
    /// Starts, stops, and changes of leader, revision or membership.
    #[default]
    Info,
    /// Each call.
    Debug,
    /// Each message between VMs.
    Trace,
}

/// Level and destination of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: Level,
    /// File to append to; `-` means standard output. If absent, lines go to standard error.
    pub file: Option<PathBuf>,
}
