//! A caller's request with its route, and the answer to it.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use gypsumglade_core::bundle::{Organisation, PoolEngine, RateLimit, Repeat, Route, Stream};
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::QualifiedId;
use http::{Response, request};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full};
use sha2::{Digest as _, Sha256};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::dialect::{CallHead, Identity};
use crate::entry::active_bundle::ActiveBundle;
use crate::request_memory::HeldMemory;

/// Error that ends a relayed body early; the connection to the caller is closed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the endpoint's answer is incomplete")]
pub(super) struct IncompleteBody;

/// Body of an [`Answer`].
pub(super) type AnswerBody = BoxBody<Bytes, IncompleteBody>;

/// HTTP response to a caller.
pub(super) type Answer = Response<AnswerBody>;

/// Upper bound of a request's timeout, whatever caller and route allow.
const MAX_TIMEOUT: Duration = Duration::from_secs(300);

/// Route of a request, the pool chosen by its weights, and the bundle that defines it.
#[derive(Debug)]
pub(super) struct RouteMatch {
    pub(super) route: Route,
    pub(super) pool: CompactString,
    pub(super) bundle: Arc<ActiveBundle>,
    pub(super) sender: Sender,
}

/// Sender of a request, as the bundle knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct Sender {
    pub(super) identity: Identity,
    /// Rank of the organisation's requests, which replaces that of the route.
    pub(super) rank: Option<u8>,
    /// Rate limit of the organisation.
    pub(super) limit: Option<RateLimit>,
}

impl Sender {
    /// Returns the sender of a request with an organisation's API key.
    pub(super) fn of(org: &Organisation) -> Sender {
        let identity = Identity::Organisation(org.name.clone());
        Sender { identity, rank: org.rank, limit: org.limit }
    }
}

/// The body of a request, and the memory that the request holds.
#[derive(Debug)]
pub(super) struct Received {
    pub(super) body: Bytes,
    pub(super) memory: Arc<HeldMemory>,
}

/// A caller's request that has a route.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) head: CallHead,
    pub(super) parts: request::Parts,
    /// The body as the caller sent it.
    pub(super) body: Bytes,
    pub(super) memory: Arc<HeldMemory>,
    pub(super) route: Route,
    pub(super) pool: CompactString,
    pub(super) bundle: Arc<ActiveBundle>,
    pub(super) sender: Sender,
    pub(super) arrived: Instant,
    /// Arrival plus the smaller of the caller's and the route's timeout.
    pub(super) deadline: Instant,
    digest: OnceLock<RequestDigest>,
    resource: OnceLock<RequestDigest>,
}

/// Digest of what an endpoint gets of a request, without what differs when the caller sends the
/// same again.
pub(super) type RequestDigest = [u8; 16];

impl Call {
    /// Combines a request with its route and computes its deadline.
    pub(super) fn new(
        head: CallHead,
        parts: request::Parts,
        received: Received,
        matched: RouteMatch,
        arrived: Instant,
    ) -> Call {
        let RouteMatch { route, pool, bundle, sender } = matched;
        let timeout = Duration::from_millis(route.timeout_ms).min(MAX_TIMEOUT);
        let deadline = arrived + head.timeout.unwrap_or(timeout).min(timeout);
        let Received { body, memory } = received;
        Call {
            head,
            parts,
            body,
            memory,
            route,
            pool,
            bundle,
            sender,
            arrived,
            deadline,
            digest: OnceLock::new(),
            resource: OnceLock::new(),
        }
    }

    /// Returns the digest of the caller, the host, the path and the content.
    ///
    /// It is computed on first use, since most requests never need it.
    pub(super) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| into_digest(self.hash_parts().chain_update(&self.body)))
    }

    /// Returns the digest of the caller, the host and the path, which stays the same where the caller
    /// sends the content with another history each time.
    pub(super) fn resource(&self) -> RequestDigest {
        *self.resource.get_or_init(|| into_digest(self.hash_parts().chain_update(RESOURCE_LABEL)))
    }

    fn hash_parts(&self) -> Sha256 {
        let mut hash = Sha256::new();
        for (_, part) in self.digest_parts() {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash
    }

    /// Returns what the digest is made of besides the body, with names.
    ///
    /// The turn that the request continues is no part of it: its caller sends the same content again
    /// in another program, after other turns.
    fn digest_parts(&self) -> [(&'static str, &str); 4] {
        let path = self.parts.uri.path_and_query().map_or("", |path| path.as_str());
        [
            ("caller", self.organisation()),
            ("method", self.parts.method.as_str()),
            ("host", &self.head.host),
            ("path", path),
        ]
    }

    /// Returns a short hash of each part of the digest, by which operators see where two digests
    /// differ without seeing the content.
    pub(super) fn digest_summary(&self) -> String {
        let parts = self.digest_parts();
        let parts = parts.iter().map(|(name, part)| (*name, part.as_bytes()));
        let all = parts.chain([("body", self.body.as_ref())]);
        let short = all.map(|(name, part)| format!("{name}={:08x}", xxh3_64(part) as u32));
        short.collect::<Vec<_>>().join(" ")
    }

    /// Returns the name of the caller's organisation, or an empty name if it is unknown.
    pub(super) fn organisation(&self) -> &str {
        match &self.sender.identity {
            Identity::Organisation(name) => name,
            Identity::Unchecked | Identity::Anonymous => "",
        }
    }

    /// Returns the time until the deadline, or zero after it.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns whether the request may run more than once.
    pub(super) fn is_idempotent(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
    }

    /// Returns the stream settings of the route, or `None` if its answers are not streams.
    pub(super) fn stream(&self) -> Option<Stream> {
        self.route.stream
    }

    /// Returns the rank of the call: its organisation's, or else its route's.
    pub(super) fn rank(&self) -> u8 {
        self.sender.rank.unwrap_or(self.route.rank)
    }

    /// Returns the id of a turn or a program that the caller names, which is always one of its own.
    pub(super) fn qualified(&self, id: &str) -> QualifiedId {
        let owner = match &self.sender.identity {
            Identity::Organisation(org) => Some(org.as_str()),
            Identity::Unchecked | Identity::Anonymous => None,
        };
        QualifiedId::new(owner, id)
    }

    /// Returns the program of a turn.
    pub(super) fn program(&self) -> Option<&str> {
        self.head.turn.as_ref().map(|turn| turn.program.as_str())
    }

    /// Returns the time until the program should be finished, as stated by the caller.
    pub(super) fn finish_within(&self) -> Option<Duration> {
        self.head.turn.as_ref().and_then(|turn| turn.finish_within)
    }

    /// Returns the session within the program that a turn belongs to.
    pub(super) fn session(&self) -> Option<&str> {
        self.head.turn.as_ref().map(|turn| turn.session.as_str())
    }

    /// Returns the number of tokens in each event of the pool's engines, or 0 without an engine.
    pub(super) fn event_tokens(&self) -> u64 {
        self.engine().map_or(0, |engine| engine.event_tokens)
    }

    /// Returns how many requests each engine of the pool runs at the same time, or 0 without one.
    pub(super) fn engine_slots(&self) -> u32 {
        self.engine().map_or(0, |engine| engine.slots)
    }

    fn engine(&self) -> Option<PoolEngine> {
        self.bundle.pool(&self.pool).and_then(|pool| pool.engine)
    }
}

/// Keeps the digest of a resource apart from that of a request with an empty body.
const RESOURCE_LABEL: &[u8] = b"all requests for this resource";

fn into_digest(hash: Sha256) -> RequestDigest {
    let digest: [u8; 32] = hash.finalize().into();
    std::array::from_fn(|index| digest[index])
}

/// Wraps a complete body.
pub(super) fn full_body(body: Bytes) -> AnswerBody {
    Full::new(body).map_err(|never| match never {}).boxed()
}
