//! Headers that an intermediary must not forward.

use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::response;

/// Hop-by-hop headers, and those that the HTTP library sets itself.
const HOP_BY_HOP: [HeaderName; 10] = [
    CONNECTION,
    CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Returns the headers to pass on: all except hop-by-hop headers, including those that `Connection`
/// lists.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<&str> = named.flat_map(|value| value.split(',')).map(str::trim).collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop = HOP_BY_HOP.contains(name);
        if !hop && !named.iter().any(|other| name.as_str().eq_ignore_ascii_case(other)) {
            kept.append(name, value.clone());
        }
    }
    kept
}

/// Returns whether an answer's body has a content encoding, which the gateway does not support.
pub(super) fn is_encoded(head: &response::Parts) -> bool {
    head.headers.contains_key(CONTENT_ENCODING)
}
