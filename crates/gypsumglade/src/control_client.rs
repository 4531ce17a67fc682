//! Asks the control group on behalf of an operator, an endpoint or a store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::{ControlReply, ControlRequest};
use jsonrpsee::core::params::ArrayParams;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::leader_hint::LeaderHint;
use crate::rpc::{Method, PeerClients, decode, encode};

/// Pause before another store is asked, so that an election isn't waited out in a spin.
const PAUSE: Duration = Duration::from_millis(30);

/// How long a client goes on asking.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Longest wait for one store's answer.
    pub call: Duration,
    /// Time after which no further store is asked.
    pub whole: Duration,
}

impl Patience {
    /// For a person at a terminal: an election and a slow disk are waited out.
    pub const OPERATOR: Patience =
        Patience { call: Duration::from_secs(5), whole: Duration::from_secs(15) };
    /// For a program that itself asks another store after a second.
    pub const PROGRAM: Patience =
        Patience { call: Duration::from_millis(900), whole: Duration::from_millis(900) };
}

/// Finds the control group's leader; clones share what they learn.
#[derive(Clone)]
pub struct ControlGroupClient {
    directory: Arc<Directory>,
    peers: PeerClients,
    patience: Patience,
    leader: Arc<Mutex<LeaderHint>>,
}

impl ControlGroupClient {
    /// Creates a client that knows no leader yet.
    pub fn new(
        directory: Arc<Directory>,
        peers: PeerClients,
        patience: Patience,
    ) -> ControlGroupClient {
        ControlGroupClient { directory, peers, patience, leader: Arc::default() }
    }

    /// Asks the control group; `None` when no leader answered in time.
    ///
    /// A command is safe to ask again: its order id makes a repeat get the first answer.
    pub async fn ask(&self, request: &ControlRequest) -> Option<ControlReply> {
        let payload = encode(request);
        let until = Instant::now() + self.patience.whole;
        loop {
            if let Some((vm, address)) = self.target() {
                let timeout =
                    self.patience.call.min(until.saturating_duration_since(Instant::now()));
                let reply = self.ask_store(address, &payload, timeout).await;
                if let Some(reply) = self.learn(vm, reply) {
                    return Some(reply);
                }
            }
            if Instant::now() + PAUSE >= until {
                return None;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Notes who leads, and returns the reply if it is the leader's.
    fn learn(&self, vm: VmId, reply: Option<ControlReply>) -> Option<ControlReply> {
        let mut leader = self.leader.lock().expect("no panic while held");
        match reply.as_ref().and_then(|reply| reply.body.as_ref()) {
            Some(ReplyBody::Answer(_) | ReplyBody::Status(_)) => leader.confirm(vm),
            Some(ReplyBody::NotLeader(hint)) => {
                leader.redirect(Some(vm), Some(VmId(hint.leader)));
                return None;
            }
            Some(ReplyBody::Uncertain(_)) | None => {
                leader.forget();
                return None;
            }
        }
        reply
    }

    fn target(&self) -> Option<(VmId, SocketAddr)> {
        self.leader.lock().expect("no panic while held").target(&self.directory)
    }

    async fn ask_store(
        &self,
        address: SocketAddr,
        payload: &str,
        timeout: Duration,
    ) -> Option<ControlReply> {
        let mut parameters = ArrayParams::new();
        parameters.insert(payload).ok()?;
        let call = self.peers.call(address, Method::Control, parameters, timeout);
        decode(&call.await.ok()?).ok()
    }
}
