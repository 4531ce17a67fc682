//! Answers of a state machine on their way to the askers whose commands it applied.

use std::collections::VecDeque;

use gypsumglade_core::replication::LogIndex;
use tokio::sync::oneshot;

/// Answers kept for askers that learn their entry's place after it was applied.
const MAX_RECENT: usize = 256;

/// Who waits for which entry's answer.
#[derive(Debug)]
pub(super) struct PendingAnswers<A> {
    applied: LogIndex,
    waiting: Vec<(LogIndex, oneshot::Sender<A>)>,
    recent: VecDeque<(LogIndex, A)>,
}

/// What an asker gets for an entry's place.
#[derive(Debug)]
pub(super) enum Lookup<A> {
    /// The answer, or nothing where it is no longer kept.
    Known(Option<A>),
    /// The entry is not applied yet; a dropped sender means that nobody can tell.
    Pending(oneshot::Receiver<A>),
}

impl<A> Lookup<A> {
    /// Waits until the entry is applied; nothing where nobody can tell its answer.
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
    /// Returns the last index applied.
    pub(super) fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Looks for the answer of the entry at `index`.
    pub(super) fn lookup(&mut self, index: LogIndex) -> Lookup<A> {
        if self.applied >= index {
            let found = self.recent.iter().find(|(at, _)| *at == index);
            return Lookup::Known(found.map(|(_, answer)| answer.clone()));
        }
        let (sender, receiver) = oneshot::channel();
        self.waiting.push((index, sender));
        Lookup::Pending(receiver)
    }

    /// Notes that the entry at `index` was applied, with its answer if it has one.
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
                // The asker may have given up.
                std::cmp::Ordering::Equal => drop(sender.send(answer.clone())),
                // Applied before the asker got here; it learns `uncertain` and asks again.
                std::cmp::Ordering::Less => drop(sender),
                std::cmp::Ordering::Greater => self.waiting.push((wanted, sender)),
            }
        }
    }

    /// Notes that a snapshot replaced the state; nobody can tell what it skipped.
    pub(super) fn restored(&mut self, index: LogIndex) {
        self.applied = index;
        self.waiting.clear();
    }
}
