//! Slots of the running batch, with a bounded queue in order of priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::oneshot;

/// The batch's slots.
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

/// Larger priority first, then earlier arrival.
type QueueKey = (Reverse<i64>, u64);

/// One slot, given back when dropped.
pub(super) struct Slot {
    slots: Arc<Slots>,
}

impl Slots {
    pub(super) fn new(slots: u32, queue_limit: usize) -> Arc<Slots> {
        let state = State { running: 0, slots, queue_limit, arrivals: 0, waiting: BTreeMap::new() };
        Arc::new(Slots { state: Mutex::new(state) })
    }

    /// Waits for a slot; `None` when the queue is full.
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

    /// Returns how many run and how many wait.
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
            // A waiter that hung up hands the slot back, and its drop serves the next one.
            let _ = sender.send(self.slots.slot());
        }
    }
}
