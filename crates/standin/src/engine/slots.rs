//! Slots of the running batch, with a bounded priority queue.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::oneshot;

/// Slots of the running batch and the calls that wait for one.
pub(super) struct Slots {
    state: Mutex<State>,
}

struct State {
    running: u32,
    slots: u32,
    queue_limit: usize,
    arrivals: u64,
    waiting: BTreeMap<QueueKey, oneshot::Sender<Slot>>,
}

/// Sorts by descending priority, then by arrival.
type QueueKey = (Reverse<i64>, u64);

/// An occupied slot, which passes to the next waiting call when dropped.
pub(super) struct Slot {
    slots: Arc<Slots>,
}

impl Slots {
    pub(super) fn new(slots: u32, queue_limit: usize) -> Arc<Slots> {
        let state = State { running: 0, slots, queue_limit, arrivals: 0, waiting: BTreeMap::new() };
        Arc::new(Slots { state: Mutex::new(state) })
    }

    /// Waits for a slot. Returns `None` if the queue is full.
    pub(super) async fn acquire(self: &Arc<Slots>, priority: i64) -> Option<Slot> {
        let receiver = {
            let mut state = self.lock();
            if state.running < state.slots {
                state.running += 1;
                return Some(self.slot());
            }
            state.waiting.retain(|_, sender| !sender.is_closed());
            if state.waiting.len() >= state.queue_limit {
                return None;
            }
            state.arrivals += 1;
            let key = (Reverse(priority), state.arrivals);
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(key, sender);
            receiver
        };
        receiver.await.ok()
    }

    /// Returns the numbers of running and of waiting calls.
    pub(super) fn counts(&self) -> (u32, u32) {
        let state = self.lock();
        let waiting = state.waiting.values().filter(|s| !s.is_closed()).count();
        (state.running, u32::try_from(waiting).unwrap_or(u32::MAX))
    }

    fn slot(self: &Arc<Slots>) -> Slot {
        Slot { slots: Arc::clone(self) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut state = self.slots.lock();
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.running -= 1;
            }
            next
        };
        if let Some((_, sender)) = next {
            // If the waiting call was dropped, `send` returns the slot, whose drop serves the next.
            let _ = sender.send(self.slots.slot());
        }
    }
}
