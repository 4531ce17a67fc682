//! Body of an answer that keeps something until it has been sent.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Largest part of a body that is handed over for sending at once, so that the body ends only when its
/// peer has taken most of it.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// A body that is handed over in small parts and drops `guard` when it ends.
pub struct GuardedBody<B, G> {
    body: B,
    /// Rest of a frame that was too large.
    rest: Bytes,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    /// Wraps a body.
    pub fn new(body: B, guard: G) -> GuardedBody<B, G> {
        GuardedBody { body, rest: Bytes::new(), _guard: guard }
    }

    fn next_part(&mut self) -> Frame<Bytes> {
        let bytes = self.rest.len().min(MAX_FRAME_BYTES);
        Frame::data(self.rest.split_to(bytes))
    }
}

impl<B, G> Body for GuardedBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    G: Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(self.next_part())));
        }
        let frame = match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Ok(frame)) => frame,
            other => return Poll::Ready(other),
        };
        let frame = match frame.into_data() {
            Ok(data) => {
                self.rest = data;
                self.next_part()
            }
            Err(trailers) => trailers,
        };
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.len() as u64;
        let body = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(body.lower() + rest);
        if let Some(upper) = body.upper() {
            hint.set_upper(upper + rest);
        }
        hint
    }
}
