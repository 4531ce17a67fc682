//! One-way links of raw frames between two processes, for replication.
//!
//! A link is opened by an HTTP upgrade on the listener for calls, with the same token. Raw frames
//! avoid the base64 overhead of a third, which would slow down catching up between regions. See
//! docs/design/rpc.md.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::{SinkExt as _, StreamExt as _};
use gypsumglade_core::prelude::*;
use http::header::{CONNECTION, HeaderName, HeaderValue, UPGRADE};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use jsonrpsee::server::HttpBody;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Request path that opens a link.
pub(super) const PATH: &str = "/replication";
/// Protocol name in the `Upgrade` header.
const PROTOCOL: &str = "replication";
/// Header with the number of the VM that opens the link.
const SENDER_HEADER: HeaderName = HeaderName::from_static("x-vm");
/// Maximum size of a frame, in bytes; a chunk of a snapshot fits with its metadata.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// Callback for received frames, with the VM that sent them.
pub type FrameHandler = Arc<dyn Fn(VmId, Bytes) + Send + Sync>;

/// The sending end of a link.
#[derive(Debug)]
pub struct Link {
    framed: Framed<TokioIo<Upgraded>, LengthDelimitedCodec>,
}

impl Link {
    pub(super) fn new(upgraded: Upgraded) -> Link {
        Link { framed: Framed::new(TokioIo::new(upgraded), codec()) }
    }

    /// Sends a frame. The other process acknowledges each frame in turn; see
    /// [`Link::acknowledged`].
    ///
    /// # Errors
    /// Fails if the link is broken.
    pub async fn send(&mut self, frame: Bytes) -> std::io::Result<()> {
        self.framed.send(frame).await
    }

    /// Waits for the next acknowledgement. Returns false if the link is broken.
    pub async fn acknowledged(&mut self) -> bool {
        matches!(self.framed.next().await, Some(Ok(_)))
    }
}

/// Returns the request that opens a link.
pub(super) fn upgrade_request(host: &str, vm: VmId) -> Request<http_body_util::Empty<Bytes>> {
    let mut request = Request::new(http_body_util::Empty::new());
    *request.uri_mut() = http::Uri::from_static(PATH);
    let headers = request.headers_mut();
    headers.insert(SENDER_HEADER, HeaderValue::from(vm.0));
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static(PROTOCOL));
    if let Ok(host) = HeaderValue::from_str(host) {
        headers.insert(http::header::HOST, host);
    }
    request
}

/// Accepts a link, and passes its frames to `handler` until it is closed.
pub(super) fn accept(request: Request<Incoming>, handler: &FrameHandler) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::empty());
    let vm =
        request.headers().get(SENDER_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
    let Some(vm) = vm.map(VmId) else {
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let handler = Arc::clone(handler);
    tokio::spawn(async move {
        // If the upgrade fails, the peer opens another link.
        if let Ok(upgraded) = hyper::upgrade::on(request).await {
            receive(upgraded, vm, &handler).await;
        }
    });
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static(PROTOCOL));
    response
}

async fn receive(upgraded: Upgraded, vm: VmId, handler: &FrameHandler) {
    let mut framed = Framed::new(TokioIo::new(upgraded), codec());
    while let Some(Ok(frame)) = framed.next().await {
        handler(vm, BytesMut::freeze(frame));
        if framed.send(Bytes::new()).await.is_err() {
            return;
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
