//! Record of the engines that last read a program's prompts.

use crate::wire::turn::PromptRun;

/// Maximum number of prompts recorded for each program: those of its own turns and of sub-agents.
/// It bounds programs that start sub-agents without end.
const MAX_RUNS: usize = 16;

/// The engines that read a program's prompts, oldest first.
///
/// An engine has only the prompts that it read in its prefix cache. Callers may use a different
/// entry VM for each turn, and a VM that doesn't know where the last turn ran would send the next
/// one to an engine that has to read the whole history again.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Runs(pub(super) Vec<PromptRun>);

impl Runs {
    /// Records where a prompt was read, and replaces an earlier record of the same prompt.
    pub(super) fn record(&mut self, run: &PromptRun) {
        self.0.retain(|known| known.prompt != run.prompt);
        if self.0.len() == MAX_RUNS {
            self.0.remove(0);
        }
        self.0.push(run.clone());
    }

    /// Returns the record of the longest known prefix of a prompt. `starts` identifies its
    /// prefixes, shortest first.
    pub(super) fn longest(&self, starts: &[u64]) -> Option<&PromptRun> {
        let mut starts = starts.iter().rev();
        starts.find_map(|start| self.0.iter().find(|run| run.prompt == *start))
    }
}
