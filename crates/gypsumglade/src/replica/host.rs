//! The handle to the replicas of a VM.

use std::sync::Arc;
use std::time::Instant;

use anyhow::{Context, bail};
use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{LogIndex, MemberChange, Term};
use tokio::sync::{mpsc, oneshot};

use super::budget::ByteBudget;
use super::engine::{self, Command};
use super::event::{ChangeError, Event, HostStatus, Outbound, ProposeError, ReadError};
use super::settings::HostSettings;
use crate::metrics::CommitLatency;

/// Maximum bytes of batches and proposals in the inbox of the replica thread. Bounds memory while that
/// thread is stalled.
const INBOX_BYTES: usize = 8 * 1024 * 1024;
/// Capacity of the event channel to the owner.
const EVENT_BACKLOG: usize = 1024;

/// Handle to the replicas of one VM. Clones share them; dropping the last clone stops the replicas.
#[derive(Clone, Debug)]
pub struct Host {
    commands: mpsc::UnboundedSender<Command>,
    commits: Option<CommitLatency>,
    inbox: Arc<ByteBudget>,
}

impl Host {
    /// Opens the data folder and resumes its groups. Batches for other VMs are sent to `outbound`.
    pub async fn start(
        settings: HostSettings,
        outbound: mpsc::Sender<Outbound>,
    ) -> anyhow::Result<(Host, mpsc::Receiver<Event>)> {
        let (commands, inbox) = mpsc::unbounded_channel();
        let (events, receiver) = mpsc::channel(EVENT_BACKLOG);
        let (ready, opened) = oneshot::channel();
        let weak_commands = commands.downgrade();
        let commits = settings.commits.clone();
        let waiting = Arc::new(ByteBudget::new(INBOX_BYTES));
        let bytes = Arc::clone(&waiting);
        let run =
            move || engine::run(settings, outbound, events, (inbox, bytes), weak_commands, ready);
        std::thread::Builder::new().name("replicas".to_owned()).spawn(run)?;
        opened.await.context("the replica thread ended before it started")??;
        Ok((Host { commands, commits, inbox: waiting }, receiver))
    }

    /// Creates a group's replica on this VM, unless it exists.
    ///
    /// Each initial member must call this with the same members. A replica that joins later is created by
    /// the first message of its leader.
    pub async fn create(&self, group: GroupId, members: Vec<VmId>) -> anyhow::Result<()> {
        let created = self.ask(|reply| Command::Create { group, members, reply }).await;
        match created {
            Some(true) => Ok(()),
            _ => bail!("{group} was not created: the disk failed; restart the process"),
        }
    }

    /// Appends a command, and returns its index once it is committed, that is, synced by a quorum.
    pub async fn propose(&self, group: GroupId, data: Bytes) -> Result<LogIndex, ProposeError> {
        let started = Instant::now();
        let outcome = if self.inbox.try_acquire(data.len()) {
            let reply = self.ask(|reply| Command::Propose { group, data, reply }).await;
            reply.unwrap_or(Err(ProposeError::Uncertain))
        } else {
            Err(ProposeError::Dropped)
        };
        if let Some(commits) = &self.commits {
            commits.record(group, started.elapsed(), outcome_name(outcome));
        }
        outcome
    }

    /// Returns the index that must be applied before a read, so that it sees all earlier commits.
    pub async fn read_barrier(&self, group: GroupId) -> Result<LogIndex, ReadError> {
        let reply = self.ask(|reply| Command::Read { group, reply }).await;
        reply.unwrap_or(Err(ReadError::NotLeader { hint: None }))
    }

    /// Returns the term in which this VM's replica holds the leader lease of the group, or `None` if it
    /// doesn't hold it.
    ///
    /// Call it after the work and before the answer, and compare the term with the one from before:
    /// another VM may have led between two terms of the same leader.
    pub async fn lease_term(&self, group: GroupId) -> Option<Term> {
        self.ask(|reply| Command::Lease { group, reply }).await.flatten()
    }

    /// Queues a batch from the host of another VM. Drops it if the inbox is full; the sender repeats
    /// messages that aren't answered.
    pub fn receive(&self, from: VmId, batch: Bytes) {
        if !self.inbox.try_acquire(batch.len()) {
            return;
        }
        // The host may have stopped.
        let _ = self.commands.send(Command::Receive { from, batch });
    }

    /// Stores a snapshot of a state machine that has applied all entries up to `index`. Entries that it
    /// covers may be dropped once it is synced.
    pub async fn snapshot(&self, group: GroupId, index: LogIndex, data: Bytes) {
        self.ask(|reply| Command::Snapshot { group, index, data, peer_data: None, reply }).await;
    }

    /// Stores a snapshot as [`Host::snapshot`] does, but sends `peer_data` to other VMs instead. Their
    /// owners must be able to do without the rest, or to fetch it.
    pub async fn snapshot_with_peer_data(
        &self,
        group: GroupId,
        index: LogIndex,
        data: Bytes,
        peer_data: Bytes,
    ) {
        self.ask(|reply| Command::Snapshot {
            group,
            index,
            data,
            peer_data: Some(peer_data),
            reply,
        })
        .await;
    }

    /// Transfers the leadership of every group to other VMs. Returns once all transfers are done or have
    /// timed out.
    pub async fn transfer_all(&self) {
        self.ask(|reply| Command::TransferAll { reply }).await;
    }

    /// Starts to transfer the leadership of a group, if this VM leads it and another voter is ready.
    /// The next leader is one of `to`, or any voter if that is empty.
    pub fn transfer(&self, group: GroupId, to: Vec<VmId>) {
        // The host may have stopped.
        let _ = self.commands.send(Command::Transfer { group, to });
    }

    /// Makes one membership change, and returns its index once it is committed.
    pub async fn change_members(
        &self,
        group: GroupId,
        change: MemberChange,
    ) -> Result<LogIndex, ChangeError> {
        let reply = self.ask(|reply| Command::Change { group, change, reply }).await;
        reply.unwrap_or(Err(ChangeError::Proposal(ProposeError::Uncertain)))
    }

    /// Returns the status of the host and its replicas; the default if it has stopped.
    pub async fn status(&self) -> HostStatus {
        self.ask(|reply| Command::Status { reply }).await.unwrap_or_default()
    }

    /// Stops all replicas, and returns once the data folder is closed.
    pub async fn stop(&self) {
        self.ask(|reply| Command::Stop { reply }).await;
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).ok()?;
        answer.await.ok()
    }
}

fn outcome_name(outcome: Result<LogIndex, ProposeError>) -> &'static str {
    match outcome {
        Ok(_) => "committed",
        Err(ProposeError::NotLeader { .. }) => "not_leader",
        Err(ProposeError::Dropped) => "dropped",
        Err(ProposeError::Uncertain) => "uncertain",
    }
}
