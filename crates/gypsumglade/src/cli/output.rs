//! How results are printed.

use std::fmt::Display;
use std::io::{ErrorKind, Write as _};

use gypsumglade_core::prelude::*;

use super::Failure;

/// Form of results and errors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Output {
    /// For a person.
    #[default]
    Text,
    /// For a script.
    Json,
}

impl Output {
    /// Prints a report: its `Display` for a person, its fields as JSON for a script.
    pub(super) fn print<T: Serialize + Display>(self, report: &T) -> Result<(), Failure> {
        match self {
            Output::Text => line(report),
            Output::Json => line(&json(report)?),
        }
    }
}

/// Prints a line to standard output.
///
/// A reader that has seen enough, such as `head`, closes the pipe; that is no failure.
pub(super) fn line(text: &impl Display) -> Result<(), Failure> {
    match writeln!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(Failure::from(anyhow::Error::from(error)))
        }
        _ => Ok(()),
    }
}

/// Writes a value as indented JSON.
pub(super) fn json<T: Serialize>(value: &T) -> Result<String, Failure> {
    serde_json::to_string_pretty(value).map_err(|e| Failure::from(anyhow::Error::from(e)))
}
