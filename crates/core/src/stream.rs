//! Scanner for server-sent events in a stream that is passed through unchanged.
//!
//! Callers receive the endpoint's exact bytes, so the scanner only finds the boundaries of events
//! and collects their data for the turn's text. The format is specified in the HTML standard,
//! "Server-sent events".

use bytes::{Buf, Bytes, BytesMut};
use memchr::memchr;

/// The events that a piece of the stream completed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Completed {
    /// Bytes to pass on, up to the end of the last complete event.
    pub bytes: Bytes,
    /// Number of these events that carry data.
    pub events: u64,
}

/// Largest event, in bytes. An endpoint in trouble may send one without end.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// Largest stream, in bytes, all events together.
pub const MAX_STREAM_BYTES: usize = 4 << 20;

/// Splits a stream into complete events, within bounds; see docs/CAPACITY.md.
///
/// An endpoint may fail in the middle of an event. Since only complete events are passed on, the
/// stream can be resumed after the last one.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
    /// Length of the prefix of `pending` that contains no end of an event.
    scanned: usize,
    data: BytesMut,
    /// Bytes that were fed.
    fed: usize,
    last_id: Option<u64>,
}

impl EventScanner {
    /// Adds the next piece of the stream and returns the events that it completed.
    pub fn feed(&mut self, piece: &[u8]) -> Completed {
        self.fed = self.fed.saturating_add(piece.len());
        self.pending.extend_from_slice(piece);
        let mut end = 0;
        let mut events = 0;
        while let Some(next) = self.event_end(end) {
            let has_data = self.read_event(end, next);
            events += u64::from(has_data);
            end = next;
        }
        let bytes = self.pending.split_to(end).freeze();
        self.scanned = self.pending.len().saturating_sub(1);
        Completed { bytes, events }
    }

    /// Returns `true` if the stream, or the event that is incomplete, exceeds its bound. No more of it
    /// should be read.
    pub fn is_too_large(&self) -> bool {
        self.fed > MAX_STREAM_BYTES || self.pending.len() > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event, before the stream is resumed after the last complete one.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }

    /// Returns `true` if the last event is incomplete.
    pub fn has_partial(&self) -> bool {
        self.pending.has_remaining()
    }

    /// Returns the last numeric id of a complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the data lines of all events, each followed by a line feed.
    pub fn into_data(self) -> Bytes {
        self.data.freeze()
    }

    /// Returns the position after the blank line that ends the event at `start`.
    fn event_end(&self, start: usize) -> Option<usize> {
        // The line feed that ends the last line may stand before what was scanned.
        let mut from = self.scanned.min(self.pending.len()).saturating_sub(2).max(start);
        loop {
            let line_end = from + memchr(b'\n', &self.pending[from..])?;
            match &self.pending[line_end + 1..] {
                [b'\n', ..] => return Some(line_end + 2),
                [b'\r', b'\n', ..] => return Some(line_end + 3),
                _ => from = line_end + 1,
            }
        }
    }

    /// Collects the data and id of an event. Returns `true` if it has data.
    fn read_event(&mut self, start: usize, end: usize) -> bool {
        let mut found = false;
        for line in self.pending[start..end].split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(data) = field(line, b"data") {
                self.data.extend_from_slice(data);
                self.data.extend_from_slice(b"\n");
                found = true;
            } else if let Some(id) = field(line, b"id") {
                let text = std::str::from_utf8(id).ok();
                self.last_id = text.and_then(|text| text.parse().ok()).or(self.last_id);
            }
        }
        found
    }
}

/// Returns the value of a line that sets the field `name`, or `None` for other lines.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
