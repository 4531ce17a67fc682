//! Asks the turn group on behalf of this process.

use std::sync::{Arc, Mutex};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;
use gypsumglade_core::wire::turn::{Command, Reply};
use jsonrpsee::core::params::ArrayParams;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::leader_hint::LeaderHint;
use crate::rpc::{Method, PeerClients, decode, encode};

/// Longest wait for one store: a commit takes two round trips between regions and two syncs, some
/// 50 ms; a store that is silent for ten times that is passed over.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before another store is asked.
const PAUSE: Duration = Duration::from_millis(25);

/// A client of the turn group; clones share what they learn.
#[derive(Clone)]
pub(super) struct TurnClient {
    directory: Arc<Directory>,
    peers: PeerClients,
    leader: Arc<Mutex<LeaderHint>>,
}

impl TurnClient {
    /// Creates a client that knows no leader yet.
    pub(super) fn new(directory: Arc<Directory>, peers: PeerClients) -> TurnClient {
        TurnClient { directory, peers, leader: Arc::default() }
    }

    /// Asks until the group answers or `patience` is over. Commands are idempotent by their turn's
    /// id, so asking again is safe.
    pub(super) async fn ask(&self, body: CommandBody, patience: Duration) -> Option<ReplyBody> {
        let payload = encode(&Command { body: Some(body) });
        let until = Instant::now() + patience;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let target = self.leader().target(&self.directory);
            if let Some((vm, address)) = target {
                let reply = self.ask_store(address, &payload, left.min(CALL_TIMEOUT)).await;
                match reply.and_then(|reply| reply.body) {
                    Some(ReplyBody::NotLeader(hint)) => {
                        self.leader().redirect(Some(vm), Some(VmId(hint.leader)));
                    }
                    Some(ReplyBody::Uncertain(_)) | None => self.leader().forget(),
                    Some(body) => {
                        self.leader().confirm(vm);
                        return Some(body);
                    }
                }
            }
            if Instant::now() + PAUSE >= until {
                return None;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn leader(&self) -> std::sync::MutexGuard<'_, LeaderHint> {
        self.leader.lock().expect("no panic while held")
    }

    async fn ask_store(
        &self,
        address: std::net::SocketAddr,
        payload: &str,
        timeout: Duration,
    ) -> Option<Reply> {
        let mut parameters = ArrayParams::new();
        parameters.insert(payload).ok()?;
        let call = self.peers.call(address, Method::Turn, parameters, timeout);
        decode(&call.await.ok()?).ok()
    }
}
