//! Admission control: queues calls of each model and refuses those that can't start in time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use gypsumglade_core::policy::admission::{
    Admission, AdmissionDecision, AdmissionSettings, ExpiredCall, ShedReason, Signal, Ticket,
};
use gypsumglade_core::policy::priority::{Attained, Priority};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::Class;
use tokio::sync::oneshot;

use super::problem::{Problem, ProblemKind};
use crate::clock::Clock;
use crate::metrics::Metrics;

pub use gypsumglade_core::policy::admission::AdmissionRequest;

/// Interval between scans for queued calls to give up and endpoints whose lease has expired.
pub const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Admission controller of a process, with one pool per model.
///
/// Each pool has its own lock, so that load on one model doesn't slow calls of another.
pub struct AdmissionController {
    settings: AdmissionSettings,
    clock: Clock,
    pools: Mutex<HashMap<CompactString, Arc<Pool>>>,
}

/// Running and queued calls of one model.
struct Pool {
    clock: Clock,
    state: Mutex<PoolState>,
}

struct PoolState {
    admission: Admission,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), ExpiredCall>>>,
}

/// Permit to run one call. Dropping it lets the next queued call start.
pub struct Permit {
    pool: Arc<Pool>,
    ticket: Ticket,
}

impl AdmissionController {
    /// Creates a controller without pools; each model's pool is created at its first use.
    pub fn new(settings: AdmissionSettings, clock: Clock) -> AdmissionController {
        AdmissionController { settings, clock, pools: Mutex::default() }
    }

    /// Waits until a call of `model` may start.
    ///
    /// # Errors
    /// Fails when the call is shed, with the time to retry after.
    pub async fn admit(
        &self,
        metrics: &Metrics,
        model: &str,
        request: AdmissionRequest,
    ) -> Result<Permit, Problem> {
        let pool = self.pool(model);
        let (decision, waiter) = pool.submit(request);
        match decision {
            AdmissionDecision::Now(ticket) => Ok(Permit { pool, ticket }),
            AdmissionDecision::Shed { retry_after, reason } => {
                Err(shed(metrics, reason, retry_after))
            }
            AdmissionDecision::Queued(ticket) => {
                // Created before the wait, so that a disconnect drops it and removes the call from
                // the queue.
                let permit = Permit { pool, ticket };
                metrics.waiting(1);
                let result = waiter.await;
                metrics.waiting(-1);
                match result {
                    Ok(Ok(())) => Ok(permit),
                    Ok(Err(expired)) => Err(shed(metrics, expired.reason, expired.retry_after)),
                    Err(_) => Err(shed(metrics, ShedReason::QueueFull, Duration::from_secs(1))),
                }
            }
        }
    }

    /// Sheds queued calls that can no longer be answered in time.
    pub fn expire(&self) {
        for pool in self.pools() {
            pool.expire();
        }
    }

    /// Adjusts the concurrency limit of `model` by feedback from its engines.
    pub fn observe(&self, model: &str, signal: Signal) {
        let pool = self.pool(model);
        let now = self.clock.now();
        let mut state = pool.state();
        let started = state.admission.observe(now, signal);
        state.wake(&started);
    }

    /// Sets the upper bound of a model's concurrency limit.
    pub fn resize(&self, model: &str, max: f64) {
        let pool = self.pool(model);
        let mut state = pool.state();
        let started = state.admission.resize(max);
        state.wake(&started);
    }

    /// Returns the load of each model's pool.
    pub fn loads(&self) -> Vec<PoolLoad> {
        let pools = self.pools.lock().expect("no panic while held");
        let loads = pools.iter().map(|(model, pool)| {
            let state = pool.state();
            PoolLoad {
                model: model.clone(),
                running: state.admission.running(),
                waiting: state.admission.waiting(),
                limit: state.admission.limit(),
            }
        });
        loads.collect()
    }

    fn pool(&self, model: &str) -> Arc<Pool> {
        let mut pools = self.pools.lock().expect("no panic while held");
        if let Some(pool) = pools.get(model) {
            return Arc::clone(pool);
        }
        let state =
            PoolState { admission: Admission::new(self.settings.clone()), waiters: HashMap::new() };
        let pool = Arc::new(Pool { clock: self.clock, state: Mutex::new(state) });
        pools.insert(model.into(), Arc::clone(&pool));
        pool
    }

    fn pools(&self) -> Vec<Arc<Pool>> {
        self.pools.lock().expect("no panic while held").values().cloned().collect()
    }
}

/// Running and queued calls of one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PoolLoad {
    /// Name of the model.
    pub model: CompactString,
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub waiting: u32,
    /// Current concurrency limit.
    pub limit: u32,
}

impl Pool {
    fn state(&self) -> std::sync::MutexGuard<'_, PoolState> {
        self.state.lock().expect("no panic while held")
    }

    fn submit(
        &self,
        request: AdmissionRequest,
    ) -> (AdmissionDecision, oneshot::Receiver<Result<(), ExpiredCall>>) {
        let (sender, receiver) = oneshot::channel();
        let now = self.clock.now();
        let mut state = self.state();
        let decision = state.admission.admit(now, request);
        if let AdmissionDecision::Queued(ticket) = decision {
            state.waiters.insert(ticket, sender);
        }
        (decision, receiver)
    }

    fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        for expired in state.admission.expire(now) {
            if let Some(waiter) = state.waiters.remove(&expired.ticket) {
                // The receiver is gone if the caller disconnected.
                let _ = waiter.send(Err(expired));
            }
        }
    }
}

impl PoolState {
    fn wake(&mut self, started: &[Ticket]) {
        for ticket in started {
            if let Some(waiter) = self.waiters.remove(ticket) {
                // If the caller disconnected, its permit is dropped and starts the next call.
                let _ = waiter.send(Ok(()));
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.pool.clock.now();
        let mut state = self.pool.state();
        state.waiters.remove(&self.ticket);
        let started = state.admission.cancel(now, self.ticket);
        state.wake(&started);
    }
}

/// Returns the priority of a call by its class and turn number.
pub fn priority(class: Class, turns: u64) -> Priority {
    let turns = u32::try_from(turns).unwrap_or(u32::MAX);
    let service = f64::from(turns) * TURN_SECONDS;
    Priority::of(class, Attained { service, turns })
}

/// Estimated engine time of a turn, in seconds, until the program group reports what was attained.
const TURN_SECONDS: f64 = 2.0;

fn shed(metrics: &Metrics, reason: ShedReason, retry_after: Duration) -> Problem {
    let (kind, label) = match reason {
        ShedReason::OrgQueueFull => (ProblemKind::Overloaded, "organisation_queue"),
        ShedReason::QueueFull => (ProblemKind::Overloaded, "queue"),
        ShedReason::Deadline => (ProblemKind::Deadline, "deadline"),
        ShedReason::MaxWait => (ProblemKind::Overloaded, "patience"),
    };
    metrics.shed(label);
    let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    Problem::not_run(kind, reason).retry_after(millis)
}
