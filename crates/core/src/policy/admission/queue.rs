//! Queues of waiting calls: three bands, each fair among organisations.
//!
//! Each band serves its organisations by surplus round robin. A turn starts one call and pays for a
//! quantum of expected seconds; a call that costs more leaves a debt, for which the next turns are
//! skipped. The debt is bounded, so that a start looks at a bounded number of organisations on
//! average. A turn starts a single call rather than a whole quantum's worth, because a flood of
//! short calls would otherwise run a burst before each call of another organisation.

use std::collections::{BTreeMap, VecDeque};

use slotmap::SlotMap;

use super::{OrgKey, Ticket};
use crate::prelude::*;

/// Lowest cost of a call in seconds, so that calls without expected cost use up credit too.
const MIN_COST: f64 = 0.01;

/// Highest cost of a call in quanta, which bounds the turns that an organisation skips.
const MAX_COST: f64 = 5.0;

/// Priority bands, in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Band {
    /// Urgent calls.
    Urgent,
    /// Calls of programs that have run a turn before.
    UnderWay,
    /// First calls of programs.
    New,
}

/// Position of a call in its organisation's queue; the lowest starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Arrival time, plus the delay of the call's priority.
    pub at: Time,
    /// Order of arrival, which breaks ties.
    pub sequence: u64,
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
pub struct QueuedCall {
    /// Ticket that is returned when the call starts.
    pub ticket: Ticket,
    /// Expected service time in seconds.
    pub cost: f64,
}

#[derive(Clone, Debug, Default)]
struct OrgQueue {
    calls: BTreeMap<Rank, QueuedCall>,
    credit: f64,
    listed: bool,
}

/// Queues and counts of one organisation.
#[derive(Clone, Debug)]
pub struct Org {
    /// Name under which the organisation is known to [`Admission`](super::Admission).
    pub name: OrgName,
    /// Number of queued calls.
    pub waiting: u32,
    /// Number of running calls.
    pub running: u32,
    queues: [OrgQueue; 3],
}

impl Org {
    /// Creates an organisation without calls.
    pub fn new(name: OrgName) -> Org {
        Org { name, waiting: 0, running: 0, queues: Default::default() }
    }
}

/// All queued calls of one [`Admission`](super::Admission).
#[derive(Clone, Debug)]
pub struct Queues {
    orgs: SlotMap<OrgKey, Org>,
    rings: [VecDeque<OrgKey>; 3],
    counts: [u32; 3],
    quantum: f64,
    runs: [u32; 2],
    max_runs: [u32; 2],
}

impl Queues {
    /// Creates empty queues.
    ///
    /// `quantum` is the time in seconds that one turn pays for. `max_runs` limits the starts in a
    /// row of urgent calls, and of calls under way, while a later band has calls queued.
    pub fn new(quantum: f64, max_runs: [u32; 2]) -> Queues {
        Queues {
            orgs: SlotMap::with_key(),
            rings: Default::default(),
            counts: [0; 3],
            quantum,
            runs: [0; 2],
            max_runs,
        }
    }

    /// Adds an organisation and returns its key.
    pub fn add_org(&mut self, name: OrgName) -> OrgKey {
        self.orgs.insert(Org::new(name))
    }

    /// Returns an organisation, if it is known.
    pub fn org(&mut self, key: OrgKey) -> Option<&mut Org> {
        self.orgs.get_mut(key)
    }

    /// Returns the number of queued calls of an organisation.
    pub fn waiting(&self, key: OrgKey) -> u32 {
        self.orgs.get(key).map_or(0, |org| org.waiting)
    }

    /// Removes organisations without queued or running calls, and returns their names.
    pub fn sweep(&mut self) -> Vec<OrgName> {
        let idle = |(key, org): (OrgKey, &Org)| (org.waiting + org.running == 0).then_some(key);
        let keys: Vec<OrgKey> = self.orgs.iter().filter_map(idle).collect();
        let names = keys.iter().filter_map(|key| self.orgs.remove(*key)).map(|org| org.name);
        let names = names.collect();
        for ring in &mut self.rings {
            ring.retain(|key| self.orgs.contains_key(*key));
        }
        names
    }

    /// Returns the number of queued calls in a band.
    pub fn count(&self, band: Band) -> u32 {
        self.counts[band as usize]
    }

    /// Returns the number of queued calls.
    pub fn len(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns the maximum number of starts before a new call of `org` in `band`.
    ///
    /// Each organisation with queued calls gets a turn for each turn of this one, and the calls of
    /// earlier bands come first.
    pub fn ahead(&self, org: OrgKey, band: Band) -> u32 {
        let index = band as usize;
        let before: u32 = self.counts[..index].iter().sum();
        let own = self.orgs.get(org).map_or(0, |org| org.queues[index].calls.len() as u32);
        let turns = (own + 1).saturating_mul(self.rings[index].len().max(1) as u32);
        before + self.counts[index].min(turns)
    }

    /// Queues a call.
    pub fn push(&mut self, org: OrgKey, band: Band, rank: Rank, call: QueuedCall) {
        let index = band as usize;
        let Some(entry) = self.orgs.get_mut(org) else { return };
        entry.waiting += 1;
        let queue = &mut entry.queues[index];
        queue.calls.insert(rank, call);
        self.counts[index] += 1;
        if !std::mem::replace(&mut queue.listed, true) {
            self.rings[index].push_back(org);
        }
    }

    /// Removes a call before it starts.
    pub fn remove(&mut self, org: OrgKey, band: Band, rank: Rank) {
        let Some(entry) = self.orgs.get_mut(org) else { return };
        if entry.queues[band as usize].calls.remove(&rank).is_some() {
            entry.waiting -= 1;
            self.counts[band as usize] -= 1;
        }
    }

    /// Removes the next call and returns its ticket; with `urgent_only`, other bands aren't served.
    pub fn pop(&mut self, urgent_only: bool) -> Option<Ticket> {
        let band = if urgent_only { Band::Urgent } else { self.next_band() };
        let ticket = self.pop_band(band)?;
        self.record_start(band);
        Some(ticket)
    }

    /// Returns the band that is served next.
    ///
    /// The order of bands is strict except for one start after each run. Without that exception, a
    /// flood of urgent calls or of programs under way would starve new callers; with it, the first
    /// call of a later band waits for a bounded number of starts.
    fn next_band(&self) -> Band {
        let [urgent, under_way, new] = self.counts;
        let urgent_due = urgent > 0 && (self.runs[0] < self.max_runs[0] || under_way + new == 0);
        if urgent_due {
            return Band::Urgent;
        }
        if under_way > 0 && (self.runs[1] < self.max_runs[1] || new == 0) {
            return Band::UnderWay;
        }
        if new > 0 { Band::New } else { Band::Urgent }
    }

    fn record_start(&mut self, band: Band) {
        let [_, under_way, new] = self.counts;
        match band {
            Band::Urgent if under_way + new > 0 => self.runs[0] += 1,
            Band::Urgent => self.runs[0] = 0,
            Band::UnderWay => {
                self.runs[0] = 0;
                self.runs[1] = if new > 0 { self.runs[1] + 1 } else { 0 };
            }
            Band::New => self.runs = [0; 2],
        }
    }

    fn pop_band(&mut self, band: Band) -> Option<Ticket> {
        let index = band as usize;
        while let Some(&key) = self.rings[index].front() {
            let Some(org) = self.orgs.get_mut(key) else {
                self.rings[index].pop_front();
                continue;
            };
            let queue = &mut org.queues[index];
            let Some(head) = queue.calls.first_entry() else {
                // An organisation without queued calls loses its credit, so that it can't save up
                // for a burst.
                queue.credit = 0.0;
                queue.listed = false;
                self.rings[index].pop_front();
                continue;
            };
            self.rings[index].rotate_left(1);
            queue.credit = (queue.credit + self.quantum).min(self.quantum);
            if queue.credit <= 0.0 {
                continue;
            }
            let max_cost = self.quantum * MAX_COST;
            queue.credit -= head.get().cost.clamp(MIN_COST, max_cost);
            let ticket = head.remove().ticket;
            org.waiting -= 1;
            self.counts[index] -= 1;
            return Some(ticket);
        }
        None
    }
}
