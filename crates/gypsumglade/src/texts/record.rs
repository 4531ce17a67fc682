//! Records of segment files: one text each, with checksums.
//!
//! The header holds the lengths of the parts, their checksum, and a checksum of the header itself. With
//! an intact header a scan can skip a damaged record; it searches for the next one only if the header is
//! damaged.

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Text;

/// Marks the start of a record, so that records after a damaged header can be found.
pub(super) const MAGIC: [u8; 4] = *b"GGT1";
/// Length of the header in bytes: magic, three lengths and two checksums.
pub(super) const HEADER_BYTES: usize = 24;
/// Maximum length of a turn's name, in bytes. Bounds what a scan reads into memory.
const MAX_NAME_BYTES: usize = 4 * 1024;

/// Lengths and checksum of a record's parts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Header {
    pub(super) name: usize,
    input: usize,
    output: usize,
    pub(super) checksum: u32,
}

impl Header {
    /// Decodes a header. Returns `None` if it is damaged or the name is too long.
    pub(super) fn read(bytes: &[u8; HEADER_BYTES]) -> Option<Header> {
        let field = |at| u32::from_le_bytes([0, 1, 2, 3].map(|i: usize| bytes[at + i]));
        if !bytes.starts_with(&MAGIC) || field(20) != crc32fast::hash(&bytes[..20]) {
            return None;
        }
        let [name, input, output] = [4, 8, 12].map(|at| field(at) as usize);
        (name <= MAX_NAME_BYTES).then_some(Header { name, input, output, checksum: field(16) })
    }

    /// Returns the length of the whole record, in bytes.
    pub(super) fn length(&self) -> usize {
        HEADER_BYTES + self.name + self.input + self.output
    }
}

/// Returns the length of a text's record, in bytes.
pub(super) fn length(text: &Text) -> usize {
    HEADER_BYTES + text.turn.len() + text.input.len() + text.output.len()
}

/// Returns whether a scan would accept the turn's name.
pub(super) fn has_valid_name(text: &Text) -> bool {
    text.turn.len() <= MAX_NAME_BYTES
}

/// Appends the record of a text to `bytes`.
pub(super) fn push(bytes: &mut Vec<u8>, text: &Text) {
    let parts = [text.turn.as_bytes(), &text.input, &text.output];
    let mut checksum = crc32fast::Hasher::new();
    parts.iter().for_each(|part| checksum.update(part));
    let start = bytes.len();
    bytes.extend(MAGIC);
    for part in parts {
        let length = u32::try_from(part.len()).expect("a put is limited to 1 GiB");
        bytes.extend(length.to_le_bytes());
    }
    bytes.extend(checksum.finalize().to_le_bytes());
    let header_checksum = crc32fast::hash(&bytes[start..]);
    bytes.extend(header_checksum.to_le_bytes());
    parts.iter().for_each(|part| bytes.extend_from_slice(part));
}

/// Decodes a record. Returns `None` if it is incomplete or damaged.
pub(super) fn read(bytes: Bytes) -> Option<Text> {
    let header = Header::read(bytes.first_chunk()?)?;
    if bytes.len() != header.length() {
        return None;
    }
    let parts = bytes.slice(HEADER_BYTES..);
    if crc32fast::hash(&parts) != header.checksum {
        return None;
    }
    let turn = std::str::from_utf8(&parts[..header.name]).ok()?.to_owned();
    let input = parts.slice(header.name..header.name + header.input);
    let output = parts.slice(header.name + header.input..);
    Some(Text { turn, input, output })
}

/// Decodes the name part of a record. Returns `None` if it is not valid UTF-8.
pub(super) fn turn(name: &[u8]) -> Option<CompactString> {
    CompactString::from_utf8(name).ok()
}
