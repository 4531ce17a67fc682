//! Queue of events for the owner, in the order of each group's log.
//!
//! Committed entries are read only when the channel to the owner has room. This bounds memory when a
//! long log is replayed or the owner is slow.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{LogIndex, Term};
use gypsumglade_core::wire::replication::EntryKind;
use tokio::sync::mpsc;

use super::event::Event;
use super::group::Group;
use super::storage::Storage;

/// Bytes of events in the channel at which no further ones are read.
const EVENT_BYTES: usize = 1024 * 1024;

/// An event to deliver, or a range of committed entries.
#[derive(Debug)]
enum Pending {
    Commit { group: GroupId, next: LogIndex, last: LogIndex },
    Event(Event),
}

/// Events that the owner has not received yet.
#[derive(Debug)]
pub(super) struct EventQueue {
    sender: mpsc::Sender<Event>,
    pending: VecDeque<Pending>,
    /// Bytes of each event in the channel, oldest first.
    sent_bytes: VecDeque<usize>,
    /// Last committed index of each group that was queued.
    last_queued: BTreeMap<GroupId, LogIndex>,
}

impl EventQueue {
    pub(super) fn new(sender: mpsc::Sender<Event>) -> EventQueue {
        EventQueue {
            sender,
            pending: VecDeque::new(),
            sent_bytes: VecDeque::new(),
            last_queued: BTreeMap::new(),
        }
    }

    /// Returns the number of events that the owner has not received.
    pub(super) fn pending_events(&self) -> usize {
        let count = |pending: &Pending| match pending {
            Pending::Commit { next, last, .. } => (last.0 + 1).saturating_sub(next.0) as usize,
            Pending::Event(_) => 1,
        };
        self.undelivered() + self.pending.iter().map(count).sum::<usize>()
    }

    /// Sets the index after which the delivery of a group's entries begins.
    pub(super) fn start(&mut self, group: GroupId, index: LogIndex) {
        self.drop_commits(group);
        self.last_queued.insert(group, index);
    }

    pub(super) fn commit(&mut self, group: GroupId, last: LogIndex) {
        let last_queued = self.last_queued.entry(group).or_default();
        if last <= *last_queued {
            return;
        }
        let next = last_queued.next();
        *last_queued = last;
        if let Some(Pending::Commit { group: same, last: end, .. }) = self.pending.back_mut()
            && *same == group
        {
            *end = last;
            return;
        }
        self.pending.push_back(Pending::Commit { group, next, last });
    }

    pub(super) fn restore(&mut self, group: GroupId, index: LogIndex, data: Bytes) {
        self.start(group, index);
        self.pending.push_back(Pending::Event(Event::Restore { group, index, data }));
    }

    pub(super) fn leader(&mut self, group: GroupId, term: Term) {
        self.pending.push_back(Pending::Event(Event::Leader { group, term }));
    }

    pub(super) fn follower(&mut self, group: GroupId, leader: Option<VmId>) {
        self.pending.push_back(Pending::Event(Event::Follower { group, leader }));
    }

    pub(super) fn need_snapshot(&mut self, group: GroupId) {
        self.pending.push_back(Pending::Event(Event::NeedSnapshot { group }));
    }

    /// Replaces all queued events by the event that the host has failed.
    pub(super) fn fail(&mut self, reason: CompactString) {
        self.pending.clear();
        self.pending.push_back(Pending::Event(Event::Failed { reason }));
    }

    /// Resolves when there is something to deliver and room for it.
    pub(super) async fn writable(&self) {
        // If the byte limit is reached, waits until the owner has received one more event.
        let permits = if self.is_full() { self.sender.capacity() + 1 } else { 1 };
        if self.pending.is_empty() || self.sender.reserve_many(permits).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the number of events in the channel.
    fn undelivered(&self) -> usize {
        self.sender.max_capacity() - self.sender.capacity()
    }

    /// Returns whether the events in the channel reach the byte limit.
    fn is_full(&self) -> bool {
        let recent = self.sent_bytes.iter().rev().take(self.undelivered());
        recent.sum::<usize>() >= EVENT_BYTES
    }

    fn record_sent(&mut self, bytes: usize) {
        self.sent_bytes.push_back(bytes);
        let taken = self.sent_bytes.len().saturating_sub(self.undelivered());
        self.sent_bytes.drain(..taken);
    }

    /// Moves events to the channel until it is full. Fails if a committed entry can't be read.
    pub(super) fn deliver(
        &mut self,
        groups: &BTreeMap<GroupId, Group>,
        storage: &mut Storage,
    ) -> anyhow::Result<()> {
        while !self.is_full()
            && let Some(front) = self.pending.front_mut()
        {
            let Ok(permit) = self.sender.try_reserve() else {
                return Ok(());
            };
            let event = match front {
                Pending::Commit { group, next, last } => {
                    let event = committed(groups, storage, *group, *next)?;
                    *next = next.next();
                    if *next > *last {
                        self.pending.pop_front();
                    }
                    event
                }
                Pending::Event(_) => match self.pending.pop_front() {
                    Some(Pending::Event(event)) => Some(event),
                    _ => None,
                },
            };
            if let Some(event) = event {
                let bytes = data_length(&event);
                permit.send(event);
                self.record_sent(bytes);
            }
        }
        Ok(())
    }

    /// Drops a group's queued commits. A snapshot replaces them, and their entries may no longer exist.
    fn drop_commits(&mut self, group: GroupId) {
        self.pending.retain(
            |pending| !matches!(pending, Pending::Commit { group: of, .. } if *of == group),
        );
    }
}

/// Returns the length of an event's data, in bytes.
fn data_length(event: &Event) -> usize {
    match event {
        Event::Committed { data, .. } | Event::Restore { data, .. } => data.len(),
        Event::Leader { .. }
        | Event::Follower { .. }
        | Event::NeedSnapshot { .. }
        | Event::Failed { .. } => 0,
    }
}

/// Reads a committed entry. Returns `None` for internal entries of the log.
fn committed(
    groups: &BTreeMap<GroupId, Group>,
    storage: &mut Storage,
    group: GroupId,
    index: LogIndex,
) -> anyhow::Result<Option<Event>> {
    let Some(found) = groups.get(&group) else {
        return Ok(None);
    };
    let entry = found.entry(storage, index)?;
    if entry.kind() != EntryKind::Command {
        return Ok(None);
    }
    let term = Term(entry.term);
    Ok(Some(Event::Committed { group, index, term, data: entry.data }))
}
