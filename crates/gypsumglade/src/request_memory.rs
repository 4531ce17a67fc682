//! Memory that callers' requests hold, bounded for the whole process.
//!
//! The decisions are made by [`MemoryBudget`]; docs/design/callers.md describes them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use gypsumglade_core::policy::memory_budget::{
    MemoryBudget, OutOfMemory, RequestKey, RequestPhase,
};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::limit_report::{Limit, LimitAction, LimitReport};

/// Memory for the requests of all callers. Clones share it.
#[derive(Clone)]
pub struct RequestMemory {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    clock: Clock,
    report: LimitReport,
}

struct State {
    budget: MemoryBudget,
    evictions: HashMap<RequestKey, Eviction>,
}

/// How a request is ended when it gives way.
struct Eviction {
    request: CancellationToken,
    connection: CancellationToken,
    /// Whether its answer is being sent, so that nothing but closing the connection ends it.
    answering: bool,
}

impl Eviction {
    fn end(self) {
        match self.answering {
            true => self.connection.cancel(),
            // Its caller still gets a refusal.
            false => self.request.cancel(),
        }
    }
}

impl RequestMemory {
    /// Creates a budget of `bytes` for all requests together.
    pub fn new(bytes: u64, clock: Clock, report: LimitReport) -> RequestMemory {
        let state = State { budget: MemoryBudget::new(bytes), evictions: HashMap::new() };
        RequestMemory { shared: Arc::new(Shared { state: Mutex::new(state), clock, report }) }
    }

    /// Adds a request that its caller is sending. `connection` is cancelled if the request gives way
    /// while its answer is being sent.
    pub fn open(&self, connection: CancellationToken) -> HeldMemory {
        let evicted = CancellationToken::new();
        let mut state = self.shared.lock();
        let key = state.budget.open(self.shared.clock.now());
        let eviction = Eviction { request: evicted.clone(), connection, answering: false };
        state.evictions.insert(key, eviction);
        drop(state);
        HeldMemory { shared: Arc::clone(&self.shared), key, evicted }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }

    fn grow(&self, key: RequestKey, bytes: u64) -> Result<(), OutOfMemory> {
        let mut state = self.lock();
        let grown = state.budget.grow(self.clock.now(), key, bytes);
        for evicted in grown.as_deref().unwrap_or_default() {
            if let Some(eviction) = state.evictions.remove(evicted) {
                eviction.end();
            }
        }
        drop(state);
        match &grown {
            Ok(evicted) if evicted.is_empty() => {}
            Ok(_) => self.report.reached(Limit::Memory, LimitAction::Evicted),
            Err(OutOfMemory) => self.report.reached(Limit::Memory, LimitAction::Refused),
        }
        grown.map(|_| ())
    }
}

/// Memory that one request holds, released when dropped.
pub struct HeldMemory {
    shared: Arc<Shared>,
    key: RequestKey,
    evicted: CancellationToken,
}

impl HeldMemory {
    /// Takes more memory, for which other requests may have to give way.
    ///
    /// # Errors
    /// Fails if there is not enough memory, or this request had to give way.
    pub fn grow(&self, bytes: usize) -> Result<(), OutOfMemory> {
        self.shared.grow(self.key, bytes as u64)
    }

    /// Gives back a part of the memory.
    pub fn shrink(&self, bytes: usize) {
        self.shared.lock().budget.shrink(self.key, bytes as u64);
    }

    /// Records what the request does from now on, which decides whether it may have to give way.
    pub fn set_phase(&self, phase: RequestPhase) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.budget.set_phase(now, self.key, phase);
        if let Some(eviction) = state.evictions.get_mut(&self.key) {
            eviction.answering = phase == RequestPhase::Answering;
        }
    }

    /// Waits until the request has to give way.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.budget.close(self.key);
        state.evictions.remove(&self.key);
    }
}

impl std::fmt::Debug for HeldMemory {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HeldMemory").field("key", &self.key).finish_non_exhaustive()
    }
}
