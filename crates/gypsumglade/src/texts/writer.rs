//! The thread that writes: one write and one sync for all texts at hand.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::PathBuf;
use std::sync::Arc;

use gypsumglade_core::wire::turn::Text;

use super::index::RecordLocation;
use super::record;
use super::segment;
use super::shared::{MAX_BATCH_BYTES, Move, Put, Shared, SyncedBatch, Work};

/// Bytes that a disk which failed must take before puts are taken again: a block.
const PROBE_BYTES: usize = 4 * 1024;

/// The segment that is written to.
struct Current {
    number: u32,
    file: File,
    /// Bytes that are synced; the next record goes there.
    length: u64,
}

/// Writes texts, and gets space back from those that were dropped.
pub(super) struct Writer {
    shared: Arc<Shared>,
    folder: PathBuf,
    /// Opened by the first write. It is always a new file: an earlier process in this address space may
    /// still hold the last one.
    current: Option<Current>,
    /// The segment whose last write failed, until that is cut off.
    unsynced: Option<Current>,
    /// Number of the next segment.
    next_segment: u32,
    buffer: Vec<u8>,
}

impl Writer {
    pub(super) fn new(shared: Arc<Shared>, folder: PathBuf, next_segment: u32) -> Writer {
        Writer { shared, folder, current: None, unsynced: None, next_segment, buffer: Vec::new() }
    }

    /// Writes until the store is closed.
    pub(super) fn run(mut self) {
        while let Some(work) = self.shared.next_work(self.current.as_ref().map(|c| c.number)) {
            let done = match work {
                Work::Delete(segment) => self.delete(segment),
                Work::Write { puts, moves } => self.write(puts, &moves),
            };
            if let Err(error) = done {
                self.shared.fail();
                slog::crit!(self.shared.options.log,
                    "texts can't be written and are refused; make room or replace the disk";
                    "folder" => %self.folder.display(), "error" => %error);
                if !self.recover() {
                    return;
                }
            }
        }
    }

    /// Tries until the disk takes writes again. Returns false if the store is closed before.
    ///
    /// Puts are refused meanwhile: their callers go to another store at once, and would wait here.
    fn recover(&mut self) -> bool {
        self.unsynced = self.current.take();
        // A process that is ended during the pause must not leave what the failed sync did.
        let _ = self.discard_unsynced();
        while self.shared.wait_for_retry() {
            if self.probe_new_segment().is_ok() {
                self.shared.recover();
                slog::warn!(self.shared.options.log, "texts can be written again";
                    "folder" => %self.folder.display());
                return true;
            }
        }
        let _ = self.discard_unsynced();
        false
    }

    /// Begins a new segment on a disk that failed, once a write to it could be synced.
    ///
    /// Nothing goes to the old one any more: what a failed sync left of it is not known.
    fn probe_new_segment(&mut self) -> io::Result<()> {
        self.discard_unsynced()?;
        self.buffer.clear();
        self.buffer.resize(PROBE_BYTES, 0);
        let current = self.create_segment()?;
        let probed = self.append_to(&current.file).and_then(|()| current.file.set_len(0));
        if let Err(error) = probed {
            // An empty file, or one of zeros, is no harm; a new one for each try would be.
            let _ = fs::remove_file(segment::path(&self.folder, current.number));
            return Err(error);
        }
        self.current = Some(current);
        Ok(())
    }

    /// Deletes a segment none of whose texts is live.
    ///
    /// The folder isn't synced. A file that comes back after a power loss brings texts that are found at
    /// open, are due soon after like all others, and are dropped again.
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

    /// Adds a record to the buffer, and returns its place there.
    fn push(&mut self, text: &Text) -> RecordLocation {
        let offset = self.buffer.len();
        record::push(&mut self.buffer, text);
        let length = self.buffer.len() - offset;
        RecordLocation { segment: 0, offset: offset as u32, length: length as u32 }
    }

    /// Adds live texts of an old segment. One that can't be read is dropped: it can't be had back here,
    /// and its segment would stay for ever.
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

    /// Returns the segment that `bytes` go to and its length; begins a new one if they don't fit.
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

    /// Makes a new segment file.
    ///
    /// A file's data can be stable while its name isn't, and then a power loss takes the whole file. So
    /// the folder is synced before anything in the new file is acknowledged.
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

    /// Cuts off what a failed sync may have left in memory only.
    ///
    /// The kernel may take pages for clean after a failed sync. The next process would read them, sync
    /// them to no effect and acknowledge a text that is not on the disk. Until the cut is synced no
    /// further put is taken, so the file is still the last one, which the next process syncs and cuts.
    fn discard_unsynced(&mut self) -> io::Result<()> {
        let Some(old) = &self.unsynced else { return Ok(()) };
        old.file.set_len(old.length)?;
        self.shared.options.faults.check_sync()?;
        old.file.sync_all()?;
        if old.length == 0 {
            // The index knows of no text in it, and would never have it deleted.
            fs::remove_file(segment::path(&self.folder, old.number))?;
        }
        self.unsynced = None;
        Ok(())
    }
}

impl Drop for Writer {
    /// Answers whoever waits, also if the thread panicked: without a writer nobody else would.
    fn drop(&mut self) {
        self.shared.fail();
    }
}
