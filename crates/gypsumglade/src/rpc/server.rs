//! Listener for calls from other processes of the system.

use std::convert::Infallible;
use std::net::SocketAddr;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use jsonrpsee::Methods;
use jsonrpsee::core::BoxError;
use jsonrpsee::server::{HttpBody, Server, ServerConfig, StopHandle, stop_channel};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use tokio_util::sync::CancellationToken;

use super::link::{self, FrameHandler};
use crate::listener::{Listener, ListenerOptions};
use crate::secret::Secret;

/// Maximum size of a call or answer, in bytes; a whole history in base64 fits.
pub(super) const MAX_MESSAGE_BYTES: u32 = 32 * 1024 * 1024;
/// Maximum number of connections from peers. Every VM of a deployment may have one, and after a restart
/// of all of them some have given up one that is still open here.
const MAX_CONNECTIONS: u32 = 4_096;

/// A running listener for peers.
pub struct RpcServer {
    listener: Listener,
}

impl RpcServer {
    /// Serves `methods` to peers that present `token`. Frames of their links go to `handler`; without
    /// one, links are not accepted.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        token: Secret,
        methods: Methods,
        handler: Option<FrameHandler>,
        options: ListenerOptions,
        stop: CancellationToken,
    ) -> anyhow::Result<RpcServer> {
        let (stop_handle, server_handle) = stop_channel();
        tokio::spawn(async move {
            stop.clone().cancelled().await;
            // Fails only if the server has already stopped.
            let _ = server_handle.stop();
        });
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .build();
        let builder = Server::builder().set_config(config).to_service_builder();
        let stopped = CancellationToken::new();
        watch_stop(stop_handle.clone(), stopped.clone());
        let service = tower::service_fn(move |request: Request<Incoming>| {
            let mut rpc = builder.clone().build(methods.clone(), stop_handle.clone());
            // Without the token, any host that reaches the port could settle calls or vote. It is
            // checked at the handshake, before any call is parsed.
            let allowed = token.matches_bearer(request.headers());
            let handler = handler.clone();
            async move {
                if !allowed {
                    return Ok::<_, Infallible>(unauthorized());
                }
                if let Some(handler) = handler.filter(|_| request.uri().path() == link::PATH) {
                    return Ok(link::accept(request, &handler));
                }
                let answer: Result<Response<HttpBody>, BoxError> =
                    tower::Service::call(&mut rpc, request).await;
                Ok(answer.unwrap_or_else(|_| status_only(StatusCode::INTERNAL_SERVER_ERROR)))
            }
        });
        let listener = Listener::bind(address, service, options, stopped).await?;
        Ok(RpcServer { listener })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

fn watch_stop(stop: StopHandle, stopped: CancellationToken) {
    tokio::spawn(async move {
        stop.shutdown().await;
        stopped.cancel();
    });
}

fn unauthorized() -> Response<HttpBody> {
    status_only(StatusCode::UNAUTHORIZED)
}

fn status_only(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::empty());
    *response.status_mut() = status;
    response
}

/// Returns the error for a call whose payload can't be decoded.
pub fn invalid_payload(error: &anyhow::Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, format!("unreadable payload: {error}"), None::<()>)
}
