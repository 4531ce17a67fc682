//! The thread that finds what an earlier process left, while the store is in use already.

use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;

use gypsumglade_core::prelude::*;

use super::index::RecordLocation;
use super::segment::{self, Scanned};
use super::shared::Shared;

/// Texts that are made known at one time, so that no caller waits for those of a whole segment.
const FOUND_BATCH: usize = 1_024;

/// Scans the segments of an earlier process.
pub(super) struct Scanner {
    shared: Arc<Shared>,
    folder: PathBuf,
    /// From the newest on.
    segments: Vec<u32>,
}

impl Scanner {
    pub(super) fn new(shared: Arc<Shared>, folder: PathBuf, segments: Vec<u32>) -> Scanner {
        Scanner { shared, folder, segments }
    }

    /// Scans all segments, or those until the store is closed.
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
                    slog::warn!(options.log, "a file of texts was damaged or cut short";
                        "segment" => number, "damaged" => scanned.damaged,
                        "cut" => scanned.length - scanned.valid_length);
                }
                Ok(_) => {}
                // It stays as it is, for the next process may be able to read it.
                Err(error) => {
                    slog::crit!(options.log, "a file of texts can't be read or cut; its texts are absent";
                        "path" => %segment::path(&self.folder, number).display(), "error" => %error);
                }
            }
        }
    }

    /// Reads a segment, cuts off a last write that was cut short, and makes known what is in it.
    ///
    /// It is synced first: a process that was killed leaves writes that nobody has synced, and a text
    /// that is found is acknowledged at its next put without a sync. Any segment may have such writes,
    /// for one that was killed while it scanned may have begun later ones.
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
        // Backwards, as the segments are: of two records of a text the later one counts.
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
    /// Ends the wait of those who ask for texts, also if the thread panicked.
    fn drop(&mut self) {
        self.shared.finish_scanning();
    }
}
