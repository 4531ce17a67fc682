//! The HTTP client of announcements, weights and load.

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A pooled client for plain HTTP.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates the client.
pub(crate) fn new() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}
