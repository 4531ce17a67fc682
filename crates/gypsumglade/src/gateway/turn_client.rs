//! Asks the turn group on behalf of this process.

use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;
use gypsumglade_core::wire::turn::{Command, Reply};

use crate::directory::Directory;
use crate::leader_client::{LeaderClient, Patience, Verdict};
use crate::rpc::{Method, PeerClients};

/// Longest wait for one store: a commit takes two round trips between regions and two syncs, some
/// 50 ms; a store that is silent for ten times that is passed over.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before another store is asked.
const PAUSE: Duration = Duration::from_millis(25);

/// A client of the turn group; clones share what they learn.
#[derive(Clone)]
pub(super) struct TurnClient {
    leader: LeaderClient,
}

impl TurnClient {
    /// Creates a client that knows no leader yet.
    pub(super) fn new(directory: Arc<Directory>, peers: PeerClients) -> TurnClient {
        TurnClient { leader: LeaderClient::new(directory, peers, Method::Turn) }
    }

    /// Asks until the group answers or `whole` is over. Commands are idempotent by their turn's id,
    /// so asking again is safe.
    pub(super) async fn ask(&self, body: CommandBody, whole: Duration) -> Option<ReplyBody> {
        let command = Command { body: Some(body) };
        let patience = Patience { call: CALL_TIMEOUT, whole, pause: PAUSE };
        self.leader.ask(&command, patience, verdict).await?.body
    }
}

fn verdict(reply: &Reply) -> Verdict {
    match &reply.body {
        Some(ReplyBody::NotLeader(hint)) => Verdict::Redirects(VmId(hint.leader)),
        Some(ReplyBody::Uncertain(_)) | None => Verdict::Uncertain,
        Some(_) => Verdict::Leads,
    }
}
