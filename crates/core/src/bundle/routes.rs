//! Routes: paths whose requests are passed through to pools of endpoints.

use std::collections::HashSet;

use super::Findings;
use crate::prelude::*;

/// A host and path prefix, and how requests to it are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name used in logs and metrics.
    pub name: CompactString,
    /// Host that the route applies to.
    pub host: CompactString,
    /// Prefix of the paths that it matches; begins and ends with a slash.
    pub prefix: CompactString,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// Maximum time that a request may wait, in milliseconds.
    pub timeout_ms: u64,
    /// Response time up to which an answer has its full value to callers, in milliseconds.
    pub target_ms: u64,
    /// Priority among the routes of a pool; zero is the most urgent.
    pub rank: u8,
    /// Maximum number of endpoints that may run one request.
    pub attempts: u32,
    /// Whether endpoints are faster at requests of a kind that they handled recently.
    #[serde(default)]
    pub sticky: bool,
    /// Pools that requests go to, with their weights.
    pub shares: Vec<Share>,
    /// Settings of event streams, if the route's answers are such.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream: Option<Stream>,
    /// Who may send requests.
    #[serde(default, skip_serializing_if = "Access::is_open")]
    pub access: Access,
}

/// Who may send requests to a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Access {
    /// Everybody.
    #[default]
    Open,
    /// Callers with an organisation's API key.
    Key,
}

impl Access {
    fn is_open(&self) -> bool {
        *self == Access::Open
    }
}

/// Whether a request may be repeated if it may already have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// A request may be repeated, also at another endpoint.
    Idempotent,
    /// A request is executed at most once.
    Never,
}

/// A pool's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the pool.
    pub pool: CompactString,
    /// Weight of the pool, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Settings of a route's event streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// How long a turn is kept so that it can be continued, in milliseconds. Absent if callers send
    /// the whole history with each request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keep_ms: Option<u64>,
    /// Whether a broken stream may be resumed at another endpoint.
    #[serde(default)]
    pub resumable: bool,
    /// Maximum pause between events that is acceptable to callers, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap_ms: Option<u64>,
}

/// A pool of equivalent endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name that endpoints announce.
    pub name: CompactString,
    /// Maximum number of connections that an endpoint accepts from all callers together.
    pub connections: u32,
    /// Path of the endpoints' health check.
    pub health_path: CompactString,
    /// Properties of the endpoints, if they are model engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<PoolEngine>,
}

/// Properties shared by the model engines of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolEngine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens, shared by running requests and cached prefixes.
    pub cache_tokens: u64,
    /// Size of the KV cache for each token, in bytes.
    pub token_bytes: u64,
    /// Number of tokens in each event of a stream.
    pub event_tokens: u64,
}

/// Limits on the size and duration of requests to the routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Maximum time to send a request's head, in milliseconds.
    pub header_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Returns limits that fit long conversation histories and slow mobile connections.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_ms: 15_000,
            idle_ms: 60_000,
        }
    }
}

/// Validates the routes and pools.
pub(super) fn check(routes: &[Route], pools: &[Pool], findings: &mut Findings) {
    let names: HashSet<&str> = pools.iter().map(|pool| pool.name.as_str()).collect();
    if names.len() < pools.len() {
        findings.push("pools", "a duplicate name", "names that are unique in the list");
    }
    let mut seen = HashSet::new();
    for (index, route) in routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        check_route(&path, route, &names, findings);
        if !seen.insert((route.host.as_str(), route.prefix.as_str())) {
            let duplicate = format!("a duplicate of {}{}", route.host, route.prefix);
            findings.push(&path, duplicate, "a host and prefix that no other route uses");
        }
    }
}

fn check_route(path: &str, route: &Route, pools: &HashSet<&str>, findings: &mut Findings) {
    let valid = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    if !valid {
        let allowed = "a path that begins and ends with a slash";
        findings.push(&format!("{path}.prefix"), &route.prefix, allowed);
    }
    if route.timeout_ms == 0 {
        findings.push(&format!("{path}.timeout_ms"), 0, "at least 1 millisecond");
    }
    for (index, share) in route.shares.iter().enumerate() {
        if !pools.contains(share.pool.as_str()) {
            let place = format!("{path}.shares[{index}].pool");
            findings.push(&place, &share.pool, "a pool that the bundle defines");
        }
    }
    let weight: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    if weight == 0 {
        findings.push(&format!("{path}.shares"), "no weight", "at least one weight above 0");
    }
}
