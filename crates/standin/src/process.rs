//! Life and death of one stand-in: listening, freezing, crashing.

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

/// Pause between two looks whether calls still run.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Switches that the handle, the handlers and the announcer share.
#[derive(Clone)]
pub(crate) struct Process {
    /// Once cancelled, every connection is dropped and nothing is announced.
    pub(crate) shutdown: CancellationToken,
    frozen: watch::Sender<bool>,
}

impl Process {
    pub(crate) fn new() -> Process {
        Process { shutdown: CancellationToken::new(), frozen: watch::Sender::new(false) }
    }

    /// Stops or resumes all progress, as a stopped process would.
    pub(crate) fn freeze(&self, on: bool) {
        self.frozen.send_replace(on);
    }

    /// Returns once the process is not frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = frozen.wait_for(|on| !on).await;
    }

    /// Returns once `is_idle` says that no call runs, and the last answers had time to leave.
    pub(crate) async fn wait_until_drained(&self, is_idle: impl Fn() -> bool) {
        while !is_idle() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        // The last answers are handed to their sockets; they get time to leave.
        tokio::time::sleep(DRAIN_POLL).await;
    }

    /// Binds `address` and serves `router` on it until death.
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

/// Returns the milliseconds since 1970, which grow with each start.
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
    // Only a hint for speed; a refusal changes nothing else.
    let _ = stream.set_nodelay(true);
    let builder = auto::Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(router);
    tokio::select! {
        // An error here is the peer's hang-up, which the handler sees on its own.
        _ = builder.serve_connection(TokioIo::new(stream), service) => {}
        () = shutdown.cancelled() => {}
    }
}
