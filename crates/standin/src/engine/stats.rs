//! What really ran, for tests to compare with what the system says.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use serde::Serialize;

/// Most dispatches that are remembered one by one.
const MAX_DISPATCHES: usize = 65_536;

/// How a run stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RunState {
    /// Generating.
    #[default]
    Running,
    /// The whole answer was generated.
    Finished,
    /// Cut off by a cancel, or by the loss of its reader.
    Cancelled,
}

/// One dispatch as the engine saw it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DispatchStats {
    /// Its id.
    pub dispatch: CompactString,
    /// Program that it named.
    pub program: CompactString,
    /// How often it was started; more than once is a fault of the system.
    pub runs: u32,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// How many of them the prefix cache held.
    pub cached_tokens: u64,
    /// Tokens generated so far.
    pub output_tokens: u64,
    /// Priority that it named.
    pub priority: i64,
    /// How the latest run stands.
    pub state: RunState,
    /// Request fields that the engine does not read.
    pub fields: Vec<CompactString>,
}

/// Memory that a program holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ProgramMemory {
    /// Organisation and program as `org/program`.
    pub program: CompactString,
    /// Tokens held.
    pub tokens: u64,
    /// Model and version as `model@version`.
    pub model: CompactString,
}

/// Counts since the engine's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Runs begun.
    pub started: u64,
    /// Runs whose whole answer was generated.
    pub finished: u64,
    /// Runs cut off.
    pub cancelled: u64,
    /// Calls refused before they started.
    pub refused: u64,
    /// Streams resumed.
    pub resumed: u64,
    /// Prompt tokens filled because no prefix held them.
    pub filled_tokens: u64,
    /// Prompt tokens that a prefix held.
    pub reused_tokens: u64,
    /// Tokens of prefixes given up for want of room.
    pub evicted_tokens: u64,
    /// Tokens of prefixes freed by a release.
    pub released_tokens: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused for an old fencing number.
    pub stale_orders: u64,
}

/// Everything an engine tells about itself.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineStats {
    /// Totals.
    pub counts: EngineCounts,
    /// The latest dispatches, in order of their ids.
    pub dispatches: Vec<DispatchStats>,
    /// Programs that hold memory.
    pub programs: Vec<ProgramMemory>,
}

impl EngineStats {
    /// Returns one dispatch, if the engine remembers it.
    pub fn dispatch(&self, id: &str) -> Option<&DispatchStats> {
        self.dispatches.iter().find(|d| d.dispatch == id)
    }

    /// Returns the tokens that a program holds.
    pub fn held(&self, program: &str) -> u64 {
        self.programs.iter().filter(|p| p.program == program).map(|p| p.tokens).sum()
    }
}

/// Dispatches by id, the oldest forgotten first.
#[derive(Default)]
pub(super) struct DispatchHistory {
    order: VecDeque<CompactString>,
    dispatches: BTreeMap<CompactString, DispatchStats>,
}

impl DispatchHistory {
    /// Counts one more run of a dispatch.
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
