//! The thread that indexes the segments of an earlier process while the store is already in use.

use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

use gypsumglade_core::prelude::*;

use super::index::RecordLocation;
use super::segment::{self, Scanned};
use super::shared::Shared;

/// Texts that are added to the index under one lock; bounds how long callers wait for it.
const FOUND_BATCH: usize = 1_024;

/// Scans the segments of an earlier process.
pub(super) struct Scanner {
    shared: Arc<Shared>,
    folder: PathBuf,
    /// Newest first.
    segments: Vec<u32>,
}

impl Scanner {
    pub(super) fn new(shared: Arc<Shared>, folder: PathBuf, segments: Vec<u32>) -> Scanner {
        Scanner { shared, folder, segments }
    }

    /// Scans all segments, and stops early if the store is closed.
    pub(super) fn run(self) {
        let options = &self.shared.options;
        let expiry = self.shared.now() + options.recovered_retention;
        for &number in &self.segments {
            options.faults.wait_scan();
            if self.shared.is_closed() {
                return;
            }
            match self.scan(number, expiry) {
                Ok(scanned) if scanned.damaged > 0 || scanned.valid_length < scanned.length => {
                    slog::warn!(options.log, "a segment of texts was damaged or truncated";
                        "segment" => number, "damaged" => scanned.damaged,
                        "cut" => scanned.length - scanned.valid_length);
                }
                Ok(_) => {}
                // The file is kept: a later process may be able to read it.
                Err(error) => {
                    slog::crit!(options.log, "failed to scan a segment of texts; its texts are unavailable";
                        "path" => %segment::path(&self.folder, number).display(), "error" => %error);
                }
            }
        }
    }

    /// Scans a segment, removes an incomplete write at its end, and adds its texts to the index.
    ///
    /// The file is synced before its texts are added: a killed process may leave unsynced writes, and a
    /// put of an indexed text is acknowledged without a sync. This applies to every segment, not only to
    /// the last one, as a process that is killed during its scan may have created later segments.
    fn scan(&self, number: u32, expiry: Time) -> io::Result<Scanned> {
        let path = segment::path(&self.folder, number);
        let file = File::options().read(true).write(true).open(path)?;
        let mut found = Vec::new();
        let scanned = segment::scan(&file, |turn, offset, length| {
            let (offset, length) = (offset as u32, length as u32);
            found.push((turn, RecordLocation { segment: number, offset, length }));
        })?;
        if scanned.valid_length < scanned.length {
            file.set_len(scanned.valid_length)?;
        }
        file.sync_all()?;
        // Newest first, like the segments: the index keeps the first record of a text that it is given.
        found.reverse();
        while !found.is_empty() {
            let rest = found.split_off(found.len().min(FOUND_BATCH));
            self.shared.insert_scanned(found, expiry);
            found = rest;
        }
        self.shared.finish_scan(number, &scanned);
        Ok(scanned)
    }
}

impl Drop for Scanner {
    /// Releases callers that wait for the scan, also if the thread panics.
    fn drop(&mut self) {
        self.shared.finish_scanning();
    }
}
