//! History of a program: the messages of each turn, and their hashes for comparisons.
//!
//! This is the only place that holds the bytes of finished turns, all in memory. Comparisons,
//! budgets and turn order use only hashes and lengths.

use bytes::{BufMut, Bytes, BytesMut};

use super::messages::{HASH_LEN, MessageHash};
use crate::wire::program as wire;

/// The messages of all finished turns of one program.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct History {
    segments: Vec<Bytes>,
    /// Number of messages in each segment.
    counts: Vec<u32>,
    hashes: Vec<MessageHash>,
    len: usize,
}

impl History {
    /// Appends a finished turn: canonical messages joined with commas, and their hashes.
    pub(super) fn append(&mut self, messages: Bytes, hashes: &[u8]) {
        let fresh = hashes.chunks_exact(HASH_LEN).map(|h| {
            let mut hash = MessageHash::default();
            hash.copy_from_slice(h);
            hash
        });
        let before = self.hashes.len();
        self.hashes.extend(fresh);
        self.counts.push((self.hashes.len() - before) as u32);
        self.len += messages.len() + 1;
        self.segments.push(messages);
    }

    /// Returns the number of finished turns.
    pub(super) fn turns(&self) -> u64 {
        self.segments.len() as u64
    }

    /// Returns the hash of each message, oldest first.
    pub(super) fn hashes(&self) -> &[MessageHash] {
        &self.hashes
    }

    /// Returns the size of all messages in bytes, which is an upper bound of their tokens.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the history followed by `fresh` as a JSON array, and the length in bytes of the part
    /// before `fresh`.
    pub(super) fn assemble(&self, fresh: &[u8]) -> (Bytes, u64) {
        let mut out = BytesMut::with_capacity(self.len + fresh.len() + 2);
        out.put_u8(b'[');
        for segment in self.segments.iter().filter(|s| !s.is_empty()) {
            if out.len() > 1 {
                out.put_u8(b',');
            }
            out.put_slice(segment);
        }
        let prior = out.len() as u64;
        if out.len() > 1 && !fresh.is_empty() {
            out.put_u8(b',');
        }
        out.put_slice(fresh);
        out.put_u8(b']');
        (out.freeze(), prior)
    }

    /// Returns the segments for a snapshot.
    pub(super) fn records(&self) -> Vec<wire::Segment> {
        let mut start = 0;
        let mut records = Vec::with_capacity(self.segments.len());
        for (messages, count) in self.segments.iter().zip(&self.counts) {
            let end = start + *count as usize;
            let hashes = Bytes::from(self.hashes[start..end].concat());
            records.push(wire::Segment { messages: messages.clone(), hashes });
            start = end;
        }
        records
    }

    /// Returns the size of the history in memory, messages and index, in bytes.
    pub(super) fn memory(&self) -> usize {
        let index = self.segments.capacity() * size_of::<Bytes>()
            + self.counts.capacity() * size_of::<u32>()
            + self.hashes.capacity() * HASH_LEN;
        index + self.segments.iter().map(Bytes::len).sum::<usize>()
    }
}
