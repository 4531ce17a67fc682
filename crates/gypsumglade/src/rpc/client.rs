//! Client connections to other processes of the system, opened on first use and reopened after a
//! failure.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gypsumglade_core::prelude::VmId;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue, StatusCode};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use jsonrpsee::core::client::{ClientT as _, Error as ClientError};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use prost::Message;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::pki_types::ServerName;

use super::codec::{Payload, decode};
use super::counted::{Counted, Received};
use super::link::{self, Link};
use super::method::Method;
use super::server::MAX_MESSAGE_BYTES;
use crate::secret::Secret;

/// Timeout for opening a connection, which bounds how long a network partition goes unnoticed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes that must arrive within each timeout of a [`PeerClients::fetch`], or it fails. Answers to
/// other calls on the connection stay below.
const MIN_PROGRESS: u64 = 4 * 1024;
/// Longest duration of a [`PeerClients::fetch`], in timeouts.
const MAX_FETCH_TIMEOUTS: u32 = 12;
/// Number of checks within the timeout of a [`PeerClients::ask_responsive`] for new bytes.
const SILENCE_CHECKS: u32 = 5;
/// Longest duration of a [`PeerClients::ask_responsive`], in timeouts.
const MAX_RESPONSIVE_TIMEOUTS: u32 = 10;
/// Maximum number of calls in flight on one connection.
const MAX_CALLS: usize = 8_192;

/// Error of a call to another process.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RpcError {
    /// No connection could be opened, so the call was not sent.
    #[error("cannot reach {0}")]
    Unreachable(SocketAddr),
    /// The call was sent but not answered; it may have been handled.
    #[error("no answer from {0}")]
    Lost(SocketAddr),
    /// The other process answered with an error, or a message could not be encoded or decoded.
    #[error("refused by {0}: {1}")]
    Refused(SocketAddr, String),
}

/// Connection pool with one connection per peer address, shared by all tasks of a process.
#[derive(Clone)]
pub struct PeerClients {
    token: Secret,
    tls: Option<Arc<ClientConfig>>,
    connections: Arc<Mutex<HashMap<SocketAddr, Arc<Connection>>>>,
}

type Connection = tokio::sync::Mutex<Slot>;

/// Connection to one address, and the start of the last connect if it failed.
#[derive(Default)]
struct Slot {
    client: Option<Arc<Client>>,
    failed_connect: Option<Instant>,
}

/// Client on an open connection.
struct Client {
    calls: WsClient,
    received: Received,
}

/// How long a call may wait for its answer.
#[derive(Clone, Copy, Debug)]
enum Limit {
    /// Until the timeout ends.
    Total(Duration),
    /// Until the timeout ends; the connection is kept then.
    Brief(Duration),
    /// For as long as bytes arrive within each timeout.
    Progress(Duration),
    /// Until the connection has been silent for the timeout.
    Silence(Duration),
}

impl PeerClients {
    /// Creates an empty pool. Each connection presents `token`, and uses TLS if `tls` is given.
    pub fn new(token: Secret, tls: Option<Arc<ClientConfig>>) -> PeerClients {
        PeerClients { token, tls, connections: Arc::default() }
    }

    /// Calls `method` with `parameters` and returns the answer's text.
    ///
    /// # Errors
    /// Returns [`RpcError::Unreachable`] if the call was not sent, [`RpcError::Lost`] if it may have
    /// been handled, and [`RpcError::Refused`] if the other process refused it.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        parameters: ArrayParams,
        timeout: Duration,
    ) -> Result<String, RpcError> {
        self.call_within(address, method, parameters, Limit::Total(timeout)).await
    }

    /// Sends a protobuf message and returns the decoded answer.
    ///
    /// # Errors
    /// Fails as [`PeerClients::call`] does. An answer that can't be decoded is returned as
    /// [`RpcError::Refused`].
    pub async fn ask<Q, A>(
        &self,
        address: SocketAddr,
        method: Method,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, RpcError>
    where
        Q: Message,
        A: Message + Default,
    {
        self.ask_within(address, method, request, Limit::Total(timeout)).await
    }

    /// Sends a protobuf message whose answer is of use only within `timeout`.
    ///
    /// Without an answer the connection is kept. A process that is only busy would otherwise have to
    /// accept another one for the next call.
    ///
    /// # Errors
    /// Fails as [`PeerClients::ask`] does.
    pub async fn ask_briefly<Q, A>(
        &self,
        address: SocketAddr,
        method: Method,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, RpcError>
    where
        Q: Message,
        A: Message + Default,
    {
        self.ask_within(address, method, request, Limit::Brief(timeout)).await
    }

    /// Sends a protobuf message whose answer may be large.
    ///
    /// The timeout counts from the last bytes that arrived. A large answer on a busy link would
    /// otherwise be given up while it arrives, and repeating the call would only add to the load.
    ///
    /// # Errors
    /// Fails as [`PeerClients::ask`] does.
    pub async fn fetch<Q, A>(
        &self,
        address: SocketAddr,
        method: Method,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, RpcError>
    where
        Q: Message,
        A: Message + Default,
    {
        self.ask_within(address, method, request, Limit::Progress(timeout)).await
    }

    /// Sends a protobuf message, and waits until the other process has sent nothing for `timeout`.
    ///
    /// A process that answers other calls is only busy. Repeating the call, or opening another
    /// connection, would add to its load.
    ///
    /// # Errors
    /// Fails as [`PeerClients::ask`] does.
    pub async fn ask_responsive<Q, A>(
        &self,
        address: SocketAddr,
        method: Method,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, RpcError>
    where
        Q: Message,
        A: Message + Default,
    {
        self.ask_within(address, method, request, Limit::Silence(timeout)).await
    }

    async fn ask_within<Q, A>(
        &self,
        address: SocketAddr,
        method: Method,
        request: &Q,
        limit: Limit,
    ) -> Result<A, RpcError>
    where
        Q: Message,
        A: Message + Default,
    {
        let text = self.call_within(address, method, Payload::new(request), limit).await?;
        decode(&text).map_err(|error| RpcError::Refused(address, error.to_string()))
    }

    async fn call_within<P: ToRpcParams + Send>(
        &self,
        address: SocketAddr,
        method: Method,
        parameters: P,
        limit: Limit,
    ) -> Result<String, RpcError> {
        let (Limit::Total(timeout)
        | Limit::Brief(timeout)
        | Limit::Progress(timeout)
        | Limit::Silence(timeout)) = limit;
        let deadline = tokio::time::Instant::now() + timeout;
        let opening = tokio::time::timeout_at(deadline, self.client(address)).await;
        let client = opening.map_err(|_| RpcError::Unreachable(address))??;
        let request = client.calls.request::<String, _>(method.name(), parameters);
        let answer = match limit {
            Limit::Total(_) | Limit::Brief(_) => {
                tokio::time::timeout_at(deadline, request).await.ok()
            }
            Limit::Progress(_) => while_bytes_arrive(request, &client.received, timeout).await,
            Limit::Silence(_) => until_silent(request, &client.received, timeout).await,
        };
        match answer {
            Some(Ok(text)) => Ok(text),
            Some(Err(ClientError::Call(error))) => {
                Err(RpcError::Refused(address, error.message().to_owned()))
            }
            None if matches!(limit, Limit::Brief(_)) => Err(RpcError::Lost(address)),
            Some(Err(_)) | None => {
                self.discard_broken(address, &client).await;
                Err(RpcError::Lost(address))
            }
        }
    }

    /// Opens a link for sending frames to a store, as the process `vm`.
    ///
    /// # Errors
    /// Fails if the store can't be reached or doesn't accept links.
    pub async fn open_link(&self, address: SocketAddr, vm: VmId) -> Result<Link, RpcError> {
        let opening = tokio::time::timeout(CONNECT_TIMEOUT, self.upgrade(address, vm)).await;
        opening.ok().flatten().ok_or(RpcError::Unreachable(address))
    }

    async fn upgrade(&self, address: SocketAddr, vm: VmId) -> Option<Link> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        match &self.tls {
            None => self.upgrade_stream(stream, address, vm).await,
            Some(tls) => {
                let name = ServerName::IpAddress(address.ip().into());
                let connector = TlsConnector::from(Arc::clone(tls));
                let stream = connector.connect(name, stream).await.ok()?;
                self.upgrade_stream(stream, address, vm).await
            }
        }
    }

    async fn upgrade_stream<S>(&self, stream: S, address: SocketAddr, vm: VmId) -> Option<Link>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let io = TokioIo::new(stream);
        let (mut sender, connection) = http1::handshake(io).await.ok()?;
        // Errors of the connection surface on the link.
        tokio::spawn(async move { drop(connection.with_upgrades().await) });
        let mut request = link::upgrade_request(&address.to_string(), vm);
        request.headers_mut().insert(AUTHORIZATION, self.bearer_header()?);
        let response = sender.send_request(request).await.ok()?;
        if response.status() != StatusCode::SWITCHING_PROTOCOLS {
            return None;
        }
        hyper::upgrade::on(response).await.ok().map(Link::new)
    }

    fn bearer_header(&self) -> Option<HeaderValue> {
        HeaderValue::from_str(&format!("Bearer {}", self.token.reveal())).ok()
    }

    async fn client(&self, address: SocketAddr) -> Result<Arc<Client>, RpcError> {
        let asked = Instant::now();
        let connection = self.connection(address);
        let mut slot = connection.lock().await;
        if let Some(client) = slot.client.as_ref().filter(|client| client.calls.is_connected()) {
            return Ok(Arc::clone(client));
        }
        // A connect that began after this call answers for it too. Otherwise calls that wait for the
        // lock would each repeat a failing connect in turn, long past their timeouts.
        if slot.failed_connect.is_some_and(|began| began >= asked) {
            return Err(RpcError::Unreachable(address));
        }
        // Set beforehand, since the caller's timeout may cancel the attempt.
        slot.failed_connect = Some(Instant::now());
        let client = self.open(address).await.ok_or(RpcError::Unreachable(address));
        if client.is_ok() {
            slot.failed_connect = None;
        }
        let client = Arc::new(client?);
        slot.client = Some(Arc::clone(&client));
        Ok(client)
    }

    fn connection(&self, address: SocketAddr) -> Arc<Connection> {
        let mut connections = self.connections.lock().expect("no panic while held");
        Arc::clone(connections.entry(address).or_default())
    }

    async fn open(&self, address: SocketAddr) -> Option<Client> {
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, self.bearer_header()?);
        let builder = WsClientBuilder::default()
            .set_headers(headers)
            .connection_timeout(CONNECT_TIMEOUT)
            .max_concurrent_requests(MAX_CALLS)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES);
        let received = Received::default();
        let counter = received.clone();
        let opening = async move {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let stream = Counted::new(stream, counter);
            let url = format!("ws://{address}");
            let Some(tls) = &self.tls else {
                return builder.build_with_stream(url, stream).await.ok();
            };
            let name = ServerName::IpAddress(address.ip().into());
            let stream = TlsConnector::from(Arc::clone(tls)).connect(name, stream).await.ok()?;
            builder.build_with_stream(url, stream).await.ok()
        };
        let calls = tokio::time::timeout(CONNECT_TIMEOUT, opening).await.ok()??;
        Some(Client { calls, received })
    }

    /// Closes a connection on which a call got no answer, unless another task has replaced it.
    ///
    /// The socket of a frozen peer stays open, so that later calls would all time out on it.
    async fn discard_broken(&self, address: SocketAddr, broken: &Arc<Client>) {
        let connection = self.connection(address);
        let mut slot = connection.lock().await;
        if slot.client.as_ref().is_some_and(|client| Arc::ptr_eq(client, broken)) {
            slot.client = None;
        }
    }
}

/// Awaits an answer for as long as bytes arrive within each `timeout`. Returns `None` otherwise.
async fn while_bytes_arrive<T>(
    request: impl Future<Output = T>,
    received: &Received,
    timeout: Duration,
) -> Option<T> {
    let mut request = std::pin::pin!(request);
    let mut before = received.bytes();
    for _ in 0..MAX_FETCH_TIMEOUTS {
        if let Ok(answer) = tokio::time::timeout(timeout, request.as_mut()).await {
            return Some(answer);
        }
        let now = received.bytes();
        if now - before < MIN_PROGRESS {
            return None;
        }
        before = now;
    }
    None
}

/// Awaits an answer until no bytes have arrived for `timeout`. Returns `None` then.
async fn until_silent<T>(
    request: impl Future<Output = T>,
    received: &Received,
    timeout: Duration,
) -> Option<T> {
    let mut request = std::pin::pin!(request);
    let mut before = received.bytes();
    let mut silent_checks = 0;
    for _ in 0..SILENCE_CHECKS * MAX_RESPONSIVE_TIMEOUTS {
        let check = timeout / SILENCE_CHECKS;
        if let Ok(answer) = tokio::time::timeout(check, request.as_mut()).await {
            return Some(answer);
        }
        let now = received.bytes();
        silent_checks = if now == before { silent_checks + 1 } else { 0 };
        if silent_checks == SILENCE_CHECKS {
            return None;
        }
        before = now;
    }
    None
}
