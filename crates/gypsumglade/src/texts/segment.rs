//! Names, records and recovery scans of segment files.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Text;

use super::index::RecordLocation;
use super::record::{self, HEADER_BYTES, Header, MAGIC};

/// Bytes that a scan reads at a time.
const READ_BYTES: usize = 64 * 1024;
const PREFIX: &str = "texts-";

pub(super) fn path(folder: &Path, number: u32) -> PathBuf {
    folder.join(format!("{PREFIX}{number:010}"))
}

/// Returns the length in bytes of each segment file, by its number.
pub(super) fn lengths(folder: &Path) -> io::Result<BTreeMap<u32, u64>> {
    let mut lengths = BTreeMap::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(PREFIX));
        if let Some(number) = number.and_then(|number| number.parse().ok()) {
            lengths.insert(number, entry.metadata()?.len());
        }
    }
    Ok(lengths)
}

/// Reads the bytes of one record.
pub(super) fn read_raw(file: &File, location: RecordLocation) -> io::Result<Bytes> {
    let mut bytes = vec![0; location.length as usize];
    file.read_exact_at(&mut bytes, u64::from(location.offset))?;
    Ok(Bytes::from(bytes))
}

/// Reads a text. Returns `None` if its record is damaged or belongs to another turn.
pub(super) fn read(file: &File, location: RecordLocation, turn: &str) -> io::Result<Option<Text>> {
    let text = record::read(read_raw(file, location)?);
    Ok(text.filter(|text| text.turn == turn))
}

/// Result of the scan of a file.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Scanned {
    /// Offset of the end of the last valid record.
    pub(super) valid_length: u64,
    /// Length of the file, in bytes.
    pub(super) length: u64,
    /// Damaged ranges before the last valid record.
    pub(super) damaged: u64,
}

/// A file that is scanned in chunks.
struct Scan<'a> {
    file: &'a File,
    length: u64,
    chunk: Vec<u8>,
}

/// Finds the valid records of a file, and passes the turn, offset and length of each to `found`.
///
/// Damaged ranges are skipped. They don't imply a faulty disk: after a power loss each of the unsynced
/// writes, none of which was acknowledged, may be present, missing or incomplete.
pub(super) fn scan(
    file: &File,
    mut found: impl FnMut(CompactString, u64, u64),
) -> io::Result<Scanned> {
    let length = file.metadata()?.len();
    let mut scan = Scan { file, length, chunk: vec![0; READ_BYTES] };
    let mut scanned = Scanned { length, ..Scanned::default() };
    // Counted as damage only if a valid record follows; at the end it is an incomplete write.
    let mut skipped = 0;
    let mut at = 0;
    while at < length {
        let Some(header) = scan.header(at)? else {
            skipped += 1;
            at = scan.find_header(at + 1)?;
            continue;
        };
        let size = header.length() as u64;
        match scan.check_record(at, &header)? {
            Some(turn) => {
                scanned.damaged += std::mem::take(&mut skipped);
                scanned.valid_length = at + size;
                found(turn, at, size);
            }
            None => skipped += 1,
        }
        at += size;
    }
    Ok(scanned)
}

impl Scan<'_> {
    /// Reads the header at `at`. Returns `None` if it is damaged or its record exceeds the file.
    fn header(&self, at: u64) -> io::Result<Option<Header>> {
        let mut bytes = [0; HEADER_BYTES];
        if at + HEADER_BYTES as u64 > self.length {
            return Ok(None);
        }
        self.file.read_exact_at(&mut bytes, at)?;
        let header = Header::read(&bytes);
        Ok(header.filter(|header| at + header.length() as u64 <= self.length))
    }

    /// Returns the turn of the record at `at`, or `None` if the record is damaged.
    fn check_record(&mut self, at: u64, header: &Header) -> io::Result<Option<CompactString>> {
        let mut checksum = crc32fast::Hasher::new();
        let mut turn = None;
        let end = at + header.length() as u64;
        let mut next = at + HEADER_BYTES as u64;
        while next < end {
            let count = (end - next).min(READ_BYTES as u64) as usize;
            let chunk = &mut self.chunk[..count];
            self.file.read_exact_at(chunk, next)?;
            checksum.update(chunk);
            if turn.is_none() {
                turn = Some(record::turn(&chunk[..header.name]));
            }
            next += count as u64;
        }
        Ok(turn.flatten().filter(|_| checksum.finalize() == header.checksum))
    }

    /// Returns the offset of the next valid header at or after `at`, or the end of the file.
    fn find_header(&mut self, mut at: u64) -> io::Result<u64> {
        while at + HEADER_BYTES as u64 <= self.length {
            let count = (self.length - at).min(READ_BYTES as u64) as usize;
            self.file.read_exact_at(&mut self.chunk[..count], at)?;
            let candidates = self.chunk[..count].windows(MAGIC.len()).enumerate();
            let candidates =
                candidates.filter(|(_, bytes)| *bytes == MAGIC).map(|(i, _)| at + i as u64);
            for candidate in candidates {
                if self.header(candidate)?.is_some() {
                    return Ok(candidate);
                }
            }
            // The magic may span two chunks.
            at += (count - (MAGIC.len() - 1)) as u64;
        }
        Ok(self.length)
    }
}
