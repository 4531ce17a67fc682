//! Reads bodies into memory.
//!
//! The load pattern is a body in very small chunks, of which each would otherwise be an allocation of its
//! own until the end. See docs/design/callers.md.

use bytes::{BufMut as _, Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt as _;

/// Size of the first part of a body whose size isn't known, in bytes.
const FIRST_PART: usize = 4 << 10;
/// Size of the parts that a large body is read into, in bytes.
const MAX_PART: usize = 64 << 10;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It exceeds the limit.
    #[error("the body is too large")]
    TooLarge,
    /// The sender has broken it off.
    #[error("the body is incomplete")]
    Incomplete,
}

/// Reads a body of at most `limit` bytes to its end.
///
/// # Errors
/// Fails if the body is too large or incomplete.
pub async fn read<B>(mut body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced =
        body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > limit) {
        return Err(BodyError::TooLarge);
    }
    let mut parts = Parts::new(announced);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        // Trailers are not passed on.
        let Ok(data) = frame.into_data() else { continue };
        if parts.bytes + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        parts.append(&data);
    }
    Ok(parts.join())
}

/// A body in parts of limited size, none of which is copied while the body grows.
struct Parts {
    full: Vec<BytesMut>,
    last: BytesMut,
    /// Bytes in all parts.
    bytes: usize,
    announced: Option<usize>,
}

impl Parts {
    fn new(announced: Option<usize>) -> Parts {
        Parts { full: Vec::new(), last: BytesMut::new(), bytes: 0, announced }
    }

    fn append(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_part();
            }
            let room = self.last.capacity() - self.last.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.last.put_slice(now);
            self.bytes += now.len();
            data = later;
        }
    }

    fn add_part(&mut self) {
        let size = match self.announced {
            Some(announced) => announced.saturating_sub(self.bytes).clamp(1, MAX_PART),
            None => self.bytes.clamp(FIRST_PART, MAX_PART),
        };
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.full.push(full);
        }
    }

    fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.bytes);
        for part in self.full.into_iter().chain([self.last]) {
            whole.extend_from_slice(&part);
        }
        whole.freeze()
    }
}
