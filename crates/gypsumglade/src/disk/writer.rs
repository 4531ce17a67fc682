//! Writes the log: one frame and one sync for all jobs at hand.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Ballot, LogIndex, Term};
use gypsumglade_core::wire::replication as wire;
use gypsumglade_core::wire::replication::record::Body;

use super::folder::{check_format, lock, segment_path, sync_folder};
use super::frame::FrameWriter;
use super::reader::Reader;
use super::replay::{Replay, ReplayedGroup, replay};
use super::snapshot::{self, SnapshotWriter, WRITE_ADVICE};
use super::types::{
    CompletedJob, Job, JobWrite, Options, RecordLocation, RestoredGroup, Snapshot, WrittenEntry,
};

/// Segment files above which the groups that hold up the oldest one are named.
const MAX_KEPT_SEGMENTS: usize = 4;

/// The open data folder of one VM.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    options: Options,
    /// Held for as long as the folder is used.
    _lock: File,
    file: File,
    /// Numbers of the segment files; the last one is written to.
    segments: Vec<u32>,
    /// Where the next frame goes.
    offset: u64,
    /// Sequence of the last frame.
    sequence: u64,
    /// Whether a file was begun since the holders of the oldest were last named.
    rotated: bool,
    /// Whether the last frame is empty.
    sealed: bool,
    groups: BTreeMap<GroupId, GroupState>,
}

/// What a new segment repeats of a group, so that older ones can go.
#[derive(Debug, Default)]
struct GroupState {
    ballot: Ballot,
    mark: wire::SnapshotMark,
    /// Entries up to here are read no more. Follows the mark: a reader may still be at work on
    /// an entry when the snapshot that covers it is stable.
    compacted: LogIndex,
    /// The highest index written in each segment.
    written: BTreeMap<u32, LogIndex>,
}

impl Disk {
    /// Opens a folder, and creates it if need be. Refuses one that is damaged, locked, of another
    /// format or of another VM, and cuts off a last write that a crash cut short.
    pub fn open(folder: &Path, options: Options) -> anyhow::Result<(Disk, Vec<RestoredGroup>)> {
        fs::create_dir_all(folder)?;
        let lock = lock(folder)?;
        check_format(folder, options.vm)?;
        let replay = replay(folder)?;
        check_findings(&replay)?;
        let groups: Vec<_> = replay.groups.iter().map(|(&id, g)| g.restored(id)).collect();
        let kept: Vec<_> = replay
            .groups
            .iter()
            .filter(|(_, group)| group.length > 0)
            .map(|(&id, group)| snapshot::name(id, group.snapshot.index))
            .collect();
        snapshot::remove_unreferenced(folder, &kept)?;
        let disk = Disk::resume(folder, options, lock, replay)?;
        Ok((disk, groups))
    }

    /// Returns a reader of what this disk writes.
    pub fn reader(&self) -> Reader {
        Reader::new(self.folder.clone())
    }

    /// Returns a writer of snapshot files that works beside this one.
    pub fn snapshot_writer(&self) -> SnapshotWriter {
        SnapshotWriter::new(self.folder.clone(), self.options.faults.clone())
    }

    /// Writes all jobs and returns once they are stable. After an error nothing may be written
    /// any more: it isn't known what the disk holds.
    pub fn write(&mut self, jobs: &mut Vec<Job>) -> anyhow::Result<Vec<CompletedJob>> {
        self.write_frame(jobs).with_context(|| {
            format!("the data folder {} can't be written; {WRITE_ADVICE}", self.folder.display())
        })
    }

    /// Returns the groups whose entries hold up the oldest file, once for each new file.
    ///
    /// A group that is seldom written keeps its few entries for long. Without a snapshot of it
    /// the files of all groups since would stay, and fill the disk.
    pub fn blocking_groups(&mut self) -> Vec<GroupId> {
        if !std::mem::take(&mut self.rotated) || self.segments.len() <= MAX_KEPT_SEGMENTS {
            return Vec::new();
        }
        let oldest = self.segments[0];
        let holds =
            |(&id, state): (&GroupId, &GroupState)| state.has_entries_in(oldest).then_some(id);
        self.groups.iter().filter_map(holds).collect()
    }

    /// Ends a busy time with an empty frame.
    ///
    /// Damage to the last frame can't be told from a write that was cut short, and is cut off.
    /// After a seal the last frame holds nothing, so what was acknowledged is never cut off
    /// because a bit flipped at rest.
    pub fn seal(&mut self) -> anyhow::Result<()> {
        if self.sealed {
            return Ok(());
        }
        self.append_frame(FrameWriter::new()).context("the log can't be sealed")?;
        self.sealed = true;
        Ok(())
    }

    fn write_frame(&mut self, jobs: &mut Vec<Job>) -> anyhow::Result<Vec<CompletedJob>> {
        if self.offset >= self.options.segment_bytes {
            self.begin_segment()?;
        }
        let mut frame = FrameWriter::new();
        let mut done = Vec::with_capacity(jobs.len());
        let mut stale = Vec::new();
        for job in jobs.drain(..) {
            done.push(self.push_job(&mut frame, job, &mut stale)?);
        }
        if !frame.is_empty() {
            self.append_frame(frame)?;
        }
        for name in stale {
            fs::remove_file(self.folder.join(name))?;
        }
        self.remove_unused_segments()?;
        Ok(done)
    }

    fn push_job(
        &mut self,
        frame: &mut FrameWriter,
        job: Job,
        stale: &mut Vec<String>,
    ) -> anyhow::Result<CompletedJob> {
        let mut done = CompletedJob::for_memory(&job);
        match job.write {
            JobWrite::Ballot(ballot) => {
                self.groups.entry(job.group).or_default().ballot = ballot;
                frame.push(&ballot_record(job.group, ballot));
            }
            JobWrite::Entries(entries) => {
                for entry in entries {
                    done.entries.push(self.push_entry(frame, job.group, entry));
                }
            }
            JobWrite::Compact(index) => {
                let state = self.groups.entry(job.group).or_default();
                state.compacted = state.compacted.max(index);
            }
            JobWrite::Snapshot(snapshot) => {
                stale.extend(self.push_snapshot(frame, job.group, &snapshot)?);
            }
        }
        Ok(done)
    }

    fn push_entry(
        &mut self,
        frame: &mut FrameWriter,
        group: GroupId,
        entry: wire::Entry,
    ) -> WrittenEntry {
        let (index, term) = (LogIndex(entry.index), Term(entry.term));
        let segment = self.current_segment();
        let state = self.groups.entry(group).or_default();
        let written = state.written.entry(segment).or_default();
        *written = index.max(*written);
        let record = wire::Record { group: group.0, body: Some(Body::Entry(entry)) };
        let (offset, length) = frame.push(&record);
        let offset = self.offset as usize + offset;
        let location = RecordLocation { segment, offset: offset as u32, length: length as u32 };
        WrittenEntry { index, term, location }
    }

    /// Writes a snapshot's file and then its mark: a mark never names a file that isn't there.
    /// Returns the file that the mark makes useless.
    fn push_snapshot(
        &mut self,
        frame: &mut FrameWriter,
        group: GroupId,
        snapshot: &Snapshot,
    ) -> anyhow::Result<Option<String>> {
        let index = snapshot.position.index;
        let length = snapshot.length();
        let known = self.groups.get(&group).map_or(0, |state| state.mark.index);
        if !snapshot.reset && index.0 < known {
            // A leader's snapshot overtook this one while its file was written.
            return Ok((length > 0).then(|| snapshot::name(group, index)));
        }
        if !snapshot.data.is_empty() {
            let faults = &self.options.faults;
            snapshot::write(&self.folder, group, index, &snapshot.data, faults)?;
        }
        let mark = wire::SnapshotMark {
            index: index.0,
            term: snapshot.position.term.0,
            members: Some(snapshot.members.to_wire()),
            length,
            reset: snapshot.reset,
        };
        let state = self.groups.entry(group).or_default();
        let old = std::mem::replace(&mut state.mark, mark.clone());
        if snapshot.reset {
            state.written.clear();
            state.compacted = index;
        }
        frame.push(&mark_record(group, mark));
        let replaced = old.length > 0 && old.index != index.0;
        Ok(replaced.then(|| snapshot::name(group, LogIndex(old.index))))
    }

    fn append_frame(&mut self, frame: FrameWriter) -> anyhow::Result<()> {
        self.sealed = frame.is_empty();
        let bytes = frame.finish(self.sequence + 1);
        let writable = self.options.faults.allow_write(bytes.len());
        self.file.write_all(&bytes[..writable])?;
        if writable < bytes.len() {
            bail!(std::io::Error::from(std::io::ErrorKind::StorageFull));
        }
        self.options.faults.check_sync()?;
        self.file.sync_data()?;
        self.sequence += 1;
        self.offset += bytes.len() as u64;
        Ok(())
    }

    /// Goes on in a new file that starts with the ballots and marks of all groups.
    fn begin_segment(&mut self) -> anyhow::Result<()> {
        let number = self.segments.last().map_or(1, |last| last + 1);
        let path = segment_path(&self.folder, number);
        self.file = File::options().create_new(true).append(true).open(path)?;
        self.segments.push(number);
        self.rotated = true;
        self.offset = 0;
        let mut frame = FrameWriter::new();
        for (&group, state) in &self.groups {
            let mark = wire::SnapshotMark { reset: false, ..state.mark.clone() };
            frame.push(&mark_record(group, mark));
            frame.push(&ballot_record(group, state.ballot));
        }
        self.append_frame(frame)?;
        sync_folder(&self.folder)?;
        Ok(())
    }

    /// Removes the oldest files while no group has an entry in them after its snapshot.
    fn remove_unused_segments(&mut self) -> anyhow::Result<()> {
        while self.segments.len() > 1 {
            let oldest = self.segments[0];
            let in_use = self.groups.values().any(|group| group.has_entries_in(oldest));
            if in_use {
                return Ok(());
            }
            fs::remove_file(segment_path(&self.folder, oldest))?;
            self.segments.remove(0);
            for group in self.groups.values_mut() {
                group.written.remove(&oldest);
            }
        }
        Ok(())
    }

    fn current_segment(&self) -> u32 {
        self.segments.last().copied().unwrap_or_default()
    }

    /// Goes on at the end of the log, after cutting a torn last frame.
    fn resume(folder: &Path, options: Options, lock: File, replay: Replay) -> anyhow::Result<Disk> {
        let mut segments: Vec<u32> = replay.segments.iter().map(|s| s.number).collect();
        let valid_bytes = replay.segments.last().map_or(0, |segment| segment.valid_bytes);
        let fresh = segments.is_empty();
        let number = segments.last().copied().unwrap_or(1);
        if fresh {
            segments.push(number);
        }
        let path = segment_path(folder, number);
        let file = File::options().create(true).append(true).open(path)?;
        file.set_len(valid_bytes)?;
        file.sync_all()?;
        sync_folder(folder)?;
        let groups = replay.groups.into_iter().map(|(id, group)| (id, GroupState::of(group)));
        Ok(Disk {
            folder: folder.to_path_buf(),
            options,
            _lock: lock,
            file,
            segments,
            offset: valid_bytes,
            sequence: replay.sequence,
            rotated: false,
            sealed: fresh,
            groups: groups.collect(),
        })
    }
}

impl GroupState {
    fn of(group: ReplayedGroup) -> GroupState {
        let mark = wire::SnapshotMark {
            index: group.snapshot.index.0,
            term: group.snapshot.term.0,
            members: Some(group.members.to_wire()),
            length: group.length,
            reset: false,
        };
        let compacted = group.snapshot.index;
        GroupState { ballot: group.ballot, mark, compacted, written: group.written }
    }

    fn has_entries_in(&self, segment: u32) -> bool {
        self.written.get(&segment).is_some_and(|last| *last > self.compacted)
    }
}

/// Refuses a folder with findings, and names them all.
fn check_findings(replay: &Replay) -> anyhow::Result<()> {
    if replay.findings.is_empty() {
        return Ok(());
    }
    let list = replay.findings.iter().map(|f| format!("{} at {}: {}", f.file, f.offset, f.text));
    bail!("it is damaged:\n{}", list.collect::<Vec<_>>().join("\n"))
}

fn ballot_record(group: GroupId, ballot: Ballot) -> wire::Record {
    let vote = ballot.vote.map(|vm| vm.0);
    let ballot = wire::Ballot { term: ballot.term.0, vote };
    wire::Record { group: group.0, body: Some(Body::Ballot(ballot)) }
}

fn mark_record(group: GroupId, mark: wire::SnapshotMark) -> wire::Record {
    wire::Record { group: group.0, body: Some(Body::Mark(mark)) }
}
