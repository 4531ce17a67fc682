//! Asks the control group on behalf of an operator, an endpoint or a store.

use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::{ControlReply, ControlRequest};

use crate::directory::Directory;
use crate::leader_client::{LeaderClient, ReplyKind, RetryLimits};
use crate::rpc::{Method, PeerClients};

/// Pause before another store is asked.
const RETRY_PAUSE: Duration = Duration::from_millis(30);
/// For a person at a terminal: an election and a slow disk are waited out.
pub const OPERATOR_LIMITS: RetryLimits = RetryLimits {
    per_call: Duration::from_secs(5),
    total: Duration::from_secs(15),
    pause: RETRY_PAUSE,
};
/// For a program that itself asks another store after a second. A commit takes two round trips
/// between regions and two syncs, 50 ms, or 400 ms on disks that have turned slow; one store that is
/// silent must not use up all of the time.
pub const PROGRAM_LIMITS: RetryLimits = RetryLimits {
    per_call: Duration::from_millis(600),
    total: Duration::from_millis(900),
    pause: RETRY_PAUSE,
};

/// Finds the control group's leader; clones share what they learn.
#[derive(Clone)]
pub struct ControlGroupClient {
    leader: LeaderClient,
    limits: RetryLimits,
}

impl ControlGroupClient {
    /// Creates a client that knows no leader yet.
    pub fn new(
        directory: Arc<Directory>,
        peers: PeerClients,
        limits: RetryLimits,
    ) -> ControlGroupClient {
        let leader = LeaderClient::new(directory, peers, Method::Control);
        ControlGroupClient { leader, limits }
    }

    /// Asks the control group; `None` when no leader answered in time.
    ///
    /// A command is safe to ask again: its order id makes a repeat get the first answer.
    pub async fn ask(&self, request: &ControlRequest) -> Option<ControlReply> {
        self.leader.ask(request, self.limits, classify).await
    }
}

fn classify(reply: &ControlReply) -> ReplyKind {
    match &reply.body {
        Some(ReplyBody::Answer(_) | ReplyBody::Status(_)) => ReplyKind::Answer,
        Some(ReplyBody::NotLeader(hint)) => ReplyKind::Redirect(VmId(hint.leader)),
        Some(ReplyBody::Uncertain(_)) | None => ReplyKind::Uncertain,
    }
}
