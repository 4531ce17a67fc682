//! Bounded queues of requests that cannot be proposed yet, keyed by what they wait for.

use std::collections::{HashMap, VecDeque};

use super::holder::EndedHolder;
use super::quarantine::Digest;
use super::sequencer::CallWaiter;
use super::settings::Settings;
use super::state::QualifiedName;

/// Identifies a queue by what its requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum QueueKey {
    /// An earlier request of the same program.
    Program(QualifiedName),
    /// The end of another run of the same crash suspect.
    Suspect(Digest),
    /// A free place among the suspects that may run isolated at the same time.
    Isolation,
    /// The commit of a new leader's barrier.
    LeaderReady,
}

/// All parked requests; each queue keeps the order of arrival.
#[derive(Debug, Default)]
pub(super) struct ParkedRequests {
    queues: HashMap<QueueKey, VecDeque<CallWaiter>>,
    len: usize,
    /// Lower bound of all deadlines, in group time.
    earliest_ms: u64,
}

impl ParkedRequests {
    /// Parks a request, or returns it if its queue or the total limit is full.
    pub(super) fn park(
        &mut self,
        queue: QueueKey,
        waiter: CallWaiter,
        settings: &Settings,
    ) -> Result<(), Box<CallWaiter>> {
        let full = self.len >= settings.park_total;
        let waiting = self.queues.get(&queue).map_or(0, VecDeque::len);
        let limit = match queue {
            QueueKey::LeaderReady | QueueKey::Isolation => settings.park_total,
            QueueKey::Program(_) | QueueKey::Suspect(_) => settings.park_program,
        };
        if full || waiting >= limit {
            return Err(Box::new(waiter));
        }
        self.earliest_ms = if self.len == 0 {
            waiter.deadline_ms
        } else {
            self.earliest_ms.min(waiter.deadline_ms)
        };
        self.len += 1;
        self.queues.entry(queue).or_default().push_back(waiter);
        Ok(())
    }

    /// Removes and returns all requests of one queue.
    pub(super) fn take(&mut self, queue: &QueueKey) -> VecDeque<CallWaiter> {
        let taken = self.queues.remove(queue).unwrap_or_default();
        self.len -= taken.len();
        taken
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(super) fn take_expired(&mut self, now_ms: u64) -> Vec<CallWaiter> {
        if self.len == 0 || now_ms < self.earliest_ms {
            return vec![];
        }
        let mut due = vec![];
        for queue in self.queues.values_mut() {
            let (late, rest) = queue.drain(..).partition(|waiter| waiter.deadline_ms <= now_ms);
            let late: VecDeque<CallWaiter> = late;
            *queue = rest;
            due.extend(late);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        self.len -= due.len();
        let left = self.queues.values().flatten().map(|waiter| waiter.deadline_ms);
        self.earliest_ms = left.min().unwrap_or(u64::MAX);
        due.sort_by_key(|waiter| waiter.token);
        due
    }

    /// Removes and returns the requests of an ended process, in order of arrival.
    pub(super) fn take_from(&mut self, ended: EndedHolder) -> Vec<CallWaiter> {
        let mut taken = vec![];
        for queue in self.queues.values_mut() {
            let (theirs, rest) = queue.drain(..).partition(|waiter| waiter.is_from(ended));
            let theirs: VecDeque<CallWaiter> = theirs;
            *queue = rest;
            taken.extend(theirs);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        self.len -= taken.len();
        taken.sort_by_key(|waiter| waiter.token);
        taken
    }

    /// Removes and returns all requests, in order of arrival.
    pub(super) fn take_all(&mut self) -> Vec<CallWaiter> {
        self.len = 0;
        let mut all: Vec<CallWaiter> = self.queues.drain().flat_map(|(_, queue)| queue).collect();
        all.sort_by_key(|waiter| waiter.token);
        all
    }

    /// Returns the keys of all program queues, sorted.
    pub(super) fn program_queues(&self) -> Vec<QueueKey> {
        self.queues_matching(|queue| matches!(queue, QueueKey::Program(_)))
    }

    /// Returns the keys of the queues that crash suspects wait in, sorted.
    pub(super) fn suspect_queues(&self) -> Vec<QueueKey> {
        self.queues_matching(|queue| matches!(queue, QueueKey::Suspect(_) | QueueKey::Isolation))
    }

    fn queues_matching(&self, matches: impl Fn(&QueueKey) -> bool) -> Vec<QueueKey> {
        let queues = self.queues.keys().filter(|queue| matches(queue));
        let mut queues: Vec<QueueKey> = queues.cloned().collect();
        queues.sort();
        queues
    }

    /// Returns the number of parked requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }
}
