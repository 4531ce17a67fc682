//! A request on its way, and the answer to it.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::bundle::{PoolEngine, Repeat, Route, Stream};
use gypsumglade_core::prelude::*;
use http::{Response, request};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full};
use tokio::time::Instant;

use super::dialect::CallHead;
use crate::entry::active_bundle::ActiveBundle;

/// Why a relayed body ends before it is whole; the connection is cut.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off")]
pub(super) struct IncompleteBody;

/// Body of an answer to a caller.
pub(super) type AnswerBody = BoxBody<Bytes, IncompleteBody>;

/// Answer to a caller.
pub(super) type Answer = Response<AnswerBody>;

/// Longest time that a request may take where neither caller nor operator bounds it.
const MAX_TIMEOUT: Duration = Duration::from_secs(300);

/// The route of a request, with the pool that its weights chose and the bundle it stands in.
#[derive(Debug)]
pub(super) struct RouteMatch {
    pub(super) route: Route,
    pub(super) pool: CompactString,
    pub(super) bundle: Arc<ActiveBundle>,
}

/// One attempt of a caller, with its route.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) head: CallHead,
    pub(super) parts: request::Parts,
    /// What is sent to the endpoint: the caller's body, after a turn's history if it has one.
    pub(super) body: Bytes,
    pub(super) route: Route,
    pub(super) pool: CompactString,
    pub(super) bundle: Arc<ActiveBundle>,
    pub(super) arrived: Instant,
    /// End of the time that the caller and the operator give it.
    pub(super) deadline: Instant,
}

impl Call {
    /// Puts a request together with its route.
    pub(super) fn new(
        head: CallHead,
        parts: request::Parts,
        body: Bytes,
        matched: RouteMatch,
        arrived: Instant,
    ) -> Call {
        let RouteMatch { route, pool, bundle } = matched;
        let timeout = Duration::from_millis(route.timeout_ms).min(MAX_TIMEOUT);
        let deadline = arrived + head.timeout.unwrap_or(timeout).min(timeout);
        Call { head, parts, body, route, pool, bundle, arrived, deadline }
    }

    /// Returns the time that is left.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Tells whether a request that may have run may be sent again.
    pub(super) fn is_idempotent(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
    }

    /// Returns how streams of the route behave, where it has streams.
    pub(super) fn stream(&self) -> Option<Stream> {
        self.route.stream
    }

    /// Returns the program that a turn belongs to, for logs.
    pub(super) fn program(&self) -> Option<&str> {
        self.head.turn.as_ref().map(|turn| turn.program.as_str())
    }

    /// Returns the time until the program should be finished, as the caller told it.
    pub(super) fn finish_within(&self) -> Option<Duration> {
        self.head.turn.as_ref().and_then(|turn| turn.finish_within)
    }

    /// Returns the line of turns that a turn belongs to, for logs.
    pub(super) fn session(&self) -> Option<&str> {
        self.head.turn.as_ref().map(|turn| turn.session.as_str())
    }

    /// Returns the tokens in each event of the pool's engines.
    pub(super) fn event_tokens(&self) -> u64 {
        self.engine().map_or(0, |engine| engine.event_tokens)
    }

    /// Returns how many requests each engine of the pool runs at one time.
    pub(super) fn engine_slots(&self) -> u32 {
        self.engine().map_or(0, |engine| engine.slots)
    }

    fn engine(&self) -> Option<PoolEngine> {
        self.bundle.pool(&self.pool).and_then(|pool| pool.engine)
    }
}

/// Wraps a body that is whole.
pub(super) fn full_body(body: Bytes) -> AnswerBody {
    Full::new(body).map_err(|never| match never {}).boxed()
}
