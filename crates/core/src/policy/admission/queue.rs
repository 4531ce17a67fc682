//! Waiting calls: three bands, fair among organisations within each, all in constant time.
//!
//! Within a band, organisations take turns of one call each (surplus round robin): each turn brings
//! a quantum of expected seconds, and a call that costs more leaves a debt for which the next turns
//! are skipped. A debt is bounded, so that a start looks at a bounded number of organisations on
//! average, however many are waiting. Turns of one call and not of a whole quantum's worth: a flood
//! of short calls would otherwise run a burst before each call of a quiet organisation.

use std::collections::{BTreeMap, VecDeque};

use slotmap::SlotMap;

use super::{OrgKey, Ticket};
use crate::prelude::*;

/// Least seconds that a call counts for, so that free calls cannot take turns without end.
const MIN_COST: f64 = 0.01;

/// Most turns that an organisation skips for one long call.
const MAX_DEBT: f64 = 5.0;

/// Bands in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Band {
    /// Urgent calls.
    Urgent,
    /// Calls of programs that already ran a turn.
    UnderWay,
    /// First calls of programs.
    New,
}

/// Place of a call in its organisation's queue: earlier first, ties by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Arrival, put back by the program's attained service.
    pub at: Time,
    /// Order of arrival.
    pub sequence: u64,
}

/// One waiting call.
#[derive(Clone, Copy, Debug)]
pub struct QueuedCall {
    /// Its ticket.
    pub ticket: Ticket,
    /// Expected seconds of service.
    pub cost: f64,
}

#[derive(Clone, Debug, Default)]
struct OrgQueue {
    calls: BTreeMap<Rank, QueuedCall>,
    credit: f64,
    listed: bool,
}

/// The queues of one organisation.
#[derive(Clone, Debug)]
pub struct Org {
    /// The organisation's name.
    pub name: OrgName,
    /// Calls it has waiting.
    pub waiting: u32,
    /// Calls it has running.
    pub running: u32,
    queues: [OrgQueue; 3],
}

impl Org {
    /// Makes an organisation without calls.
    pub fn new(name: OrgName) -> Org {
        Org { name, waiting: 0, running: 0, queues: Default::default() }
    }
}

/// All waiting calls of one admission.
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
    /// Makes empty queues. `quantum` is the seconds that one turn pays for; `max_runs` are the most
    /// starts in a row of urgent calls, and of calls under way, while a later band waits.
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

    /// Adds an organisation.
    pub fn add_org(&mut self, name: OrgName) -> OrgKey {
        self.orgs.insert(Org::new(name))
    }

    /// Returns an organisation.
    pub fn org(&mut self, key: OrgKey) -> Option<&mut Org> {
        self.orgs.get_mut(key)
    }

    /// Returns how many calls of an organisation wait.
    pub fn waiting(&self, key: OrgKey) -> u32 {
        self.orgs.get(key).map_or(0, |org| org.waiting)
    }

    /// Removes organisations that have nothing waiting or running, and returns their names.
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

    /// Returns how many calls wait in a band.
    pub fn count(&self, band: Band) -> u32 {
        self.counts[band as usize]
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns how many starts lie before a new call of `org` in `band`, at most.
    ///
    /// Each organisation with calls waiting gets a turn for each turn of this one, and the bands
    /// before come first.
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

    /// Takes a call out before its turn.
    pub fn remove(&mut self, org: OrgKey, band: Band, rank: Rank) {
        let Some(entry) = self.orgs.get_mut(org) else { return };
        if entry.queues[band as usize].calls.remove(&rank).is_some() {
            entry.waiting -= 1;
            self.counts[band as usize] -= 1;
        }
    }

    /// Takes the next call out, if `urgent_only` allows any.
    pub fn pop(&mut self, urgent_only: bool) -> Option<Ticket> {
        let band = if urgent_only { Band::Urgent } else { self.next_band() };
        let ticket = self.pop_band(band)?;
        self.record_start(band);
        Some(ticket)
    }

    /// Chooses the band that is served next.
    ///
    /// The order is strict but for one start in each run: a flood of urgent calls, or of programs
    /// under way, would otherwise hold new callers off until they hang up. With the bound, the
    /// first call of a later band waits for a known number of starts.
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
                // An idle organisation keeps no credit, or it could save up a burst.
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
            let max_debt = self.quantum * MAX_DEBT;
            queue.credit -= head.get().cost.clamp(MIN_COST, max_debt);
            let ticket = head.remove().ticket;
            org.waiting -= 1;
            self.counts[index] -= 1;
            return Some(ticket);
        }
        None
    }
}
