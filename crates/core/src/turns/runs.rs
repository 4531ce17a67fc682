//! Where a program's prompts were read last.

use crate::wire::turn::PromptRun;

/// Prompts remembered for each program: its line of turns, and the sub-agents of some turns. A
/// program that starts sub-agents without end keeps no more than this.
const MAX_RUNS: usize = 16;

/// Engines that read a program's prompts, oldest first.
///
/// An engine has a prompt's start in its memory only if it read it. Callers come in through one entry
/// VM and then another, and a VM that doesn't know where the last turn ran has the whole history read
/// again elsewhere.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Runs(pub(super) Vec<PromptRun>);

impl Runs {
    /// Remembers where a prompt was read, in the place of what was known of it.
    pub(super) fn record(&mut self, run: &PromptRun) {
        self.0.retain(|known| known.prompt != run.prompt);
        if self.0.len() == MAX_RUNS {
            self.0.remove(0);
        }
        self.0.push(run.clone());
    }

    /// Returns where the longest known start of a prompt was read; `starts` has the shortest first.
    pub(super) fn longest(&self, starts: &[u64]) -> Option<&PromptRun> {
        let mut starts = starts.iter().rev();
        starts.find_map(|start| self.0.iter().find(|run| run.prompt == *start))
    }
}
