//! Asks the control group on behalf of an operator, an endpoint or a store.

use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::{ControlReply, ControlRequest};

use crate::directory::Directory;
use crate::leader_client::{LeaderClient, Patience, Verdict};
use crate::rpc::{Method, PeerClients};

/// Pause before another store is asked.
const PAUSE: Duration = Duration::from_millis(30);
/// For a person at a terminal: an election and a slow disk are waited out.
pub const OPERATOR: Patience =
    Patience { call: Duration::from_secs(5), whole: Duration::from_secs(15), pause: PAUSE };
/// For a program that itself asks another store after a second. A commit takes two round trips
/// between regions and two syncs, 50 ms, or 400 ms on disks that have turned slow; one store that is
/// silent must not use up all of the time.
pub const PROGRAM: Patience =
    Patience { call: Duration::from_millis(600), whole: Duration::from_millis(900), pause: PAUSE };

/// Finds the control group's leader; clones share what they learn.
#[derive(Clone)]
pub struct ControlGroupClient {
    leader: LeaderClient,
    patience: Patience,
}

impl ControlGroupClient {
    /// Creates a client that knows no leader yet.
    pub fn new(
        directory: Arc<Directory>,
        peers: PeerClients,
        patience: Patience,
    ) -> ControlGroupClient {
        let leader = LeaderClient::new(directory, peers, Method::Control);
        ControlGroupClient { leader, patience }
    }

    /// Asks the control group; `None` when no leader answered in time.
    ///
    /// A command is safe to ask again: its order id makes a repeat get the first answer.
    pub async fn ask(&self, request: &ControlRequest) -> Option<ControlReply> {
        self.leader.ask(request, self.patience, verdict).await
    }
}

fn verdict(reply: &ControlReply) -> Verdict {
    match &reply.body {
        Some(ReplyBody::Answer(_) | ReplyBody::Status(_)) => Verdict::Leads,
        Some(ReplyBody::NotLeader(hint)) => Verdict::Redirects(VmId(hint.leader)),
        Some(ReplyBody::Uncertain(_)) | None => Verdict::Uncertain,
    }
}
