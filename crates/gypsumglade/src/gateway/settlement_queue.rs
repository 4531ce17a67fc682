//! Settlements that nobody waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Settle;
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::turn_client::TurnClient;

/// Settlements that ask at one time: all entry VMs begin at once when a leader is there again.
const MAX_CONCURRENT: usize = 4;
/// Settlements under way, those that wait for their turn included; some hundred bytes each.
const MAX_QUEUED: usize = 2_048;
/// Time after which a settlement is given up. It spans an election and restarts of stores.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);
/// Longest wait for one answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the first repeat; it doubles with each.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest it grows to.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Makes settlements in the background, a few at a time.
///
/// Each reservation that found no answer needs one. Asking for all of them time after time while nobody
/// leads, entry VMs would keep the stores from electing a leader.
pub(super) struct SettlementQueue {
    shared: Arc<Shared>,
    tasks: TaskTracker,
}

struct Shared {
    client: TurnClient,
    permits: Semaphore,
    queued: AtomicUsize,
    given_up: AtomicU64,
    log: slog::Logger,
}

impl SettlementQueue {
    /// Starts with nothing to settle. A planned stop waits for `tasks`.
    pub(super) fn new(
        client: TurnClient,
        tasks: TaskTracker,
        log: slog::Logger,
    ) -> SettlementQueue {
        let permits = Semaphore::new(MAX_CONCURRENT);
        let (queued, given_up) = (AtomicUsize::new(0), AtomicU64::new(0));
        let shared = Arc::new(Shared { client, permits, queued, given_up, log });
        SettlementQueue { shared, tasks }
    }

    /// Settles a turn, without a wait.
    pub(super) fn settle(&self, settle: Settle) {
        let shared = Arc::clone(&self.shared);
        if shared.queued.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED {
            shared.queued.fetch_sub(1, Ordering::Relaxed);
            return shared.give_up(&settle);
        }
        self.tasks.spawn(async move {
            if !shared.settle_with_retries(&settle).await {
                shared.give_up(&settle);
            }
            shared.queued.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

impl Shared {
    async fn settle_with_retries(&self, settle: &Settle) -> bool {
        let deadline = Instant::now() + GIVE_UP_AFTER;
        let mut backoff = INITIAL_BACKOFF;
        while Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let acquired = tokio::time::timeout(left, self.permits.acquire()).await;
            let Ok(Ok(permit)) = acquired else { return false };
            let command = CommandBody::Settle(settle.clone());
            let answer = self.client.ask(command, left.min(ASK_TIMEOUT)).await;
            drop(permit);
            if matches!(answer, Some(ReplyBody::Settled(_))) {
                return true;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.5)).min(left)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        false
    }

    /// Leaves the turn's tokens set aside: the program's budget is never exceeded.
    fn give_up(&self, settle: &Settle) {
        let count = self.given_up.fetch_add(1, Ordering::Relaxed) + 1;
        slog::warn!(self.log, "settlement given up"; "turn" => &settle.turn,
            "program" => &settle.program, "count" => count);
    }
}
