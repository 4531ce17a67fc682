//! Life and death of one stand-in: listening, freezing, crashing.

use std::net::SocketAddr;

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

/// Switches that the handle, the handlers and the announcer share.
#[derive(Clone)]
pub(crate) struct Process {
    /// Once cancelled, every connection is dropped and nothing is announced.
    pub(crate) dead: CancellationToken,
    frozen: watch::Sender<bool>,
}

impl Process {
    pub(crate) fn new() -> Process {
        Process { dead: CancellationToken::new(), frozen: watch::Sender::new(false) }
    }

    /// Stops or resumes all progress, as a stopped process would.
    pub(crate) fn freeze(&self, on: bool) {
        self.frozen.send_replace(on);
    }

    /// Returns once the process is not frozen.
    pub(crate) async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = frozen.wait_for(|on| !on).await;
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
            router.layer(axum::middleware::from_fn_with_state(self.clone(), wait_until_thawed));
        tokio::spawn(accept(listener, router, self.dead.clone()));
        Ok(address)
    }
}

async fn wait_until_thawed(
    State(process): State<Process>,
    request: Request,
    next: Next,
) -> Response {
    process.thawed().await;
    next.run(request).await
}

async fn accept(listener: TcpListener, router: Router, dead: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = dead.cancelled() => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(connection(stream, router.clone(), dead.clone()));
        }
    }
}

async fn connection(stream: TcpStream, router: Router, dead: CancellationToken) {
    // Only a hint for speed; a refusal changes nothing else.
    let _ = stream.set_nodelay(true);
    let builder = auto::Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(router);
    tokio::select! {
        // An error here is the peer's hang-up, which the handler sees on its own.
        _ = builder.serve_connection(TokioIo::new(stream), service) => {}
        () = dead.cancelled() => {}
    }
}
