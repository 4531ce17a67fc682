//! A link that carries frames one way between two processes, for replication.
//!
//! A batch of replication messages needs no answer of its own, and base64 within JSON made it a
//! third larger: a store that lost its disk took 5.8 s to catch up over the 30 Mbit/s between
//! regions. So a link is opened by an HTTP upgrade on the same listener as calls, with the same
//! token, and carries raw frames from then on. See docs/design/rpc.md.

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

/// Path that opens a link.
pub(super) const PATH: &str = "/replication";
/// Protocol named in the upgrade.
const PROTOCOL: &str = "replication";
/// Who opens the link.
const SENDER_HEADER: HeaderName = HeaderName::from_static("x-vm");
/// Most bytes of a frame: a piece of a snapshot with room for all that goes with it.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// Takes the frames that a process sends.
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

    /// Sends a frame. Each is answered by [`Link::acknowledged`] once the other process has taken it.
    ///
    /// # Errors
    /// Fails when the link is broken.
    pub async fn send(&mut self, frame: Bytes) -> std::io::Result<()> {
        self.framed.send(frame).await
    }

    /// Resolves with the next answer; false when the link is broken.
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

/// Answers the request that opens a link, and takes its frames until it ends.
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
        // A peer that goes away before the upgrade opens another link.
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
