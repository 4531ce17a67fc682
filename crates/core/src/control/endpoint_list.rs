//! A versioned list of endpoints that is passed on in pages.
//!
//! Each change of the list has a number, and each endpoint carries the number of its last change. A
//! process that is behind fetches the changes after those that it knows, in pages and from any process
//! that knows later ones. See docs/design/fleet.md.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;
use crate::wire::control::{EndpointNews, EndpointRecord, Removal};

/// Maximum number of removals that are kept. A process that lacks older ones fetches the whole list.
const MAX_REMOVALS: usize = 16_384;

/// Maximum number of changes in one page, some 40 KB.
pub const PAGE_CHANGES: usize = 256;

/// The endpoints as of a change.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    present: BTreeMap<CompactString, EndpointRecord>,
    /// Name of each endpoint by its last change.
    by_change: BTreeMap<u64, CompactString>,
    /// Latest removals by their change.
    removals: BTreeMap<u64, CompactString>,
    /// Removals up to this change are not known.
    forgotten: u64,
    change: u64,
    /// Change from which on this list was told of each removal.
    since: u64,
    /// Change with which the pages of the whole list are complete.
    goal: u64,
    /// Endpoints from before the whole list was fetched again, and which it hasn't confirmed yet.
    unconfirmed: BTreeSet<CompactString>,
}

/// Effect of a page on a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListChanges {
    /// Names of endpoints that were added or changed.
    pub changed: Vec<CompactString>,
    /// Records that were removed, or replaced by another incarnation.
    pub ended: Vec<EndpointRecord>,
}

impl EndpointList {
    /// Returns the number of the last change, which only grows.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Returns the change after which a query for further changes needs each removal.
    pub fn since(&self) -> u64 {
        self.since.max(self.change)
    }

    /// Returns `true` unless pages of the whole list are missing.
    pub fn is_complete(&self) -> bool {
        self.change >= self.goal
    }

    /// Returns the endpoint with this name, if it is on the list.
    pub fn get(&self, name: &str) -> Option<&EndpointRecord> {
        self.present.get(name)
    }

    /// Returns all endpoints, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.present.values()
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.present.len()
    }

    /// Returns `true` if no endpoint is on the list.
    pub fn is_empty(&self) -> bool {
        self.present.is_empty()
    }

    /// Adds an endpoint or replaces its record, as the next change.
    pub(super) fn insert(&mut self, record: EndpointRecord) {
        self.change += 1;
        self.put(EndpointRecord { change: self.change, ..record });
    }

    /// Removes an endpoint, as the next change.
    pub(super) fn remove(&mut self, name: &str) -> Option<EndpointRecord> {
        let removed = self.take(name)?;
        self.change += 1;
        self.record_removal(self.change, removed.name.to_compact_string());
        Some(removed)
    }

    /// Restores a list from the records of a snapshot, which has no removals.
    ///
    /// Records of earlier releases have no change; they get numbers in the order of their names, which
    /// are the same on every replica.
    pub(super) fn restore(records: &[EndpointRecord], change: u64) -> EndpointList {
        let mut list = EndpointList { change, forgotten: change, ..EndpointList::default() };
        let numbered = records.iter().all(|record| record.change != 0);
        for (record, number) in records.iter().zip(1..) {
            let change = if numbered { record.change } else { number };
            list.put(EndpointRecord { change, ..record.clone() });
        }
        list
    }

    /// Returns up to `most` changes after change `seen`.
    ///
    /// `since` is the change after which the asker has to be told of each removal. If some of these
    /// removals are not known, the page is the first one of the whole list.
    pub fn page(&self, seen: u64, since: u64, most: usize) -> EndpointNews {
        let delta = seen != 0 && seen <= self.change && since.max(seen) >= self.forgotten;
        let after = if delta { seen + 1 } else { 1 };
        let mut endpoints = self.by_change.range(after..).peekable();
        let mut removals = self.removals.range(after..).peekable();
        let mut news = EndpointNews {
            change: self.change,
            latest: self.change,
            forgotten: self.forgotten,
            delta,
            ..EndpointNews::default()
        };
        let mut last = 0;
        for _ in 0..most {
            let next_endpoint = endpoints.peek().map(|(change, _)| **change);
            let next_removal = removals.peek().map(|(change, _)| **change);
            match (next_endpoint, next_removal) {
                (None, None) => return news,
                (Some(change), removal) if removal.is_none_or(|removal| change < removal) => {
                    let found = endpoints.next().and_then(|(_, name)| self.present.get(name));
                    news.endpoints.extend(found.cloned());
                    last = change;
                }
                (_, Some(change)) => {
                    let name = removals.next().map(|(_, name)| name.to_string());
                    news.removed.push(Removal { name: name.unwrap_or_default(), change });
                    last = change;
                }
                (Some(_), None) => {}
            }
        }
        if endpoints.peek().is_some() || removals.peek().is_some() {
            news.change = last;
        }
        news
    }

    /// Takes in a page that answers a query for the changes after [`EndpointList::change`].
    pub fn merge(&mut self, news: &EndpointNews) -> ListChanges {
        if news.delta {
            // A process that knows fewer changes than the one that sent the first page may list
            // endpoints which that one knew to be gone.
            self.since = self.since.min(news.latest).max(news.change);
            if news.forgotten > self.change {
                self.forgotten = self.forgotten.max(news.forgotten);
            }
        } else {
            self.begin_again(news);
        }
        let mut changes = ListChanges::default();
        for removal in &news.removed {
            let outdated = self
                .present
                .get(removal.name.as_str())
                .filter(|known| known.change < removal.change);
            if outdated.is_some() {
                changes.ended.extend(self.take(&removal.name));
            }
            self.record_removal(removal.change, removal.name.to_compact_string());
        }
        for record in &news.endpoints {
            let before = self.put(record.clone());
            changes.ended.extend(before.filter(|old| old.incarnation != record.incarnation));
            changes.changed.push(record.name.to_compact_string());
        }
        self.change = news.change;
        if self.is_complete() {
            for name in std::mem::take(&mut self.unconfirmed) {
                changes.ended.extend(self.take(&name));
            }
        }
        changes
    }

    /// Prepares for the pages of a whole list. The endpoints stay until the last page has shown which
    /// of them are gone.
    fn begin_again(&mut self, news: &EndpointNews) {
        self.unconfirmed = self.present.keys().cloned().collect();
        self.by_change.clear();
        self.removals.clear();
        self.forgotten = news.forgotten;
        self.since = news.latest;
        self.goal = news.latest;
    }

    fn put(&mut self, record: EndpointRecord) -> Option<EndpointRecord> {
        let name = record.name.to_compact_string();
        self.unconfirmed.remove(&name);
        self.by_change.insert(record.change, name.clone());
        let before = self.present.insert(name, record);
        if let Some(before) = &before {
            self.unlist(before);
        }
        before
    }

    fn take(&mut self, name: &str) -> Option<EndpointRecord> {
        let record = self.present.remove(name)?;
        self.unlist(&record);
        self.unconfirmed.remove(name);
        Some(record)
    }

    /// Removes the earlier change of an endpoint, unless another endpoint has that number now.
    fn unlist(&mut self, record: &EndpointRecord) {
        let current = self.present.get(record.name.as_str());
        if current.is_some_and(|current| current.change == record.change) {
            return;
        }
        if self.by_change.get(&record.change).is_some_and(|name| *name == record.name) {
            self.by_change.remove(&record.change);
        }
    }

    fn record_removal(&mut self, change: u64, name: CompactString) {
        self.removals.insert(change, name);
        if self.removals.len() > MAX_REMOVALS
            && let Some((oldest, _)) = self.removals.pop_first()
        {
            self.forgotten = self.forgotten.max(oldest);
        }
    }
}
