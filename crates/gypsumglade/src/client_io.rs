//! Byte stream of a client that can neither hold a connection with half a head nor occupy the process.
//!
//! The load patterns are heads that never end, empty lines before a request without end, bytes that
//! come as fast as they are read, and answers that nobody reads. See docs/design/callers.md.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use gypsumglade_core::policy::connection_limit::ConnectionState;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_util::sync::CancellationToken;

use crate::connection_guard::ConnectionGuard;
use crate::limit_report::{Limit, LimitAction};

/// Bytes after which other tasks get their turn.
const YIELD_BYTES: usize = 64 << 10;
/// How long a caller may read nothing of an answer; longer than callers wait for one.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// What a client's connection is used for. Clones share it.
#[derive(Clone)]
pub struct ClientConnection {
    guard: ConnectionGuard,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    /// Requests whose head has arrived and whose answer has not been sent.
    requests: AtomicUsize,
    /// Whether the connection has been upgraded to another protocol, and stays in use until it closes.
    upgraded: AtomicBool,
}

impl ClientConnection {
    /// Creates the state of a new connection, on which the first head is awaited.
    pub fn new(guard: ConnectionGuard) -> ClientConnection {
        ClientConnection { guard, state: Arc::default() }
    }

    /// Wraps the connection's socket. A head may take `head_timeout` from its first byte on.
    pub fn wrap(&self, stream: TcpStream, head_timeout: Duration) -> ClientIo {
        let connection = self.clone();
        let (head_timer, write_timer, unyielded) = (None, None, 0);
        ClientIo { stream, connection, head_timeout, head_timer, write_timer, unyielded }
    }

    /// Returns the token that is cancelled when the connection must close.
    pub fn closed(&self) -> CancellationToken {
        self.guard.closed()
    }

    /// Begins a request whose head has arrived. It ends when the returned guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        if self.state.requests.fetch_add(1, Ordering::Relaxed) == 0 {
            self.guard.set_state(ConnectionState::Receiving);
        }
        RequestGuard { connection: self.clone(), ends: true }
    }

    /// Records that the request is complete and under way.
    pub fn request_received(&self) {
        self.guard.set_state(ConnectionState::Busy);
    }

    /// Records whether the peer has stopped to read. What uses an upgraded connection notices it itself.
    fn set_blocked(&self, blocked: bool) {
        if !self.state.upgraded.load(Ordering::Relaxed) {
            self.guard.set_blocked(blocked);
        }
    }

    fn awaits_head(&self) -> bool {
        self.state.requests.load(Ordering::Relaxed) == 0
    }
}

/// A request on a client's connection, from its head to the end of its answer.
pub struct RequestGuard {
    connection: ClientConnection,
    /// Whether the request ends with the guard.
    ends: bool,
}

impl RequestGuard {
    /// Records that the request is complete and under way.
    pub fn received(&self) {
        self.connection.request_received();
    }

    /// Returns the token that is cancelled when the connection must close.
    pub fn closed(&self) -> CancellationToken {
        self.connection.closed()
    }

    /// Keeps the connection in use until it closes, after an upgrade to another protocol.
    pub fn keep(mut self) {
        self.ends = false;
        self.connection.state.upgraded.store(true, Ordering::Relaxed);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let ClientConnection { guard, state } = &self.connection;
        if self.ends && state.requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            guard.set_state(ConnectionState::Idle);
        }
    }
}

/// Socket of a client's connection.
pub struct ClientIo {
    stream: TcpStream,
    connection: ClientConnection,
    /// Time for a head from its first byte on.
    head_timeout: Duration,
    head_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Bytes read since other tasks had their turn.
    unyielded: usize,
}

impl ClientIo {
    /// Fails once a head that has begun is overdue.
    fn poll_head_timer(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let Some(timer) = &mut self.head_timer else { return Ok(()) };
        if timer.as_mut().poll(cx).is_pending() {
            return Ok(());
        }
        self.connection.guard.report(Limit::HeadTime, LimitAction::Closed);
        Err(io::Error::new(io::ErrorKind::TimedOut, "the head of the request takes too long"))
    }

    /// Records whether the caller reads, and fails once it has read nothing for too long.
    fn poll_write_timer<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            if self.write_timer.take().is_some() {
                self.connection.set_blocked(false);
            }
            return written;
        }
        if self.write_timer.is_none() {
            self.connection.set_blocked(true);
        }
        let timer = || Box::pin(tokio::time::sleep(WRITE_TIMEOUT));
        ready!(self.write_timer.get_or_insert_with(timer).as_mut().poll(cx));
        self.connection.guard.report(Limit::WriteTime, LimitAction::Closed);
        let error = "the caller doesn't read the answer";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, error)))
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.connection.awaits_head() {
            self.head_timer = None;
        }
        if self.unyielded >= YIELD_BYTES {
            self.unyielded = 0;
            self.poll_head_timer(cx)?;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if read.is_pending() {
            self.unyielded = 0;
            self.poll_head_timer(cx)?;
        }
        ready!(read)?;
        self.unyielded += bytes;
        if self.connection.awaits_head() && bytes > 0 {
            let timeout = self.head_timeout;
            self.head_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.poll_write_timer(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.poll_write_timer(cx, written)
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
