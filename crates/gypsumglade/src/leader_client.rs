//! Client of a replicated group's leader, which follows redirects and retries lost requests.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant as StdInstant;

use gypsumglade_core::prelude::*;
use prost::Message;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::leader_hint::LeaderHint;
use crate::rpc::{Method, PeerClients};

/// Timeouts and pause of a request that is retried until a leader answers.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Timeout of a call to one store.
    pub per_call: Duration,
    /// Time limit of the request with all its retries.
    pub total: Duration,
    /// Pause between two calls, so that a client doesn't spin while an election is held.
    pub pause: Duration,
}

/// Meaning of a store's reply to a request for the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// The leader's answer to the request.
    Answer,
    /// The store doesn't lead; names the leader that it knows of, or VM 0 if it knows none.
    Redirect(VmId),
    /// The request may or may not have taken effect.
    Uncertain,
}

/// Finds a group's leader and sends it requests; clones share the known leader.
#[derive(Clone)]
pub struct LeaderClient {
    directory: Arc<Directory>,
    peers: PeerClients,
    method: Method,
    leader: Arc<Mutex<LeaderHint>>,
}

impl LeaderClient {
    /// Creates a client for a group's `method`, without a known leader.
    pub fn new(
        directory: Arc<Directory>,
        peers: PeerClients,
        group: GroupId,
        method: Method,
    ) -> LeaderClient {
        let leader = Arc::new(Mutex::new(LeaderHint::of_group(group)));
        LeaderClient { directory, peers, method, leader }
    }

    /// Sends a request until the leader answers. Returns `None` if no leader did within the limits.
    ///
    /// A request may reach a leader more than once, so it must be idempotent.
    pub async fn ask<Q, A>(
        &self,
        question: &Q,
        limits: RetryLimits,
        classify: impl Fn(&A) -> ReplyKind,
    ) -> Option<A>
    where
        Q: Message,
        A: Message + Default,
    {
        let deadline = Instant::now() + limits.total;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let answer = self.ask_once(question, left.min(limits.per_call), &classify).await;
            if answer.is_some() {
                return answer;
            }
            if Instant::now() + limits.pause >= deadline {
                return None;
            }
            tokio::time::sleep(limits.pause).await;
        }
    }

    /// Calls the store that is believed to lead, and updates the known leader from the reply.
    async fn ask_once<Q, A>(
        &self,
        question: &Q,
        timeout: Duration,
        classify: impl Fn(&A) -> ReplyKind,
    ) -> Option<A>
    where
        Q: Message,
        A: Message + Default,
    {
        let (vm, address) = self.leader().target(&self.directory, StdInstant::now())?;
        let reply = self.peers.ask::<Q, A>(address, self.method, question, timeout).await.ok();
        let mut leader = self.leader();
        match reply.as_ref().map(classify) {
            Some(ReplyKind::Answer) => {
                leader.confirm(vm);
                return reply;
            }
            Some(ReplyKind::Redirect(other)) => leader.redirect(Some(vm), Some(other)),
            Some(ReplyKind::Uncertain) => leader.clear(),
            None => leader.mark_unresponsive(vm, StdInstant::now()),
        }
        None
    }

    fn leader(&self) -> MutexGuard<'_, LeaderHint> {
        self.leader.lock().expect("no panic while held")
    }
}
