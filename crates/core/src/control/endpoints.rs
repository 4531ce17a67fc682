//! Replicated registry of endpoints.
//!
//! An endpoint's draining is committed before it is acknowledged, so that it survives the loss of
//! the leader.

use std::collections::HashMap;

use indexmap::IndexMap;

use super::endpoint_list::EndpointList;
use crate::prelude::*;
use crate::wire::control::{Departed, EndpointRecord, Expire, Snapshot};

/// Maximum number of departed endpoints that are remembered to reject late announcements.
const MAX_DEPARTED: usize = 4_096;

/// Order of the announcements of one endpoint: by incarnation, then by sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Stamp {
    incarnation: u64,
    sequence: u64,
}

/// Why an incarnation of an endpoint isn't in the list any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// It said that it leaves, and never comes back.
    Left,
    /// It fell silent, or a later incarnation announced its address. Silence is no departure: it may be
    /// cut off, so a later announcement brings it back.
    Unheard {
        /// Sequence of its last announcement.
        sequence: u64,
        /// Whether it took no new work.
        draining: bool,
    },
}

/// The last incarnation of an endpoint that isn't in the list any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gone {
    incarnation: u64,
    departure: Departure,
}

impl Gone {
    /// Returns the state of an endpoint that is removed without having said that it leaves.
    fn unheard(record: &EndpointRecord) -> Gone {
        let departure = Departure::Unheard { sequence: record.sequence, draining: record.leaving };
        Gone { incarnation: record.incarnation, departure }
    }

    /// Returns `true` if an announcement brings the endpoint back.
    fn allows(&self, record: &EndpointRecord) -> bool {
        if record.incarnation != self.incarnation {
            return record.incarnation > self.incarnation;
        }
        match self.departure {
            Departure::Left => false,
            Departure::Unheard { sequence, .. } => record.sequence > sequence,
        }
    }

    /// Returns `true` if this incarnation was draining, which it does until it restarts.
    fn is_draining(&self, incarnation: u64) -> bool {
        let draining = matches!(self.departure, Departure::Unheard { draining: true, .. });
        draining && self.incarnation == incarnation
    }

    fn to_wire(self, name: &str) -> Departed {
        let (sequence, draining) = match self.departure {
            Departure::Left => (None, false),
            Departure::Unheard { sequence, draining } => (Some(sequence), draining),
        };
        Departed { name: name.to_owned(), incarnation: self.incarnation, sequence, draining }
    }

    fn from_wire(departed: &Departed) -> Gone {
        let departure = match departed.sequence {
            Some(sequence) => Departure::Unheard { sequence, draining: departed.draining },
            None => Departure::Left,
        };
        Gone { incarnation: departed.incarnation, departure }
    }
}

/// The endpoints that are registered and haven't left or expired.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    list: EndpointList,
    /// Name of the endpoint at each address. Without it, each announcement would walk all endpoints.
    by_address: HashMap<CompactString, CompactString>,
    /// Departed endpoints, the longest gone first, so that a late announcement doesn't register one
    /// again.
    departed: IndexMap<CompactString, Gone>,
}

impl Endpoints {
    /// Returns the list of the registered endpoints.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Returns the number of the last change, which only grows.
    pub fn change(&self) -> u64 {
        self.list.change()
    }

    /// Returns the endpoint with this name, if it is registered.
    pub fn get(&self, name: &str) -> Option<&EndpointRecord> {
        self.list.get(name)
    }

    /// Returns the last incarnation of an endpoint, whether it is registered or not.
    pub fn last_incarnation(&self, name: &str) -> Option<u64> {
        let known = self.get(name).map(|record| record.incarnation);
        known.or_else(|| self.departed.get(name).map(|gone| gone.incarnation))
    }

    /// Returns all endpoints, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.list.iter()
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
        self.get(&record.name).is_none_or(|known| !is_renewal(known, record))
    }

    /// Applies an announcement. One that is older than the registered state changes nothing.
    pub fn register(&mut self, record: &EndpointRecord) {
        if !self.is_update(record) {
            return;
        }
        let gone = self.departed.get(record.name.as_str());
        let was_draining = gone.is_some_and(|gone| gone.is_draining(record.incarnation));
        let mut record = match self.get(&record.name) {
            Some(known) => preserve_leaving(known, record),
            None => record.clone(),
        };
        record.leaving |= was_draining;
        self.evict_address(&record);
        self.departed.shift_remove(record.name.as_str());
        let name = record.name.to_compact_string();
        if let Some(known) = self.get(&name) {
            let former = known.address.to_compact_string();
            self.by_address.remove(&former);
        }
        self.by_address.insert(record.address.to_compact_string(), name);
        self.list.insert(record);
    }

    /// Removes an endpoint unless a later incarnation of it is registered, and ignores later
    /// announcements of the removed incarnation.
    pub fn deregister(&mut self, name: &str, incarnation: u64) {
        if self.get(name).is_some_and(|known| known.incarnation > incarnation) {
            return;
        }
        if let Some(removed) = self.list.remove(name) {
            self.by_address.remove(removed.address.as_str());
        }
        let gone = Gone { incarnation, departure: Departure::Left };
        self.mark_departed(name.to_compact_string(), gone);
    }

    /// Removes an endpoint that fell silent, unless it has announced itself since.
    pub fn expire(&mut self, silent: &Expire) {
        let same = self.get(&silent.name).filter(|known| {
            known.incarnation == silent.incarnation && known.sequence <= silent.sequence
        });
        if same.is_none() {
            return;
        }
        let Some(removed) = self.list.remove(&silent.name) else { return };
        self.by_address.remove(removed.address.as_str());
        let last = EndpointRecord { sequence: silent.sequence, ..removed };
        self.mark_departed(silent.name.to_compact_string(), Gone::unheard(&last));
    }

    /// Writes the state into a snapshot.
    pub(super) fn save(&self, snapshot: &mut Snapshot) {
        let departed = self.departed.iter().map(|(name, gone)| gone.to_wire(name));
        snapshot.endpoints = self.iter().cloned().collect();
        snapshot.endpoint_change = self.change();
        snapshot.departed = departed.collect();
    }

    /// Reads the state that [`Endpoints::save`] wrote.
    pub(super) fn load(snapshot: &Snapshot) -> Endpoints {
        let addresses = snapshot.endpoints.iter();
        let addresses = addresses
            .map(|record| (record.address.to_compact_string(), record.name.to_compact_string()));
        let departed = snapshot.departed.iter();
        let departed = departed.map(|gone| (gone.name.to_compact_string(), Gone::from_wire(gone)));
        Endpoints {
            list: EndpointList::restore(&snapshot.endpoints, snapshot.endpoint_change),
            by_address: addresses.collect(),
            departed: departed.collect(),
        }
    }

    fn accepts(&self, record: &EndpointRecord) -> bool {
        let gone = self.departed.get(record.name.as_str());
        if gone.is_some_and(|gone| !gone.allows(record)) {
            return false;
        }
        if self.get(&record.name).is_some_and(|known| stamp(record) <= stamp(known)) {
            return false;
        }
        // An address belongs to the latest incarnation that announced it. An announcement that was
        // delayed by a partition must not evict the endpoint that uses the address now.
        let holder = self.address_holder(record);
        holder.is_none_or(|holder| holder.incarnation <= record.incarnation)
    }

    /// Returns the other endpoint that is registered with the address of `record`.
    fn address_holder(&self, record: &EndpointRecord) -> Option<&EndpointRecord> {
        let name = self.by_address.get(record.address.as_str())?;
        self.get(name).filter(|other| other.name != record.name)
    }

    fn evict_address(&mut self, record: &EndpointRecord) {
        let Some(holder) = self.address_holder(record) else { return };
        let name = holder.name.to_compact_string();
        if let Some(evicted) = self.list.remove(&name) {
            self.mark_departed(name, Gone::unheard(&evicted));
        }
    }

    /// Records a departure, unless a later incarnation has departed.
    fn mark_departed(&mut self, name: CompactString, gone: Gone) {
        let before = self.departed.get(&name);
        if before.is_some_and(|before| before.incarnation > gone.incarnation) {
            return;
        }
        self.departed.shift_remove(&name);
        if self.departed.len() == MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
        self.departed.insert(name, gone);
    }
}

fn stamp(record: &EndpointRecord) -> Stamp {
    Stamp { incarnation: record.incarnation, sequence: record.sequence }
}

/// Returns `true` if an announcement repeats what is known of the endpoint.
pub fn is_renewal(known: &EndpointRecord, announced: &EndpointRecord) -> bool {
    let EndpointRecord { sequence, change, .. } = *announced;
    let unchanged = EndpointRecord { sequence, change, ..known.clone() };
    unchanged == preserve_leaving(known, announced)
}

/// Returns `record`, still leaving if the known record of the same incarnation is: an endpoint that
/// drains never takes work again.
fn preserve_leaving(known: &EndpointRecord, record: &EndpointRecord) -> EndpointRecord {
    let same = known.incarnation == record.incarnation;
    EndpointRecord { leaving: record.leaving || (same && known.leaving), ..record.clone() }
}
