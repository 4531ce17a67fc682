//! Segment files: their names, and what a scan finds in them.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Text;

use super::index::Place;
use super::record::{self, HEADER_BYTES, Header, MAGIC};

/// Bytes that a scan reads at one time, whatever a file or a record holds.
const PIECE_BYTES: usize = 64 * 1024;
const PREFIX: &str = "texts-";

pub(super) fn path(folder: &Path, number: u32) -> PathBuf {
    folder.join(format!("{PREFIX}{number:010}"))
}

/// Returns the bytes of each segment file, by its number.
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
pub(super) fn read_raw(file: &File, place: Place) -> io::Result<Bytes> {
    let mut bytes = vec![0; place.length as usize];
    file.read_exact_at(&mut bytes, u64::from(place.offset))?;
    Ok(Bytes::from(bytes))
}

/// Reads one text, if its record is whole and of this turn.
pub(super) fn read(file: &File, place: Place, turn: &str) -> io::Result<Option<Text>> {
    let text = record::read(read_raw(file, place)?);
    Ok(text.filter(|text| text.turn == turn))
}

/// What a scan found in a file.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Scanned {
    /// End of the last whole record.
    pub(super) whole: u64,
    /// Bytes of the file.
    pub(super) length: u64,
    /// Damaged places before the last whole record.
    pub(super) damaged: u64,
}

/// A file that is scanned, piece by piece.
struct Scan<'a> {
    file: &'a File,
    length: u64,
    piece: Vec<u8>,
}

/// Finds the whole records of a file, and gives each one's turn, offset and length to `found`.
///
/// Damage in the middle is stepped over. It need not be the disk's fault: after a power loss each of
/// the unsynced writes may be there, missing or torn. None of those was acknowledged.
pub(super) fn scan(
    file: &File,
    mut found: impl FnMut(CompactString, u64, u64),
) -> io::Result<Scanned> {
    let length = file.metadata()?.len();
    let mut scan = Scan { file, length, piece: vec![0; PIECE_BYTES] };
    let mut scanned = Scanned { length, ..Scanned::default() };
    // Damage counts only once a whole record follows; at the end it is a write that was cut short.
    let mut skipped = 0;
    let mut at = 0;
    while at < length {
        let Some(header) = scan.header(at)? else {
            skipped += 1;
            at = scan.find(at + 1)?;
            continue;
        };
        let size = header.length() as u64;
        match scan.check(at, &header)? {
            Some(turn) => {
                scanned.damaged += std::mem::take(&mut skipped);
                scanned.whole = at + size;
                found(turn, at, size);
            }
            None => skipped += 1,
        }
        at += size;
    }
    Ok(scanned)
}

impl Scan<'_> {
    /// Reads the header at `at`, if it is whole and its record ends within the file.
    fn header(&self, at: u64) -> io::Result<Option<Header>> {
        let mut bytes = [0; HEADER_BYTES];
        if at + HEADER_BYTES as u64 > self.length {
            return Ok(None);
        }
        self.file.read_exact_at(&mut bytes, at)?;
        let header = Header::read(&bytes);
        Ok(header.filter(|header| at + header.length() as u64 <= self.length))
    }

    /// Returns the turn of the record at `at`, if its parts fit their checksum.
    fn check(&mut self, at: u64, header: &Header) -> io::Result<Option<CompactString>> {
        let mut checksum = crc32fast::Hasher::new();
        let mut turn = None;
        let end = at + header.length() as u64;
        let mut next = at + HEADER_BYTES as u64;
        while next < end {
            let count = (end - next).min(PIECE_BYTES as u64) as usize;
            let piece = &mut self.piece[..count];
            self.file.read_exact_at(piece, next)?;
            checksum.update(piece);
            if turn.is_none() {
                turn = Some(record::turn(&piece[..header.name]));
            }
            next += count as u64;
        }
        Ok(turn.flatten().filter(|_| checksum.finalize() == header.checksum))
    }

    /// Returns the offset of the next whole header from `at` on, or the end of the file.
    fn find(&mut self, mut at: u64) -> io::Result<u64> {
        while at + HEADER_BYTES as u64 <= self.length {
            let count = (self.length - at).min(PIECE_BYTES as u64) as usize;
            self.file.read_exact_at(&mut self.piece[..count], at)?;
            let marks = self.piece[..count].windows(MAGIC.len()).enumerate();
            let marks = marks.filter(|(_, bytes)| *bytes == MAGIC).map(|(i, _)| at + i as u64);
            for mark in marks {
                if self.header(mark)?.is_some() {
                    return Ok(mark);
                }
            }
            // A mark may lie across the border of two pieces.
            at += (count - (MAGIC.len() - 1)) as u64;
        }
        Ok(self.length)
    }
}
