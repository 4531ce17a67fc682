//! Asks the leader of a group that every store has a replica of, across redirects and losses.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant as StdInstant;

use gypsumglade_core::prelude::*;
use prost::Message;
use tokio::time::Instant;

use crate::directory::Directory;
use crate::leader_hint::LeaderHint;
use crate::rpc::{Method, PeerClients};

/// How long a client goes on asking.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Longest wait for one store's answer.
    pub per_call: Duration,
    /// Time after which no further store is asked.
    pub total: Duration,
    /// Pause before another store is asked, so that an election isn't waited out in a spin.
    pub pause: Duration,
}

/// What a store's reply says of who leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// The store leads, and this is its answer.
    Answer,
    /// Another one does, if the store knows which.
    Redirect(VmId),
    /// It can't be told whether the question took effect.
    Uncertain,
}

/// Finds a group's leader; clones share what they learn.
#[derive(Clone)]
pub struct LeaderClient {
    directory: Arc<Directory>,
    peers: PeerClients,
    method: Method,
    leader: Arc<Mutex<LeaderHint>>,
}

impl LeaderClient {
    /// Creates a client of the group that `method` asks; it knows no leader yet.
    pub fn new(directory: Arc<Directory>, peers: PeerClients, method: Method) -> LeaderClient {
        LeaderClient { directory, peers, method, leader: Arc::default() }
    }

    /// Asks until the leader answers; `None` when none did in time.
    ///
    /// A question may reach a leader more than once, so it must be idempotent.
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

    /// Asks the store that is believed to lead, and notes what its reply says of the leader.
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
