//! Accept loop of the listeners, with optional TLS, limits and graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_util::sync::CancellationToken;

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
        B: http_body::Body<Data = Bytes> + Send + 'static,
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
    B: http_body::Body<Data = Bytes> + Send + 'static,
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
        // Sends the small frames of a token stream at once (disables Nagle's algorithm).
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(service.clone());
        let builder = connection_builder(&options);
        let watcher = graceful.watcher();
        match acceptor.clone() {
            Some(acceptor) => {
                tokio::spawn(async move {
                    let Some(stream) = handshake(acceptor, stream).await else { return };
                    let io = TokioIo::new(stream);
                    let served = builder.serve_connection_with_upgrades(io, service).into_owned();
                    let _ = watcher.watch(served).await;
                });
            }
            None => {
                tokio::spawn(async move {
                    let io = TokioIo::new(stream);
                    let served = builder.serve_connection_with_upgrades(io, service).into_owned();
                    let _ = watcher.watch(served).await;
                });
            }
        }
    }
    drop(socket);
    let _ = tokio::time::timeout(options.drain, graceful.shutdown()).await;
}

fn connection_builder(options: &ListenerOptions) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(options.header_bytes.max(MIN_HEADER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(options.header_bytes).unwrap_or(u32::MAX));
    builder
}

/// Minimum buffer size that hyper accepts.
const MIN_HEADER_BYTES: usize = 8_192;

async fn handshake(
    acceptor: TlsAcceptor,
    stream: TcpStream,
) -> Option<tokio_rustls::server::TlsStream<TcpStream>> {
    tokio::time::timeout(HEADER_TIMEOUT, acceptor.accept(stream)).await.ok()?.ok()
}
