//! Asks the turn group on behalf of this process.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use gypsumglade_core::policy::group_health::{
    Decision, GroupHealth, HealthChange, RequestEnd, RequestId, WaitRequest,
};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;
use gypsumglade_core::wire::turn::{Command, Reply};
use tokio::sync::watch;
use tokio::time::Instant;

use super::leader_search::LeaderSearch;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::rpc::{Method, PeerClients};

/// Longest wait for one store: a commit takes two round trips between regions and two syncs, some
/// 50 ms; a store that is silent for ten times that is passed over.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait for the leader's answer before other stores are asked whether they lead.
const SEARCH_DELAY: Duration = Duration::from_millis(150);
/// Pause before a leader is asked again that gave no answer.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);
/// The longest it grows to.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// A client of the turn group; clones share what they learn.
#[derive(Clone)]
pub(super) struct TurnClient {
    shared: Arc<Shared>,
}

struct Shared {
    directory: Arc<Directory>,
    peers: PeerClients,
    clock: Clock,
    log: slog::Logger,
    health: Mutex<GroupHealth>,
    search: LeaderSearch,
}

/// Leave to ask the group, for a caller that may be refused.
pub(super) struct AskPermit {
    guard: AskGuard,
    /// Longest wait for the answer.
    pub(super) timeout: Duration,
}

/// What one try at the leader gave.
enum AskOutcome {
    Answered(ReplyBody),
    /// It may have been handled all the same.
    Failed,
    /// Another store leads.
    LeaderChanged,
}

impl TurnClient {
    /// Creates a client that knows no leader yet.
    pub(super) fn new(
        directory: Arc<Directory>,
        peers: PeerClients,
        clock: Clock,
        log: slog::Logger,
    ) -> TurnClient {
        let search = LeaderSearch::new(Arc::clone(&directory), peers.clone());
        let health = Mutex::default();
        TurnClient { shared: Arc::new(Shared { directory, peers, clock, log, health, search }) }
    }

    /// Decides whether a caller may ask now.
    pub(super) fn admit(&self, need: WaitRequest) -> Result<AskPermit, AskRefused> {
        let now = self.shared.clock.now();
        match self.shared.health().admit(now, need) {
            Decision::Proceed { id, timeout } => {
                let guard = AskGuard { shared: Arc::clone(&self.shared), ask: Some(id) };
                Ok(AskPermit { guard, timeout })
            }
            Decision::Refuse { retry_after, reason } => {
                Err(AskRefused { retry_after, reason: reason.name() })
            }
        }
    }

    /// Asks with a caller's leave, until its patience is over.
    pub(super) async fn ask_with(&self, permit: AskPermit, body: CommandBody) -> Option<ReplyBody> {
        let AskPermit { guard, timeout } = permit;
        self.shared.ask(guard, body, timeout).await
    }

    /// Asks until the group answers or `whole` is over. Commands are idempotent by their turn's id,
    /// so asking again is safe.
    pub(super) async fn ask(&self, body: CommandBody, timeout: Duration) -> Option<ReplyBody> {
        let ask = self.shared.health().begin(self.shared.clock.now(), 0);
        let guard = AskGuard { shared: Arc::clone(&self.shared), ask: Some(ask) };
        self.shared.ask(guard, body, timeout).await
    }

    /// Returns when a caller that found no answer should come back.
    pub(super) fn retry_after(&self, need: WaitRequest) -> Duration {
        self.shared.health().retry_after(self.shared.clock.now(), need)
    }
}

/// A caller that is not to ask the group now.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskRefused {
    /// When to come back.
    pub(super) retry_after: Duration,
    /// Name of the reason, for metrics.
    pub(super) reason: &'static str,
}

impl Shared {
    async fn ask(
        self: &Arc<Self>,
        guard: AskGuard,
        body: CommandBody,
        timeout: Duration,
    ) -> Option<ReplyBody> {
        let command = Command { body: Some(body) };
        let deadline = Instant::now() + timeout;
        let answer = tokio::time::timeout_at(deadline, self.ask_leader(&command)).await.ok();
        guard.end(if answer.is_some() { RequestEnd::Answered } else { RequestEnd::TimedOut });
        answer
    }

    /// Asks whoever leads, time after time.
    ///
    /// Who that is, is looked for once for all asks of this process. Each ask on its own would go from
    /// store to store for as long as an election lasts, and the stores would answer nothing else.
    async fn ask_leader(self: &Arc<Self>, command: &Command) -> ReplyBody {
        let mut leaders = self.search.subscribe();
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let known = *leaders.borrow_and_update();
            let target = known.and_then(|vm| Some((vm, self.directory.store(vm)?)));
            let Some((vm, address)) = target else {
                self.find_leader();
                // The sender lives as long as this client.
                let _ = leaders.changed().await;
                continue;
            };
            match self.ask_once(command, vm, address, &mut leaders).await {
                AskOutcome::Answered(body) => return body,
                AskOutcome::LeaderChanged => {}
                AskOutcome::Failed => {
                    tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    async fn ask_once(
        self: &Arc<Self>,
        command: &Command,
        vm: VmId,
        address: SocketAddr,
        leaders: &mut watch::Receiver<Option<VmId>>,
    ) -> AskOutcome {
        let asking = self.peers.ask::<_, Reply>(address, Method::Turn, command, CALL_TIMEOUT);
        tokio::pin!(asking);
        let slow = tokio::time::sleep(SEARCH_DELAY);
        tokio::pin!(slow);
        let mut searched = false;
        let reply = loop {
            tokio::select! {
                reply = &mut asking => break reply,
                () = &mut slow, if !searched => {
                    searched = true;
                    self.find_leader();
                }
                changed = leaders.wait_for(|leader| leader.is_some_and(|leader| leader != vm)) => {
                    // The command may be handled by both, which its turn's id makes safe.
                    drop(changed);
                    return AskOutcome::LeaderChanged;
                }
            }
        };
        match reply.map(|reply| reply.body) {
            Ok(Some(ReplyBody::NotLeader(hint))) => {
                self.search.leader_lost(vm, Some(VmId(hint.leader)))
            }
            Ok(Some(ReplyBody::Uncertain(_)) | None) | Err(_) => self.search.leader_lost(vm, None),
            Ok(Some(body)) => return AskOutcome::Answered(body),
        }
        AskOutcome::Failed
    }

    fn find_leader(self: &Arc<Self>) {
        let shared = Arc::clone(self);
        self.search.start(move || shared.health().leader_found());
    }

    fn health(&self) -> MutexGuard<'_, GroupHealth> {
        self.health.lock().expect("no panic while held")
    }
}

/// An ask that the health counts until its end, or until whoever asks has left.
struct AskGuard {
    shared: Arc<Shared>,
    ask: Option<RequestId>,
}

impl AskGuard {
    fn end(mut self, end: RequestEnd) {
        self.record_end(end);
    }

    fn record_end(&mut self, end: RequestEnd) {
        let Some(ask) = self.ask.take() else { return };
        let change = self.shared.health().end(self.shared.clock.now(), ask, end);
        match change {
            None => {}
            Some(HealthChange::Lost(silence)) => {
                slog::warn!(self.shared.log, "turn group lost";
                    "silent_ms" => silence.as_millis() as u64);
            }
            Some(HealthChange::Recovered(silence)) => {
                slog::info!(self.shared.log, "turn group regained";
                    "silent_ms" => silence.as_millis() as u64);
            }
        }
    }
}

impl Drop for AskGuard {
    fn drop(&mut self) {
        self.record_end(RequestEnd::Cancelled);
    }
}
