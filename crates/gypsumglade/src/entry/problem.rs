//! Error responses to callers: what happened, whether the call ran and what to do.

use axum::Json;
use axum::response::{IntoResponse, Response};
use compact_str::{CompactString, ToCompactString};
use gypsumglade_core::wire::common::Outcome;
use gypsumglade_core::wire::program::{Refusal, Refused, Unknown};
use http::{HeaderName, HeaderValue, StatusCode, header};
use serde::Serialize;

/// Response header with the outcome of a call.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-program-outcome");

/// Kind of a problem, which determines the HTTP status, error code and advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// The request is invalid.
    BadRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The path, program, agent, model or operation does not exist for this organisation.
    NotFound,
    /// The request conflicts with the program's state.
    Conflict,
    /// The path does not support the HTTP method.
    BadMethod,
    /// The program has ended.
    Ended,
    /// The program's budget does not cover the call.
    Budget,
    /// The caller's deadline passed, or would pass before the call can finish.
    Deadline,
    /// The request has crashed endpoints and is quarantined.
    Quarantined,
    /// The VM, the engines or the program group have no capacity left.
    Overloaded,
    /// The organisation has reached its rate limit.
    OverLimit,
    /// No endpoint or no quorum is available.
    Unavailable,
    /// The VM has no valid configuration lease and takes no new calls.
    NoLease,
    /// The call may have run.
    Uncertain,
    /// The request is too large.
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
            ProblemKind::Overloaded | ProblemKind::OverLimit => StatusCode::TOO_MANY_REQUESTS,
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
            ProblemKind::OverLimit => "over_limit",
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
            ProblemKind::OverLimit => {
                "send it again after Retry-After, or ask the operators for a higher limit"
            }
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

/// Default Retry-After of an unavailable group, long enough for most changes of leader or revision.
const CHANGE_RETRY_MS: u64 = 1_000;

/// A problem of a call, sent to the caller as an error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Kind of the problem.
    pub kind: ProblemKind,
    /// Whether the call ran, as far as known.
    pub outcome: Outcome,
    /// Description of the problem for a person.
    pub message: CompactString,
    /// Time after which to retry, in milliseconds.
    pub retry: Option<u64>,
}

impl Problem {
    /// Creates a problem of a call that certainly did not run.
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

    /// Sets the time after which to retry, in milliseconds.
    pub fn retry_after(mut self, millis: u64) -> Problem {
        self.retry = Some(millis);
        self
    }

    /// Returns the JSON body, which is also the last event of a failed stream.
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

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub struct ProblemBody<'a> {
    /// The error, in the member where the OpenAI format has it.
    pub error: ProblemDetail<'a>,
}

/// Error object of the JSON body.
#[derive(Debug, Serialize)]
pub struct ProblemDetail<'a> {
    /// Stable error code.
    pub code: &'static str,
    /// Description of the problem for a person.
    pub message: &'a str,
    /// What the caller can do.
    pub advice: &'static str,
    /// `done`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Time after which to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Returns the name of an outcome in responses and metrics.
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
            // The group is changing its leader or revision.
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
