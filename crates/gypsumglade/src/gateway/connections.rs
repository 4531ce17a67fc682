//! Connections to endpoints, reused with care.
//!
//! An endpoint serves one request at a time on a connection. A connection goes back only after a
//! whole answer that was the endpoint's own; anything else on it poisons it.

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

/// Longest time to open a connection; within a region it takes some milliseconds, and another
/// endpoint is tried after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is kept where the endpoint does not say.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of the endpoint's own idle time for which a connection is kept: one that the endpoint
/// closes while a request is on its way leaves open whether the request ran.
const IDLE_FRACTION: f64 = 0.6;
/// Most idle connections kept for one endpoint.
const MAX_IDLE: usize = 16;

/// A connection that may carry the next request.
#[derive(Debug)]
pub(super) struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    reused: bool,
}

/// Why a request has no answer head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionError {
    /// Surely not a byte was read by the endpoint.
    NotSent,
    /// It may have been read.
    MaybeSent,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl ConnectionPool {
    /// Takes an idle connection, or opens one.
    pub(super) async fn open(&self, address: SocketAddr) -> Result<Connection, ConnectionError> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    /// Opens a connection.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectionError> {
        let opening = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let io = TokioIo::new(stream);
            let (sender, connection) = Builder::new().handshake(io).await.ok()?;
            // Its error shows in the request that it carries.
            tokio::spawn(async move { drop(connection.await) });
            Some(Connection { address, sender, reused: false })
        };
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, opening).await.ok().flatten();
        opened.ok_or(ConnectionError::NotSent)
    }

    /// Keeps a connection whose answer was whole for the next request, as long as the answer's head
    /// says that the endpoint does.
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

    /// Closes the connections whose idle time is over.
    pub(super) fn close_expired(&self) {
        let now = Instant::now();
        let mut all = self.idle.lock().expect("no panic while held");
        all.retain(|_, kept| {
            kept.retain(|idle| idle.expires > now && !idle.connection.sender.is_closed());
            !kept.is_empty()
        });
    }

    /// Takes the connection that was used last: those that stay unused then run out.
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
    /// Tells whether it carried a request before.
    pub(super) fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and returns the head of what comes back.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            // The library gives the request back only if not a byte of it was written.
            Err(error) if error.message().is_some() => Err(ConnectionError::NotSent),
            Err(_) => Err(ConnectionError::MaybeSent),
        }
    }
}
