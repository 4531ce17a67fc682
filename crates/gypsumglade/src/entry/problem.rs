//! The one error shape that callers see: what happened, whether it ran, and what to do.

use axum::Json;
use axum::response::{IntoResponse, Response};
use compact_str::{CompactString, ToCompactString};
use gypsumglade_core::wire::common::Outcome;
use gypsumglade_core::wire::program::{Refusal, Refused, Unknown};
use http::{HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;

/// Outcome of a call, on every answer.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-program-outcome");

/// What kind of problem a call met; each has one status, one code and one advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request itself cannot be served as written.
    BadRequest,
    /// No valid API key.
    Unauthorized,
    /// The program, agent, model or operation does not exist for this organisation.
    NotFound,
    /// The request contradicts what the program already holds.
    Conflict,
    /// The path takes other methods only.
    BadMethod,
    /// The program has ended.
    Ended,
    /// The program's budget does not cover the call.
    Budget,
    /// The caller's deadline passed before the call could start.
    Deadline,
    /// The request crashed endpoints before and is not run any more.
    Quarantined,
    /// There is no room now.
    Overloaded,
    /// No endpoint, or no quorum, can take the call now.
    Unavailable,
    /// The VM may not take new work: its configuration lease is out, or it is stopping.
    NoLease,
    /// The call may have run.
    Uncertain,
    /// The body or head is too large.
    TooLarge,
}

impl ProblemKind {
    fn status(self) -> StatusCode {
        match self {
            ProblemKind::BadRequest => StatusCode::BAD_REQUEST,
            ProblemKind::Unauthorized => StatusCode::UNAUTHORIZED,
            ProblemKind::NotFound => StatusCode::NOT_FOUND,
            ProblemKind::Conflict => StatusCode::CONFLICT,
            ProblemKind::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
            ProblemKind::Ended => StatusCode::GONE,
            ProblemKind::Budget => StatusCode::PAYMENT_REQUIRED,
            ProblemKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
            ProblemKind::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            ProblemKind::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            ProblemKind::Unavailable | ProblemKind::NoLease => StatusCode::SERVICE_UNAVAILABLE,
            ProblemKind::Uncertain => StatusCode::BAD_GATEWAY,
            ProblemKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    fn code(self) -> &'static str {
        match self {
            ProblemKind::BadRequest => "bad_request",
            ProblemKind::Unauthorized => "unauthorized",
            ProblemKind::NotFound => "not_found",
            ProblemKind::Conflict => "conflict",
            ProblemKind::BadMethod => "bad_method",
            ProblemKind::Ended => "program_ended",
            ProblemKind::Budget => "budget_exceeded",
            ProblemKind::Deadline => "deadline_passed",
            ProblemKind::Quarantined => "quarantined",
            ProblemKind::Overloaded => "overloaded",
            ProblemKind::Unavailable => "unavailable",
            ProblemKind::NoLease => "no_lease",
            ProblemKind::Uncertain => "uncertain",
            ProblemKind::TooLarge => "too_large",
        }
    }

    fn advice(self) -> &'static str {
        match self {
            ProblemKind::BadRequest => "correct the request and send it again",
            ProblemKind::Unauthorized => {
                "send `Authorization: Bearer <API key>` with a key of an organisation of the bundle"
            }
            ProblemKind::NotFound => "check the name; the bundle in force does not offer it to you",
            ProblemKind::Conflict => "send only the new turn, or a new Idempotency-Key",
            ProblemKind::BadMethod => "use the method in the `Allow` header",
            ProblemKind::Ended => "begin a new program",
            ProblemKind::Budget => "end the program, or ask the operators for a larger budget",
            ProblemKind::Deadline => "send it again with a later deadline",
            ProblemKind::Quarantined => "do not resend; ask the operators to lift the quarantine",
            ProblemKind::Overloaded | ProblemKind::Unavailable | ProblemKind::NoLease => {
                "send the same request again, with the same Idempotency-Key, after Retry-After"
            }
            ProblemKind::Uncertain => {
                "resend with the same Idempotency-Key to learn the outcome; it is not run twice"
            }
            ProblemKind::TooLarge => "send less at once: only the new turn is needed",
        }
    }
}

/// When to come back while a group changes its leader or revision.
const CHANGE_RETRY_MS: u64 = 1_000;

/// A call's problem, ready to be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Decides status, code and advice.
    pub kind: ProblemKind,
    /// What is known about whether the call ran.
    pub outcome: Outcome,
    /// What happened, for a person.
    pub message: CompactString,
    /// When to come back, in milliseconds.
    pub retry: Option<u64>,
}

impl Problem {
    /// Creates a problem of a call that surely did not run.
    pub fn not_run(kind: ProblemKind, message: impl ToCompactString) -> Problem {
        Problem {
            kind,
            outcome: Outcome::NotRun,
            message: message.to_compact_string(),
            retry: None,
        }
    }

    /// Creates a problem of a call that may have run.
    pub fn unknown(message: impl ToCompactString) -> Problem {
        let message = message.to_compact_string();
        Problem { kind: ProblemKind::Uncertain, outcome: Outcome::Unknown, message, retry: None }
    }

    /// Adds when to come back.
    pub fn retry_after(mut self, millis: u64) -> Problem {
        self.retry = Some(millis);
        self
    }

    /// Returns the JSON body, also used as the last event of a broken stream.
    pub fn body(&self) -> ProblemBody<'_> {
        ProblemBody {
            error: ProblemDetail {
                code: self.kind.code(),
                message: &self.message,
                advice: self.kind.advice(),
                outcome: outcome_name(self.outcome),
                retry_after_ms: self.retry,
            },
        }
    }
}

/// Body of an error answer.
#[derive(Debug, Serialize)]
pub struct ProblemBody<'a> {
    /// The only member, as in the published API's errors.
    pub error: ProblemDetail<'a>,
}

/// Members of the error.
#[derive(Debug, Serialize)]
pub struct ProblemDetail<'a> {
    /// Stable name for programs.
    pub code: &'static str,
    /// What happened, for a person.
    pub message: &'a str,
    /// What to do.
    pub advice: &'static str,
    /// `done`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Returns the outcome's name in answers, logs and metrics.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let mut response = (self.kind.status(), Json(self.body())).into_response();
        let outcome = HeaderValue::from_static(outcome_name(self.outcome));
        response.headers_mut().insert(OUTCOME_HEADER, outcome);
        if let Some(millis) = self.retry {
            let seconds = HeaderValue::from(millis.div_ceil(1_000));
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

impl From<Refused> for Problem {
    fn from(refused: Refused) -> Problem {
        let kind = match refused.code() {
            Refusal::Unspecified | Refusal::NotLeader | Refusal::StaleRevision => {
                ProblemKind::Unavailable
            }
            Refusal::ProgramEnded => ProblemKind::Ended,
            Refusal::ProgramNotFound => ProblemKind::NotFound,
            Refusal::TurnOutOfOrder
            | Refusal::HistoryConflict
            | Refusal::KeyReused
            | Refusal::DispatchUnknown
            | Refusal::NotHolder => ProblemKind::Conflict,
            Refusal::Invalid => ProblemKind::BadRequest,
            Refusal::BudgetExceeded => ProblemKind::Budget,
            Refusal::DeadlinePassed => ProblemKind::Deadline,
            Refusal::Quarantined => ProblemKind::Quarantined,
            Refusal::Overloaded => ProblemKind::Overloaded,
            Refusal::TooLarge => ProblemKind::TooLarge,
        };
        let problem = Problem::not_run(kind, refused.detail);
        match (refused.retry_ms, kind) {
            // The other side is changing leader or revision, which takes about this long.
            (0, ProblemKind::Unavailable) => problem.retry_after(CHANGE_RETRY_MS),
            (0, _) => problem,
            (millis, _) => problem.retry_after(millis),
        }
    }
}

impl From<Unknown> for Problem {
    fn from(unknown: Unknown) -> Problem {
        Problem::unknown(unknown.detail)
    }
}
