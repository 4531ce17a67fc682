//! Routes: callers' paths whose requests are passed through to a pool of endpoints.

use std::collections::HashSet;

use super::Findings;
use crate::prelude::*;

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: CompactString,
    /// Host that callers name.
    pub host: CompactString,
    /// Start of the paths that it covers; begins and ends with a slash.
    pub prefix: CompactString,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that the operator wants a request kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most to callers, in milliseconds.
    pub target_ms: u64,
    /// Rank among the routes of a pool; zero is the most urgent.
    pub rank: u8,
    /// Most endpoints that may run one request.
    pub attempts: u32,
    /// Whether endpoints are faster at requests whose kind they handled lately.
    #[serde(default)]
    pub sticky: bool,
    /// Pools that requests go to, with their weights.
    pub shares: Vec<Share>,
    /// Present where answers are streams of events.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream: Option<Stream>,
}

/// What may be repeated when it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// A request may run again, elsewhere too.
    Idempotent,
    /// A request runs at most once.
    Never,
}

/// A pool's part of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the pool.
    pub pool: CompactString,
    /// Part of the requests, against the sum of the weights.
    pub weight: u32,
}

/// How a route's streams behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// How long a turn is kept for those that continue it, in milliseconds; absent where callers
    /// send all that precedes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub keep_ms: Option<u64>,
    /// Whether a stream that broke may go on at another endpoint.
    #[serde(default)]
    pub resumable: bool,
    /// Longest pause between events that callers find acceptable, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gap_ms: Option<u64>,
}

/// A pool of endpoints of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name that endpoints announce.
    pub name: CompactString,
    /// Most connections that an endpoint takes from all callers together.
    pub connections: u32,
    /// Path of the health check.
    pub health_path: CompactString,
    /// Present where the endpoints are model engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<PoolEngine>,
}

/// What the engines of a pool have in common.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolEngine {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens that running requests and prefix memory share.
    pub cache_tokens: u64,
    /// Bytes of KV cache for each token.
    pub token_bytes: u64,
    /// Tokens in each event of a stream.
    pub event_tokens: u64,
}

/// What callers of the routes may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: u64,
    /// Most bytes of a request's body.
    pub body_bytes: u64,
    /// Longest time to send a head, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Room for a history of 140,000 tokens, some 0.6 MB of text, and for a slow phone's head.
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_ms: 15_000,
            idle_ms: 60_000,
        }
    }
}

/// Adds every finding of the routes and pools.
pub(super) fn check(routes: &[Route], pools: &[Pool], findings: &mut Findings) {
    let names: HashSet<&str> = pools.iter().map(|pool| pool.name.as_str()).collect();
    if names.len() < pools.len() {
        findings.push("pools", "a name twice", "a name used once in its list");
    }
    let mut seen = HashSet::new();
    for (index, route) in routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        check_route(&path, route, &names, findings);
        if !seen.insert((route.host.as_str(), route.prefix.as_str())) {
            let place = format!("{}{} again", route.host, route.prefix);
            findings.push(&path, place, "a host and prefix that no other route has");
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
        findings.push(&format!("{path}.shares"), "no weight", "weights of which one is above 0");
    }
}
