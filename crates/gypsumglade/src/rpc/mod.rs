//! Calls between the system's own processes: JSON-RPC over WebSocket by `jsonrpsee`, and links of
//! raw frames for replication.
//!
//! Payloads are protobuf in base64, so that the same generated types serve disk and wire; see
//! docs/design/rpc.md for the forms that were weighed.

mod client;
mod codec;
mod link;
mod method;
mod server;

pub use client::{PeerClients, RpcError};
pub use codec::{decode, encode};
pub use link::{FrameHandler, Link};
pub use method::Method;
pub use server::{RpcServer, invalid_payload};
