//! Where a host's replicas write: a thread with the data folder, or nowhere.

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
    self, CompletedJob, Disk, Job, JobWrite, Reader, RecordLocation, RestoredGroup, SnapshotWriter,
};

/// Jobs that one sync covers at most; a bound on how long the first of them waits.
const JOBS_PER_SYNC: usize = 4096;

/// How long the log is idle before it is sealed.
const SEAL_DELAY: Duration = Duration::from_secs(1);

/// Where replicas write.
#[derive(Debug)]
pub(super) enum Storage {
    /// Nowhere: every write counts as synced at once.
    Memory,
    /// To the data folder, through its thread.
    Folder {
        /// What is to be written to the log.
        jobs: mpsc::Sender<Job>,
        /// Snapshots whose files are to be written first.
        snapshots: mpsc::Sender<Job>,
        /// Reads what it has written.
        reader: Reader,
        /// The threads that write.
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
        let (disk, groups) = Disk::open(folder, options)
            .with_context(|| format!("the data folder {} can't be used", folder.display()))?;
        let (reader, snapshot_writer) = (disk.reader(), disk.snapshot_writer());
        let (jobs, queue) = mpsc::channel();
        let (snapshots, files) = mpsc::channel();
        let (report, marks) = (commands.clone(), jobs.clone());
        let threads = vec![
            spawn("disk", move || write_jobs(disk, &queue, &commands))?,
            spawn("snapshots", move || save_snapshots(&snapshot_writer, &files, &marks, &report))?,
        ];
        Ok((Storage::Folder { jobs, snapshots, reader, threads }, groups))
    }

    /// Hands a write to the disk. Returns what is done already.
    pub(super) fn submit(&self, job: Job) -> Option<CompletedJob> {
        match self {
            Storage::Memory => Some(CompletedJob::for_memory(&job)),
            Storage::Folder { jobs, snapshots, .. } => {
                let separate = matches!(&job.write, JobWrite::Snapshot(snapshot)
                    if !snapshot.reset && !snapshot.data.is_empty());
                let queue = if separate { snapshots } else { jobs };
                // A thread ends only after it has reported its failure.
                let _ = queue.send(job);
                None
            }
        }
    }

    pub(super) fn read_entry(&mut self, location: RecordLocation) -> anyhow::Result<Entry> {
        match self {
            Storage::Memory => anyhow::bail!("an entry is gone from memory"),
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
            Storage::Memory => anyhow::bail!("a snapshot is gone from memory"),
            Storage::Folder { reader, .. } => reader.snapshot(group, index, offset, length),
        }
    }

    /// Waits until all is written and the folder is closed.
    pub(super) fn close(self) {
        if let Storage::Folder { jobs, snapshots, threads, .. } = self {
            drop((jobs, snapshots));
            for thread in threads {
                // A thread that panicked has been seen on standard error.
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

/// Writes the files of snapshots, and hands on their marks. On the log's own thread a large file
/// would hold up the commits of all groups.
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
            // Without the log's thread the host has failed already.
            let _ = marks.send(job);
            continue;
        };
        if let Some(commands) = commands.upgrade() {
            let _ = commands.send(Command::DiskFailed(format!("{error:#}").into()));
        }
        return;
    }
}

/// Writes jobs until there are none to come. While one sync runs, the next batch gathers, so a
/// sync covers more groups the slower the disk is.
fn write_jobs(
    mut disk: Disk,
    queue: &mpsc::Receiver<Job>,
    commands: &WeakUnboundedSender<Command>,
) {
    let mut batch = Vec::new();
    let report = |command| {
        // Without a loop nobody waits for the answer.
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
    // What was acknowledged is stable already; a seal only guards it at rest.
    let _ = disk.seal();
}
