//! Deltas between two bundle contents, which keep small changes small on the wire.
//!
//! Contents are compared piece by piece. A piece is a line of YAML or an element of a JSON list, since
//! generated contents are often JSON on a single line.
//!
//! A delta is a list of copies from the base and inserted bytes. The receiver checks the digest of
//! the result and fetches the whole content if it doesn't match, so a delta needn't be trusted.

use std::collections::HashMap;

use bytes::Bytes;

use crate::bundle::MAX_CONTENT;
use crate::wire::control::{Delta, DeltaStep};

/// Minimum length of a copy, in bytes; a shorter one takes less space as inserted bytes.
const MIN_COPY: usize = 24;

/// Returns the delta that turns `base` into `target`.
pub fn diff(base: &[u8], target: &[u8]) -> Delta {
    let pieces = Pieces::of(base);
    let mut builder = Builder { target, steps: Vec::new(), inserted: 0..0 };
    let mut cursor = 0;
    let mut offset = 0;
    while offset < target.len() {
        let matched = pieces.longest_match(&target[offset..], cursor);
        let length = matched.length.max(piece_length(&target[offset..]));
        if matched.length >= MIN_COPY {
            builder.copy(matched.start, matched.length, offset);
            cursor = matched.start + matched.length;
        }
        offset += length;
        if matched.length < MIN_COPY {
            builder.inserted.end = offset;
        } else {
            builder.inserted = offset..offset;
        }
    }
    builder.finish()
}

/// Applies a delta to `base`.
///
/// Returns `None` if a copy lies outside the base or the result exceeds [`MAX_CONTENT`].
pub fn apply(base: &[u8], delta: &Delta) -> Option<Bytes> {
    let mut result = Vec::with_capacity(base.len());
    for step in &delta.steps {
        let start = usize::try_from(step.start).ok()?;
        let end = start.checked_add(usize::try_from(step.length).ok()?)?;
        result.extend_from_slice(base.get(start..end)?);
        result.extend_from_slice(&step.insert);
        if result.len() > MAX_CONTENT {
            return None;
        }
    }
    Some(result.into())
}

/// Index of the base's pieces by their positions.
struct Pieces<'a> {
    base: &'a [u8],
    positions: HashMap<&'a [u8], Vec<usize>>,
}

/// Range of the base that also occurs in the target.
#[derive(Default)]
struct Match {
    start: usize,
    length: usize,
}

impl<'a> Pieces<'a> {
    fn of(base: &'a [u8]) -> Pieces<'a> {
        let mut positions: HashMap<&[u8], Vec<usize>> = HashMap::new();
        let mut start = 0;
        while start < base.len() {
            let length = piece_length(&base[start..]);
            positions.entry(&base[start..start + length]).or_default().push(start);
            start += length;
        }
        Pieces { base, positions }
    }

    /// Finds whole pieces of the base that match the start of `rest`.
    ///
    /// Uses a match at `cursor` if it is long enough to copy, and otherwise the next position of
    /// the first piece, wrapping around.
    fn longest_match(&self, rest: &[u8], cursor: usize) -> Match {
        let following = self.match_at(cursor, rest);
        if following.length >= MIN_COPY {
            return following;
        }
        let piece = &rest[..piece_length(rest)];
        let Some(positions) = self.positions.get(piece) else { return Match::default() };
        let next = positions.partition_point(|position| *position < cursor) % positions.len();
        self.match_at(positions[next], rest)
    }

    fn match_at(&self, start: usize, rest: &[u8]) -> Match {
        let base = &self.base[start.min(self.base.len())..];
        let mut length = 0;
        while length < rest.len() {
            let piece = piece_length(&rest[length..]);
            if base.get(length..length + piece) != Some(&rest[length..length + piece]) {
                break;
            }
            length += piece;
        }
        Match { start, length }
    }
}

/// Returns the length of the first piece: up to a line break, or to the comma after a JSON object.
fn piece_length(text: &[u8]) -> usize {
    let ends_at = |at: usize| match text[at] {
        b'\n' => true,
        b',' => at > 0 && text[at - 1] == b'}',
        _ => false,
    };
    (0..text.len()).find(|at| ends_at(*at)).map_or(text.len(), |end| end + 1)
}

/// Collects the steps of a delta; inserted bytes are added when the next copy begins.
struct Builder<'a> {
    target: &'a [u8],
    steps: Vec<DeltaStep>,
    inserted: std::ops::Range<usize>,
}

impl Builder<'_> {
    fn copy(&mut self, start: usize, length: usize, offset: usize) {
        self.inserted.end = offset;
        self.flush();
        let step = DeltaStep { start: start as u64, length: length as u64, insert: Bytes::new() };
        self.steps.push(step);
    }

    fn flush(&mut self) {
        if self.inserted.is_empty() {
            return;
        }
        let insert = Bytes::copy_from_slice(&self.target[self.inserted.clone()]);
        match self.steps.last_mut() {
            Some(step) => step.insert = insert,
            None => self.steps.push(DeltaStep { start: 0, length: 0, insert }),
        }
    }

    fn finish(mut self) -> Delta {
        self.flush();
        Delta { steps: self.steps }
    }
}
