//! Writes the log, with one frame and one sync for each batch of jobs.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Ballot, LogIndex, Term};
use gypsumglade_core::wire::replication as wire;
use gypsumglade_core::wire::replication::record::Body;

use super::folder::{check_format, lock, segment_path, sync_folder};
use super::frame::FrameWriter;
use super::reader::Reader;
use super::replay::{Replay, ReplayedGroup, ReplayedSegment, replay};
use super::room::RoomWait;
use super::snapshot::{self, SnapshotWriter, WRITE_ADVICE};
use super::types::{
    CompletedJob, Job, JobWrite, Options, RecordLocation, RestoredGroup, Snapshot, WrittenEntry,
};

/// Number of segment files above which groups are asked to compact their logs.
const MAX_KEPT_SEGMENTS: usize = 4;

/// The open data folder of one VM.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    options: Options,
    /// Locks the folder until it is dropped.
    _lock: File,
    file: File,
    /// Numbers of the segment files in order; the last one is written to.
    segments: Vec<u32>,
    /// Offset of the next frame in the last segment.
    offset: u64,
    /// Sequence number of the last frame.
    sequence: u64,
    /// Whether a segment was created since [`Disk::blocking_groups`] was last called.
    rotated: bool,
    /// Whether the last frame is empty.
    sealed: bool,
    groups: BTreeMap<GroupId, GroupState>,
    /// Waits for room on a full disk; without it, a write fails.
    room: Option<RoomWait>,
}

/// State of a group that each new segment repeats, so that older segments can be removed.
#[derive(Debug, Default)]
struct GroupState {
    ballot: Ballot,
    mark: wire::SnapshotMark,
    /// Entries up to this index are not read any more. Updated after the mark: covered entries may
    /// still be read when the snapshot is synced.
    compacted: LogIndex,
    /// Highest index written to each segment.
    written: BTreeMap<u32, LogIndex>,
}

impl Disk {
    /// Opens a data folder, creating it if necessary, and removes an incomplete write at the end of the
    /// log. Fails if the folder is damaged, locked, of another format version or owned by another VM.
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

    /// Returns a reader for what this disk has synced.
    pub fn reader(&self) -> Reader {
        Reader::new(self.folder.clone())
    }

    /// Returns a writer of snapshot files that can be used concurrently with this disk.
    pub fn snapshot_writer(&self) -> SnapshotWriter {
        let (folder, faults) = (self.folder.clone(), self.options.faults.clone());
        SnapshotWriter::new(folder, faults, self.room.clone())
    }

    /// Lets writes wait for room on a full disk from now on, instead of failing.
    pub fn wait_for_room(&mut self, room: RoomWait) {
        self.room = Some(room);
    }

    /// Writes all jobs, and returns once they are synced. After an error the disk must not be used any
    /// more, as its content is not known.
    pub fn write(&mut self, jobs: &mut Vec<Job>) -> anyhow::Result<Vec<CompletedJob>> {
        self.write_frame(jobs).with_context(|| {
            format!("the data folder {} can't be written; {WRITE_ADVICE}", self.folder.display())
        })
    }

    /// Returns the groups whose entries keep the oldest segment from being removed. Returns them once for
    /// each new segment, and only if there are many segments.
    ///
    /// A group that is seldom written doesn't take snapshots on its own, and would keep all segments
    /// since its last entries on the disk.
    pub fn blocking_groups(&mut self) -> Vec<GroupId> {
        if !std::mem::take(&mut self.rotated) || self.segments.len() <= MAX_KEPT_SEGMENTS {
            return Vec::new();
        }
        let oldest = self.segments[0];
        let blocks =
            |(&id, state): (&GroupId, &GroupState)| state.has_entries_in(oldest).then_some(id);
        self.groups.iter().filter_map(blocks).collect()
    }

    /// Appends an empty frame, unless the last frame is empty.
    ///
    /// A damaged last frame can't be distinguished from an incomplete write and is removed at the next
    /// start. With an empty frame at the end, damage to an idle log never removes acknowledged records.
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
            self.options.faults.remove_log_file(&self.folder.join(name))?;
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

    /// Writes the file of a snapshot before its mark, so that a mark never refers to a missing file.
    /// Returns the name of the file that is not needed any more, if any.
    fn push_snapshot(
        &mut self,
        frame: &mut FrameWriter,
        group: GroupId,
        snapshot: &Snapshot,
    ) -> anyhow::Result<Option<String>> {
        let index = snapshot.position.index;
        let length = snapshot.length();
        let current = self.groups.get(&group).map_or(0, |state| state.mark.index);
        if !snapshot.reset && index.0 < current {
            // A newer snapshot arrived from the leader while this file was being written.
            return Ok((length > 0).then(|| snapshot::name(group, index)));
        }
        if !snapshot.data.is_empty() {
            let faults = &self.options.faults;
            let room = self.room.as_ref();
            snapshot::write(&self.folder, group, index, &snapshot.data, faults, room)?;
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
        match &self.room {
            Some(room) => {
                let path = segment_path(&self.folder, self.current_segment());
                room.retry(&path, bytes.len(), || self.write_bytes(&bytes))?;
            }
            None => self.write_bytes(&bytes)?,
        }
        self.options.faults.check_sync()?;
        self.file.sync_data()?;
        self.sequence += 1;
        self.offset += bytes.len() as u64;
        Ok(())
    }

    /// Appends bytes to the segment. Removes what was written of them if the disk is full, so that
    /// the write can be repeated.
    fn write_bytes(&self, bytes: &[u8]) -> io::Result<()> {
        let writable = self.options.faults.allow_write(bytes.len());
        let mut file = &self.file;
        let mut written = file.write_all(&bytes[..writable]);
        if written.is_ok() && writable < bytes.len() {
            written = Err(io::ErrorKind::StorageFull.into());
        }
        if matches!(&written, Err(error) if error.kind() == io::ErrorKind::StorageFull) {
            self.file.set_len(self.offset)?;
        }
        written
    }

    /// Creates a segment that begins with the ballots and snapshot marks of all groups.
    fn begin_segment(&mut self) -> anyhow::Result<()> {
        let number = self.segments.last().map_or(1, |last| last + 1);
        let path = segment_path(&self.folder, number);
        let create = || File::options().create_new(true).append(true).open(&path);
        self.file = match &self.room {
            Some(room) => room.retry(&path, 0, create)?,
            None => create()?,
        };
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
        self.options.faults.sync_log_folder(&self.folder)?;
        Ok(())
    }

    /// Removes the oldest segments that hold no entry that is still needed.
    ///
    /// A power loss may undo removals that no sync of the folder followed, each on its own. Each one is
    /// therefore synced before the next: a gap between the segments would look like damage.
    fn remove_unused_segments(&mut self) -> anyhow::Result<()> {
        while self.segments.len() > 1 {
            let oldest = self.segments[0];
            let in_use = self.groups.values().any(|group| group.has_entries_in(oldest));
            if in_use {
                return Ok(());
            }
            let faults = &self.options.faults;
            faults.remove_log_file(&segment_path(&self.folder, oldest))?;
            faults.sync_log_folder(&self.folder)?;
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

    /// Opens the last segment for appending, and removes an incomplete frame at its end.
    fn resume(
        folder: &Path,
        options: Options,
        lock: File,
        mut replay: Replay,
    ) -> anyhow::Result<Disk> {
        remove_empty_segment(folder, &mut replay.segments)?;
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
            room: None,
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

/// Removes the last segment if a crash left it without its first frame and it isn't the only one.
///
/// That frame repeats the ballots and snapshot marks of all groups. Without it they would go with the
/// older segments.
fn remove_empty_segment(folder: &Path, segments: &mut Vec<ReplayedSegment>) -> anyhow::Result<()> {
    let [.., _, last] = segments.as_slice() else { return Ok(()) };
    if last.valid_bytes > 0 {
        return Ok(());
    }
    fs::remove_file(segment_path(folder, last.number))?;
    segments.pop();
    sync_folder(folder)?;
    Ok(())
}

/// Fails with a list of all findings, if there are any.
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
