//! Requests that cannot go yet: bounded queues by what they wait for.

use std::collections::{HashMap, VecDeque};

use super::quarantine::Digest;
use super::sequencer::Ticket;
use super::settings::Settings;
use super::state::Name;
use crate::prelude::*;

/// What a parked request waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Queue {
    /// An earlier request of its program.
    Program(Name),
    /// The other run of a crash suspect.
    Suspect(Digest),
    /// An engine to itself, since others have theirs.
    Isolation,
    /// A new leader that has yet to see all that its predecessors committed.
    Ready,
}

/// All parked requests, in their order of arrival within each queue.
#[derive(Debug, Default)]
pub(super) struct Parking {
    queues: HashMap<Queue, VecDeque<Ticket>>,
    len: usize,
    /// No parked request is due before this group time.
    soonest_ms: u64,
}

impl Parking {
    /// Parks a request, or hands it back when its queue or the whole is full.
    pub(super) fn park(
        &mut self,
        queue: Queue,
        ticket: Ticket,
        settings: &Settings,
    ) -> Result<(), Box<Ticket>> {
        let full = self.len >= settings.park_total;
        let waiting = self.queues.get(&queue).map_or(0, VecDeque::len);
        let limit = match queue {
            Queue::Ready | Queue::Isolation => settings.park_total,
            Queue::Program(_) | Queue::Suspect(_) => settings.park_program,
        };
        if full || waiting >= limit {
            return Err(Box::new(ticket));
        }
        self.soonest_ms =
            if self.len == 0 { ticket.until_ms } else { self.soonest_ms.min(ticket.until_ms) };
        self.len += 1;
        self.queues.entry(queue).or_default().push_back(ticket);
        Ok(())
    }

    /// Takes all requests of one queue.
    pub(super) fn take(&mut self, queue: &Queue) -> VecDeque<Ticket> {
        let taken = self.queues.remove(queue).unwrap_or_default();
        self.len -= taken.len();
        taken
    }

    /// Takes the requests whose deadline has passed.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<Ticket> {
        if self.len == 0 || now_ms < self.soonest_ms {
            return vec![];
        }
        let mut due = vec![];
        for queue in self.queues.values_mut() {
            let (late, rest) = queue.drain(..).partition(|ticket| ticket.until_ms <= now_ms);
            let late: VecDeque<Ticket> = late;
            *queue = rest;
            due.extend(late);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        self.len -= due.len();
        let left = self.queues.values().flatten().map(|ticket| ticket.until_ms);
        self.soonest_ms = left.min().unwrap_or(u64::MAX);
        due.sort_by_key(|ticket| ticket.token);
        due
    }

    /// Takes the requests of one VM, in the order of arrival.
    pub(super) fn take_from(&mut self, vm: VmId) -> Vec<Ticket> {
        let mut taken = vec![];
        for queue in self.queues.values_mut() {
            let (theirs, rest) = queue.drain(..).partition(|ticket| ticket.from == vm);
            let theirs: VecDeque<Ticket> = theirs;
            *queue = rest;
            taken.extend(theirs);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        self.len -= taken.len();
        taken.sort_by_key(|ticket| ticket.token);
        taken
    }

    /// Takes everything, in the order of arrival.
    pub(super) fn take_all(&mut self) -> Vec<Ticket> {
        self.len = 0;
        let mut all: Vec<Ticket> = self.queues.drain().flat_map(|(_, queue)| queue).collect();
        all.sort_by_key(|ticket| ticket.token);
        all
    }

    /// Returns the programs that requests wait for, in a fixed order.
    pub(super) fn program_queues(&self) -> Vec<Queue> {
        self.queues_that(|queue| matches!(queue, Queue::Program(_)))
    }

    /// Returns what crash suspects wait for, in a fixed order.
    pub(super) fn suspect_queues(&self) -> Vec<Queue> {
        self.queues_that(|queue| matches!(queue, Queue::Suspect(_) | Queue::Isolation))
    }

    fn queues_that(&self, is_asked: impl Fn(&Queue) -> bool) -> Vec<Queue> {
        let asked = self.queues.keys().filter(|queue| is_asked(queue));
        let mut asked: Vec<Queue> = asked.cloned().collect();
        asked.sort();
        asked
    }

    /// Returns how many requests are parked.
    pub(super) fn len(&self) -> usize {
        self.len
    }
}
