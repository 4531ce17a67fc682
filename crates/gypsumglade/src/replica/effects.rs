//! Carries out the effects that a replica returns.

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Effect, LogIndex, Position, Sequence, Write};
use gypsumglade_core::wire::replication as wire;
use gypsumglade_core::wire::replication::message::Body;

use super::engine::Engine;
use super::event::ReadError;
use crate::disk::{Job, JobWrite};

impl Engine {
    pub(super) fn carry_out(&mut self, id: GroupId, mut effects: Vec<Effect>) {
        for effect in effects.drain(..) {
            self.carry_out_one(id, effect);
        }
        // Reuses the allocation for the next step.
        self.effects = effects;
    }

    fn carry_out_one(&mut self, id: GroupId, effect: Effect) {
        match effect {
            Effect::Persist { sequence, write } => self.persist(id, sequence, write),
            Effect::Send { to, message } => self.outbox.push(to, message),
            Effect::SendEntries { to, message, first, last } => {
                self.send_entries(id, to, message, first, last);
            }
            Effect::SendChunk { to, message } => self.send_chunk(id, to, message),
            Effect::StoreChunk { offset, data, .. } => {
                if let Some(group) = self.groups.get_mut(&id) {
                    group.store_chunk(offset, &data);
                }
            }
            Effect::Commit { index } => self.commit(id, index),
            Effect::Restore { position } => self.handle_restore(id, position),
            Effect::Leader { term } => self.events.leader(id, term),
            Effect::Follower { leader } => self.handle_follower(id, leader),
            Effect::ReadReady { token, index } => self.answer_read(id, token, Ok(index)),
            Effect::ReadRefused { token, leader } => {
                self.answer_read(id, token, Err(ReadError::NotLeader { hint: leader }));
            }
            Effect::NewEpoch => self.links.next_epoch(),
            // Handled by `Engine::append`.
            Effect::Accepted { .. } | Effect::Refused(_) => {}
        }
    }

    fn persist(&mut self, id: GroupId, sequence: Sequence, write: Write) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let write = match write {
            Write::Ballot(ballot) => JobWrite::Ballot(ballot),
            Write::Entries(entries) => {
                group.tail.push(&entries);
                JobWrite::Entries(entries)
            }
            Write::Snapshot { position, members } => {
                JobWrite::Snapshot(group.install(position, &members))
            }
        };
        self.submit(Job { group: id, sequence: Some(sequence), write });
    }

    fn send_entries(
        &mut self,
        id: GroupId,
        to: VmId,
        mut message: wire::Message,
        first: LogIndex,
        last: LogIndex,
    ) {
        let Some(Body::Append(append)) = &mut message.body else {
            return;
        };
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        for index in first.0..=last.0 {
            match group.entry(&mut self.storage, LogIndex(index)) {
                Ok(entry) => append.entries.push(entry),
                Err(error) => return self.fail(format!("{error:#}").into()),
            }
        }
        self.outbox.push(to, message);
    }

    fn send_chunk(&mut self, id: GroupId, to: VmId, mut message: wire::Message) {
        let Some(Body::Chunk(chunk)) = &mut message.body else {
            return;
        };
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        let limit = self.settings.replication.chunk_bytes;
        // A snapshot that can't be read yet is requested again after a later heartbeat.
        let Ok((data, last)) = group.chunk_to_send(&self.storage, chunk.offset, limit) else {
            return;
        };
        chunk.data = data;
        chunk.last = last;
        self.outbox.push_bulk(to, message);
    }

    fn commit(&mut self, id: GroupId, index: LogIndex) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.resolve_waiters(index);
        self.events.commit(id, index);
        if group.wants_snapshot(&self.settings) {
            self.events.need_snapshot(id);
        }
    }

    fn handle_restore(&mut self, id: GroupId, position: Position) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.abandon_waiters(position.index);
        let data = group.snapshot.clone();
        if data.is_empty() {
            return self.events.start(id, position.index);
        }
        self.events.restore(id, position.index, data);
    }

    fn handle_follower(&mut self, id: GroupId, leader: Option<VmId>) {
        let until = self.now() + self.settings.outcome_timeout;
        if let Some(group) = self.groups.get_mut(&id)
            && !group.waiters.is_empty()
        {
            group.outcome_deadline.get_or_insert(until);
        }
        self.events.follower(id, leader);
    }

    fn answer_read(&mut self, id: GroupId, token: u64, result: Result<LogIndex, ReadError>) {
        let reply = self.groups.get_mut(&id).and_then(|group| group.reads.remove(&token));
        if let Some(reply) = reply {
            // The caller may have stopped waiting.
            let _ = reply.send(result);
        }
    }
}
