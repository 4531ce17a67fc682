//! Background settlement of turns.

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

/// Settlements sent at the same time; limits the load on the stores after an election.
const MAX_CONCURRENT: usize = 4;
/// Most settlements in progress or queued, some hundred bytes each; bounds memory.
const MAX_QUEUED: usize = 2_048;
/// Time limit of a settlement, retries included; long enough for an election and restarts of stores.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);
/// Time limit of one attempt.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the first retry; it doubles with each.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay between retries.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Settles turns in the background with bounded concurrency.
///
/// Every reservation that got no answer needs a settlement. Without a bound, retries of all of them
/// while there is no leader could overload the stores and delay the election.
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
    /// Creates an empty queue. Settlements run on `tasks`, for which a planned stop waits.
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

    /// Queues a settlement; logs and drops it if the queue is full.
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

    /// Logs a dropped settlement. The turn's tokens stay reserved, so the program can't exceed its budget.
    fn give_up(&self, settle: &Settle) {
        let count = self.given_up.fetch_add(1, Ordering::Relaxed) + 1;
        slog::warn!(self.log, "settlement abandoned, its tokens stay reserved"; "turn" => &settle.turn,
            "program" => &settle.program, "count" => count);
    }
}
