//! Byte stream from an endpoint that can neither occupy the process nor send a head without end.
//!
//! The load pattern is an endpoint in trouble that writes as fast as the gateway reads. hyper reads for
//! as long as bytes are there, and drops interim heads without counting them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes of one read.
const READ_BYTES: usize = 16 << 10;
/// Bytes after which other tasks get their turn.
const YIELD_BYTES: usize = 64 << 10;
/// Most bytes of an answer's head, interim heads included.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that may still be read of the head that a connection awaits.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

/// Value of [`HeadLimit`] while no head is awaited.
const UNLIMITED: usize = usize::MAX;

impl HeadLimit {
    pub(super) fn new() -> HeadLimit {
        HeadLimit(Arc::new(AtomicUsize::new(UNLIMITED)))
    }

    /// Limits what is read until [`HeadLimit::end`].
    pub(super) fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Records that the head has arrived.
    pub(super) fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Counts bytes that were read. Returns `false` if they exceed the limit.
    fn take(&self, bytes: usize) -> bool {
        let take = |left: usize| (left != UNLIMITED).then(|| left.saturating_sub(bytes));
        let before = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        before.map_or(true, |left| left > bytes)
    }
}

/// Connection to an endpoint, whose reads are bounded.
#[derive(Debug)]
pub(super) struct EndpointIo {
    stream: TcpStream,
    head: HeadLimit,
    /// Bytes read since other tasks had their turn.
    unyielded: usize,
}

impl EndpointIo {
    pub(super) fn new(stream: TcpStream, head: HeadLimit) -> EndpointIo {
        EndpointIo { stream, head, unyielded: 0 }
    }
}

impl AsyncRead for EndpointIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unyielded >= YIELD_BYTES {
            self.unyielded = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let most = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let bytes = part.filled().len();
        if read.is_pending() {
            self.unyielded = 0;
        }
        ready!(read)?;
        buf.advance(bytes);
        self.unyielded += bytes;
        if !self.head.take(bytes) {
            let error = "the head of the endpoint's answer is too long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndpointIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
