//! Handles the commands of callers and the messages of other VMs.

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{
    Effect, Input, LogIndex, MemberChange, Members, Refusal, Restored,
};
use gypsumglade_core::wire::replication as wire;
use gypsumglade_core::wire::replication::message::Body;
use prost::Message;
use tokio::sync::oneshot;

use super::engine::{Engine, PendingSnapshot};
use super::event::{ChangeError, DiskShortage, HostStatus, MemoryUsage, ProposeError, ReadError};
use super::group::{Group, Reply, Waiter};
use super::storage::Storage;
use crate::disk::{Job, JobWrite, RestoredGroup, Snapshot};

impl Engine {
    pub(super) fn create(
        &mut self,
        group: GroupId,
        members: Vec<VmId>,
        reply: oneshot::Sender<bool>,
    ) {
        if self.failed.is_some() || self.groups.contains_key(&group) {
            let _ = reply.send(self.failed.is_none());
            return;
        }
        self.pending_creates.push((group, reply));
        self.add_replica(group, Restored::new_group(Members::from_voters(members)));
    }

    /// Starts a replica that isn't on disk yet, and writes its initial state.
    fn add_replica(&mut self, group: GroupId, state: Restored) {
        let snapshot = Snapshot {
            position: state.snapshot,
            members: state.members.clone(),
            data: Bytes::new(),
            saved: 0,
            reset: true,
        };
        self.restore(RestoredGroup::empty(group, state));
        self.submit(Job { group, sequence: None, write: JobWrite::Snapshot(snapshot) });
        self.process_completed();
    }

    pub(super) fn propose(
        &mut self,
        group: GroupId,
        data: Bytes,
        reply: oneshot::Sender<Result<LogIndex, ProposeError>>,
    ) {
        match self.groups.get_mut(&group) {
            Some(found) if self.failed.is_none() => {
                if found.proposals.is_empty() {
                    self.proposing.push(group);
                }
                found.proposals.push((data, Reply::Propose(reply)));
            }
            _ => drop(reply.send(Err(ProposeError::NotLeader { hint: None }))),
        }
    }

    /// Appends the commands queued since the last call, with one write for each group.
    pub(super) fn propose_pending(&mut self) {
        for id in std::mem::take(&mut self.proposing) {
            let Some(group) = self.groups.get_mut(&id) else {
                continue;
            };
            let proposals = std::mem::take(&mut group.proposals);
            let (commands, replies): (Vec<_>, Vec<_>) = proposals.into_iter().unzip();
            self.append(id, Input::Propose { commands }, replies);
        }
    }

    /// Steps the replica with a proposal or membership change, and registers the callers as waiters.
    fn append(&mut self, id: GroupId, input: Input, replies: Vec<Reply>) {
        let now = self.now();
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let mut effects = std::mem::take(&mut self.effects);
        group.replica.step(now, &self.links, input, &mut effects);
        let answer = effects
            .iter()
            .position(|effect| matches!(effect, Effect::Accepted { .. } | Effect::Refused(_)));
        match answer.map(|at| effects.remove(at)) {
            Some(Effect::Accepted { first, term }) => {
                for (index, reply) in (first.0..).map(LogIndex).zip(replies) {
                    group.waiters.push_back(Waiter { index, term, reply });
                }
            }
            Some(Effect::Refused(refusal)) => refuse(refusal, replies),
            _ => {}
        }
        self.carry_out(id, effects);
        self.process_completed();
    }

    pub(super) fn read(
        &mut self,
        id: GroupId,
        reply: oneshot::Sender<Result<LogIndex, ReadError>>,
    ) {
        self.last_token += 1;
        let token = self.last_token;
        match self.groups.get_mut(&id) {
            Some(group) if self.failed.is_none() => {
                group.reads.insert(token, reply);
                self.step(id, Input::Read { token });
            }
            _ => drop(reply.send(Err(ReadError::NotLeader { hint: None }))),
        }
    }

    pub(super) fn change(
        &mut self,
        id: GroupId,
        change: MemberChange,
        reply: oneshot::Sender<Result<LogIndex, ChangeError>>,
    ) {
        if self.failed.is_some() || !self.groups.contains_key(&id) {
            let refusal = Refusal::NotLeader { leader: None };
            let _ = reply.send(Err(ChangeError::Refused(refusal)));
            return;
        }
        self.append(id, Input::ChangeMembers(change), vec![Reply::Change(reply)]);
    }

    pub(super) fn receive(&mut self, from: VmId, batch: Bytes) {
        let Ok(batch) = wire::Batch::decode(batch) else {
            return;
        };
        if self.failed.is_some() {
            return;
        }
        for message in batch.messages {
            let id = GroupId(message.group);
            let from_leader = matches!(message.body, Some(Body::Append(_) | Body::Chunk(_)));
            if from_leader && !self.groups.contains_key(&id) {
                // The leader has added this VM to the group; the members arrive with its snapshot.
                self.add_replica(id, Restored::default());
            }
            self.step(id, Input::Message { from, message });
        }
        if let Some(pulse) = batch.pulse {
            let now = self.now();
            self.links.receive(now, from, &pulse);
        }
    }

    pub(super) fn snapshot(
        &mut self,
        id: GroupId,
        index: LogIndex,
        data: Bytes,
        reply: oneshot::Sender<()>,
    ) {
        // Dropping the reply ends the caller's wait.
        let mark = self.groups.get(&id).and_then(|group| group.new_snapshot_meta(index));
        let Some((position, members)) = mark.filter(|_| self.failed.is_none()) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&id)
            && matches!(self.storage, Storage::Memory)
        {
            group.snapshot = data.clone();
            group.length = data.len() as u64;
        }
        let in_progress =
            self.snapshots.iter().any(|other| other.group == id && other.index == index);
        let bytes = if in_progress { 0 } else { data.len() };
        self.snapshots.push(PendingSnapshot { group: id, index, bytes, reply });
        if in_progress {
            return;
        }
        let snapshot = Snapshot { position, members, data, saved: 0, reset: false };
        self.submit(Job { group: id, sequence: None, write: JobWrite::Snapshot(snapshot) });
        self.process_completed();
    }

    pub(super) fn transfer_all(&mut self, reply: oneshot::Sender<()>) {
        let until = self.now() + self.settings.replication.election_timeout().mul_f64(1.5);
        self.transfers.push((until, reply));
        let ids: Vec<_> = self.groups.keys().copied().collect();
        for id in ids {
            self.step(id, Input::Transfer { to: Vec::new() });
        }
    }

    pub(super) fn finish_transfers(&mut self) {
        if self.transfers.is_empty() {
            return;
        }
        let now = self.now();
        let transferring = self.failed.is_none() && self.groups.values().any(Group::can_transfer);
        for (until, reply) in std::mem::take(&mut self.transfers) {
            if transferring && now < until {
                self.transfers.push((until, reply));
            } else {
                let _ = reply.send(());
            }
        }
    }

    pub(super) fn status(&self, commands: usize) -> HostStatus {
        let now = self.now();
        HostStatus {
            vm: self.settings.vm,
            failed: self.failed.clone(),
            shortage: self.storage.shortage().map(|shortage| DiskShortage {
                file: shortage.file.display().to_compact_string(),
                bytes: shortage.bytes,
                wait_ms: shortage.since.elapsed().as_millis() as u64,
            }),
            groups: self
                .groups
                .values()
                .map(|group| group.replica.status(now, &self.links))
                .collect(),
            held: self.memory_usage(commands),
        }
    }

    fn memory_usage(&self, commands: usize) -> MemoryUsage {
        let groups = self.groups.values();
        let mut usage = MemoryUsage {
            writing: self.snapshots.iter().map(|waiting| waiting.bytes).sum(),
            events: self.events.pending_events(),
            commands,
            inbox: self.inbox.used(),
            ..MemoryUsage::default()
        };
        for group in groups {
            usage.cache += group.tail.cached();
            usage.arriving += group.incoming.len();
            usage.sending += group.snapshot.len();
            usage.sending += group.peer_data.as_ref().map_or(0, |(_, data)| data.len());
        }
        usage
    }
}

/// Answers callers whose entries were not appended.
fn refuse(refusal: Refusal, replies: Vec<Reply>) {
    let hint = match refusal {
        Refusal::NotLeader { leader } => Some(leader),
        _ => None,
    };
    for reply in replies {
        match (reply, hint) {
            (Reply::Change(reply), _) => drop(reply.send(Err(ChangeError::Refused(refusal)))),
            (reply, Some(hint)) => reply.send(Err(ProposeError::NotLeader { hint })),
            (reply, None) => reply.send(Err(ProposeError::Dropped)),
        }
    }
}
