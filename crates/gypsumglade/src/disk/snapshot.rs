//! Snapshot files: a header with length and checksum, followed by the data.

use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::LogIndex;

use super::faults::Faults;
use super::folder::write_atomically;
use super::room::RoomWait;
use super::types::Snapshot;

/// Length of the header in bytes: data length and checksum.
const HEADER_BYTES: u64 = 12;
const PREFIX: &str = "snapshot-";
/// Advice on a failed write.
pub(super) const WRITE_ADVICE: &str = "make room or replace the disk, then restart the process \
     (nothing that was acknowledged is lost)";

/// Writes snapshot files independently of the log. The log records a snapshot after its file is
/// written.
#[derive(Clone, Debug)]
pub struct SnapshotWriter {
    folder: PathBuf,
    faults: Faults,
    room: Option<RoomWait>,
}

impl SnapshotWriter {
    pub(super) fn new(folder: PathBuf, faults: Faults, room: Option<RoomWait>) -> SnapshotWriter {
        SnapshotWriter { folder, faults, room }
    }

    /// Writes the file of a snapshot, and clears its data. Only its mark remains to be written to the log.
    pub fn save(&self, group: GroupId, snapshot: &mut Snapshot) -> anyhow::Result<()> {
        let index = snapshot.position.index;
        let room = self.room.as_ref();
        let written = write(&self.folder, group, index, &snapshot.data, &self.faults, room);
        written.with_context(|| {
            format!("the snapshot of {group} at {index} can't be written; {WRITE_ADVICE}")
        })?;
        snapshot.saved = snapshot.length();
        snapshot.data = Bytes::new();
        Ok(())
    }
}

pub(super) fn name(group: GroupId, index: LogIndex) -> String {
    format!("{PREFIX}{}-{:020}", group.0, index.0)
}

pub(super) fn write(
    folder: &Path,
    group: GroupId,
    index: LogIndex,
    data: &[u8],
    faults: &Faults,
    room: Option<&RoomWait>,
) -> io::Result<()> {
    let write = || write_once(folder, &name(group, index), data, faults);
    match room {
        Some(room) => room.retry(&folder.join(name(group, index)), data.len(), write),
        None => write(),
    }
}

fn write_once(folder: &Path, name: &str, data: &[u8], faults: &Faults) -> io::Result<()> {
    if faults.allow_write(data.len()) < data.len() {
        return Err(io::ErrorKind::StorageFull.into());
    }
    faults.check_sync()?;
    let length = (data.len() as u64).to_le_bytes();
    let checksum = crc32fast::hash(data).to_le_bytes();
    write_atomically(folder, name, &[&length, &checksum, data])
}

/// Reads a part of a snapshot. The checksum of the file was verified when the folder was opened.
pub(super) fn read(
    folder: &Path,
    group: GroupId,
    index: LogIndex,
    offset: u64,
    length: usize,
) -> anyhow::Result<Bytes> {
    let file = File::open(folder.join(name(group, index)))?;
    let mut data = vec![0; length];
    file.read_exact_at(&mut data, HEADER_BYTES + offset)?;
    Ok(Bytes::from(data))
}

/// Verifies a snapshot file against its checksum and the length recorded in the log.
pub(super) fn check(
    folder: &Path,
    group: GroupId,
    index: LogIndex,
    length: u64,
) -> anyhow::Result<()> {
    let path = folder.join(name(group, index));
    let bytes = fs::read(&path).context("the file can't be read")?;
    let (header, data) =
        bytes.split_at_checked(HEADER_BYTES as usize).context("the file is truncated")?;
    let (stored, checksum) = header.split_at(8);
    if stored != length.to_le_bytes() || data.len() as u64 != length {
        bail!("its length is not the {length} bytes recorded in the log");
    }
    if checksum != crc32fast::hash(data).to_le_bytes() {
        bail!("its checksum doesn't match its data");
    }
    Ok(())
}

/// Removes snapshot files that are not in `keep`, such as those left behind by a crash.
pub(super) fn remove_unreferenced(folder: &Path, keep: &[String]) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name();
        let name = name.to_string_lossy();
        if name.starts_with(PREFIX) && !keep.iter().any(|kept| *kept == name) {
            fs::remove_file(entry.path())?;
        }
    }
    Ok(())
}
