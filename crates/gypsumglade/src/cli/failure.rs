//! Errors of commands, with an exit code and advice.

use std::fmt;

use gypsumglade_core::prelude::*;

use super::Output;
use crate::settings::Findings;

/// Exit codes of the command line, as listed in docs/OPERATING.md.
pub mod exit {
    /// Success.
    pub const DONE: u8 = 0;
    /// Any failure without a code of its own.
    pub const FAILED: u8 = 1;
    /// The command line is invalid.
    pub const USAGE: u8 = 2;
    /// A checked file has findings.
    pub const FINDINGS: u8 = 3;
    /// The order was refused; nothing changed.
    pub const REFUSED: u8 = 4;
    /// The process can't be reached; nothing was sent.
    pub const UNREACHABLE: u8 = 5;
    /// The order was sent, but the answer was lost; the same order may be sent again.
    pub const UNKNOWN: u8 = 6;
    /// The order was accepted, but is not yet in force everywhere.
    pub const PENDING: u8 = 7;
}

/// Kind of a failure; each has its own exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// Any failure without a kind of its own.
    Failed,
    /// A checked file has findings.
    Findings,
    /// The order was refused; nothing changed.
    Refused,
    /// The process can't be reached; nothing was sent.
    Unreachable,
    /// The order was sent, but the answer was lost.
    Unknown,
    /// The order was accepted, but is not yet in force everywhere.
    Pending,
}

/// Failure of a command, as reported to the operator.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    kind: FailureKind,
    message: String,
    advice: &'static str,
    /// Findings of a settings file, for scripts. The message has them as text.
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<Findings>,
}

#[derive(Serialize)]
struct ErrorReport<'a> {
    error: &'a Failure,
}

impl Failure {
    /// Creates a failure; `advice` tells the operator what to do.
    pub fn new(kind: FailureKind, message: impl fmt::Display, advice: &'static str) -> Failure {
        Failure { kind, message: message.to_string(), advice, findings: None }
    }

    /// Creates the failure for a settings file with findings.
    pub fn from_findings(findings: Findings) -> Failure {
        let advice = "fix each finding; `gypsumglade settings example store` shows all keys";
        let failure = Failure::new(FailureKind::Findings, &findings, advice);
        Failure { findings: Some(findings), ..failure }
    }

    /// Replaces the advice if the answer was lost ([`FailureKind::Unknown`]).
    pub(super) fn with_resend_advice(self, advice: &'static str) -> Failure {
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
        Failure::new(FailureKind::Failed, format_args!("{error:#}"), "fix the cause and try again")
    }
}
