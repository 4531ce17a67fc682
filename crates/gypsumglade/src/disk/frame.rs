//! Frames of the log: the records of one sync, with checksums.
//!
//! A frame consists of a header (magic, body length, checksum, sequence) and a body of records. Each
//! record has its own length and checksum, so that a single entry can be read and checked.

use gypsumglade_core::wire::replication::Record;
use prost::Message;

/// Marks the start of a frame, so that frames after a damaged one can be found.
const MAGIC: [u8; 4] = *b"GGF1";
/// Length of a frame's header, in bytes.
pub(super) const HEADER_BYTES: usize = 20;
/// Length of a record's header (length and checksum), in bytes.
pub(super) const RECORD_HEADER_BYTES: usize = 8;

/// A frame under construction.
#[derive(Debug)]
pub(super) struct FrameWriter {
    bytes: Vec<u8>,
}

impl FrameWriter {
    pub(super) fn new() -> FrameWriter {
        FrameWriter { bytes: vec![0; HEADER_BYTES] }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.len() == HEADER_BYTES
    }

    /// Appends a record. Returns its offset in the frame and its length, including its header.
    pub(super) fn push(&mut self, record: &Record) -> (usize, usize) {
        let offset = self.bytes.len();
        self.bytes.extend_from_slice(&[0; RECORD_HEADER_BYTES]);
        record.encode(&mut self.bytes).expect("encoding into a vector can't run out of space");
        let content = &self.bytes[offset + RECORD_HEADER_BYTES..];
        let length = content.len() as u32;
        let checksum = crc32fast::hash(content);
        self.bytes[offset..offset + 4].copy_from_slice(&length.to_le_bytes());
        self.bytes[offset + 4..offset + 8].copy_from_slice(&checksum.to_le_bytes());
        (offset, self.bytes.len() - offset)
    }

    /// Fills in the header, and returns the bytes of the frame.
    pub(super) fn finish(mut self, sequence: u64) -> Vec<u8> {
        let length = (self.bytes.len() - HEADER_BYTES) as u32;
        self.bytes[..4].copy_from_slice(&MAGIC);
        self.bytes[4..8].copy_from_slice(&length.to_le_bytes());
        self.bytes[12..20].copy_from_slice(&sequence.to_le_bytes());
        let checksum = frame_checksum(&self.bytes);
        self.bytes[8..12].copy_from_slice(&checksum.to_le_bytes());
        self.bytes
    }
}

/// A valid frame within the bytes of a segment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Frame<'a> {
    pub(super) sequence: u64,
    /// Offset of the body in the segment.
    pub(super) start: usize,
    pub(super) body: &'a [u8],
}

impl Frame<'_> {
    pub(super) fn end(&self) -> usize {
        self.start + self.body.len()
    }

    /// Returns the records with their offsets in the segment and their lengths, or `None` if one is damaged.
    pub(super) fn records(&self) -> Option<Vec<(Record, usize, usize)>> {
        let mut records = Vec::new();
        let mut at = 0;
        while at < self.body.len() {
            let (record, length) = read_record(&self.body[at..])?;
            records.push((record, self.start + at, length));
            at += length;
        }
        Some(records)
    }
}

/// Reads the frame at `offset`. Returns `None` if it is incomplete or damaged.
pub(super) fn read_frame(bytes: &[u8], offset: usize) -> Option<Frame<'_>> {
    let rest = bytes.get(offset..)?;
    if !rest.starts_with(&MAGIC) || rest.len() < HEADER_BYTES {
        return None;
    }
    let length = read_u32(rest, 4)? as usize;
    let frame = rest.get(..HEADER_BYTES + length)?;
    if read_u32(frame, 8)? != frame_checksum(frame) {
        return None;
    }
    let sequence = u64::from_le_bytes(frame[12..20].try_into().ok()?);
    Some(Frame { sequence, start: offset + HEADER_BYTES, body: &frame[HEADER_BYTES..] })
}

/// Returns the offset of the first valid frame after `offset` whose sequence is above `sequence`.
///
/// A frame is written only after the previous one was synced. A valid frame after an invalid one thus
/// proves that the invalid one was synced and is damaged, rather than an incomplete write.
pub(super) fn find_frame(bytes: &[u8], offset: usize, sequence: u64) -> Option<usize> {
    let offsets = offset + 1..=bytes.len().saturating_sub(HEADER_BYTES);
    offsets
        .filter(|&at| bytes[at..].starts_with(&MAGIC))
        .find(|&at| read_frame(bytes, at).is_some_and(|frame| frame.sequence > sequence))
}

/// Reads the record at the start of `bytes`. Returns it with its length, or `None` if it is damaged.
pub(super) fn read_record(bytes: &[u8]) -> Option<(Record, usize)> {
    let length = read_u32(bytes, 0)? as usize;
    let content = bytes.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + length)?;
    if read_u32(bytes, 4)? != crc32fast::hash(content) {
        return None;
    }
    Some((Record::decode(content).ok()?, RECORD_HEADER_BYTES + length))
}

/// Returns the checksum of a frame, excluding the checksum field itself.
fn frame_checksum(frame: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&frame[..8]);
    hasher.update(&frame[12..]);
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}
