//! Bundle content as operators write and sign it, and its checks.
//!
//! A bundle is YAML text. Its digest is taken over the bytes as they were signed, so no
//! canonical form is needed and a byte changed anywhere voids the signatures. See
//! docs/design/bundles.md.

mod check;
mod content;
mod digest;
mod findings;
mod routes;
mod signing;

pub use content::{
    Agent, AgentBudget, Bundle, Class, EndpointPattern, Fencing, Model, Operation, Organisation,
    Policy, Quarantine, Service, Version,
};
pub use digest::{DIGEST_LENGTH, Digest};
pub use findings::{Finding, Findings};
pub use routes::{CallerLimits, Pool, PoolEngine, Repeat, Route, Share, Stream};
pub use signing::{
    KeyPair, OperatorKeys, PublicKey, RollBackOrder, Signature, SignatureError, SignedBundle,
};

/// Most bytes of one bundle's text.
pub const MAX_CONTENT: usize = 16 * 1024 * 1024;
