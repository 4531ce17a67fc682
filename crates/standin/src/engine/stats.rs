//! Statistics of the engine, which tests compare with what the system reports.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use serde::Serialize;

/// Maximum number of dispatches in the history.
const MAX_DISPATCHES: usize = 65_536;

/// State of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// Generating.
    #[default]
    Running,
    /// The whole answer was generated.
    Finished,
    /// Cancelled by request, or because it had no reader.
    Cancelled,
}

/// Record of one dispatch.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DispatchStats {
    /// Id of the dispatch.
    pub dispatch: CompactString,
    /// Program of the dispatch, as `org/program`; empty if it named none.
    pub program: CompactString,
    /// Number of times it was started. More than one is a fault of the system under test.
    pub runs: u32,
    /// Number of tokens in its prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Number of tokens generated; zero while it runs.
    pub output_tokens: u64,
    /// Priority in the engine's queue.
    pub priority: i64,
    /// State of the latest run.
    pub state: RunState,
    /// Names of request fields that the engine doesn't use.
    pub fields: Vec<CompactString>,
}

/// Prefix cache usage of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProgramMemory {
    /// Organisation and program as `org/program`.
    pub program: CompactString,
    /// Number of cached tokens.
    pub tokens: u64,
    /// Model and version as `model@version`.
    pub model: CompactString,
}

/// Counts since the engine's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Runs started.
    pub started: u64,
    /// Runs whose whole answer was generated.
    pub finished: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Calls refused without being started.
    pub refused: u64,
    /// Calls that resumed a dispatch.
    pub resumed: u64,
    /// Prompt tokens processed because they were not in the prefix cache.
    pub filled_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub reused_tokens: u64,
    /// Tokens evicted from the prefix cache for lack of space or with their model.
    pub evicted_tokens: u64,
    /// Tokens removed from the prefix cache by a release.
    pub released_tokens: u64,
    /// Orders accepted.
    pub orders: u64,
    /// Orders refused for a stale fencing number.
    pub stale_orders: u64,
}

/// Statistics of an engine since its start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineStats {
    /// Totals over all calls and orders.
    pub counts: EngineCounts,
    /// The latest dispatches, sorted by id.
    pub dispatches: Vec<DispatchStats>,
    /// Programs in the prefix cache.
    pub programs: Vec<ProgramMemory>,
}

impl EngineStats {
    /// Returns a dispatch, or `None` if it is not in the history.
    pub fn dispatch(&self, id: &str) -> Option<&DispatchStats> {
        self.dispatches.iter().find(|d| d.dispatch == id)
    }

    /// Returns the number of cached tokens of a program.
    pub fn held(&self, program: &str) -> u64 {
        self.programs.iter().filter(|p| p.program == program).map(|p| p.tokens).sum()
    }
}

/// Bounded history of dispatches by id, which drops the oldest.
#[derive(Default)]
pub(super) struct DispatchHistory {
    order: VecDeque<CompactString>,
    dispatches: BTreeMap<CompactString, DispatchStats>,
}

impl DispatchHistory {
    /// Records the start of a run. A dispatch that is already known counts one more run.
    pub(super) fn begin(&mut self, run: DispatchStats) {
        if let Some(known) = self.dispatches.get_mut(&run.dispatch) {
            let runs = known.runs + 1;
            *known = DispatchStats { runs, ..run };
            return;
        }
        if self.order.len() >= MAX_DISPATCHES
            && let Some(oldest) = self.order.pop_front()
        {
            self.dispatches.remove(&oldest);
        }
        self.order.push_back(run.dispatch.clone());
        self.dispatches.insert(run.dispatch.clone(), DispatchStats { runs: 1, ..run });
    }

    pub(super) fn end(&mut self, dispatch: &str, state: RunState, output_tokens: u64) {
        if let Some(known) = self.dispatches.get_mut(dispatch) {
            known.state = state;
            known.output_tokens = output_tokens;
        }
    }

    pub(super) fn all(&self) -> Vec<DispatchStats> {
        self.dispatches.values().cloned().collect()
    }
}
