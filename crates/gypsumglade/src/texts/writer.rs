//! The thread that writes texts, with one sync for each batch, and reclaims disk space.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::PathBuf;
use std::sync::Arc;

use gypsumglade_core::wire::turn::Text;

use super::index::RecordLocation;
use super::record;
use super::segment;
use super::shared::{MAX_BATCH_BYTES, Move, Put, Shared, SyncedBatch, Work};

/// Bytes that are written to a failed disk to check whether it accepts writes again.
const PROBE_BYTES: usize = 4 * 1024;

/// An open segment.
struct Current {
    number: u32,
    file: File,
    /// Synced bytes; the next record begins here.
    length: u64,
}

/// Writes texts, and reclaims the space of dropped ones.
pub(super) struct Writer {
    shared: Arc<Shared>,
    folder: PathBuf,
    /// The segment that is written to, created by the first write. Existing files are never appended to:
    /// an earlier store of this process may still have the last one open.
    current: Option<Current>,
    /// The segment whose last write failed, until that write is removed.
    unsynced: Option<Current>,
    /// Number of the next segment.
    next_segment: u32,
    buffer: Vec<u8>,
}

impl Writer {
    pub(super) fn new(shared: Arc<Shared>, folder: PathBuf, next_segment: u32) -> Writer {
        Writer { shared, folder, current: None, unsynced: None, next_segment, buffer: Vec::new() }
    }

    /// Runs until the store is closed.
    pub(super) fn run(mut self) {
        while let Some(work) = self.shared.next_work(self.current.as_ref().map(|c| c.number)) {
            let done = match work {
                Work::Delete(segment) => self.delete(segment),
                Work::Write { puts, moves } => self.write(puts, &moves),
            };
            if let Err(error) = done {
                self.shared.fail();
                slog::crit!(self.shared.options.log,
                    "failed to write texts, puts are refused; free disk space or replace the disk";
                    "folder" => %self.folder.display(), "error" => %error);
                if !self.recover() {
                    return;
                }
            }
        }
    }

    /// Retries until the disk accepts writes again. Returns `false` if the store is closed first.
    ///
    /// Puts are refused in the meantime, so that their callers turn to another store at once.
    fn recover(&mut self) -> bool {
        self.unsynced = self.current.take();
        // The process may end during the pause; the next one must not find the unsynced records.
        let _ = self.discard_unsynced();
        while self.shared.wait_for_retry() {
            if self.probe_new_segment().is_ok() {
                self.shared.recover();
                slog::warn!(self.shared.options.log, "the disk accepts writes again, puts are accepted";
                    "folder" => %self.folder.display());
                return true;
            }
        }
        let _ = self.discard_unsynced();
        false
    }

    /// Creates a segment on a failed disk, and checks that a write to it can be synced.
    ///
    /// The old segment is not used again, as its content after a failed sync is not known.
    fn probe_new_segment(&mut self) -> io::Result<()> {
        self.discard_unsynced()?;
        self.buffer.clear();
        self.buffer.resize(PROBE_BYTES, 0);
        let current = self.create_segment()?;
        let probed = self.append_to(&current.file).and_then(|()| current.file.set_len(0));
        if let Err(error) = probed {
            // Otherwise each attempt would leave a file behind.
            let _ = fs::remove_file(segment::path(&self.folder, current.number));
            return Err(error);
        }
        self.current = Some(current);
        Ok(())
    }

    /// Deletes a segment without live texts.
    ///
    /// The folder isn't synced: if the file reappears after a power loss, its texts expire like all
    /// recovered ones and are dropped again.
    fn delete(&mut self, number: u32) -> io::Result<()> {
        self.current.take_if(|current| current.number == number);
        match fs::remove_file(segment::path(&self.folder, number)) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => self.shared.remove_segment(number),
        }
        Ok(())
    }

    fn write(&mut self, mut puts: Vec<Put>, moves: &[Move]) -> io::Result<()> {
        self.shared.retain_unsaved(&mut puts);
        self.buffer.clear();
        let mut synced = SyncedBatch::default();
        for put in &puts {
            for text in &put.texts {
                let location = self.push(text);
                synced.texts.push((text.turn.as_str().into(), location, put.expiry));
            }
        }
        self.push_moves(moves, &mut synced)?;
        if !self.buffer.is_empty() {
            let (segment, start) = self.open_segment(self.buffer.len() as u64)?;
            synced.assign_segment(segment, start);
            synced.bytes = self.append()?;
        }
        self.shared.publish(synced, puts);
        Ok(())
    }

    /// Appends a record to the buffer, and returns its location relative to the buffer.
    fn push(&mut self, text: &Text) -> RecordLocation {
        let offset = self.buffer.len();
        record::push(&mut self.buffer, text);
        let length = self.buffer.len() - offset;
        RecordLocation { segment: 0, offset: offset as u32, length: length as u32 }
    }

    /// Appends live texts of an old segment to the buffer. Unreadable ones are dropped, as the segment
    /// could never be deleted otherwise.
    fn push_moves(&mut self, moves: &[Move], synced: &mut SyncedBatch) -> io::Result<()> {
        let Some((_, first)) = moves.first() else { return Ok(()) };
        let file = File::open(segment::path(&self.folder, first.segment))?;
        for (turn, from) in moves {
            match segment::read(&file, *from, turn) {
                Ok(Some(text)) => {
                    let location = self.push(&text);
                    synced.moved.push((turn.clone(), *from, location));
                }
                Ok(None) | Err(_) => self.shared.drop_damaged(turn, *from),
            }
        }
        Ok(())
    }

    /// Writes and syncs the buffer, and returns its length.
    fn append(&mut self) -> io::Result<u64> {
        let Some(current) = &self.current else { return Ok(0) };
        self.append_to(&current.file)?;
        let bytes = self.buffer.len() as u64;
        self.buffer.clear();
        self.buffer.shrink_to(MAX_BATCH_BYTES as usize);
        self.current.iter_mut().for_each(|current| current.length += bytes);
        Ok(bytes)
    }

    /// Writes the buffer to the end of a file, and syncs it.
    fn append_to(&self, mut file: &File) -> io::Result<()> {
        let faults = &self.shared.options.faults;
        let writable = faults.allow_write(self.buffer.len());
        file.write_all(&self.buffer[..writable])?;
        if writable < self.buffer.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        faults.check_sync()?;
        file.sync_data()
    }

    /// Returns the segment to append `bytes` to and its length; creates a new one if they don't fit.
    fn open_segment(&mut self, bytes: u64) -> io::Result<(u32, u64)> {
        let limit = self.shared.options.segment_bytes();
        let fitting = self.current.as_ref().filter(|current| current.length + bytes <= limit);
        if let Some(current) = fitting {
            return Ok((current.number, current.length));
        }
        let current = self.create_segment()?;
        let number = current.number;
        self.current = Some(current);
        Ok((number, 0))
    }

    /// Creates a segment file, and syncs the folder before anything in the file is acknowledged.
    /// Otherwise a power loss could remove the name of the file although its data is synced.
    fn create_segment(&mut self) -> io::Result<Current> {
        let number = self.next_segment;
        self.next_segment += 1;
        let path = segment::path(&self.folder, number);
        let file = File::options().append(true).create_new(true).open(&path)?;
        if let Err(error) = self.shared.options.faults.sync_folder(&self.folder) {
            let _ = fs::remove_file(path);
            return Err(error);
        }
        Ok(Current { number, file, length: 0 })
    }

    /// Truncates the segment whose sync failed, and syncs it.
    ///
    /// After a failed sync the kernel may mark the unwritten pages as clean. The next process would read
    /// them, sync without effect and acknowledge a text that is not on the disk. No put is accepted until
    /// this truncation is synced.
    fn discard_unsynced(&mut self) -> io::Result<()> {
        let Some(old) = &self.unsynced else { return Ok(()) };
        old.file.set_len(old.length)?;
        self.shared.options.faults.check_sync()?;
        old.file.sync_all()?;
        if old.length == 0 {
            // The index doesn't know this segment and would never delete it.
            fs::remove_file(segment::path(&self.folder, old.number))?;
        }
        self.unsynced = None;
        Ok(())
    }
}

impl Drop for Writer {
    /// Fails the waiting puts, also if the thread panics.
    fn drop(&mut self) {
        self.shared.fail();
    }
}
