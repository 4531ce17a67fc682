//! Replicated registry of endpoints.
//!
//! An endpoint's draining is committed before it is acknowledged, so that it survives the loss of
//! the leader.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::prelude::*;
use crate::wire::control::{Deregister, EndpointNews, EndpointRecord, Snapshot};

/// Maximum number of departed endpoints that are remembered to reject late announcements.
const MAX_DEPARTED: usize = 4_096;

/// Maximum number of recent changes that are sent as a delta. A client that is further behind gets
/// all endpoints.
const MAX_RECENT: usize = 1_024;

/// Order of the announcements of one endpoint: by incarnation, then by sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Stamp {
    incarnation: u64,
    sequence: u64,
}

/// The endpoints that are registered and haven't left or expired.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    present: BTreeMap<CompactString, EndpointRecord>,
    /// Last incarnation of departed endpoints, so that a late announcement doesn't register one
    /// again.
    departed: BTreeMap<CompactString, u64>,
    change: u64,
    /// The latest changes, oldest first. Not part of a snapshot, so empty after a restore.
    recent: VecDeque<RecentChange>,
}

/// An endpoint that a recent change added, updated or removed.
#[derive(Clone, Debug)]
struct RecentChange {
    change: u64,
    name: CompactString,
}

impl Endpoints {
    /// Returns the number of the last change, which only grows.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Returns the endpoint with this name, if it is registered.
    pub fn get(&self, name: &str) -> Option<&EndpointRecord> {
        self.present.get(name)
    }

    /// Returns all endpoints, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.present.values()
    }

    /// Returns the changes after change `seen`, or all endpoints if these are no longer known.
    ///
    /// Deltas keep the traffic low while endpoints are replaced one after another and every entry
    /// VM asks after each change.
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

    /// Returns the endpoints that changed after `seen`, or `None` if some of these changes are no
    /// longer known.
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

    /// Returns `true` if an announcement must be committed: it isn't outdated, and differs from the
    /// registered endpoint in more than its sequence number.
    ///
    /// Most announcements only renew a lease, which the leader keeps in memory. Committing each
    /// would cost a disk sync.
    pub fn is_update(&self, record: &EndpointRecord) -> bool {
        if !self.accepts(record) {
            return false;
        }
        let Some(known) = self.present.get(record.name.as_str()) else { return true };
        let unchanged = EndpointRecord { sequence: record.sequence, ..known.clone() };
        unchanged != preserve_leaving(known, record)
    }

    /// Applies an announcement. One that is older than the registered state changes nothing.
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

    /// Removes an endpoint unless a later incarnation of it is registered, and ignores later
    /// announcements of the removed incarnation.
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
        // An address belongs to the latest incarnation that announced it. An announcement that was
        // delayed by a partition must not evict the endpoint that uses the address now.
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
            // The caller makes this change when it inserts the record.
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

/// Returns `record`, still leaving if the known record of the same incarnation is: an endpoint that
/// drains never takes work again.
fn preserve_leaving(known: &EndpointRecord, record: &EndpointRecord) -> EndpointRecord {
    let same = known.incarnation == record.incarnation;
    EndpointRecord { leaving: record.leaving || (same && known.leaving), ..record.clone() }
}
