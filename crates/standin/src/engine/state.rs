//! State of the engine.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use compact_str::{CompactString, ToCompactString};
use tokio::sync::Notify;

use super::cache::{Change, Part, PrefixCache};
use super::chat::ChatRequest;
use super::reports::Reports;
use super::run::Run;
use super::settings::EngineSettings;
use super::slots::Slots;
use super::stats::{DispatchHistory, EngineCounts, EngineStats, ProgramMemory};
use crate::announce::{Load, ModelVersion};
use crate::process::Process;

/// State shared by the engine's handlers and generations.
pub(super) struct Shared {
    pub(super) settings: EngineSettings,
    pub(super) process: Process,
    pub(super) slots: Arc<Slots>,
    pub(super) announce_wake: Arc<Notify>,
    next_id: AtomicU64,
    state: Mutex<State>,
}

/// Mutable state of the engine.
pub(super) struct State {
    pub(super) models: Vec<ModelVersion>,
    pub(super) leaving: bool,
    pub(super) highest_fence: u64,
    pub(super) cache: PrefixCache,
    pub(super) reports: Reports,
    pub(super) counts: EngineCounts,
    pub(super) history: DispatchHistory,
    pub(super) runs: HashMap<CompactString, Arc<Run>>,
}

impl Shared {
    pub(super) fn new(settings: EngineSettings) -> Arc<Shared> {
        let state = State {
            models: settings.models.clone(),
            leaving: false,
            highest_fence: 0,
            cache: PrefixCache::new(settings.cache_tokens),
            reports: Reports::new(settings.reports),
            counts: EngineCounts::default(),
            history: DispatchHistory::default(),
            runs: HashMap::new(),
        };
        Arc::new(Shared {
            process: Process::new(),
            slots: Slots::new(settings.slots, settings.queue),
            announce_wake: Arc::new(Notify::new()),
            next_id: AtomicU64::new(0),
            state: Mutex::new(state),
            settings,
        })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Tells whether no call runs or waits and no answer is being read.
    pub(super) fn is_idle(&self) -> bool {
        let read = |run: &Arc<Run>| run.readers.load(Ordering::Relaxed) == 0;
        self.slots.counts() == (0, 0) && self.lock().runs.values().all(read)
    }

    /// Returns a new id for a call without a dispatch id.
    pub(super) fn local_id(&self) -> CompactString {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        compact_str::format_compact!("local-{id}")
    }

    /// Returns the load that the engine reports, which lags behind as configured.
    pub(super) fn load(&self) -> Load {
        let (running, waiting) = self.slots.counts();
        let mut state = self.lock();
        let cached_tokens = state.cache.held_tokens();
        state.reports.load(Instant::now(), Load { running, waiting, cached_tokens, age_ms: 0 })
    }

    pub(super) fn stats(&self) -> EngineStats {
        let state = self.lock();
        EngineStats {
            counts: state.counts,
            dispatches: state.history.all(),
            programs: state.programs(),
        }
    }
}

impl State {
    /// Returns the loaded model that a request asks for.
    ///
    /// A version in the request's model name takes precedence over `version`. Without either, the
    /// version loaded last is used.
    pub(super) fn model(
        &self,
        request: &ChatRequest,
        version: Option<&str>,
    ) -> Option<ModelVersion> {
        let (name, named) = match request.model.split_once('@') {
            Some((name, version)) => (name, Some(version)),
            None => (request.model.as_str(), version),
        };
        let mut loaded = self.models.iter().filter(|m| m.model == name);
        let found = match named {
            Some(version) => loaded.find(|m| m.version == version),
            None => loaded.next_back(),
        };
        found.cloned()
    }

    pub(super) fn programs(&self) -> Vec<ProgramMemory> {
        let memory = |(program, entry): (&CompactString, &super::cache::Entry)| ProgramMemory {
            program: program.clone(),
            tokens: entry.tokens(),
            model: format_model(&entry.model),
        };
        self.cache.iter().map(memory).collect()
    }

    /// Stores a program's prefix and counts the evictions that it causes.
    pub(super) fn store(&mut self, program: &str, model: ModelVersion, parts: Vec<Part>) {
        let changes = self.cache.store(program, model, parts);
        let evicted = changes.iter().filter(|e| e.evicted);
        self.counts.evicted_tokens += evicted.map(|e| e.tokens).sum::<u64>();
        self.reports.add(Instant::now(), changes);
    }

    /// Removes a program from the prefix cache and returns how many tokens it had there.
    pub(super) fn release(&mut self, program: &str) -> u64 {
        let tokens = self.cache.remove(program);
        if tokens == 0 {
            return 0;
        }
        self.counts.released_tokens += tokens;
        let change = Change { program: program.into(), tokens, evicted: true };
        self.reports.add(Instant::now(), vec![change]);
        tokens
    }
}

/// Formats a model as `model@version`.
pub(super) fn format_model(model: &ModelVersion) -> CompactString {
    format_args!("{}@{}", model.model, model.version).to_compact_string()
}
