//! Output of results.

use std::fmt::Display;
use std::io::{ErrorKind, Write as _};

use gypsumglade_core::prelude::*;

use super::Failure;

/// Format of results and errors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Output {
    /// Plain text.
    #[default]
    Text,
    /// JSON, for scripts.
    Json,
}

impl Output {
    /// Prints a report, as text through its `Display` or as JSON.
    pub(super) fn print<T: Serialize + Display>(self, report: &T) -> Result<(), Failure> {
        match self {
            Output::Text => line(report),
            Output::Json => line(&json(report)?),
        }
    }
}

/// Prints a line to standard output.
///
/// A closed pipe is not an error, since readers such as `head` close it early.
pub(super) fn line(text: &impl Display) -> Result<(), Failure> {
    match writeln!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(Failure::from(anyhow::Error::from(error)))
        }
        _ => Ok(()),
    }
}

/// Returns a value as indented JSON.
pub(super) fn json<T: Serialize>(value: &T) -> Result<String, Failure> {
    serde_json::to_string_pretty(value).map_err(|e| Failure::from(anyhow::Error::from(e)))
}
