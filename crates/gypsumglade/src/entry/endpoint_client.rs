//! HTTP client for endpoints, which tells failures before sending from those after it.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use compact_str::CompactString;

/// Unique dispatch id, echoed by the endpoint so that answers can be matched.
pub const DISPATCH_HEADER: HeaderName = HeaderName::from_static("x-dispatch-id");
/// Program under which the engine caches the prefix.
pub const PROGRAM_HEADER: HeaderName = HeaderName::from_static("x-program-id");
/// Priority in the engine's queue.
pub const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-priority");
/// Model version to run, for an engine that serves several.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("x-model-version");
/// Number of tokens already received when a stream is resumed.
pub const RESUME_HEADER: HeaderName = HeaderName::from_static("x-resume-from");
/// Set by an endpoint that refused a call before starting it.
pub const NOT_STARTED_HEADER: HeaderName = HeaderName::from_static("x-not-started");
/// Idempotency key for plain services.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle connections kept per endpoint.
const IDLE_CONNECTIONS: usize = 64;
/// Largest answer body that is read.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Failure of a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The call certainly did not start: connecting failed, or the endpoint refused it.
    NotSent,
    /// The connection broke; the call may have started.
    Broken,
    /// The endpoint took too long; the call may have started.
    TimedOut,
    /// The answer belongs to another dispatch or is incomplete.
    Mismatched,
}

/// HTTP request of a dispatch.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Address of the endpoint, `ip:port`.
    pub address: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Dispatch id.
    pub id: CompactString,
    /// Headers other than the dispatch id and the content type.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// JSON body.
    pub body: Bytes,
}

/// HTTP clients for endpoints: a pooled one for repeatable requests and one without reuse.
#[derive(Clone)]
pub struct EndpointClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
}

impl EndpointClient {
    /// Creates clients without open connections.
    pub fn new() -> EndpointClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector.clone());
        // A call that is not repeatable gets a new connection. On a reused connection that the
        // endpoint has just closed, an error doesn't tell whether the call was read. If the
        // endpoint is gone, a new one fails while connecting, which proves that nothing was sent.
        let unpooled = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        EndpointClient { pooled, unpooled }
    }

    /// Sends the dispatch of a repeatable call and returns the response with an unread body.
    ///
    /// # Errors
    /// Any error but [`SendError::NotSent`] means that the call may have started.
    pub async fn send(&self, dispatch: &Dispatch) -> Result<Response<Incoming>, SendError> {
        verify_dispatch(dispatch, self.pooled.request(request(dispatch)?).await)
    }

    /// Sends a dispatch on a new connection and reads the complete answer.
    ///
    /// # Errors
    /// Any error but [`SendError::NotSent`] means that the call may have run.
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

    /// Sends a control request, such as a cancel, release or status inquiry, and reads the complete
    /// answer.
    ///
    /// # Errors
    /// Any error but [`SendError::NotSent`] means that the endpoint may have got the request.
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

/// Reads the body of a response.
///
/// # Errors
/// Fails when the body is cut short or larger than 16 MiB.
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

/// Checks that the response belongs to the dispatch.
///
/// The endpoint echoes the unique dispatch id, so a mixed-up response can't reach another caller.
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
