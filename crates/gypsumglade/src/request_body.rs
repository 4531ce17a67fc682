//! Reads bodies into memory that is accounted for.
//!
//! The load patterns are many large bodies at once, and bodies in very small chunks, of which each would
//! otherwise be an allocation of its own until the end. See docs/design/callers.md.

use bytes::{BufMut as _, Bytes, BytesMut};
use gypsumglade_core::policy::memory_budget::{OutOfMemory, RequestPhase};
use gypsumglade_core::prelude::*;
use http::Request;
use http_body::Body;
use http_body_util::BodyExt as _;
use tokio_util::sync::CancellationToken;

use crate::client_io::ClientConnection;
use crate::request_memory::{HeldMemory, RequestMemory};

/// Size of the first part of a body whose size isn't known, in bytes.
const FIRST_PART: usize = 4 << 10;
/// Upper bound of the time for a client to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
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
    /// The sender takes too long.
    #[error("the body takes too long")]
    TimedOut,
    /// There is not enough memory for it.
    #[error(transparent)]
    OutOfMemory(#[from] OutOfMemory),
}

/// Reads the body of a request to one of this VM's listeners within [`BODY_TIMEOUT`], and returns the
/// request with the memory that it holds.
///
/// # Errors
/// Fails as [`read`] does, or if the sender takes too long.
pub async fn buffer(
    memory: &RequestMemory,
    request: Request<axum::body::Body>,
    limit: usize,
) -> Result<(Request<axum::body::Body>, HeldMemory), BodyError> {
    // No connection depends on it, since an answer is never held back for its client.
    let held = memory.open(CancellationToken::new());
    let (parts, body) = request.into_parts();
    let reading = tokio::time::timeout(BODY_TIMEOUT, read(body, limit, &held)).await;
    let body = reading.unwrap_or(Err(BodyError::TimedOut))?;
    held.set_phase(RequestPhase::Running);
    if let Some(connection) = parts.extensions.get::<ClientConnection>() {
        connection.request_received();
    }
    Ok((Request::from_parts(parts, body.into()), held))
}

/// Reads a body of at most `limit` bytes to its end. What is read so far is released at once if `memory`
/// has to give way.
///
/// # Errors
/// Fails if the body is too large or incomplete, or there is not enough memory.
pub async fn read<B>(body: B, limit: usize, memory: &HeldMemory) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    tokio::select! {
        biased;
        () = memory.evicted() => Err(BodyError::OutOfMemory(OutOfMemory)),
        read = read_parts(body, limit, memory) => read,
    }
}

async fn read_parts<B>(mut body: B, limit: usize, memory: &HeldMemory) -> Result<Bytes, BodyError>
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
        parts.append(&data, memory)?;
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

    fn append(&mut self, mut data: &[u8], memory: &HeldMemory) -> Result<(), OutOfMemory> {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_part(memory)?;
            }
            let room = self.last.capacity() - self.last.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.last.put_slice(now);
            self.bytes += now.len();
            data = later;
        }
        Ok(())
    }

    fn add_part(&mut self, memory: &HeldMemory) -> Result<(), OutOfMemory> {
        let size = match self.announced {
            Some(announced) => announced.saturating_sub(self.bytes).clamp(1, MAX_PART),
            None => self.bytes.clamp(FIRST_PART, MAX_PART),
        };
        memory.grow(size)?;
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.full.push(full);
        }
        Ok(())
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
