//! Delivers a state machine's answers to the callers that proposed the commands.

use std::collections::VecDeque;

use gypsumglade_core::replication::LogIndex;
use tokio::sync::oneshot;

/// Answers kept for callers that learn the index of their log entry after it was applied.
const MAX_RECENT: usize = 256;

/// Callers that wait for the answer of a log entry, and recent answers.
#[derive(Debug)]
pub(super) struct PendingAnswers<A> {
    applied: LogIndex,
    waiting: Vec<(LogIndex, oneshot::Sender<A>)>,
    recent: VecDeque<(LogIndex, A)>,
}

/// Result of a lookup by log index.
#[derive(Debug)]
pub(super) enum Lookup<A> {
    /// The entry was applied; `None` if its answer is no longer kept.
    Known(Option<A>),
    /// The entry is not applied yet. The sender is dropped if its answer can't be known.
    Pending(oneshot::Receiver<A>),
}

impl<A> Lookup<A> {
    /// Waits until the entry is applied. Returns `None` if its answer can't be known.
    pub(super) async fn wait(self) -> Option<A> {
        match self {
            Lookup::Known(answer) => answer,
            Lookup::Pending(receiver) => receiver.await.ok(),
        }
    }
}

impl<A> Default for PendingAnswers<A> {
    fn default() -> PendingAnswers<A> {
        PendingAnswers {
            applied: LogIndex::default(),
            waiting: Vec::new(),
            recent: VecDeque::new(),
        }
    }
}

impl<A: Clone> PendingAnswers<A> {
    /// Returns the last applied index.
    pub(super) fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Looks up the answer of the entry at `index`.
    pub(super) fn lookup(&mut self, index: LogIndex) -> Lookup<A> {
        if self.applied >= index {
            let found = self.recent.iter().find(|(at, _)| *at == index);
            return Lookup::Known(found.map(|(_, answer)| answer.clone()));
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.push((index, sender));
        Lookup::Pending(receiver)
    }

    /// Records that the entry at `index` was applied, with its answer if it has one.
    pub(super) fn record(&mut self, index: LogIndex, answer: Option<&A>) {
        self.applied = index;
        let Some(answer) = answer else { return };
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((index, answer.clone()));
        let waiting = std::mem::take(&mut self.waiting);
        for (wanted, sender) in waiting {
            match wanted.cmp(&index) {
                // The caller may have given up.
                std::cmp::Ordering::Equal => drop(sender.send(answer.clone())),
                // The entry had no answer or was skipped; the caller gets `uncertain` and retries.
                std::cmp::Ordering::Less => drop(sender),
                std::cmp::Ordering::Greater => self.waiting.push((wanted, sender)),
            }
        }
    }

    /// Records that a snapshot replaced the state. Answers of the entries that it covers are
    /// unknown.
    pub(super) fn restored(&mut self, index: LogIndex) {
        self.applied = index;
        self.waiting.clear();
    }
}
