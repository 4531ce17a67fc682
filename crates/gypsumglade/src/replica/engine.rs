//! The event loop that steps all replicas of a VM and carries out their effects.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Effect, Input, Links, LogIndex, MemberChange, Replica, Term};
use tokio::sync::{mpsc, oneshot};

use super::budget::ByteBudget;
use super::event::{ChangeError, Event, HostStatus, Outbound, ProposeError, ReadError};
use super::group::Group;
use super::outbox::Outbox;
use super::queue::EventQueue;
use super::settings::HostSettings;
use super::storage::Storage;
use crate::clock::Clock;
use crate::disk::{CompletedJob, Job, JobWrite, RestoredGroup};

/// Maximum number of commands handled before batched proposals and messages are sent.
const COMMANDS_PER_ITERATION: usize = 512;

/// Interval at which the timers of all groups are checked. Waking up for each timer would scan all
/// groups each time.
const TICK: Duration = Duration::from_millis(20);

/// A request of the [`super::Host`] handle, or a report of the disk threads.
#[derive(Debug)]
pub(super) enum Command {
    Create {
        group: GroupId,
        members: Vec<VmId>,
        reply: oneshot::Sender<bool>,
    },
    Propose {
        group: GroupId,
        data: Bytes,
        reply: oneshot::Sender<Result<LogIndex, ProposeError>>,
    },
    Read {
        group: GroupId,
        reply: oneshot::Sender<Result<LogIndex, ReadError>>,
    },
    Lease {
        group: GroupId,
        reply: oneshot::Sender<Option<Term>>,
    },
    Receive {
        from: VmId,
        batch: Bytes,
    },
    Snapshot {
        group: GroupId,
        index: LogIndex,
        data: Bytes,
        /// Sent to other VMs instead of `data`.
        peer_data: Option<Bytes>,
        reply: oneshot::Sender<()>,
    },
    TransferAll {
        reply: oneshot::Sender<()>,
    },
    Transfer {
        group: GroupId,
        /// Voters to choose from; empty for all.
        to: Vec<VmId>,
    },
    Change {
        group: GroupId,
        change: MemberChange,
        reply: oneshot::Sender<Result<LogIndex, ChangeError>>,
    },
    Status {
        reply: oneshot::Sender<HostStatus>,
    },
    Completed(Vec<CompletedJob>),
    /// The entries of these groups keep the oldest segment of the log from being removed.
    Compact(Vec<GroupId>),
    DiskFailed(CompactString),
    Stop {
        reply: oneshot::Sender<()>,
    },
}

/// Runs the replicas until the last handle is dropped or a stop is requested.
pub(super) fn run(
    settings: HostSettings,
    outbound: mpsc::Sender<Outbound>,
    events: mpsc::Sender<Event>,
    (inbox, bytes): (mpsc::UnboundedReceiver<Command>, Arc<ByteBudget>),
    commands: mpsc::WeakUnboundedSender<Command>,
    ready: oneshot::Sender<anyhow::Result<()>>,
) {
    let opened = Storage::open(&settings, commands).and_then(|(storage, groups)| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
        let mut engine = Engine::new(settings, storage, groups, outbound, events);
        engine.inbox = bytes;
        Ok((runtime, engine))
    });
    let (runtime, mut engine) = match opened {
        Ok(opened) => opened,
        Err(error) => return drop(ready.send(Err(error))),
    };
    let _ = ready.send(Ok(()));
    let stop = runtime.block_on(engine.run(inbox));
    engine.storage.close();
    if let Some(reply) = stop {
        let _ = reply.send(());
    }
}

/// A snapshot that is being written, with the caller that waits for it.
#[derive(Debug)]
pub(super) struct PendingSnapshot {
    pub(super) group: GroupId,
    pub(super) index: LogIndex,
    pub(super) bytes: usize,
    pub(super) reply: oneshot::Sender<()>,
}

/// All replicas of one VM, with their storage, messages and callers.
pub(super) struct Engine {
    pub(super) settings: HostSettings,
    pub(super) seed: u64,
    pub(super) clock: Clock,
    pub(super) groups: BTreeMap<GroupId, Group>,
    pub(super) storage: Storage,
    /// Heartbeats between VMs, which replace those of idle groups.
    pub(super) links: Links,
    /// When timers were last checked.
    pub(super) last_tick: Time,
    /// Groups with queued proposals.
    pub(super) proposing: Vec<GroupId>,
    /// When the next heartbeats to other VMs are sent.
    pub(super) next_pulse: Time,
    pub(super) outbox: Outbox,
    pub(super) events: EventQueue,
    pub(super) failed: Option<CompactString>,
    pub(super) pending_creates: Vec<(GroupId, oneshot::Sender<bool>)>,
    pub(super) snapshots: Vec<PendingSnapshot>,
    pub(super) transfers: Vec<(Time, oneshot::Sender<()>)>,
    /// When leadership may be transferred again because the disk is full.
    next_handover: Time,
    pub(super) last_token: u64,
    /// Bytes of batches and proposals in the inbox.
    pub(super) inbox: Arc<ByteBudget>,
    /// Length of the inbox when it was last read.
    pub(super) queued_commands: usize,
    pub(super) effects: Vec<Effect>,
    /// Completed writes to memory storage, not yet processed.
    pub(super) completed: VecDeque<CompletedJob>,
}

impl Engine {
    fn new(
        settings: HostSettings,
        storage: Storage,
        groups: Vec<RestoredGroup>,
        outbound: mpsc::Sender<Outbound>,
        events: mpsc::Sender<Event>,
    ) -> Engine {
        let seed = settings.seed.unwrap_or_else(rand::random);
        let mut engine = Engine {
            settings,
            seed,
            clock: Clock::start(),
            groups: BTreeMap::new(),
            storage,
            // Halved, so that incrementing it can't overflow.
            links: Links::new(rand::random::<u64>() >> 1),
            last_tick: Time::ZERO,
            proposing: Vec::new(),
            next_pulse: Time::ZERO,
            outbox: Outbox::new(outbound),
            events: EventQueue::new(events),
            failed: None,
            pending_creates: Vec::new(),
            snapshots: Vec::new(),
            transfers: Vec::new(),
            next_handover: Time::ZERO,
            last_token: 0,
            inbox: Arc::new(ByteBudget::new(0)),
            queued_commands: 0,
            effects: Vec::new(),
            completed: VecDeque::new(),
        };
        for restored in groups {
            engine.restore(restored);
        }
        engine
    }

    async fn run(
        &mut self,
        mut inbox: mpsc::UnboundedReceiver<Command>,
    ) -> Option<oneshot::Sender<()>> {
        loop {
            self.tick();
            self.propose_pending();
            self.send_pulses();
            self.outbox.flush();
            if let Err(error) = self.events.deliver(&self.groups, &mut self.storage) {
                self.fail(format!("{error:#}").into());
            }
            self.finish_transfers();
            let sleep = tokio::time::sleep((self.last_tick + TICK).since(self.now()));
            tokio::select! {
                command = inbox.recv() => {
                    let mut next = Some(command?);
                    self.queued_commands = inbox.len();
                    for _ in 0..COMMANDS_PER_ITERATION {
                        match next {
                            Some(Command::Stop { reply }) => return Some(reply),
                            Some(command) => self.handle_command(command),
                            None => break,
                        }
                        next = inbox.try_recv().ok();
                    }
                    if let Some(command) = next {
                        if let Command::Stop { reply } = command {
                            return Some(reply);
                        }
                        self.handle_command(command);
                    }
                }
                () = self.events.writable() => {}
                () = sleep => {}
            }
        }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Create { group, members, reply } => self.create(group, members, reply),
            Command::Propose { group, data, reply } => {
                self.inbox.release(data.len());
                self.propose(group, data, reply);
            }
            Command::Read { group, reply } => self.read(group, reply),
            Command::Lease { group, reply } => {
                let now = self.now();
                let replica = self.groups.get(&group).map(|group| &group.replica);
                let held = replica.filter(|replica| replica.holds_lease(now, &self.links));
                let term = held.map(Replica::term);
                let _ = reply.send(term.filter(|_| self.failed.is_none()));
            }
            Command::Receive { from, batch } => {
                self.inbox.release(batch.len());
                self.receive(from, batch);
            }
            Command::Snapshot { group, index, data, peer_data, reply } => {
                if let (Some(group), Some(peer_data)) = (self.groups.get_mut(&group), peer_data) {
                    group.peer_data = Some((index, peer_data));
                }
                self.snapshot(group, index, data, reply);
            }
            Command::TransferAll { reply } => self.transfer_all(reply),
            Command::Transfer { group, to } => self.step(group, Input::Transfer { to }),
            Command::Change { group, change, reply } => self.change(group, change, reply),
            Command::Status { reply } => drop(reply.send(self.status(self.queued_commands))),
            Command::Completed(done) => done.into_iter().for_each(|done| self.job_completed(done)),
            Command::Compact(groups) => {
                groups.into_iter().for_each(|group| self.compact_group(group))
            }
            Command::DiskFailed(reason) => self.fail(reason),
            Command::Stop { .. } => {}
        }
    }

    pub(super) fn restore(&mut self, restored: RestoredGroup) {
        let id = restored.group;
        let now = self.now();
        let position = restored.state.snapshot;
        let settings = self.settings.replication.clone();
        let group = Group::new(settings, self.settings.vm, self.seed, restored, now);
        if group.length > 0 {
            let limit = usize::try_from(group.length).unwrap_or(usize::MAX);
            match group.snapshot_chunk(&self.storage, 0, limit) {
                Ok((data, _)) => self.events.restore(id, position.index, data),
                Err(error) => self.fail(format!("{error:#}").into()),
            }
        }
        self.events.start(id, position.index);
        self.groups.insert(id, group);
        // Forces a tick: a group with a single voter elects itself at its first tick.
        self.last_tick = Time::ZERO;
    }

    fn tick(&mut self) {
        let now = self.now();
        if now < self.last_tick + TICK {
            return;
        }
        self.last_tick = now;
        if self.failed.is_some() {
            return;
        }
        let due = self.groups.iter().filter(|(_, group)| group.deadline() <= now);
        let due: Vec<_> = due.map(|(&id, _)| id).collect();
        for id in due {
            if let Some(group) = self.groups.get_mut(&id)
                && group.outcome_deadline.is_some_and(|deadline| deadline <= now)
            {
                group.abandon_waiters(LogIndex(u64::MAX));
            }
            self.step(id, Input::Tick);
        }
        self.hand_over_if_full(now);
    }

    /// Transfers the leadership of all groups while a write waits for room on the disk. Such a
    /// leader can't store a vote, and commits without its own disk tolerate one failure less.
    fn hand_over_if_full(&mut self, now: Time) {
        if now < self.next_handover || self.storage.shortage().is_none() {
            return;
        }
        self.next_handover = now + self.settings.replication.election_timeout().mul_f64(1.5);
        let led = self.groups.iter().filter(|(_, group)| group.can_transfer());
        for id in led.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.step(id, Input::Transfer { to: Vec::new() });
        }
    }

    /// Sends a heartbeat to each VM that shares a group with this one.
    fn send_pulses(&mut self) {
        let now = self.now();
        if now < self.next_pulse {
            return;
        }
        self.next_pulse = now + self.settings.replication.heartbeat;
        if self.failed.is_some() {
            return;
        }
        let members = self.groups.values().flat_map(|group| group.replica.members().all());
        let peers: BTreeSet<_> = members.filter(|&vm| vm != self.settings.vm).collect();
        for vm in peers {
            self.outbox.pulse(vm, self.links.pulse(now, vm));
        }
    }

    pub(super) fn submit(&mut self, job: Job) {
        self.completed.extend(self.storage.submit(job));
    }

    /// Processes writes that memory storage completed at once, after the effects of the same step.
    pub(super) fn process_completed(&mut self) {
        while let Some(done) = self.completed.pop_front() {
            self.job_completed(done);
        }
    }

    /// Processes a write that is synced.
    fn job_completed(&mut self, done: CompletedJob) {
        let id = done.group;
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        for written in done.entries {
            // The entry may have been replaced while it was being written.
            if group.replica.term_at(written.index) == Some(written.term) {
                group.tail.set_location(written.index, written.location);
            }
        }
        group.tail.evict(self.settings.cache_bytes);
        if let Some(sequence) = done.sequence {
            self.step(id, Input::Synced(sequence));
        }
        if let Some(snapshot) = done.snapshot {
            self.snapshot_written(id, snapshot, done.length);
        }
    }

    fn snapshot_written(&mut self, id: GroupId, index: LogIndex, length: u64) {
        for (_, reply) in self.pending_creates.extract_if(.., |(group, _)| *group == id) {
            let _ = reply.send(true);
        }
        self.step(id, Input::Snapshotted(index));
        if let Some(group) = self.groups.get_mut(&id)
            && group.replica.snapshot().index == index
        {
            if !matches!(self.storage, Storage::Memory) {
                group.snapshot = Bytes::new();
            }
            group.length = length;
            let base = group.compact();
            group.clear_request();
            self.submit(Job { group: id, sequence: None, write: JobWrite::Compact(base) });
        }
        let covered = |waiting: &mut PendingSnapshot| waiting.group == id && waiting.index <= index;
        for waiting in self.snapshots.extract_if(.., covered) {
            let _ = waiting.reply.send(());
        }
    }

    /// Drops the entries of a group that its snapshot covers, and requests a new snapshot if others
    /// remain, so that the oldest segment can be removed.
    fn compact_group(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.replica.compact_to_snapshot();
        let base = group.compact();
        if group.replica.commit() > base {
            self.events.need_snapshot(id);
        }
        self.submit(Job { group: id, sequence: None, write: JobWrite::Compact(base) });
    }

    /// Stops serving all groups until the process is restarted. Only synced writes were acknowledged.
    ///
    /// After a failed sync the kernel may mark unwritten pages as clean, so a later successful sync proves
    /// nothing. Only a restart, which reads the log, shows what is on the disk.
    pub(super) fn fail(&mut self, reason: CompactString) {
        if self.failed.is_some() {
            return;
        }
        self.failed = Some(reason.clone());
        for group in self.groups.values_mut() {
            group.abandon_waiters(LogIndex(u64::MAX));
            group.reads.clear();
        }
        self.pending_creates.clear();
        self.snapshots.clear();
        self.events.fail(reason);
    }

    pub(super) fn step(&mut self, id: GroupId, input: Input) {
        let now = self.now();
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if self.failed.is_some() {
            return;
        }
        let mut effects = std::mem::take(&mut self.effects);
        group.replica.step(now, &self.links, input, &mut effects);
        self.carry_out(id, effects);
        self.process_completed();
    }
}
