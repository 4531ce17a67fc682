//! Client of the turn group.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Weak};

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
use super::turn_calls::{LOG_INTERVAL, TurnCalls};
use crate::clock::Clock;
use crate::directory::Directory;
use crate::rpc::{Method, PeerClients};

/// Silence of a store after which a command is sent again: ten times the duration of a commit across
/// regions, which takes two round trips and two syncs, some 50 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the leader may answer no command before a search for another leader starts.
const SEARCH_DELAY: Duration = Duration::from_millis(150);
/// Delay before the first retry after a failed call; it doubles with each.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);
/// Longest delay between retries.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Sends commands to the leader of the turn group. Clones share their state.
#[derive(Clone)]
pub(crate) struct TurnClient {
    shared: Arc<Shared>,
}

struct Shared {
    directory: Arc<Directory>,
    peers: PeerClients,
    clock: Clock,
    log: slog::Logger,
    health: Mutex<GroupHealth>,
    search: LeaderSearch,
    calls: TurnCalls,
    /// Time of the last answer of a leader.
    last_answer: Mutex<Instant>,
}

/// Permission to send one command; see [`TurnClient::admit`].
pub(crate) struct AskPermit {
    guard: AskGuard,
    /// Time limit for the answer.
    pub(crate) timeout: Duration,
}

/// Answer of the leader.
struct Answer {
    body: ReplyBody,
    /// Time that the leader took, as it says.
    took: Option<Duration>,
}

/// Result of one call to the believed leader.
enum AskOutcome {
    Answered(Answer),
    /// No usable answer; the command may have been executed.
    Failed,
    /// A different store turned out to lead.
    LeaderChanged,
}

impl TurnClient {
    /// Creates a client that knows no leader yet.
    pub(crate) fn new(
        directory: Arc<Directory>,
        peers: PeerClients,
        clock: Clock,
        log: slog::Logger,
    ) -> TurnClient {
        let search = LeaderSearch::new(Arc::clone(&directory), peers.clone());
        let health = Mutex::default();
        let calls = TurnCalls::default();
        let shared = Arc::new(Shared {
            directory,
            peers,
            clock,
            log: log.clone(),
            health,
            search,
            calls,
            last_answer: Mutex::new(Instant::now()),
        });
        tokio::spawn(log_calls(Arc::downgrade(&shared), log));
        TurnClient { shared }
    }

    /// Decides whether a command may be sent for a caller, which then waits for the answer.
    ///
    /// # Errors
    /// Refuses when the group is unresponsive or too many callers are waiting for it.
    pub(crate) fn admit(&self, wait: WaitRequest) -> Result<AskPermit, AskRefused> {
        let now = self.shared.clock.now();
        match self.shared.health().admit(now, wait) {
            Decision::Proceed { id, timeout } => {
                let guard = AskGuard { shared: Arc::clone(&self.shared), id: Some(id) };
                Ok(AskPermit { guard, timeout })
            }
            Decision::Refuse { retry_after, reason } => {
                self.shared.calls.refused();
                Err(AskRefused { retry_after, reason: reason.name() })
            }
        }
    }

    /// Sends an admitted command until the group answers or the permit's time limit passes.
    pub(crate) async fn ask_with(&self, permit: AskPermit, body: CommandBody) -> Option<ReplyBody> {
        let AskPermit { guard, timeout } = permit;
        self.shared.ask(guard, body, timeout).await
    }

    /// Sends a command until the group answers or `timeout` passes. Commands are idempotent by turn id,
    /// so retries are safe.
    pub(crate) async fn ask(&self, body: CommandBody, timeout: Duration) -> Option<ReplyBody> {
        let id = self.shared.health().begin(self.shared.clock.now(), 0);
        let guard = AskGuard { shared: Arc::clone(&self.shared), id: Some(id) };
        self.shared.ask(guard, body, timeout).await
    }

    /// Returns the retry delay for a caller whose command got no answer.
    pub(crate) fn retry_after(&self, wait: WaitRequest) -> Duration {
        self.shared.health().retry_after(self.shared.clock.now(), wait)
    }
}

/// A refusal of [`TurnClient::admit`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct AskRefused {
    /// Recommended delay before the caller's retry.
    pub(crate) retry_after: Duration,
    /// Name of the reason in metrics.
    pub(crate) reason: &'static str,
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
        guard.end(match &answer {
            Some(Answer { took: Some(took), .. }) => RequestEnd::AnsweredAfter(*took),
            Some(Answer { took: None, .. }) => RequestEnd::Answered,
            None => RequestEnd::TimedOut,
        });
        answer.map(|answer| answer.body)
    }

    /// Sends a command to the current leader until it answers.
    ///
    /// All commands of this process share one search for the leader; a search for each could overload
    /// the stores during an election.
    async fn ask_leader(self: &Arc<Self>, command: &Command) -> Answer {
        let mut leaders = self.search.subscribe();
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let known = *leaders.borrow_and_update();
            let target = known.and_then(|vm| Some((vm, self.directory.store(vm)?)));
            let Some((vm, address)) = target else {
                self.find_leader();
                // Can't fail: the client owns the sender.
                let _ = leaders.changed().await;
                continue;
            };
            match self.ask_once(command, vm, address, &mut leaders).await {
                AskOutcome::Answered(answer) => return answer,
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
        self.calls.sent();
        let asking =
            self.peers.ask_responsive::<_, Reply>(address, Method::Turn, command, CALL_TIMEOUT);
        tokio::pin!(asking);
        let sent = Instant::now();
        let mut searched = false;
        let reply = loop {
            // A leader that answers other commands is only busy.
            let search_at = sent.max(self.last_answer()) + SEARCH_DELAY;
            tokio::select! {
                reply = &mut asking => break reply,
                () = tokio::time::sleep_until(search_at), if !searched => {
                    if self.last_answer() + SEARCH_DELAY <= Instant::now() {
                        searched = true;
                        self.find_leader();
                    }
                }
                changed = leaders.wait_for(|leader| leader.is_some_and(|leader| leader != vm)) => {
                    // Both stores may execute the command, which is idempotent by turn id.
                    drop(changed);
                    return AskOutcome::LeaderChanged;
                }
            }
        };
        let took = reply.as_ref().ok().and_then(|reply| reply.took_ms);
        let took = took.map(|millis| Duration::from_millis(millis.into()));
        match reply.map(|reply| reply.body) {
            Ok(Some(ReplyBody::NotLeader(hint))) => {
                self.search.leader_lost(vm, Some(VmId(hint.leader)))
            }
            Ok(Some(ReplyBody::Uncertain(_)) | None) | Err(_) => self.search.leader_lost(vm, None),
            Ok(Some(body)) => {
                *self.last_answer.lock().expect("no panic while held") = Instant::now();
                return AskOutcome::Answered(Answer { body, took });
            }
        }
        self.calls.failed();
        AskOutcome::Failed
    }

    fn find_leader(self: &Arc<Self>) {
        let shared = Arc::clone(self);
        if self.search.start(move || shared.health().leader_found()) {
            self.calls.searched();
        }
    }

    fn last_answer(&self) -> Instant {
        *self.last_answer.lock().expect("no panic while held")
    }

    fn health(&self) -> MutexGuard<'_, GroupHealth> {
        self.health.lock().expect("no panic while held")
    }
}

async fn log_calls(shared: Weak<Shared>, log: slog::Logger) {
    while let Some(shared) = shared.upgrade() {
        shared.calls.log(&log);
        drop(shared);
        tokio::time::sleep(LOG_INTERVAL).await;
    }
}

/// A command that [`GroupHealth`] counts as in flight until its end, or until the guard is dropped.
struct AskGuard {
    shared: Arc<Shared>,
    id: Option<RequestId>,
}

impl AskGuard {
    fn end(mut self, end: RequestEnd) {
        self.record_end(end);
    }

    fn record_end(&mut self, end: RequestEnd) {
        let Some(id) = self.id.take() else { return };
        self.shared.calls.ended(end);
        let change = self.shared.health().end(self.shared.clock.now(), id, end);
        match change {
            None => {}
            Some(HealthChange::Lost(silence)) => {
                slog::warn!(self.shared.log, "turn group does not answer";
                    "silent_ms" => silence.as_millis() as u64);
            }
            Some(HealthChange::Recovered(silence)) => {
                slog::info!(self.shared.log, "turn group answers again";
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
