//! Packs the text of kept turns.
//!
//! A store that lost its disk must have all kept turns again within some seconds, over a link of
//! 30 Mbit/s. Text packs to a third or less, and entry VMs have the processor time: the turn group
//! stores, replicates and hands back what they packed.

use bytes::{Bytes, BytesMut};

/// Most bytes of one unpacked piece; a larger one is damaged. Callers' bodies are bounded below it.
const MOST_BYTES: usize = 16 << 20;

/// Packs a piece of text.
pub fn pack(text: &[u8]) -> Bytes {
    lz4_flex::compress_prepend_size(text).into()
}

/// Unpacks pieces and joins them; `None` if one is damaged.
pub fn unpack_all(pieces: &[Bytes]) -> Option<Bytes> {
    let mut text = BytesMut::new();
    for piece in pieces {
        let (length, _) = lz4_flex::block::uncompressed_size(piece).ok()?;
        if length > MOST_BYTES {
            return None;
        }
        text.extend_from_slice(&lz4_flex::decompress_size_prepended(piece).ok()?);
    }
    Some(text.freeze())
}
