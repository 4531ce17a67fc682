//! Client of the control group, for operators, endpoints and stores.

use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::{ControlReply, ControlRequest};

use crate::directory::Directory;
use crate::leader_client::{LeaderClient, ReplyKind, RetryLimits};
use crate::rpc::{Method, PeerClients};

/// Pause between two calls.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// Limits for an operator at a terminal, long enough for an election and a slow disk.
pub const OPERATOR_LIMITS: RetryLimits = RetryLimits {
    per_call: Duration::from_secs(5),
    total: Duration::from_secs(15),
    pause: RETRY_PAUSE,
};
/// Limits for a client that turns to another store after a second.
///
/// A call covers a commit: two round trips between regions and two syncs, 50 ms, or 400 ms on slow
/// disks. That leaves time for a second store if the first doesn't answer.
pub const PROGRAM_LIMITS: RetryLimits = RetryLimits {
    per_call: Duration::from_millis(600),
    total: Duration::from_millis(900),
    pause: RETRY_PAUSE,
};

/// Finds the control group's leader and sends it requests; clones share the known leader.
#[derive(Clone)]
pub struct ControlGroupClient {
    leader: LeaderClient,
    limits: RetryLimits,
}

impl ControlGroupClient {
    /// Creates a client without a known leader.
    pub fn new(
        directory: Arc<Directory>,
        peers: PeerClients,
        limits: RetryLimits,
    ) -> ControlGroupClient {
        let leader = LeaderClient::new(directory, peers, GroupId::CONTROL, Method::Control);
        ControlGroupClient { leader, limits }
    }

    /// Returns a client with other limits that shares the known leader.
    pub fn with_limits(&self, limits: RetryLimits) -> ControlGroupClient {
        ControlGroupClient { leader: self.leader.clone(), limits }
    }

    /// Sends a request to the control group. Returns `None` if no leader answered in time.
    ///
    /// Orders are safe to retry: a repeated order id gets the answer of the first one.
    pub async fn ask(&self, request: &ControlRequest) -> Option<ControlReply> {
        self.leader.ask(request, self.limits, classify).await
    }
}

fn classify(reply: &ControlReply) -> ReplyKind {
    match &reply.body {
        Some(ReplyBody::Answer(_) | ReplyBody::Status(_) | ReplyBody::Content(_)) => {
            ReplyKind::Answer
        }
        Some(ReplyBody::NotLeader(hint)) => ReplyKind::Redirect(VmId(hint.leader)),
        Some(ReplyBody::Uncertain(_)) | None => ReplyKind::Uncertain,
    }
}
