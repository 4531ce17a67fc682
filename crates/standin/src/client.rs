//! HTTP client for announcements, model weights and load.

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Client for unencrypted HTTP with a connection pool.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that sends small writes at once.
pub(crate) fn new() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}
