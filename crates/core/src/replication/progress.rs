//! Replication progress of followers, as known to the leader.

use std::collections::VecDeque;

use super::types::LogIndex;
use crate::prelude::*;

/// How entries are sent to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// Sends one message at a time until the logs are known to agree.
    Probe {
        /// Whether a reply is outstanding. The reply to a heartbeat also ends the wait.
        waiting: bool,
    },
    /// Sends messages without waiting for replies, up to the in-flight limits.
    Stream,
    /// Sends a snapshot, since the follower lacks entries that are compacted.
    Snapshot {
        /// Index of the snapshot.
        index: LogIndex,
        /// Offset of the outstanding chunk.
        offset: u64,
        /// When the outstanding chunk was last sent.
        sent: Time,
    },
}

/// Replication progress of one follower.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last index that is known to be synced on the follower and to match the leader's log.
    pub(super) matched: LogIndex,
    /// Next index to send.
    pub(super) next: LogIndex,
    pub(super) flow: Flow,
    /// Last index and size of each entry message in flight.
    pub(super) in_flight: VecDeque<(LogIndex, usize)>,
    /// When the latest message was sent that the follower has acknowledged.
    pub(super) acked: Option<Time>,
    /// Latest round of heartbeats that the follower has confirmed.
    pub(super) round: u64,
    /// Latest commit index that the follower has reported.
    pub(super) commit: LogIndex,
    /// Epochs of the follower's VM and of the leader's VM in the latest reply.
    pub(super) epochs: Option<(u64, u64)>,
    pub(super) last_heartbeat: Time,
}

impl Progress {
    pub(super) fn new(next: LogIndex) -> Progress {
        Progress {
            matched: LogIndex(0),
            next,
            flow: Flow::Probe { waiting: false },
            in_flight: VecDeque::new(),
            acked: None,
            round: 0,
            commit: LogIndex(0),
            epochs: None,
            last_heartbeat: Time::ZERO,
        }
    }

    /// Returns the total size of the entries in flight.
    pub(super) fn in_flight_bytes(&self) -> usize {
        self.in_flight.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Records a reply of the current term.
    pub(super) fn record_reply(&mut self, sent: Time, round: u64) {
        self.acked = self.acked.max(Some(sent));
        self.round = self.round.max(round);
    }

    /// Returns whether the follower has all entries and knows the commit index.
    pub(super) fn is_idle(&self, last: LogIndex, commit: LogIndex) -> bool {
        self.flow == Flow::Stream && self.matched == last && self.commit == commit
    }

    /// Records that the logs match up to `index`. Returns whether `matched` has increased.
    pub(super) fn record_match(&mut self, index: LogIndex) -> bool {
        while self.in_flight.front().is_some_and(|&(last, _)| last <= index) {
            self.in_flight.pop_front();
        }
        let news = index > self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        news
    }

    /// Restarts from `next` with one message at a time.
    pub(super) fn probe(&mut self, next: LogIndex) {
        self.next = next.max(self.matched.next());
        self.flow = Flow::Probe { waiting: false };
        self.in_flight.clear();
    }

    /// Restarts after the last matching entry, without waiting for replies.
    pub(super) fn stream(&mut self) {
        self.next = self.matched.next();
        self.flow = Flow::Stream;
        self.in_flight.clear();
    }
}
