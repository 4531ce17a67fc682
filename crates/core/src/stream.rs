//! Finds the events in a stream that is passed through as bytes.
//!
//! Library parsers hand out decoded events; what a caller gets must be the endpoint's own bytes. So
//! only the boundaries are looked for here, and the data of each event for the turn's record. See
//! the format in the HTML standard, "Server-sent events".

use bytes::{Buf, Bytes, BytesMut};

/// What a piece of the stream completed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Completed {
    /// Bytes up to the end of the last whole event, to be passed on.
    pub bytes: Bytes,
    /// Whole events among them that carry data.
    pub events: u64,
}

/// Splits a stream into whole events.
///
/// An endpoint may break off in the middle of an event. Passing on whole events only means that
/// the caller never holds a piece of one, so that a stream can be taken up again after the last.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
    /// Bytes of `pending` that hold no event's end.
    scanned: usize,
    data: BytesMut,
    last_id: Option<u64>,
}

impl EventScanner {
    /// Takes the next piece of the stream.
    pub fn feed(&mut self, piece: &[u8]) -> Completed {
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

    /// Forgets an event that has begun, before the stream goes on from the last whole one.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }

    /// Tells whether an event has begun and not ended.
    pub fn has_partial(&self) -> bool {
        self.pending.has_remaining()
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the data of all events so far, each followed by a line feed.
    pub fn into_data(self) -> Bytes {
        self.data.freeze()
    }

    /// Returns the place after the blank line that ends the event which starts at `start`.
    fn event_end(&self, start: usize) -> Option<usize> {
        let from = start.max(self.scanned.min(self.pending.len()));
        let from = from.saturating_sub(2).max(start);
        let bytes = &self.pending[from..];
        let lf = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| from + at + 2);
        let crlf = bytes.windows(3).position(|three| three == b"\n\r\n").map(|at| from + at + 3);
        match (lf, crlf) {
            (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
            (lf, crlf) => lf.or(crlf),
        }
    }

    /// Notes the data and id of one event, and tells whether it has data.
    fn read_event(&mut self, start: usize, end: usize) -> bool {
        let mut found = false;
        let event = self.pending[start..end].to_vec();
        for line in event.split(|byte| *byte == b'\n') {
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

/// Returns the value of a line that sets the field `name`.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
