//! HTTP gateway that passes callers' requests through to endpoints unchanged.
//!
//! Each request goes through these steps: read its head in the platform's dialect, find its route,
//! reserve tokens if it is a turn, choose an endpoint, send the request, relay the answer, settle the
//! reservation. Platform differences are behind [`Dialect`]. See docs/design/provider.md.

mod abandoned_attempts;
mod attempt;
mod broken_attempt;
mod buffered;
mod call;
mod connections;
mod dialect;
mod endpoint_io;
mod endpoint_state;
mod endpoint_sync;
mod headers;
mod history_cache;
mod ingress;
mod leader_search;
mod placement;
mod quota;
mod relay;
mod serve;
mod settlement;
mod settlement_queue;
mod state;
mod streaming;
mod suspect_table;
mod suspects;
mod text_client;
mod turn_calls;
mod turn_client;

pub use dialect::{
    AnswerHead, AnswerKind, AttemptHead, CallHead, Dialect, EndpointLoad, Identity, KeyHeader,
    PromptPart, Refusal, TurnHead,
};
pub use headers::forwarded_headers;
pub use serve::{Gateway, GatewayAddresses};
pub use text_client::TextClient;
pub(crate) use turn_client::TurnClient;
