//! Translation between a platform's HTTP headers and the gateway's types.

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use http::{HeaderMap, Response, request, response};

use crate::secret::Secret;

/// Reads and writes the headers by which one platform's callers and endpoints communicate.
///
/// A dialect only translates: it keeps no state and makes no routing decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request. Returns `None` if a mandatory header is missing, or an id
    /// can't be read without doubt.
    fn read_call(&self, head: &request::Parts) -> Option<CallHead>;

    /// Returns the headers of a request to an endpoint: those of the caller that may be forwarded,
    /// and those that express `attempt`.
    fn write_attempt(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer to the request with this id.
    fn read_answer(&self, head: &response::Parts, id: &str) -> AnswerHead;

    /// Returns the caller's answer to a request that no endpoint has answered.
    fn refuse(&self, refusal: &Refusal) -> Response<Bytes>;
}

/// Contents of the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// Unique id of this attempt of the caller; endpoints echo it.
    pub id: CompactString,
    /// Host header, without a port.
    pub host: CompactString,
    /// API key that the caller presents.
    pub key: KeyHeader,
    /// How long the caller waits for the answer; unbounded if `None`.
    pub timeout: Option<Duration>,
    /// Set for a request of a program.
    pub turn: Option<TurnHead>,
    /// Parts of the prompt in order; other requests may share a prefix of them.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the entire prompt, zero if the caller does not state them.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have, zero if the caller does not state a limit.
    pub max_tokens: u64,
    /// Id of the last event that the caller received from an earlier attempt.
    pub last_event: Option<u64>,
    /// Requests with the same key run faster on an endpoint that has recently handled one of them.
    pub affinity: Option<CompactString>,
}

/// API key in a request head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum KeyHeader {
    /// The caller presents no key.
    #[default]
    Absent,
    /// The key can't be read, or there is more than one.
    Malformed,
    /// The caller's key.
    Key(Secret),
}

/// Who sent a request, as its endpoint is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Identity {
    /// No route of the bundle asks for a key; the caller's headers are forwarded.
    #[default]
    Unchecked,
    /// The route is open to everybody, and the caller belongs to no known organisation.
    Anonymous,
    /// The caller holds a key of this organisation.
    Organisation(CompactString),
}

/// Contents of a request head that concern its program.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TurnHead {
    /// Id of the program.
    pub program: CompactString,
    /// Sequence of turns within the program that the request belongs to.
    pub session: CompactString,
    /// Time until the entire program should be finished.
    pub finish_within: Option<Duration>,
    /// Most tokens that all turns of the program together may generate.
    pub budget: Option<u64>,
    /// Id of the turn that this one continues; empty for the first turn.
    pub previous: CompactString,
}

/// A part of a prompt that other prompts may contain too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of its content.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Contents of a request head that differ from one attempt at an endpoint to the next.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHead<'a> {
    /// Who sent the request. Unless it is unchecked, the caller's key isn't forwarded.
    pub identity: &'a Identity,
    /// Name of the intended endpoint; a different one at the same address must refuse the request.
    pub endpoint: &'a str,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Id of the event after which a stream resumes.
    pub after_event: Option<u64>,
}

/// Contents of the head of an endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the answer belongs to this request, and whether the request has run.
    pub kind: AnswerKind,
    /// Load that the endpoint reports.
    pub load: Option<EndpointLoad>,
    /// How long the endpoint keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the endpoint closes the connection after this answer.
    pub closes: bool,
}

/// Whether an answer can be attributed to the endpoint and the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The endpoint ran the request and this is its answer, which may be an error.
    Answered,
    /// The endpoint has not run the request and will not run it.
    NotRun,
    /// A different endpoint has the address; the request has not run.
    OtherEndpoint,
    /// The answer belongs to a different request or is not authentic; whether this request ran is
    /// unknown.
    Untrusted,
}

/// Load of an endpoint, as reported by the endpoint itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the endpoint's queue.
    pub waiting: u32,
}

/// Why a request has no answer from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A mandatory header is missing, an id is ambiguous, or the body could not be read.
    Malformed,
    /// The caller's API key is missing or unknown; the request has not run.
    Unauthorized,
    /// The organisation has reached its rate limit; the request has not run and will not run.
    OverLimit {
        /// Recommended delay before the retry.
        retry_after: Duration,
    },
    /// No route matches the host and path.
    NoRoute,
    /// The body exceeds the size limit of the bundle.
    TooLarge,
    /// The program's token budget is exhausted; the request has not run.
    BudgetSpent,
    /// The turn to continue is not kept; the request has not run.
    UnknownTurn,
    /// The request has not run and will not run; the caller may retry.
    Unavailable {
        /// Recommended delay before the retry.
        retry_after: Duration,
    },
    /// The request has crashed several endpoints and is quarantined; it has not run and will not
    /// run.
    Quarantined {
        /// Remaining time of the quarantine.
        retry_after: Duration,
    },
    /// The request may have run, but its answer was lost.
    Lost,
    /// The request may have run, but the deadline has passed.
    TimedOut,
}

impl Refusal {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Refusal::Malformed => "malformed",
            Refusal::Unauthorized => "unauthorized",
            Refusal::OverLimit { .. } => "over_limit",
            Refusal::NoRoute => "no_route",
            Refusal::TooLarge => "too_large",
            Refusal::BudgetSpent => "budget_spent",
            Refusal::UnknownTurn => "unknown_turn",
            Refusal::Unavailable { .. } => "unavailable",
            Refusal::Quarantined { .. } => "quarantined",
            Refusal::Lost => "lost",
            Refusal::TimedOut => "timed_out",
        }
    }
}
