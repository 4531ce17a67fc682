//! Storage of a host's replicas: threads that write the data folder, or memory only.

use std::sync::mpsc::{self, RecvTimeoutError};

use anyhow::Context;
use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::LogIndex;
use gypsumglade_core::wire::replication::Entry;
use tokio::sync::mpsc::WeakUnboundedSender;

use super::engine::Command;
use super::settings::HostSettings;
use crate::disk::{
    self, CompletedJob, Disk, Job, JobWrite, Reader, RecordLocation, RestoredGroup, RoomWait,
    Shortage, SnapshotWriter,
};

/// Bounds the number of jobs in one sync, and thus the delay of the first one.
const JOBS_PER_SYNC: usize = 4096;

/// Idle time after which the log is sealed.
const SEAL_DELAY: Duration = Duration::from_secs(1);

/// Storage that replicas write to.
#[derive(Debug)]
pub(super) enum Storage {
    /// No storage: every write counts as synced at once.
    Memory,
    /// The data folder, written by threads.
    Folder {
        /// Jobs for the thread that writes the log.
        jobs: mpsc::Sender<Job>,
        /// Jobs for the thread that writes snapshot files.
        snapshots: mpsc::Sender<Job>,
        /// Reads synced entries and snapshots.
        reader: Reader,
        /// Writes of the threads that wait for room.
        room: RoomWait,
        /// The threads, joined on close.
        threads: Vec<std::thread::JoinHandle<()>>,
    },
}

impl Storage {
    pub(super) fn open(
        settings: &HostSettings,
        commands: WeakUnboundedSender<Command>,
    ) -> anyhow::Result<(Storage, Vec<RestoredGroup>)> {
        let Some(folder) = &settings.folder else {
            return Ok((Storage::Memory, Vec::new()));
        };
        let options = disk::Options {
            vm: settings.vm,
            segment_bytes: settings.segment_bytes,
            faults: settings.faults.clone(),
        };
        let (mut disk, groups) = Disk::open(folder, options)
            .with_context(|| format!("the data folder {} can't be used", folder.display()))?;
        let room = RoomWait::default();
        disk.wait_for_room(room.clone());
        let (reader, snapshot_writer) = (disk.reader(), disk.snapshot_writer());
        let (jobs, queue) = mpsc::channel();
        let (snapshots, files) = mpsc::channel();
        let (snapshot_reports, marks) = (commands.clone(), jobs.clone());
        let threads = vec![
            spawn("disk", move || write_jobs(disk, &queue, &commands))?,
            spawn("snapshots", move || {
                save_snapshots(&snapshot_writer, &files, &marks, &snapshot_reports)
            })?,
        ];
        Ok((Storage::Folder { jobs, snapshots, reader, room, threads }, groups))
    }

    /// Submits a write. Returns its result if it is completed at once.
    pub(super) fn submit(&self, job: Job) -> Option<CompletedJob> {
        match self {
            Storage::Memory => Some(CompletedJob::for_memory(&job)),
            Storage::Folder { jobs, snapshots, .. } => {
                let separate = matches!(&job.write, JobWrite::Snapshot(snapshot)
                    if !snapshot.reset && !snapshot.data.is_empty());
                let queue = if separate { snapshots } else { jobs };
                // The send fails only if the thread has ended, and then it has reported a failure.
                let _ = queue.send(job);
                None
            }
        }
    }

    /// Returns the oldest write that waits for room on the disk.
    pub(super) fn shortage(&self) -> Option<Shortage> {
        match self {
            Storage::Memory => None,
            Storage::Folder { room, .. } => room.shortage(),
        }
    }

    pub(super) fn read_entry(&mut self, location: RecordLocation) -> anyhow::Result<Entry> {
        match self {
            Storage::Memory => anyhow::bail!("the entry is no longer in memory"),
            Storage::Folder { reader, .. } => reader.entry(location),
        }
    }

    pub(super) fn read_snapshot(
        &self,
        group: GroupId,
        index: LogIndex,
        offset: u64,
        length: usize,
    ) -> anyhow::Result<Bytes> {
        match self {
            Storage::Memory => anyhow::bail!("the snapshot is no longer in memory"),
            Storage::Folder { reader, .. } => reader.snapshot(group, index, offset, length),
        }
    }

    /// Waits until all submitted jobs are written and the folder is closed.
    pub(super) fn close(self) {
        if let Storage::Folder { jobs, snapshots, room, threads, .. } = self {
            drop((jobs, snapshots));
            room.close();
            for thread in threads {
                // The panic of a thread was already printed to standard error.
                let _ = thread.join();
            }
        }
    }
}

fn spawn(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> std::io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)
}

/// Writes snapshot files, and passes the jobs on to the log for their marks. A separate thread, so that
/// a large file doesn't delay the commits of all groups.
fn save_snapshots(
    snapshot_writer: &SnapshotWriter,
    queue: &mpsc::Receiver<Job>,
    marks: &mpsc::Sender<Job>,
    commands: &WeakUnboundedSender<Command>,
) {
    while let Ok(mut job) = queue.recv() {
        let JobWrite::Snapshot(snapshot) = &mut job.write else {
            continue;
        };
        let Err(error) = snapshot_writer.save(job.group, snapshot) else {
            // If the log thread has ended, the host has failed or is closing.
            let _ = marks.send(job);
            continue;
        };
        if let Some(commands) = commands.upgrade() {
            let _ = commands.send(Command::DiskFailed(format!("{error:#}").into()));
        }
        return;
    }
}

/// Writes jobs to the log until the queue is closed. Jobs that arrive during a sync form the next
/// batch, so batches grow when the disk is slow.
fn write_jobs(
    mut disk: Disk,
    queue: &mpsc::Receiver<Job>,
    commands: &WeakUnboundedSender<Command>,
) {
    let mut batch = Vec::new();
    let report = |command| {
        // If the engine has ended, nobody waits for the report.
        commands.upgrade().is_some_and(|commands| commands.send(command).is_ok())
    };
    loop {
        let result = match queue.recv_timeout(SEAL_DELAY) {
            Ok(job) => {
                batch.push(job);
                batch.extend(queue.try_iter().take(JOBS_PER_SYNC));
                disk.write(&mut batch)
            }
            Err(RecvTimeoutError::Timeout) => disk.seal().map(|()| Vec::new()),
            Err(RecvTimeoutError::Disconnected) => break,
        };
        match result {
            Ok(done) if done.is_empty() => {}
            Ok(done) => {
                report(Command::Completed(done));
                let blocking_groups = disk.blocking_groups();
                if !blocking_groups.is_empty() {
                    report(Command::Compact(blocking_groups));
                }
            }
            Err(error) => {
                report(Command::DiskFailed(format!("{error:#}").into()));
                return;
            }
        }
    }
    // Acknowledged records are synced already, so a failure here is harmless.
    let _ = disk.seal();
}
