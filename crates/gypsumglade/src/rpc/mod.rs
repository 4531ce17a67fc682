//! Calls between the processes of the system: JSON-RPC over WebSocket with `jsonrpsee`, and links
//! of raw frames for replication.
//!
//! Payloads are base64-encoded protobuf, so that disk and wire use the same generated types.
//! docs/design/rpc.md compares the alternatives.

mod client;
mod codec;
mod counted;
mod link;
mod method;
mod server;

pub use client::{PeerClients, RpcError};
pub use codec::{decode, encode};
pub use link::{FrameHandler, Link};
pub use method::Method;
pub use server::{RpcServer, invalid_payload};
