//! State of the service and its record of runs by key.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use compact_str::CompactString;
use serde::Serialize;
use tokio::sync::{Notify, Semaphore};

use super::settings::ServiceSettings;
use crate::process::Process;

/// Runs of one idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyStats {
    /// Idempotency key; calls without one are counted under the empty key.
    pub key: CompactString,
    /// Operation of the key's first run.
    pub operation: CompactString,
    /// Number of times that an operation took effect.
    pub runs: u64,
    /// Ids of the dispatches that ran it, in order.
    pub dispatches: Vec<CompactString>,
}

/// Statistics of a service since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServiceStats {
    /// Keys that took effect, sorted by key.
    pub keys: Vec<KeyStats>,
    /// Calls received, including refused ones.
    pub calls: u64,
    /// Calls refused before they started.
    pub refused: u64,
    /// Number of times that the operation `slots` can still succeed.
    pub stock: u64,
}

impl ServiceStats {
    /// Returns the number of times that a key took effect.
    pub fn runs(&self, key: &str) -> u64 {
        self.keys.iter().filter(|k| k.key == key).map(|k| k.runs).sum()
    }
}

/// State shared by the service's handlers.
pub(super) struct Shared {
    pub(super) settings: ServiceSettings,
    pub(super) process: Process,
    pub(super) announce_wake: Arc<Notify>,
    pub(super) slots: Semaphore,
    state: Mutex<State>,
}

/// Mutable state of the service.
pub(super) struct State {
    pub(super) leaving: bool,
    /// Calls in flight, including those that wait for a slot.
    pub(super) running: u32,
    pub(super) calls: u64,
    pub(super) refused: u64,
    pub(super) last_answer: Option<RecordedAnswer>,
    stock: u64,
    keys: BTreeMap<CompactString, KeyRecord>,
}

/// The latest answer, which is repeated for the next [`Fault::Crossed`](super::Fault::Crossed).
#[derive(Clone)]
pub(super) struct RecordedAnswer {
    pub(super) dispatch: CompactString,
    pub(super) receipt: Receipt,
}

#[derive(Clone)]
struct KeyRecord {
    stats: KeyStats,
    receipt: Receipt,
}

/// Answer to a call.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Receipt {
    pub(super) service: CompactString,
    pub(super) operation: CompactString,
    pub(super) key: CompactString,
    /// Number of the run among those with this key, from one.
    pub(super) run: u64,
    /// Whether the operation succeeded; only `slots` can fail, when the stock is used up.
    pub(super) granted: bool,
}

impl Shared {
    pub(super) fn new(settings: ServiceSettings) -> Arc<Shared> {
        let state = State {
            leaving: false,
            running: 0,
            calls: 0,
            refused: 0,
            last_answer: None,
            stock: settings.stock,
            keys: BTreeMap::new(),
        };
        Arc::new(Shared {
            process: Process::new(),
            announce_wake: Arc::new(Notify::new()),
            slots: Semaphore::new(settings.slots as usize),
            state: Mutex::new(state),
            settings,
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl State {
    /// Runs an operation and records it.
    ///
    /// Repeated keys are not deduplicated, so that tests can detect double execution.
    pub(super) fn apply(
        &mut self,
        service: &str,
        operation: &str,
        key: &str,
        dispatch: &str,
    ) -> Receipt {
        let granted = operation != "slots" || self.stock > 0;
        if operation == "slots" {
            self.stock = self.stock.saturating_sub(1);
        }
        let mut receipt = Receipt {
            service: service.into(),
            operation: operation.into(),
            key: key.into(),
            run: 1,
            granted,
        };
        let record = self.keys.entry(key.into()).or_insert_with(|| KeyRecord {
            stats: KeyStats {
                key: key.into(),
                operation: operation.into(),
                runs: 0,
                dispatches: Vec::new(),
            },
            receipt: receipt.clone(),
        });
        record.stats.runs += 1;
        record.stats.dispatches.push(dispatch.into());
        receipt.run = record.stats.runs;
        record.receipt = receipt.clone();
        receipt
    }

    /// Returns the latest receipt of a key.
    pub(super) fn receipt(&self, key: &str) -> Option<Receipt> {
        self.keys.get(key).map(|e| e.receipt.clone())
    }

    pub(super) fn stats(&self) -> ServiceStats {
        ServiceStats {
            keys: self.keys.values().map(|e| e.stats.clone()).collect(),
            calls: self.calls,
            refused: self.refused,
            stock: self.stock,
        }
    }
}
