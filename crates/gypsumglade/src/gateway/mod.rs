//! The entry's interface for requests that are passed through to endpoints as they are.
//!
//! A request goes through fixed steps: read its head in the callers' dialect, find its route, for a
//! turn set its tokens aside, place it, send it, relay the answer, settle. What differs from one
//! platform to another is behind [`Dialect`]. docs/design/provider.md has the reasons.

mod call;
mod channels;
mod dialect;
mod follow;
mod history_cache;
mod intake;
mod leader_search;
mod lines;
mod opening;
mod placing;
mod plain;
mod relay;
mod serve;
mod settlement;
mod settling;
mod state;
mod streaming;
mod text_client;
mod turn_client;

pub use dialect::{
    AnswerHead, CallHead, Dialect, EndpointLoad, Order, PromptPart, Refusal, Standing, TurnHead,
};
pub use lines::forwarded;
pub use serve::{Gateway, GatewayAddresses};
pub use text_client::TextClient;
