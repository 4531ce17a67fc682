//! Endpoints as the control group's log holds them.
//!
//! A store that acknowledges that an endpoint drains may be lost the next moment. The news is
//! therefore committed before it is acknowledged, so that every later leader knows of it too.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::prelude::*;
use crate::wire::control::{Deregister, EndpointNews, EndpointRecord, Snapshot};

/// Departed endpoints whose last announcement is remembered against late ones.
const MAX_DEPARTED: usize = 4_096;

/// Latest changes whose endpoints are remembered, so that an asker is told only what it lacks. One that
/// fell further behind is told all.
const MAX_RECENT: usize = 1_024;

/// An announcement's place in the life of its name: start, then count within that start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Stamp {
    incarnation: u64,
    sequence: u64,
}

/// The endpoints that announced themselves and neither left nor fell silent.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    present: BTreeMap<CompactString, EndpointRecord>,
    /// Incarnations that ended, so that a late announcement does not bring one back.
    departed: BTreeMap<CompactString, u64>,
    change: u64,
    /// Names that the latest changes touched, oldest first; none of those before a restart.
    recent: VecDeque<RecentChange>,
}

/// An endpoint that a change touched.
#[derive(Clone, Debug)]
struct RecentChange {
    change: u64,
    name: CompactString,
}

impl Endpoints {
    /// Returns the number of the last change; it only grows.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Returns one endpoint by its name.
    pub fn get(&self, name: &str) -> Option<&EndpointRecord> {
        self.present.get(name)
    }

    /// Returns every endpoint, by name.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.present.values()
    }

    /// Returns what an asker that knows change `seen` lacks.
    ///
    /// While endpoints are replaced one after another, every entry VM asks after each change. Told all
    /// endpoints each time, what they are sent grows with endpoints, changes and VMs together.
    pub fn changes_since(&self, seen: u64) -> EndpointNews {
        if seen == self.change {
            return EndpointNews { change: self.change, ..EndpointNews::default() };
        }
        let Some(names) = self.names_changed_since(seen) else {
            let endpoints = self.iter().cloned().collect();
            return EndpointNews { change: self.change, endpoints, ..EndpointNews::default() };
        };
        let present = names.iter().filter_map(|name| self.present.get(*name));
        let gone = names.iter().filter(|name| !self.present.contains_key(**name));
        EndpointNews {
            change: self.change,
            endpoints: present.cloned().collect(),
            delta: true,
            gone: gone.map(ToString::to_string).collect(),
            ..EndpointNews::default()
        }
    }

    /// Returns the endpoints that the changes after `seen` touched; nothing if some of those changes
    /// are no longer remembered.
    fn names_changed_since(&self, seen: u64) -> Option<BTreeSet<&CompactString>> {
        let oldest = self.recent.front()?.change;
        if seen == 0 || seen + 1 < oldest || seen > self.change {
            return None;
        }
        let later = self.recent.iter().filter(|recent| recent.change > seen);
        Some(later.map(|recent| &recent.name).collect())
    }

    fn record_change(&mut self, name: CompactString) {
        self.change += 1;
        self.push_recent(self.change, name);
    }

    fn push_recent(&mut self, change: u64, name: CompactString) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentChange { change, name });
    }

    /// Tells whether an announcement says something that the log does not hold yet.
    ///
    /// Most announcements only prolong a lease, which the leader keeps in memory; committing each
    /// would cost a sync per endpoint and second.
    pub fn is_update(&self, record: &EndpointRecord) -> bool {
        if !self.accepts(record) {
            return false;
        }
        let Some(known) = self.present.get(record.name.as_str()) else { return true };
        let unchanged = EndpointRecord { sequence: record.sequence, ..known.clone() };
        unchanged != preserve_leaving(known, record)
    }

    /// Takes an announcement in. Late ones of an earlier start, or of an earlier moment of the same
    /// start, change nothing.
    pub fn register(&mut self, record: &EndpointRecord) {
        if !self.is_update(record) {
            return;
        }
        let record = match self.present.get(record.name.as_str()) {
            Some(known) => preserve_leaving(known, record),
            None => record.clone(),
        };
        self.evict_address(&record);
        self.departed.remove(record.name.as_str());
        let name = record.name.to_compact_string();
        self.present.insert(name.clone(), record);
        self.record_change(name);
    }

    /// Removes an incarnation for good.
    pub fn deregister(&mut self, name: &str, incarnation: u64) {
        let known = self.present.get(name);
        if known.is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        if self.present.remove(name).is_some() {
            self.record_change(name.to_compact_string());
        }
        self.mark_departed(name.to_compact_string(), incarnation);
    }

    /// Writes the state into a snapshot.
    pub(super) fn save(&self, snapshot: &mut Snapshot) {
        let departed = self.departed.iter();
        let departed = departed.map(|(name, incarnation)| Deregister {
            name: name.to_string(),
            incarnation: *incarnation,
        });
        snapshot.endpoints = self.iter().cloned().collect();
        snapshot.endpoint_change = self.change;
        snapshot.departed = departed.collect();
    }

    /// Reads the state that [`Endpoints::save`] wrote.
    pub(super) fn load(snapshot: &Snapshot) -> Endpoints {
        let present = snapshot.endpoints.iter();
        let present = present.map(|record| (record.name.to_compact_string(), record.clone()));
        let departed = snapshot.departed.iter();
        let departed = departed.map(|gone| (gone.name.to_compact_string(), gone.incarnation));
        Endpoints {
            present: present.collect(),
            departed: departed.collect(),
            change: snapshot.endpoint_change,
            recent: VecDeque::new(),
        }
    }

    fn accepts(&self, record: &EndpointRecord) -> bool {
        let ended = self.departed.get(record.name.as_str());
        if ended.is_some_and(|ended| record.incarnation <= *ended) {
            return false;
        }
        let known = self.present.get(record.name.as_str());
        if known.is_some_and(|known| stamp(record) <= stamp(known)) {
            return false;
        }
        // An address belongs to the latest start there: a report that a partition held back must
        // not take it away from the endpoint that runs there now.
        !self.present.values().any(|other| {
            other.name != record.name
                && other.address == record.address
                && other.incarnation > record.incarnation
        })
    }

    fn evict_address(&mut self, record: &EndpointRecord) {
        let former: Vec<(CompactString, u64)> = self
            .present
            .values()
            .filter(|other| other.name != record.name && other.address == record.address)
            .map(|other| (other.name.to_compact_string(), other.incarnation))
            .collect();
        for (name, incarnation) in former {
            self.present.remove(&name);
            // Part of the change that the announcement is about to make.
            self.push_recent(self.change + 1, name.clone());
            self.mark_departed(name, incarnation);
        }
    }

    fn mark_departed(&mut self, name: CompactString, incarnation: u64) {
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_first();
        }
        let ended = self.departed.entry(name).or_default();
        *ended = incarnation.max(*ended);
    }
}

fn stamp(record: &EndpointRecord) -> Stamp {
    Stamp { incarnation: record.incarnation, sequence: record.sequence }
}

/// Returns `record` with the rule that a start that drains never takes work again.
fn preserve_leaving(known: &EndpointRecord, record: &EndpointRecord) -> EndpointRecord {
    let same = known.incarnation == record.incarnation;
    EndpointRecord { leaving: record.leaving || (same && known.leaving), ..record.clone() }
}
