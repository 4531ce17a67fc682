//! What a leader knows of each other replica.

use std::collections::VecDeque;

use super::types::LogIndex;
use crate::prelude::*;

/// How entries flow to one follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// One message at a time until the logs are known to agree.
    Probe {
        /// True while an answer is awaited; a heartbeat's answer ends the wait.
        waiting: bool,
    },
    /// Messages follow one another without a wait, up to the limit in flight.
    Stream,
    /// The follower lacks entries that are compacted.
    Snapshot {
        /// Where the snapshot stands.
        index: LogIndex,
        /// The piece that is awaited.
        offset: u64,
        /// When it was last sent.
        sent: Time,
    },
}

/// What a leader knows of one other replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last index known to be synced there and equal to ours.
    pub(super) matched: LogIndex,
    /// Next index to send.
    pub(super) next: LogIndex,
    pub(super) flow: Flow,
    /// Last index and bytes of each message in flight.
    pub(super) in_flight: VecDeque<(LogIndex, usize)>,
    /// When the latest message was sent that it has answered.
    pub(super) acked: Option<Time>,
    /// The latest read round that it has answered.
    pub(super) round: u64,
    /// Commit index that it has confirmed to know.
    pub(super) commit: LogIndex,
    /// The follower's epoch and the own one that it knew, in its latest answer.
    pub(super) epochs: Option<(u64, u64)>,
    /// When it was last sent a heartbeat.
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

    /// Returns the bytes of entries in flight.
    pub(super) fn in_flight_bytes(&self) -> usize {
        self.in_flight.iter().map(|(_, bytes)| bytes).sum()
    }

    /// Notes any answer of the current term.
    pub(super) fn record_reply(&mut self, sent: Time, round: u64) {
        self.acked = self.acked.max(Some(sent));
        self.round = self.round.max(round);
    }

    /// Tells whether the follower knows all that this leader could tell it.
    pub(super) fn is_idle(&self, last: LogIndex, commit: LogIndex) -> bool {
        self.flow == Flow::Stream && self.matched == last && self.commit == commit
    }

    /// Notes that the logs agree up to `index`. Returns whether that is news.
    pub(super) fn record_match(&mut self, index: LogIndex) -> bool {
        while self.in_flight.front().is_some_and(|&(last, _)| last <= index) {
            self.in_flight.pop_front();
        }
        let news = index > self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        news
    }

    /// Starts over from `next`, one message at a time.
    pub(super) fn probe(&mut self, next: LogIndex) {
        self.next = next.max(self.matched.next());
        self.flow = Flow::Probe { waiting: false };
        self.in_flight.clear();
    }

    /// Lets messages follow one another.
    pub(super) fn stream(&mut self) {
        self.next = self.matched.next();
        self.flow = Flow::Stream;
        self.in_flight.clear();
    }
}
