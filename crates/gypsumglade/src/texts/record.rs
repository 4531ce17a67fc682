//! Records of segment files: one text each, with checksums.
//!
//! A header has the lengths of the parts, their checksum, and a checksum of its own. So a scan steps
//! over a record whose parts are damaged, and needs to search only where a header is.

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Text;

/// Marks the start of a record, so that records after a damaged header can be found.
pub(super) const MAGIC: [u8; 4] = *b"GGT1";
/// Bytes of a record before its parts: mark, three lengths, and two checksums.
pub(super) const HEADER_BYTES: usize = 24;
/// Longest name of a turn that is read into memory.
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
    /// Reads a header, if its checksum fits.
    pub(super) fn read(bytes: &[u8; HEADER_BYTES]) -> Option<Header> {
        let field = |at| u32::from_le_bytes([0, 1, 2, 3].map(|i: usize| bytes[at + i]));
        if !bytes.starts_with(&MAGIC) || field(20) != crc32fast::hash(&bytes[..20]) {
            return None;
        }
        let [name, input, output] = [4, 8, 12].map(|at| field(at) as usize);
        (name <= MAX_NAME_BYTES).then_some(Header { name, input, output, checksum: field(16) })
    }

    /// Returns the bytes of the whole record.
    pub(super) fn length(&self) -> usize {
        HEADER_BYTES + self.name + self.input + self.output
    }
}

/// Returns the bytes that a text takes in a file.
pub(super) fn length(text: &Text) -> usize {
    HEADER_BYTES + text.turn.len() + text.input.len() + text.output.len()
}

/// Tells whether the name is one that a scan would accept.
pub(super) fn has_valid_name(text: &Text) -> bool {
    text.turn.len() <= MAX_NAME_BYTES
}

/// Adds a text's record.
pub(super) fn push(bytes: &mut Vec<u8>, text: &Text) {
    let parts = [text.turn.as_bytes(), &text.input, &text.output];
    let mut checksum = crc32fast::Hasher::new();
    parts.iter().for_each(|part| checksum.update(part));
    let start = bytes.len();
    bytes.extend(MAGIC);
    for part in parts {
        let length = u32::try_from(part.len()).expect("a put has less");
        bytes.extend(length.to_le_bytes());
    }
    bytes.extend(checksum.finalize().to_le_bytes());
    let header_checksum = crc32fast::hash(&bytes[start..]);
    bytes.extend(header_checksum.to_le_bytes());
    parts.iter().for_each(|part| bytes.extend_from_slice(part));
}

/// Returns the text of a whole record, if its checksums fit.
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

/// Returns the turn that a record's name part gives.
pub(super) fn turn(name: &[u8]) -> Option<CompactString> {
    CompactString::from_utf8(name).ok()
}
