//! Accept loop of the listeners, with optional TLS, limits and graceful shutdown.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_util::sync::CancellationToken;
use tower::ServiceExt as _;

use crate::client_io::{ClientConnection, ClientIo, RequestGuard};
use crate::connection_guard::ConnectionLimiter;
use crate::guarded_body::GuardedBody;
use crate::limit_report::LimitReport;
use crate::settings::{LimitSettings, ListenerRole};

/// Timeout for the TLS handshake and for a request head, so that idle peers don't hold sockets open.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed accept, typically for lack of file descriptors, to avoid a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Options of a listener.
#[derive(Clone)]
pub struct ListenerOptions {
    /// TLS configuration; plain TCP if absent.
    pub tls: Option<Arc<ServerConfig>>,
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Time that requests in flight get to finish once the listener stops.
    pub drain: Duration,
    /// Bound on the open connections.
    pub connections: ConnectionLimiter,
}

impl ListenerOptions {
    /// Returns options without TLS, with the default bound on connections and without reports, for
    /// listeners outside a daemon.
    pub fn plain(header_bytes: usize, drain: Duration) -> ListenerOptions {
        let connections =
            LimitReport::silent().limiter(&LimitSettings::default(), ListenerRole::Peers);
        ListenerOptions { tls: None, header_bytes, drain, connections }
    }
}

/// A bound listener and the task that serves it.
pub struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds `address` and serves `service` on it until `stop` is cancelled. Requests in flight may
    /// then finish within [`ListenerOptions::drain`].
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn bind<S, B>(
        address: SocketAddr,
        service: S,
        options: ListenerOptions,
        stop: CancellationToken,
    ) -> anyhow::Result<Listener>
    where
        S: tower::Service<Request<Incoming>, Response = Response<B>> + Clone + Send + 'static,
        S::Future: Send + 'static,
        S::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send + Sync,
        B: http_body::Body<Data = Bytes> + Send + Unpin + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let socket = TcpListener::bind(address).await.with_context(|| {
            format!("can't listen on {address}: free the port or change `listen` in the settings")
        })?;
        let address = socket.local_addr()?;
        let task = tokio::spawn(accept_loop(socket, service, options, stop));
        Ok(Listener { address, task })
    }

    /// Returns the bound address, with the port that the kernel chose if port zero was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until all connections are closed or the drain time is over. Call it after the stop token
    /// is cancelled.
    pub async fn drained(self) {
        // If the accept loop panicked, there is nothing to wait for.
        let _ = self.task.await;
    }
}

async fn accept_loop<S, B>(
    socket: TcpListener,
    service: S,
    options: ListenerOptions,
    stop: CancellationToken,
) where
    S: tower::Service<Request<Incoming>, Response = Response<B>> + Clone + Send + 'static,
    S::Future: Send + 'static,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>> + Send + Sync,
    B: http_body::Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let graceful = GracefulShutdown::new();
    let acceptor = options.tls.clone().map(TlsAcceptor::from);
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => break,
            accepted = socket.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            },
        };
        // Without room the client learns at once that it has to connect elsewhere.
        let Some(guard) = options.connections.admit().await else { continue };
        let connection = ClientConnection::new(guard);
        // Sends the small frames of a token stream at once (disables Nagle's algorithm).
        let _ = stream.set_nodelay(true);
        let stream = connection.wrap(stream, HEADER_TIMEOUT);
        let closed = connection.closed();
        let service = TrackedService { inner: service.clone(), connection };
        let builder = connection_builder(&options);
        let watcher = graceful.watcher();
        match acceptor.clone() {
            Some(acceptor) => {
                tokio::spawn(closed.run_until_cancelled_owned(async move {
                    let Some(stream) = handshake(acceptor, stream).await else { return };
                    let io = TokioIo::new(stream);
                    let served = builder.serve_connection_with_upgrades(io, service).into_owned();
                    let _ = watcher.watch(served).await;
                }));
            }
            None => {
                tokio::spawn(closed.run_until_cancelled_owned(async move {
                    let io = TokioIo::new(stream);
                    let served = builder.serve_connection_with_upgrades(io, service).into_owned();
                    let _ = watcher.watch(served).await;
                }));
            }
        }
    }
    drop(socket);
    let _ = tokio::time::timeout(options.drain, graceful.shutdown()).await;
}

/// Service that records what its connection is used for.
#[derive(Clone)]
struct TrackedService<S> {
    inner: S,
    connection: ClientConnection,
}

impl<S, B> hyper::service::Service<Request<Incoming>> for TrackedService<S>
where
    S: tower::Service<Request<Incoming>, Response = Response<B>> + Clone + Send + 'static,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
    B: 'static,
{
    type Response = Response<GuardedBody<B, Option<RequestGuard>>>;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, S::Error>> + Send>>;

    fn call(&self, mut request: Request<Incoming>) -> Self::Future {
        let guard = self.connection.begin_request();
        if request.body().is_end_stream() {
            guard.received();
        }
        // Whoever reads the body records its end.
        request.extensions_mut().insert(self.connection.clone());
        let response = self.inner.clone().oneshot(request);
        Box::pin(async move {
            let response = response.await?;
            guard.received();
            let guard = match response.status() {
                StatusCode::SWITCHING_PROTOCOLS => {
                    guard.keep();
                    None
                }
                _ => Some(guard),
            };
            Ok(response.map(|body| GuardedBody::new(body, guard)))
        })
    }
}

fn connection_builder(options: &ListenerOptions) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(options.header_bytes / MIN_FIELD_BYTES)
        .max_buf_size(options.header_bytes.max(MIN_HEADER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(options.header_bytes).unwrap_or(u32::MAX));
    builder
}

/// Size of the shortest header on the wire, in bytes.
pub const MIN_FIELD_BYTES: usize = 4;
/// Minimum buffer size that hyper accepts.
const MIN_HEADER_BYTES: usize = 8_192;

async fn handshake(
    acceptor: TlsAcceptor,
    stream: ClientIo,
) -> Option<tokio_rustls::server::TlsStream<ClientIo>> {
    tokio::time::timeout(HEADER_TIMEOUT, acceptor.accept(stream)).await.ok()?.ok()
}
