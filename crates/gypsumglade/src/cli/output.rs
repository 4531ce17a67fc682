//! How results are printed.

use std::fmt::Display;

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
            Output::Text => println!("{report}"),
            Output::Json => println!("{}", json(report)?),
        }
        Ok(())
    }
}

/// Writes a value as indented JSON.
pub(super) fn json<T: Serialize>(value: &T) -> Result<String, Failure> {
    serde_json::to_string_pretty(value).map_err(|e| Failure::from(anyhow::Error::from(e)))
}
