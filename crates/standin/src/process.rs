//! Life cycle of a stand-in: serving, freezing, draining and shutdown.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::Context as _;
use axum::Router;
use axum::extract::{Request, State};
use axum::middleware::Next;
use axum::response::Response;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Interval between checks for calls in flight.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// State shared by the handle, the HTTP handlers and the announcer.
#[derive(Clone)]
pub(crate) struct Process {
    /// Once cancelled, all connections are dropped and announcements stop.
    pub(crate) shutdown: CancellationToken,
    frozen: watch::Sender<bool>,
}

impl Process {
    pub(crate) fn new() -> Process {
        Process { shutdown: CancellationToken::new(), frozen: watch::Sender::new(false) }
    }

    /// Stops (`true`) or resumes (`false`) all progress, like a process under SIGSTOP.
    pub(crate) fn freeze(&self, on: bool) {
        self.frozen.send_replace(on);
    }

    /// Waits until the process is not frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = frozen.wait_for(|on| !on).await;
    }

    /// Waits until `is_idle` returns true and the last answers have been written.
    pub(crate) async fn wait_until_drained(&self, is_idle: impl Fn() -> bool) {
        while !is_idle() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        // Calls end before their answers are written to the socket.
        tokio::time::sleep(DRAIN_POLL).await;
    }

    /// Binds `address`, serves `router` on it until shutdown and returns the bound address.
    pub(crate) async fn serve(
        &self,
        address: SocketAddr,
        router: Router,
    ) -> anyhow::Result<SocketAddr> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("can't listen on {address}; choose a free address"))?;
        let address = listener.local_addr()?;
        let router =
            router.layer(axum::middleware::from_fn_with_state(self.clone(), hold_while_frozen));
        tokio::spawn(accept(listener, router, self.shutdown.clone()));
        Ok(address)
    }
}

/// Returns the current Unix time in milliseconds.
pub(crate) fn millis_now() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

async fn hold_while_frozen(
    State(process): State<Process>,
    request: Request,
    next: Next,
) -> Response {
    process.wait_while_frozen().await;
    next.run(request).await
}

async fn accept(listener: TcpListener, router: Router, shutdown: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(connection(stream, router.clone(), shutdown.clone()));
        }
    }
}

async fn connection(stream: TcpStream, router: Router, shutdown: CancellationToken) {
    // Only affects latency, so a failure is ignored.
    let _ = stream.set_nodelay(true);
    let builder = auto::Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(router);
    tokio::select! {
        // An error means that the peer disconnected, which needs no handling here.
        _ = builder.serve_connection(TokioIo::new(stream), service) => {}
        () = shutdown.cancelled() => {}
    }
}
