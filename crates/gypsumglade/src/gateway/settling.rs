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
const MOST_ASKING: usize = 4;
/// Settlements under way, those that wait for their turn included; some hundred bytes each.
const MOST_WAITING: usize = 2_048;
/// Time after which a settlement is given up. It spans an election and restarts of stores.
const PATIENCE: Duration = Duration::from_secs(30);
/// Longest wait for one answer.
const ASK: Duration = Duration::from_secs(1);
/// Pause before the first repeat; it doubles with each.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest it grows to.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// Makes settlements in the background, a few at a time.
///
/// Each reservation that found no answer needs one. Asking for all of them time after time while nobody
/// leads, entry VMs would keep the stores from electing a leader.
pub(super) struct Settling {
    shared: Arc<Shared>,
    tasks: TaskTracker,
}

struct Shared {
    client: TurnClient,
    asking: Semaphore,
    waiting: AtomicUsize,
    given_up: AtomicU64,
    log: slog::Logger,
}

impl Settling {
    /// Starts with nothing to settle. A planned stop waits for `tasks`.
    pub(super) fn new(client: TurnClient, tasks: TaskTracker, log: slog::Logger) -> Settling {
        let asking = Semaphore::new(MOST_ASKING);
        let (waiting, given_up) = (AtomicUsize::new(0), AtomicU64::new(0));
        let shared = Arc::new(Shared { client, asking, waiting, given_up, log });
        Settling { shared, tasks }
    }

    /// Settles a turn, without a wait.
    pub(super) fn settle(&self, settle: Settle) {
        let shared = Arc::clone(&self.shared);
        if shared.waiting.fetch_add(1, Ordering::Relaxed) >= MOST_WAITING {
            shared.waiting.fetch_sub(1, Ordering::Relaxed);
            return shared.give_up(&settle);
        }
        self.tasks.spawn(async move {
            if !shared.settled(&settle).await {
                shared.give_up(&settle);
            }
            shared.waiting.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

impl Shared {
    async fn settled(&self, settle: &Settle) -> bool {
        let until = Instant::now() + PATIENCE;
        let mut pause = PAUSE;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            let asking = tokio::time::timeout(left, self.asking.acquire()).await;
            let Ok(Ok(permit)) = asking else { return false };
            let command = CommandBody::Settle(settle.clone());
            let answer = self.client.ask(command, left.min(ASK)).await;
            drop(permit);
            if matches!(answer, Some(ReplyBody::Settled(_))) {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5)).min(left)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
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
