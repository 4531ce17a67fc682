//! Bundles: their content, validation and signatures.
//!
//! A bundle is YAML text. Its digest covers the exact bytes that were signed, so no canonical form
//! is needed and any change invalidates the signatures. See docs/design/bundles.md.

mod check;
mod content;
mod digest;
mod findings;
mod routes;
mod signing;

pub use content::{
    Agent, AgentBudget, Bundle, Class, EndpointPattern, Fencing, Model, Operation, Organisation,
    Policy, Quarantine, RateLimit, Service, Version,
};
pub use digest::{DIGEST_LENGTH, Digest};
pub use findings::{Finding, Findings};
pub use routes::{Access, CallerLimits, Pool, PoolEngine, Repeat, Route, Share, Stream};
pub use signing::{
    KeyPair, OperatorKeys, PublicKey, RollBackOrder, Signature, SignatureError, SignedBundle,
};

/// Maximum size of a bundle's text, in bytes.
pub const MAX_CONTENT: usize = 16 * 1024 * 1024;
