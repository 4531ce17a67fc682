//! Heartbeats, entries and snapshot chunks that a leader sends.

use super::effect::Effect;
use super::links::Links;
use super::progress::{Flow, Progress};
use super::replica::Replica;
use super::types::{LogIndex, Position};
use crate::prelude::*;
use crate::wire::replication as wire;
use crate::wire::replication::message::Body;

impl Replica {
    /// Sends a heartbeat to every follower that needs one, or to every follower if `all` is set.
    pub(super) fn send_heartbeats(
        &mut self,
        now: Time,
        links: &Links,
        all: bool,
        out: &mut Vec<Effect>,
    ) {
        let Some(mut state) = self.leader_state.take() else {
            return;
        };
        for (&to, progress) in &mut state.progress {
            if !all && self.can_skip_heartbeat(now, links, to, progress) {
                continue;
            }
            progress.last_heartbeat = now;
            self.restart_compacted(progress);
            let prev = self.heartbeat_position(progress);
            let append = self.append_message(now, links, prev, state.round);
            self.send(to, Body::Append(append), out);
            self.resend_chunk(now, to, state.round, progress, out);
        }
        self.leader_state = Some(state);
    }

    /// Records the acknowledged pulses that count for this group.
    ///
    /// When an epoch ends, its pulses stop counting until a heartbeat has been acknowledged in the
    /// new epoch. What they have proved must be recorded before, or the lease would be lost
    /// whenever any group of the VM elects a leader.
    pub(super) fn apply_pulse_acks(&mut self, links: &Links) {
        let Some(mut state) = self.leader_state.take() else {
            return;
        };
        for (&vm, progress) in &mut state.progress {
            progress.acked = progress.acked.max(self.pulse_ack(links, vm, progress));
        }
        self.leader_state = Some(state);
    }

    /// Returns whether a follower needs no heartbeat now: pulses of its VM replace it, or the VM is
    /// silent and was sent one recently.
    fn can_skip_heartbeat(&self, now: Time, links: &Links, vm: VmId, progress: &Progress) -> bool {
        let half = self.settings.lease / 2;
        if links.is_silent(now, vm, self.settings.election_timeout()) {
            return now < progress.last_heartbeat + half;
        }
        self.pulse_ack(links, vm, progress).is_some_and(|sent| now < sent + half)
            && progress.is_idle(self.log.last().index, self.commit)
    }

    /// Sends each follower the entries that it lacks, as far as the limits allow.
    pub(super) fn replicate(&mut self, now: Time, links: &Links, out: &mut Vec<Effect>) {
        let Some(mut state) = self.leader_state.take() else {
            return;
        };
        let last = self.log.last().index;
        for (&to, progress) in &mut state.progress {
            while progress.next <= last && self.may_send(progress) {
                self.send_entries(now, links, to, state.round, progress, out);
            }
        }
        self.leader_state = Some(state);
    }

    fn may_send(&self, progress: &Progress) -> bool {
        match progress.flow {
            Flow::Probe { waiting } => !waiting,
            Flow::Stream => {
                progress.in_flight.len() < self.settings.in_flight
                    && progress.in_flight_bytes() < self.settings.in_flight_bytes
            }
            Flow::Snapshot { .. } => false,
        }
    }

    fn send_entries(
        &self,
        now: Time,
        links: &Links,
        to: VmId,
        round: u64,
        progress: &mut Progress,
        out: &mut Vec<Effect>,
    ) {
        let index = LogIndex(progress.next.0 - 1);
        let Some(term) = self.log.term(index) else {
            let index = self.log.snapshot().index;
            progress.flow = Flow::Snapshot { index, offset: 0, sent: now };
            return self.send_chunk(now, to, round, progress, out);
        };
        let (last, bytes) = self.log.batch(progress.next, self.settings.batch_bytes);
        let append = self.append_message(now, links, Position { index, term }, round);
        let message = self.envelope(Body::Append(append));
        out.push(Effect::SendEntries { to, message, first: progress.next, last });
        match &mut progress.flow {
            Flow::Probe { waiting } => *waiting = true,
            Flow::Stream => {
                progress.in_flight.push_back((last, bytes));
                progress.next = last.next();
            }
            Flow::Snapshot { .. } => {}
        }
    }

    /// Sends the outstanding chunk again if it was not acknowledged within a lease.
    fn resend_chunk(
        &self,
        now: Time,
        to: VmId,
        round: u64,
        progress: &mut Progress,
        out: &mut Vec<Effect>,
    ) {
        if let Flow::Snapshot { sent, .. } = progress.flow
            && now >= sent + self.settings.lease
        {
            self.send_chunk(now, to, round, progress, out);
        }
    }

    fn send_chunk(
        &self,
        now: Time,
        to: VmId,
        round: u64,
        progress: &mut Progress,
        out: &mut Vec<Effect>,
    ) {
        let Flow::Snapshot { index, offset, .. } = progress.flow else {
            return;
        };
        // If a newer snapshot has replaced the one being sent, start over with its first chunk.
        let position = self.log.snapshot();
        let offset = if position.index == index { offset } else { 0 };
        progress.flow = Flow::Snapshot { index: position.index, offset, sent: now };
        let members = self.log.members_at(position.index).to_wire();
        let chunk = wire::Chunk {
            index: position.index.0,
            term: position.term.0,
            members: Some(members),
            offset,
            sent: now.0,
            round,
            ..wire::Chunk::default()
        };
        out.push(Effect::SendChunk { to, message: self.envelope(Body::Chunk(chunk)) });
    }

    /// Restarts from the last match if the entry before the next one is compacted.
    ///
    /// All messages in flight may have been lost, and a heartbeat can't ask about a compacted
    /// entry. The in-flight window would stay full and the follower would never receive another
    /// entry.
    fn restart_compacted(&self, progress: &mut Progress) {
        let sends_entries = matches!(progress.flow, Flow::Probe { .. } | Flow::Stream);
        if sends_entries && self.log.term(LogIndex(progress.next.0 - 1)).is_none() {
            progress.probe(progress.matched.next());
        }
    }

    /// Returns the position up to which a heartbeat assumes that the logs agree.
    ///
    /// A follower that disagrees refuses it, which reveals the loss of the last messages in flight.
    fn heartbeat_position(&self, progress: &Progress) -> Position {
        let index = LogIndex(progress.next.0 - 1);
        match (progress.flow, self.log.term(index)) {
            (Flow::Snapshot { .. }, _) | (_, None) => Position::default(),
            (_, Some(term)) => Position { index, term },
        }
    }

    fn append_message(&self, now: Time, links: &Links, prev: Position, round: u64) -> wire::Append {
        wire::Append {
            prev_index: prev.index.0,
            prev_term: prev.term.0,
            commit: self.commit.0,
            sent: now.0,
            round,
            epoch: links.epoch(),
            ..wire::Append::default()
        }
    }

    /// Sends the next chunk, or returns to entries once the follower has installed the snapshot.
    pub(super) fn advance_chunk(
        &self,
        now: Time,
        to: VmId,
        reply: &wire::ChunkReply,
        round: u64,
        progress: &mut Progress,
        out: &mut Vec<Effect>,
    ) {
        if reply.installed {
            progress.record_match(LogIndex(reply.index));
        }
        let Flow::Snapshot { index, offset, .. } = progress.flow else {
            return;
        };
        if progress.matched >= index {
            return progress.stream();
        }
        if reply.index != index.0 || reply.offset == offset {
            return;
        }
        progress.flow = Flow::Snapshot { index, offset: reply.offset, sent: now };
        self.send_chunk(now, to, round, progress, out);
    }
}
