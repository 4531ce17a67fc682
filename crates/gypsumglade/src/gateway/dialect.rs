//! What a platform's dialect tells the gateway, and what it is told.

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use http::{HeaderMap, Response, request, response};

/// How callers and endpoints of one platform say what the gateway needs to know.
///
/// A dialect only translates: it keeps no state and decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request; `None` if it lacks what every request has.
    fn read_call(&self, head: &request::Parts) -> Option<CallHead>;

    /// Returns the headers with which a request goes to an endpoint: the caller's own that are
    /// meant for it, and those of the order.
    fn write_attempt(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer to the request `id`.
    fn read_answer(&self, head: &response::Parts, id: &str) -> AnswerHead;

    /// Returns the caller's answer to a request that has no answer of an endpoint.
    fn refuse(&self, refusal: &Refusal) -> Response<Bytes>;
}

/// The head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// Unique id of this attempt; endpoints echo it.
    pub id: CompactString,
    /// Host that the caller names, without a port.
    pub host: CompactString,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Present for a request of a program.
    pub turn: Option<TurnHead>,
    /// Prompt, in parts that other requests may share, in order.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_tokens: u64,
    /// The last event that the caller has of an earlier attempt.
    pub last_event: Option<u64>,
    /// Requests with the same value concern the same thing, and run faster where it was handled
    /// lately.
    pub affinity: Option<CompactString>,
}

/// What a request says of its program.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TurnHead {
    /// The program.
    pub program: CompactString,
    /// The line of turns within it that the request belongs to.
    pub session: CompactString,
    /// Time until the program should be finished.
    pub finish_within: Option<Duration>,
    /// Most tokens that all turns of the program may generate.
    pub budget: Option<u64>,
    /// The turn that this one continues, empty at the start of a chain.
    pub previous: CompactString,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of its content.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// How one attempt is sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHead<'a> {
    /// The endpoint that is meant; another one at the address must refuse.
    pub endpoint: &'a str,
    /// Time that is left.
    pub time_left: Duration,
    /// Event after which a stream goes on.
    pub after_event: Option<u64>,
}

/// What an endpoint's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether it is the endpoint's word on this request.
    pub kind: AnswerKind,
    /// Load that came with it.
    pub load: Option<EndpointLoad>,
    /// How long the endpoint keeps the connection when idle.
    pub idle_timeout: Option<Duration>,
    /// True when the endpoint closes the connection after it.
    pub closes: bool,
}

/// Whether an answer is the endpoint's word on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The endpoint ran the request, and this is its answer.
    Answered,
    /// The endpoint has not run it and never will.
    NotRun,
    /// Another endpoint has the address; the request has not run.
    OtherEndpoint,
    /// It belongs to no request here, or can't be the endpoint's whole answer.
    Untrusted,
}

/// Load of an endpoint as it told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
}

/// Why a request has no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The head lacks what every request has.
    Malformed,
    /// No route covers the path.
    NoRoute,
    /// The body is larger than the operator allows.
    TooLarge,
    /// The program's budget holds no further turn; it has not run.
    BudgetSpent,
    /// The turn to continue is not kept, surely.
    UnknownTurn,
    /// It has not run and never will; it is worth coming back after this time.
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run; the endpoint's answer was lost.
    Lost,
    /// It may have run; its time is over.
    TimedOut,
}

impl Refusal {
    /// Returns the name that logs and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Refusal::Malformed => "malformed",
            Refusal::NoRoute => "no_route",
            Refusal::TooLarge => "too_large",
            Refusal::BudgetSpent => "budget_spent",
            Refusal::UnknownTurn => "unknown_turn",
            Refusal::Unavailable { .. } => "unavailable",
            Refusal::Lost => "lost",
            Refusal::TimedOut => "timed_out",
        }
    }
}
