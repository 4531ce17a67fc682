//! Pool of HTTP/1 connections to endpoints.
//!
//! A connection carries one request at a time. It is reused only after a complete answer of the
//! intended endpoint; after anything else it is closed, since stray bytes on it could be taken for
//! the next answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::dialect::AnswerHead;
use super::endpoint_io::{EndpointIo, HeadLimit};

/// Time limit for opening a connection; another endpoint is tried after it. Within a region it takes
/// some milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle timeout assumed for an endpoint that states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the endpoint's idle timeout for which a connection is kept. If the endpoint closed it
/// just as a request was sent, it would be unknown whether the request ran.
const IDLE_FRACTION: f64 = 0.6;
/// Most idle connections per endpoint.
const MAX_IDLE: usize = 16;

/// An HTTP/1 connection to one endpoint.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    head: HeadLimit,
    reused: bool,
}

/// Why a request got no response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionError {
    /// The endpoint has read nothing of the request.
    NotSent,
    /// The endpoint may have read the request.
    MaybeSent,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// Idle connections by endpoint address.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Returns an idle connection, or opens a new one.
    pub(super) async fn open(&self, address: SocketAddr) -> Result<Connection, ConnectionError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    /// Opens a new connection.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectionError> {
        let opening = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let head = HeadLimit::new();
            let io = TokioIo::new(EndpointIo::new(stream, head.clone()));
            let (sender, connection) = Builder::new().handshake(io).await.ok()?;
            // A connection error is reported by the request in flight.
            tokio::spawn(async move { drop(connection.await) });
            Some(Connection { address, sender, head, reused: false })
        };
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await.ok().flatten();
        opened.ok_or(ConnectionError::NotSent)
    }

    /// Returns whether an endpoint accepts connections, or `None` if it doesn't respond in time.
    pub(super) async fn probe(&self, address: SocketAddr) -> Option<bool> {
        let connecting = TcpStream::connect(address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?;
        Some(connected.is_ok())
    }

    /// Returns a connection to the pool after a complete answer, unless the endpoint closes it. It
    /// expires before the idle timeout that `head` states.
    pub(super) fn put_back(&self, mut connection: Connection, head: &AnswerHead) {
        if head.closes || connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let expires = Instant::now()
            + head.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).mul_f64(IDLE_FRACTION);
        let mut all = self.idle.lock().expect("no panic while held");
        let kept = all.entry(connection.address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(Idle { connection, expires });
        }
    }

    /// Closes idle connections that have expired or that the endpoint has closed.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        let mut all = self.idle.lock().expect("no panic while held");
        all.retain(|_, kept| {
            kept.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            !kept.is_empty()
        });
    }

    /// Takes the most recently used idle connection, so that surplus ones expire.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.idle.lock().expect("no panic while held");
        let kept = all.get_mut(&address)?;
        while let Some(idle) = kept.pop() {
            if idle.expires > now && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}

impl Connection {
    /// Returns whether the connection has carried a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and returns the response once its head has arrived.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.head.begin();
        let sent = self.sender.try_send_request(request).await;
        self.head.end();
        match sent {
            Ok(response) => Ok(response),
            // hyper returns the request only if it has written nothing of it.
            Err(error) if error.message().is_some() => Err(ConnectionError::NotSent),
            Err(_) => Err(ConnectionError::MaybeSent),
        }
    }
}
