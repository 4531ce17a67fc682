//! The entry's interface for requests that are passed through to endpoints as they are.
//!
//! A request goes through fixed steps: read its head in the callers' dialect, find its route, for a
//! turn set its tokens aside, place it, send it, relay the answer, settle. What differs from one
//! platform to another is behind [`Dialect`]. docs/design/provider.md has the reasons.

mod attempt;
mod buffered;
mod call;
mod connections;
mod dialect;
mod endpoint_sync;
mod headers;
mod history_cache;
mod ingress;
mod leader_search;
mod placement;
mod relay;
mod serve;
mod settlement;
mod settlement_queue;
mod state;
mod streaming;
mod text_client;
mod turn_client;

pub use dialect::{
    AnswerHead, AnswerKind, AttemptHead, CallHead, Dialect, EndpointLoad, PromptPart, Refusal,
    TurnHead,
};
pub use headers::forwarded_headers;
pub use serve::{Gateway, GatewayAddresses};
pub use text_client::TextClient;
