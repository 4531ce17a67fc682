//! The handle to a VM's replicas.

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

/// Bytes of batches and proposals that may wait for the replicas. They wait while the processor or the
/// disk's thread stands still, and could fill all memory meanwhile.
const INBOX_BYTES: usize = 8 * 1024 * 1024;
/// Events that wait for the owner before the host holds back more.
const EVENT_BACKLOG: usize = 1024;

/// A handle to the replicas of one VM; clones share them, and the last one dropped stops them.
#[derive(Clone, Debug)]
pub struct Host {
    commands: mpsc::UnboundedSender<Command>,
    commits: Option<CommitLatency>,
    inbox: Arc<ByteBudget>,
}

impl Host {
    /// Opens the data folder and goes on with its groups. Batches for other VMs go to `outbound`.
    pub async fn start(
        settings: HostSettings,
        outbound: mpsc::Sender<Outbound>,
    ) -> anyhow::Result<(Host, mpsc::Receiver<Event>)> {
        let (commands, inbox) = mpsc::unbounded_channel();
        let (events, receiver) = mpsc::channel(EVENT_BACKLOG);
        let (ready, started) = oneshot::channel();
        let back = commands.downgrade();
        let commits = settings.commits.clone();
        let waiting = Arc::new(ByteBudget::new(INBOX_BYTES));
        let bytes = Arc::clone(&waiting);
        let run = move || engine::run(settings, outbound, events, (inbox, bytes), back, ready);
        std::thread::Builder::new().name("replicas".to_owned()).spawn(run)?;
        started.await.context("the replica thread ended before it started")??;
        Ok((Host { commands, commits, inbox: waiting }, receiver))
    }

    /// Creates a group's replica on this VM. Does nothing when it has one already.
    ///
    /// Every member creates it with the same members; a replica that joins later is created by
    /// its leader's first message instead.
    pub async fn create(&self, group: GroupId, members: Vec<VmId>) -> anyhow::Result<()> {
        let made = self.ask(|reply| Command::Create { group, members, reply }).await;
        match made {
            Some(true) => Ok(()),
            _ => bail!("{group} was not created: the disk failed; restart the process"),
        }
    }

    /// Appends a command and resolves once a quorum has synced it.
    pub async fn propose(&self, group: GroupId, data: Bytes) -> Result<LogIndex, ProposeError> {
        let asked = Instant::now();
        let outcome = if self.inbox.try_take(data.len()) {
            let reply = self.ask(|reply| Command::Propose { group, data, reply }).await;
            reply.unwrap_or(Err(ProposeError::Uncertain))
        } else {
            Err(ProposeError::Dropped)
        };
        if let Some(commits) = &self.commits {
            commits.record(group, asked.elapsed(), outcome_name(outcome));
        }
        outcome
    }

    /// Returns the index that a read must see to miss nothing that was committed before it.
    pub async fn read_barrier(&self, group: GroupId) -> Result<LogIndex, ReadError> {
        let reply = self.ask(|reply| Command::Read { group, reply }).await;
        reply.unwrap_or(Err(ReadError::NotLeader { hint: None }))
    }

    /// Returns the term in which this VM's replica holds its group's lease at this moment, `None`
    /// if it holds none. Ask after the work and before the answer, and compare the term: between
    /// two terms of one leader another may have led.
    pub async fn lease_term(&self, group: GroupId) -> Option<Term> {
        self.ask(|reply| Command::Lease { group, reply }).await.flatten()
    }

    /// Takes a batch that another VM's host gave out, or drops it while too much waits: its sender
    /// repeats what isn't answered.
    pub fn receive(&self, from: VmId, batch: Bytes) {
        if !self.inbox.try_take(batch.len()) {
            return;
        }
        // A host that has ended needs no messages.
        let _ = self.commands.send(Command::Receive { from, batch });
    }

    /// Takes a snapshot of a state machine that has applied all entries up to `index`. The log
    /// before it is dropped once the snapshot is synced.
    pub async fn snapshot(&self, group: GroupId, index: LogIndex, data: Bytes) {
        self.ask(|reply| Command::Snapshot { group, index, data, sent: None, reply }).await;
    }

    /// As [`Host::snapshot`], with something shorter that other VMs are sent in its place. Their
    /// owners must be able to do without the rest, or to fetch it.
    pub async fn snapshot_sending(
        &self,
        group: GroupId,
        index: LogIndex,
        data: Bytes,
        sent: Bytes,
    ) {
        self.ask(|reply| Command::Snapshot { group, index, data, sent: Some(sent), reply }).await;
    }

    /// Hands over the leadership of every group, and returns once it is handed over or no
    /// other VM took it in time.
    pub async fn transfer_all(&self) {
        self.ask(|reply| Command::TransferAll { reply }).await;
    }

    /// Has a group's leadership handed over, if this VM has it and another is ready to take it.
    pub fn transfer(&self, group: GroupId) {
        // A host that has ended leads nothing.
        let _ = self.commands.send(Command::Transfer { group });
    }

    /// Makes one membership change and resolves once it is committed.
    pub async fn change_members(
        &self,
        group: GroupId,
        change: MemberChange,
    ) -> Result<LogIndex, ChangeError> {
        let reply = self.ask(|reply| Command::Change { group, change, reply }).await;
        reply.unwrap_or(Err(ChangeError::Lost(ProposeError::Uncertain)))
    }

    /// Returns the state of every replica.
    pub async fn status(&self) -> HostStatus {
        self.ask(|reply| Command::Status { reply }).await.unwrap_or_default()
    }

    /// Stops every replica, and returns once the data folder is closed.
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
