//! Why a command did not do what was asked, with an exit code and advice.

use std::fmt;

use gypsumglade_core::prelude::*;

use super::Output;
use crate::settings::Findings;

/// Exit codes of the command line; docs/OPERATING.md lists them for scripts.
pub mod exit {
    /// The command did what was asked.
    pub const DONE: u8 = 0;
    /// Anything without a code of its own.
    pub const FAILED: u8 = 1;
    /// The command line itself is wrong.
    pub const USAGE: u8 = 2;
    /// A file was checked and has findings.
    pub const FINDINGS: u8 = 3;
    /// The system refused the order; nothing changed.
    pub const REFUSED: u8 = 4;
    /// The process could not be reached; nothing was sent.
    pub const UNREACHABLE: u8 = 5;
    /// The order was sent and its answer lost; the same order may be sent again.
    pub const UNKNOWN: u8 = 6;
    /// The order was accepted and is not yet in force everywhere.
    pub const PENDING: u8 = 7;
}

/// Kind of a failure, each with its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// Anything without a kind of its own.
    Failed,
    /// A file has findings.
    Findings,
    /// The system refused; nothing changed.
    Refused,
    /// Nothing was sent.
    Unreachable,
    /// Sent, and the answer lost.
    Unknown,
    /// Accepted, and not yet in force everywhere.
    Pending,
}

/// A failure as the operator sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    kind: FailureKind,
    message: String,
    advice: &'static str,
    /// Findings of a settings file, for scripts; the message holds them for a person.
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<Findings>,
}

#[derive(Serialize)]
struct ErrorReport<'a> {
    error: &'a Failure,
}

impl Failure {
    /// Builds a failure; `advice` says what to do now.
    pub fn new(kind: FailureKind, message: impl fmt::Display, advice: &'static str) -> Failure {
        Failure { kind, message: message.to_string(), advice, findings: None }
    }

    /// Builds the failure of a settings file.
    pub fn from_findings(findings: Findings) -> Failure {
        let advice = "mend each place; `gypsumglade settings example store` shows all keys";
        let failure = Failure::new(FailureKind::Findings, &findings, advice);
        Failure { findings: Some(findings), ..failure }
    }

    /// Replaces the advice if the outcome is unknown.
    pub(super) fn with_unknown_advice(self, advice: &'static str) -> Failure {
        match self.kind {
            FailureKind::Unknown => Failure { advice, ..self },
            _ => self,
        }
    }

    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        match self.kind {
            FailureKind::Failed => exit::FAILED,
            FailureKind::Findings => exit::FINDINGS,
            FailureKind::Refused => exit::REFUSED,
            FailureKind::Unreachable => exit::UNREACHABLE,
            FailureKind::Unknown => exit::UNKNOWN,
            FailureKind::Pending => exit::PENDING,
        }
    }

    /// Prints the failure to standard error.
    pub(super) fn print(&self, output: Output) {
        match output {
            Output::Text => eprintln!("{}\n{}", self.message, self.advice),
            Output::Json => {
                let report = serde_json::to_string_pretty(&ErrorReport { error: self });
                eprintln!("{}", report.unwrap_or_default());
            }
        }
    }
}

impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Failure {
        Failure::new(FailureKind::Failed, format_args!("{error:#}"), "mend the cause and try again")
    }
}
