//! Accept loop that every listener of a process shares: TLS where asked for, limits, draining.

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

/// Time a connection may take to send its request head, so that idle peers cannot pin sockets.
const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed accept (typically: out of file descriptors), so that the loop cannot spin.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// How one listener accepts connections.
#[derive(Clone)]
pub struct ListenerOptions {
    /// TLS of the listener; plain TCP if absent.
    pub tls: Option<Arc<ServerConfig>>,
    /// Most bytes of a request head.
    pub header_bytes: usize,
    /// Longest time that requests in flight may take once the listener stops.
    pub drain: Duration,
}

/// A bound listener and the task that serves it.
pub struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds `address` and serves `service` on it until `stop`, then lets requests finish.
    ///
    /// # Errors
    /// Fails when the address cannot be bound; the message names it.
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
            format!("cannot listen on {address}: free the port or change `listen` in the settings")
        })?;
        let address = socket.local_addr()?;
        let task = tokio::spawn(accept_loop(socket, service, options, stop));
        Ok(Listener { address, task })
    }

    /// Returns the address in use, with the port that the kernel chose for port zero.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until every connection has drained. Call it after the stop token was cancelled.
    pub async fn drained(self) {
        // A panic of the accept loop leaves nothing to drain.
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
        // Small frames of a token stream must not wait for an acknowledgement.
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

/// The smallest head buffer that the HTTP library accepts.
const MIN_HEADER_BYTES: usize = 8_192;

async fn handshake(
    acceptor: TlsAcceptor,
    stream: TcpStream,
) -> Option<tokio_rustls::server::TlsStream<TcpStream>> {
    tokio::time::timeout(HEADER_TIMEOUT, acceptor.accept(stream)).await.ok()?.ok()
}
