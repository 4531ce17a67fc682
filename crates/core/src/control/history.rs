//! The current revision and earlier ones, each stored as a delta from its successor.
//!
//! The control group keeps revisions to roll back to. An entry VM that relays bundles keeps a few,
//! so that VMs slightly behind can fetch a delta.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use prost::Message;

use super::Revision;
use super::{delta, packed};
use crate::prelude::*;
use crate::wire::control as wire;

/// Maximum total size of the stored deltas, in bytes. Contents that have nothing in common make large
/// ones.
const MAX_PAST_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of revisions that a client may be behind and still get a delta. Restoring its
/// base costs one delta for each.
const MAX_DELTA_DISTANCE: usize = 16;

/// An earlier revision.
#[derive(Clone, Debug, PartialEq)]
struct Past {
    /// Without its content, which `backward` restores from the successor's content.
    revision: Revision,
    backward: wire::Delta,
    /// Encoded size of `backward`.
    bytes: usize,
}

impl Past {
    fn new(revision: Revision, backward: wire::Delta) -> Past {
        let bytes = backward.encoded_len();
        Past { revision, backward, bytes }
    }
}

/// The newest revisions in ascending order. Numbers may be missing.
#[derive(Clone, Debug)]
pub struct History {
    current: Option<Revision>,
    past: VecDeque<Past>,
    max_past: usize,
    /// Updates to the current revision by the revision that they start from, since many clients ask
    /// for the same one.
    updates: RefCell<BTreeMap<RevisionNumber, wire::Update>>,
}

impl History {
    /// Creates an empty history that keeps at most `max_past` earlier revisions.
    pub fn new(max_past: usize) -> History {
        let updates = RefCell::default();
        History { current: None, past: VecDeque::new(), max_past, updates }
    }

    /// Returns the newest revision, or `None` before the first.
    pub fn current(&self) -> Option<&Revision> {
        self.current.as_ref()
    }

    /// Returns the number of the newest revision, or zero before the first.
    pub fn number(&self) -> RevisionNumber {
        self.current.as_ref().map_or_else(RevisionNumber::default, |current| current.number)
    }

    /// Adds a revision, unless it isn't newer than the current one.
    pub fn push(&mut self, revision: Revision) {
        if revision.number <= self.number() {
            return;
        }
        self.replace(revision);
    }

    /// Makes `revision` the current one without checking its number.
    pub(super) fn replace(&mut self, revision: Revision) {
        if let Some(mut before) = self.current.take() {
            let backward = delta::diff(&revision.content, &before.content);
            before.content = Bytes::new();
            self.past.push_back(Past::new(before, backward));
        }
        self.current = Some(revision);
        self.updates.get_mut().clear();
        while self.past.len() > self.max_past || self.past_bytes() > MAX_PAST_BYTES {
            self.past.pop_front();
        }
    }

    fn past_bytes(&self) -> usize {
        self.past.iter().map(|past| past.bytes).sum()
    }

    /// Returns how many revisions a stored one is behind the current one.
    fn distance(&self, number: RevisionNumber) -> Option<usize> {
        if self.number() == number {
            return Some(0);
        }
        let index = self.past.iter().rev().position(|past| past.revision.number == number)?;
        Some(index + 1)
    }

    /// Returns a stored revision with its content.
    pub fn find(&self, number: RevisionNumber) -> Option<Revision> {
        let current = self.current.as_ref()?;
        let distance = self.distance(number)?;
        let mut content = current.content.clone();
        let mut found = current;
        for past in self.past.iter().rev().take(distance) {
            content = delta::apply(&content, &past.backward)?;
            found = &past.revision;
        }
        Some(Revision { content, ..found.clone() })
    }

    /// Returns the update for a VM at revision `since`: a delta if that revision is still stored,
    /// the whole content otherwise. Returns `None` if there is nothing newer.
    pub fn update(&self, since: RevisionNumber) -> Option<wire::Update> {
        let current = self.current.as_ref().filter(|current| current.number > since)?;
        let near = self.distance(since).filter(|distance| *distance <= MAX_DELTA_DISTANCE);
        // All clients whose revision isn't stored get the same update.
        let since = near.map_or(RevisionNumber::default(), |_| since);
        if let Some(update) = self.updates.borrow().get(&since) {
            return Some(update.clone());
        }
        let update = self.new_update(current, since);
        self.updates.borrow_mut().insert(since, update.clone());
        Some(update)
    }

    /// Returns the update from `since`, or with the whole content if that revision isn't stored.
    fn new_update(&self, current: &Revision, since: RevisionNumber) -> wire::Update {
        let base = self.find(since);
        let change = match &base {
            Some(base) => delta::diff(&base.content, &current.content),
            None => packed::whole(&current.content),
        };
        let without_content = wire::Revision { content: Bytes::new(), ..current.to_wire() };
        if let Some(packed) = packed::pack(&change) {
            return wire::Update { revision: Some(without_content), delta: None, packed };
        }
        let (revision, delta) = match base {
            Some(_) => (without_content, Some(change)),
            None => (current.to_wire(), None),
        };
        wire::Update { revision: Some(revision), delta, packed: Bytes::new() }
    }

    /// Returns the revision of an update, with a delta applied to the current content.
    ///
    /// Returns `None` if the update is malformed or its digest doesn't match; the whole content
    /// must be fetched then. Signatures aren't checked, see [`Revision::verify`].
    pub fn resolve(&self, update: wire::Update) -> Option<Revision> {
        let mut revision = Revision::from_wire(update.revision?)?;
        let change = match update.packed.is_empty() {
            true => update.delta,
            false => Some(packed::unpack(&update.packed)?),
        };
        if let Some(change) = change {
            let base = self.current.as_ref().map(|current| &current.content);
            revision.content = delta::apply(base.unwrap_or(&Bytes::new()), &change)?;
        }
        let intact = crate::bundle::Digest::of(&revision.content) == revision.digest;
        intact.then_some(revision)
    }

    /// Returns the current revision and the past ones as snapshot messages.
    pub(super) fn to_wire(&self) -> (Option<wire::Revision>, Vec<wire::Past>) {
        let past = self.past.iter().map(|past| wire::Past {
            revision: Some(past.revision.to_wire()),
            backward: Some(past.backward.clone()),
        });
        (self.current.as_ref().map(Revision::to_wire), past.collect())
    }

    /// Restores the history from snapshot messages, or returns `None` if one is malformed.
    pub(super) fn from_wire(
        max_past: usize,
        current: Option<wire::Revision>,
        past: Vec<wire::Past>,
    ) -> Option<History> {
        let mut history = History::new(max_past);
        for past in past {
            let revision = Revision::from_wire(past.revision?)?;
            history.past.push_back(Past::new(revision, past.backward?));
        }
        let Some(current) = current else { return Some(history) };
        let current = Revision::from_wire(current)?;
        if let Some(last) = history.past.back() {
            delta::apply(&current.content, &last.backward)?;
        }
        history.current = Some(current);
        Some(history)
    }
}
