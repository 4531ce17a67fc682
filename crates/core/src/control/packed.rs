//! Compressed deltas, in which a bundle's content is distributed to entry VMs.
//!
//! After a restart of a deployment all entry VMs fetch the whole content at once, and contents are
//! repetitive text.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use prost::Message;

use crate::bundle::MAX_CONTENT;
use crate::wire::control::{Delta, DeltaStep};

/// Encoded size in bytes from which a delta is compressed.
const MIN_PACKED: usize = 1024;
/// Largest accepted size of a decompressed delta, in bytes: a whole content and its framing.
const MAX_UNPACKED: u64 = 2 * MAX_CONTENT as u64;

/// Returns the delta that inserts a whole content, whatever its base.
pub(super) fn whole(content: &Bytes) -> Delta {
    Delta { steps: vec![DeltaStep { start: 0, length: 0, insert: content.clone() }] }
}

/// Compresses a delta. Returns `None` for a small one, which would gain little.
pub(super) fn pack(delta: &Delta) -> Option<Bytes> {
    if delta.encoded_len() < MIN_PACKED {
        return None;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&delta.encode_to_vec()).ok()?;
    encoder.finish().ok().map(Bytes::from)
}

/// Decompresses a delta. Returns `None` if it is malformed or too large.
pub(super) fn unpack(packed: &[u8]) -> Option<Delta> {
    let mut bytes = Vec::new();
    let read = DeflateDecoder::new(packed).take(MAX_UNPACKED).read_to_end(&mut bytes);
    read.ok()?;
    Delta::decode(bytes.as_slice()).ok()
}
