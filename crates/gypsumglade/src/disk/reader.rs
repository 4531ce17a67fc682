//! Reads single entries and chunks of snapshots while the log is being written.

use std::collections::HashMap;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

use anyhow::{Context, bail};
use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::LogIndex;
use gypsumglade_core::wire::replication::Entry;
use gypsumglade_core::wire::replication::record::Body;

use super::folder::segment_path;
use super::frame::read_record;
use super::snapshot;
use super::types::RecordLocation;

/// Maximum number of segment files kept open.
const OPEN_FILES: usize = 16;

/// Reads synced entries and snapshots.
#[derive(Debug)]
pub struct Reader {
    folder: PathBuf,
    files: HashMap<u32, File>,
}

impl Reader {
    pub(super) fn new(folder: PathBuf) -> Reader {
        Reader { folder, files: HashMap::new() }
    }

    /// Reads the entry at `location`, and verifies its checksum.
    pub fn entry(&mut self, location: RecordLocation) -> anyhow::Result<Entry> {
        let path = segment_path(&self.folder, location.segment);
        let mut bytes = vec![0; location.length as usize];
        let file = self.open(location.segment)?;
        file.read_exact_at(&mut bytes, u64::from(location.offset))
            .with_context(|| format!("{} can't be read at {}", path.display(), location.offset))?;
        match read_record(&bytes).and_then(|(record, _)| record.body) {
            Some(Body::Entry(entry)) => Ok(entry),
            _ => bail!(
                "{} is damaged at offset {}; check the disk, then replace this VM's replica",
                path.display(),
                location.offset
            ),
        }
    }

    /// Reads `length` bytes at `offset` of a group's snapshot.
    pub fn snapshot(
        &self,
        group: GroupId,
        index: LogIndex,
        offset: u64,
        length: usize,
    ) -> anyhow::Result<Bytes> {
        snapshot::read(&self.folder, group, index, offset, length)
            .with_context(|| format!("the snapshot of {group} at {index} can't be read"))
    }

    fn open(&mut self, segment: u32) -> anyhow::Result<&File> {
        if self.files.len() >= OPEN_FILES && !self.files.contains_key(&segment) {
            self.files.clear();
        }
        let path = segment_path(&self.folder, segment);
        match self.files.entry(segment) {
            std::collections::hash_map::Entry::Occupied(open) => Ok(open.into_mut()),
            std::collections::hash_map::Entry::Vacant(free) => {
                let file = File::open(&path)
                    .with_context(|| format!("{} can't be opened", path.display()))?;
                Ok(free.insert(file))
            }
        }
    }
}
