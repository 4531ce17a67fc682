//! HTTP towards endpoints: sends a dispatch and says whether a byte of it may have left.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use compact_str::CompactString;

/// Unique id of one dispatch, echoed by the endpoint; answers match by it.
pub const DISPATCH_HEADER: HeaderName = HeaderName::from_static("x-dispatch-id");
/// Program on whose prefix memory the engine files the call.
pub const PROGRAM_HEADER: HeaderName = HeaderName::from_static("x-program-id");
/// Priority for the engine's own queue.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// Version of the model that the engine should run, while it serves two.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("x-model-version");
/// Count of tokens the caller already has, when a stream is resumed.
pub const RESUME_HEADER: HeaderName = HeaderName::from_static("x-resume-from");
/// Set by an endpoint that refused before it started anything.
pub const NOT_STARTED_HEADER: HeaderName = HeaderName::from_static("x-not-started");
/// Idempotency key, passed on to plain services.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Longest time to open a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle connections kept for each engine.
const IDLE_CONNECTIONS: usize = 64;
/// Most bytes of an endpoint's whole answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why a dispatch has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// Proved: no byte left, or the endpoint refused before starting.
    NotSent,
    /// The endpoint may have started; its connection broke.
    Broken,
    /// The endpoint may have started; it took too long.
    TimedOut,
    /// The answer was of another dispatch, or too large.
    Mismatched,
}

/// A dispatch as it goes on the wire.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Address of the endpoint, `ip:port`.
    pub address: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Unique id.
    pub id: CompactString,
    /// Headers besides the dispatch id.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// JSON body.
    pub body: Bytes,
}

/// Clients for endpoints, one for calls that may be repeated and one for those that may not.
#[derive(Clone)]
pub struct EndpointClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

impl EndpointClient {
    /// Creates the clients.
    pub fn new() -> EndpointClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector.clone());
        // A call that may not be repeated gets a connection of its own. On a reused one that the
        // endpoint has just closed, an error leaves open whether the call was read, and the
        // caller would see `unknown` for what never ran. A fresh one fails at connect, which
        // proves that nothing was sent.
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        EndpointClient { pooled, unpooled }
    }

    /// Sends a dispatch of a call that may be repeated and returns the head of its answer.
    ///
    /// # Errors
    /// Tells whether a byte may have left.
    pub async fn send(&self, dispatch: &Dispatch) -> Result<Response<Incoming>, SendError> {
        verify_dispatch(dispatch, self.pooled.request(request(dispatch)?).await)
    }

    /// Sends a dispatch of a call that may not be repeated, and reads the whole answer.
    ///
    /// # Errors
    /// Anything but [`SendError::NotSent`] leaves open whether the call ran.
    pub async fn send_once(
        &self,
        dispatch: &Dispatch,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let sending = async {
            let response =
                verify_dispatch(dispatch, self.unpooled.request(request(dispatch)?).await)?;
            let status = response.status();
            Ok((status, read_body(response).await?))
        };
        tokio::time::timeout(timeout, sending).await.unwrap_or(Err(SendError::TimedOut))
    }

    /// Sends a small control call (cancel, release, inquiry) and reads the whole answer.
    ///
    /// # Errors
    /// As [`EndpointClient::send`].
    pub async fn control(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| SendError::NotSent)?;
        let sending = async {
            let response = self.pooled.request(request).await.map_err(classify)?;
            let status = response.status();
            Ok((status, read_body(response).await?))
        };
        tokio::time::timeout(timeout, sending).await.unwrap_or(Err(SendError::TimedOut))
    }
}

impl Default for EndpointClient {
    fn default() -> Self {
        EndpointClient::new()
    }
}

/// Reads an answer to its end.
///
/// # Errors
/// Fails on an answer that is cut short or larger than the limit.
pub async fn read_body(response: Response<Incoming>) -> Result<Bytes, SendError> {
    let limited = http_body_util::Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let collected = limited.collect().await.map_err(|_| SendError::Broken)?;
    Ok(collected.to_bytes())
}

fn request(dispatch: &Dispatch) -> Result<Request<Full<Bytes>>, SendError> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{}", dispatch.address, dispatch.path))
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(DISPATCH_HEADER, dispatch.id.as_str());
    for (name, value) in &dispatch.headers {
        builder = builder.header(name, value);
    }
    builder.body(Full::new(dispatch.body.clone())).map_err(|_| SendError::NotSent)
}

type SendResult = Result<Response<Incoming>, hyper_util::client::legacy::Error>;

/// Checks that the answer belongs to the dispatch.
///
/// An endpoint that answers late or crossed would otherwise hand one caller another's answer;
/// the id is unique for each dispatch, so an equal id is proof enough.
fn verify_dispatch(dispatch: &Dispatch, sent: SendResult) -> Result<Response<Incoming>, SendError> {
    let response = sent.map_err(classify)?;
    if response.headers().contains_key(NOT_STARTED_HEADER) {
        return Err(SendError::NotSent);
    }
    let echoed = response.headers().get(DISPATCH_HEADER).map(HeaderValue::as_bytes);
    if echoed == Some(dispatch.id.as_bytes()) { Ok(response) } else { Err(SendError::Mismatched) }
}

fn classify(error: hyper_util::client::legacy::Error) -> SendError {
    if error.is_connect() { SendError::NotSent } else { SendError::Broken }
}
