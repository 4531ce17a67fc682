//! Failures of the data folder: torn writes, flipped bits, a full disk, a failing sync.

use std::fs;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use gypsumglade::disk::{
    Disk, Faults, Job, JobWrite, NameChange, Options, RestoredGroup, Snapshot, inspect,
};
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Ballot, LogIndex, Members, Position, Term};
use gypsumglade_core::wire::replication::{Entry, EntryKind};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const VM: VmId = VmId(3);
const GROUP: GroupId = GroupId(1);
const OTHER: GroupId = GroupId(2);

struct Folder {
    _root: tempfile::TempDir,
    path: PathBuf,
    faults: Faults,
}

impl Folder {
    fn new() -> Folder {
        let root = tempfile::tempdir().expect("a folder");
        let path = root.path().join("data");
        Folder { _root: root, path, faults: Faults::default() }
    }

    fn options(&self, segment_bytes: u64) -> Options {
        Options { vm: VM, segment_bytes, faults: self.faults.clone() }
    }

    fn open(&self) -> anyhow::Result<(Disk, Vec<RestoredGroup>)> {
        Disk::open(&self.path, self.options(1 << 20))
    }

    fn refusal(&self) -> String {
        format!("{:#}", self.open().expect_err("the folder is refused"))
    }

    fn log(&self) -> PathBuf {
        self.path.join("log-0000000001")
    }
}

fn entry(index: u64) -> Entry {
    let data = Bytes::from(format!("command {index}"));
    Entry { term: 2, index, kind: EntryKind::Command.into(), data }
}

fn job(group: GroupId, write: JobWrite) -> Job {
    Job { group, sequence: None, write }
}

fn entries(group: GroupId, indexes: std::ops::RangeInclusive<u64>) -> Job {
    job(group, JobWrite::Entries(indexes.map(entry).collect()))
}

fn snapshot(group: GroupId, index: u64, data: &'static [u8], reset: bool) -> Job {
    let position = Position { index: LogIndex(index), term: Term(if index > 1 { 2 } else { 1 }) };
    let members = Members::from_voters(vec![VM, VmId(4)]);
    let data = Bytes::from_static(data);
    job(group, JobWrite::Snapshot(Snapshot { position, members, data, saved: 0, reset }))
}

/// Writes a group's start, a ballot and `count` frames of one entry each. Returns the length of
/// the log after each frame.
fn filled(folder: &Folder, count: u64) -> Vec<u64> {
    let (mut disk, _) = folder.open().expect("opened");
    let length = || fs::metadata(folder.log()).expect("a log").len();
    let ballot = Ballot { term: Term(2), vote: Some(VmId(4)) };
    let start = vec![snapshot(GROUP, 1, b"", true), job(GROUP, JobWrite::Ballot(ballot))];
    disk.write(&mut start.clone()).expect("written");
    let mut ends = vec![length()];
    for index in 2..2 + count {
        disk.write(&mut vec![entries(GROUP, index..=index)]).expect("written");
        ends.push(length());
    }
    ends
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("a folder");
    for file in fs::read_dir(from).expect("files") {
        let file = file.expect("a file");
        fs::copy(file.path(), to.join(file.file_name())).expect("copied");
    }
}

#[test]
fn open_torn_at_every_byte() {
    // The process dies during a write. Whatever part of it reached the disk, the next start keeps all
    // that was synced before, drops the rest, and can append.
    let whole = Folder::new();
    let ends = filled(&whole, 3);
    let (last, end) = (ends[2], ends[3]);
    for length in last..=end {
        let torn = Folder::new();
        copy(&whole.path, &torn.path);
        let log = fs::File::options().write(true).open(torn.log()).expect("a log");
        log.set_len(length).expect("cut");
        let (mut disk, groups) = torn.open().expect("a torn tail is no damage");
        let expected = if length == end { 3 } else { 2 };
        assert_eq!(groups[0].state.entries.len(), expected, "at {length}");
        assert_eq!(groups[0].state.ballot.vote, Some(VmId(4)));
        let next = 2 + expected as u64;
        disk.write(&mut vec![entries(GROUP, next..=next)]).expect("written");
        drop(disk);
        let (_, groups) = torn.open().expect("opened again");
        assert_eq!(groups[0].state.entries.len(), expected + 1);
    }
}

#[test]
fn open_flipped_bits() {
    // A bit flips in synced data. The start fails and names the file and offset, and leaves the folder
    // unchanged: truncating there would drop acknowledged entries.
    let whole = Folder::new();
    let ends = filled(&whole, 4);
    let synced = ends[3];
    let bytes = fs::read(whole.log()).expect("a log");
    let strategy = (0..synced as usize, 0..8u8);
    let config = ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let result = TestRunner::new(config).run(&strategy, |(at, bit)| {
        let damaged = Folder::new();
        copy(&whole.path, &damaged.path);
        let mut bytes = bytes.clone();
        bytes[at] ^= 1 << bit;
        fs::write(damaged.log(), &bytes).expect("written");
        let refusal = damaged.refusal();
        let start = ends.iter().rev().find(|&&end| end <= at as u64).copied().unwrap_or(0);
        let place = format!("log-0000000001 at {start}:");
        prop_assert!(refusal.contains(&place), "{refusal} names no {place}");
        prop_assert!(refusal.contains("replace this VM's replica"));
        prop_assert_eq!(&fs::read(damaged.log()).expect("a log"), &bytes);
        prop_assert!(!inspect(&damaged.path).expect("a report").is_sound());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn open_flipped_bit_after_seal() {
    // Damage to the last write looks like a torn write. An idle log is sealed, after which that damage
    // is refused too.
    let folder = Folder::new();
    let ends = filled(&folder, 2);
    let (mut disk, _) = folder.open().expect("opened");
    disk.seal().expect("sealed");
    drop(disk);
    let mut bytes = fs::read(folder.log()).expect("a log");
    bytes[ends[1] as usize + 30] ^= 1;
    fs::write(folder.log(), &bytes).expect("written");
    assert!(folder.refusal().contains(&format!("at {}:", ends[1])));
}

#[test]
fn write_full_disk() {
    // The disk fills up during a write, which fails with advice. Earlier writes survive.
    for room in [0, 1, 19, 40] {
        let folder = Folder::new();
        filled(&folder, 2);
        let (mut disk, _) = folder.open().expect("opened");
        folder.faults.fill_after(room);
        let error = disk.write(&mut vec![entries(GROUP, 4..=4)]).expect_err("no room");
        assert!(format!("{error:#}").contains("make room"), "{error:#}");
        drop(disk);
        let (_, groups) = folder.open().expect("opened");
        assert_eq!(groups[0].state.entries.len(), 2, "room for {room}");
    }
}

#[test]
fn write_failing_sync() {
    // After a failed sync, the write is not reported as done.
    let folder = Folder::new();
    filled(&folder, 2);
    let (mut disk, _) = folder.open().expect("opened");
    folder.faults.fail_syncs();
    assert!(disk.write(&mut vec![entries(GROUP, 4..=4)]).is_err());
}

#[test]
fn open_locked() {
    let folder = Folder::new();
    let (_disk, _) = folder.open().expect("opened");
    assert!(folder.refusal().contains("another process uses it"));
    assert!(inspect(&folder.path).expect("a report").locked);
}

#[test]
fn open_other_vm() {
    let folder = Folder::new();
    filled(&folder, 1);
    let options = Options { vm: VmId(9), ..folder.options(1 << 20) };
    let error = Disk::open(&folder.path, options).expect_err("refused");
    assert!(format!("{error:#}").contains("belongs to vm3 and this is vm9"), "{error:#}");
}

#[test]
fn open_other_format() {
    let folder = Folder::new();
    filled(&folder, 1);
    fs::write(folder.path.join("FORMAT"), "format: 2\nvm: 3\n").expect("written");
    assert!(folder.refusal().contains("its format is 2"));
}

#[test]
fn open_missing_segment() {
    let folder = Folder::new();
    let (mut disk, _) = Disk::open(&folder.path, folder.options(64)).expect("opened");
    disk.write(&mut vec![snapshot(GROUP, 1, b"", true)]).expect("written");
    for index in 2..6 {
        disk.write(&mut vec![entries(GROUP, index..=index)]).expect("written");
    }
    drop(disk);
    fs::remove_file(folder.path.join("log-0000000002")).expect("removed");
    assert!(folder.refusal().contains("a segment before it is missing"));
}

#[test]
fn open_damaged_snapshot() {
    let folder = Folder::new();
    filled(&folder, 2);
    let (mut disk, _) = folder.open().expect("opened");
    disk.write(&mut vec![snapshot(GROUP, 3, b"the state", false)]).expect("written");
    drop(disk);
    let file = folder.path.join(format!("snapshot-1-{:020}", 3));
    let mut bytes = fs::read(&file).expect("a snapshot");
    bytes[15] ^= 1;
    fs::write(&file, bytes).expect("written");
    assert!(folder.refusal().contains("the snapshot is damaged"));
}

#[test]
fn write_snapshot_drops_segments() {
    // Files that the snapshots of all groups cover are removed, or the log would fill the disk. A later
    // start finds everything that is still needed.
    let folder = Folder::new();
    let (mut disk, _) = Disk::open(&folder.path, folder.options(200)).expect("opened");
    for group in [GROUP, OTHER] {
        disk.write(&mut vec![snapshot(group, 1, b"", true)]).expect("written");
    }
    for index in 2..40 {
        disk.write(&mut vec![entries(GROUP, index..=index)]).expect("written");
        if index == 5 {
            disk.write(&mut vec![entries(OTHER, 2..=2)]).expect("written");
        }
    }
    assert_eq!(disk.blocking_groups(), [GROUP], "the other group began in a later file");
    let before = inspect(&folder.path).expect("a report").segments.len();
    disk.write(&mut vec![snapshot(GROUP, 35, b"one", false)]).expect("written");
    let first = inspect(&folder.path).expect("a report").segments[0].number;
    assert_eq!(first, 1, "entries may still be read");
    disk.write(&mut vec![job(GROUP, JobWrite::Compact(LogIndex(35)))]).expect("dropped");
    disk.write(&mut vec![entries(GROUP, 40..=40)]).expect("written");
    assert_eq!(disk.blocking_groups(), [OTHER], "only the seldom written group holds up the log");
    let pinned = inspect(&folder.path).expect("a report").segments.len();
    disk.write(&mut vec![snapshot(OTHER, 2, b"two", false)]).expect("written");
    disk.write(&mut vec![job(OTHER, JobWrite::Compact(LogIndex(2)))]).expect("dropped");
    drop(disk);
    let report = inspect(&folder.path).expect("a report");
    assert!(report.segments.len() < pinned && pinned < before + 2, "{report:?}");
    assert!(report.is_sound(), "{report:?}");

    let (_, groups) = Disk::open(&folder.path, folder.options(200)).expect("opened");
    let kept: Vec<_> = groups.iter().map(|g| (g.group, g.state.entries.len(), g.length)).collect();
    assert_eq!(kept, [(GROUP, 5, 3), (OTHER, 0, 3)]);
}

#[test]
fn write_overtaken_snapshot() {
    // A leader's newer snapshot is installed while an own one is being written. The older mark must not
    // follow it, since the log between the two is gone.
    let folder = Folder::new();
    filled(&folder, 4);
    let (mut disk, _) = folder.open().expect("opened");
    let mut own = snapshot(GROUP, 3, b"the older", false);
    let JobWrite::Snapshot(older) = &mut own.write else { unreachable!() };
    disk.snapshot_writer().save(GROUP, older).expect("saved");
    disk.write(&mut vec![snapshot(GROUP, 9, b"newer", true), own]).expect("written");
    drop(disk);
    let (_, groups) = folder.open().expect("opened");
    assert_eq!((groups[0].state.snapshot.index, groups[0].length), (LogIndex(9), 5));
    assert!(!folder.path.join(format!("snapshot-1-{:020}", 3)).exists());
}

#[test]
fn write_replaced_entries() {
    // A new leader replaces uncommitted entries, which must not reappear after a restart.
    let folder = Folder::new();
    filled(&folder, 4);
    let (mut disk, groups) = folder.open().expect("opened");
    assert_eq!(groups[0].state.entries.len(), 4);
    let newer = Entry { term: 3, ..entry(3) };
    disk.write(&mut vec![job(GROUP, JobWrite::Entries(vec![newer]))]).expect("written");
    drop(disk);
    let (disk, groups) = folder.open().expect("opened");
    let terms: Vec<_> = groups[0].state.entries.iter().map(|meta| meta.term.0).collect();
    assert_eq!(terms, [2, 3]);
    let read = disk.reader().entry(groups[0].locations[1]).expect("readable");
    assert_eq!((read.term, read.index), (3, 3));
}

/// Returns every subset of `names`.
fn subsets(names: &[PathBuf]) -> Vec<Vec<PathBuf>> {
    let picked = |bits: usize| {
        names.iter().enumerate().filter(move |(at, _)| bits >> at & 1 == 1).map(|(_, name)| name)
    };
    (0..1 << names.len()).map(|bits| picked(bits).cloned().collect()).collect()
}

/// A power loss undoes some removals of old segments. The store didn't start again.
#[test]
fn open_undone_removals() {
    let folder = Folder::new();
    let (mut disk, _) = Disk::open(&folder.path, folder.options(200)).expect("opened");
    disk.write(&mut vec![snapshot(GROUP, 1, b"", true)]).expect("written");
    for index in 2..20 {
        disk.write(&mut vec![entries(GROUP, index..=index)]).expect("written");
    }
    disk.write(&mut vec![snapshot(GROUP, 15, b"state", false)]).expect("written");
    let before = Folder::new();
    copy(&folder.path, &before.path);
    folder.faults.record_name_changes();
    disk.write(&mut vec![job(GROUP, JobWrite::Compact(LogIndex(15)))]).expect("compacted");
    let changes = folder.faults.name_changes();
    let removals = changes.iter().filter(|change| **change != NameChange::Synced).count();
    assert!(removals > 1, "several segments are removed at once: {changes:?}");

    let (mut durable, mut pending): (Vec<PathBuf>, Vec<PathBuf>) = Default::default();
    for change in changes {
        match change {
            NameChange::Removed(path) => pending.push(path),
            NameChange::Synced => durable.append(&mut pending),
        }
        for kept_removals in subsets(&pending) {
            let lost_power = Folder::new();
            copy(&before.path, &lost_power.path);
            for path in durable.iter().chain(&kept_removals) {
                let name = path.file_name().expect("a name");
                fs::remove_file(lost_power.path.join(name)).expect("removed");
            }
            let (_, groups) = lost_power.open().expect("removed segments aren't needed");
            assert_eq!(groups[0].state.entries.len(), 4, "without {kept_removals:?}");
        }
    }
}

/// Power is lost while a new segment is created, and only its empty file survives. Older segments must
/// be kept for what it would have repeated.
#[test]
fn open_empty_new_segment() {
    let folder = Folder::new();
    filled(&folder, 4);
    let (mut disk, _) = folder.open().expect("opened");
    disk.write(&mut vec![snapshot(GROUP, 3, b"state", false)]).expect("written");
    drop(disk);
    fs::write(folder.path.join("log-0000000002"), b"").expect("created");
    let (mut disk, _) = folder.open().expect("opened with an empty segment");
    disk.write(&mut vec![entries(GROUP, 6..=6)]).expect("written");
    disk.write(&mut vec![snapshot(GROUP, 5, b"newer", false)]).expect("written");
    disk.write(&mut vec![job(GROUP, JobWrite::Compact(LogIndex(5)))]).expect("compacted");
    drop(disk);
    let (_, groups) = folder.open().expect("opened after the old segment went");
    assert_eq!(groups[0].state.ballot.vote, Some(VmId(4)), "a lost vote could be cast again");
    assert_eq!(groups[0].state.snapshot.index, LogIndex(5));
    assert_eq!(groups[0].state.entries.len(), 1);
}

/// The same for a group whose only mark is in the older segment: without it, entries seem to be missing
/// and the store didn't start again.
#[test]
fn open_empty_new_segment_mark() {
    let folder = Folder::new();
    filled(&folder, 4);
    let (mut disk, _) = folder.open().expect("opened");
    disk.write(&mut vec![snapshot(OTHER, 9, b"installed", true)]).expect("written");
    drop(disk);
    fs::write(folder.path.join("log-0000000002"), b"").expect("created");
    let (mut disk, _) = folder.open().expect("opened with an empty segment");
    disk.write(&mut vec![entries(OTHER, 10..=11)]).expect("written");
    disk.write(&mut vec![snapshot(GROUP, 5, b"state", false)]).expect("written");
    disk.write(&mut vec![job(GROUP, JobWrite::Compact(LogIndex(5)))]).expect("compacted");
    drop(disk);
    let (_, groups) = folder.open().expect("opened after the old segment went");
    assert_eq!(groups[1].state.snapshot.index, LogIndex(9));
    assert_eq!(groups[1].state.entries.len(), 2);
}
