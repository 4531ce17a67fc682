//! Headers between the system and its endpoints, and the answer to a refused call.

use axum::response::{IntoResponse, Response};
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, StatusCode};

/// Unique id of a dispatch, which the answer echoes.
pub const DISPATCH: &str = "x-dispatch-id";
/// Organisation and program as `org/program`, the key of the engine's prefix cache.
pub const PROGRAM: &str = "x-program-id";
/// Priority in the engine's queue: higher runs sooner, and the default is zero.
pub const PRIORITY: &str = "x-priority";
/// Number of tokens of an interrupted stream that the reader has received.
pub const RESUME_FROM: &str = "x-resume-from";
/// Requested version of the model, when several are loaded.
pub const MODEL_VERSION: &str = "x-model-version";
/// Set on a refusal if nothing was started.
pub const NOT_STARTED: &str = "x-not-started";
/// Number of tokens in an exported KV cache.
pub const TOKENS: &str = "x-tokens";
/// Model and version of an exported KV cache, as `model@version`.
pub const MODEL: &str = "x-model";
/// Idempotency key of a call to a plain service.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Fault that a plain service simulates in this call.
pub const FAULT: &str = "x-fault";

/// Returns a header's value, or `None` if it is absent or not visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a header's value. Returns the default if it is absent or not a number.
pub(crate) fn number<T: std::str::FromStr + Default>(headers: &HeaderMap, name: &str) -> T {
    text(headers, name).and_then(|t| t.parse().ok()).unwrap_or_default()
}

/// Adds the dispatch id to an answer.
pub(crate) fn echo_dispatch(response: &mut Response, dispatch: &str) {
    if let Ok(value) = HeaderValue::from_str(dispatch) {
        response.headers_mut().insert(DISPATCH, value);
    }
}

/// Error answer of a stand-in.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: CompactString,
    /// Whether the answer guarantees that nothing was started.
    not_started: bool,
}

impl Refusal {
    /// Creates a refusal that makes no statement on whether something was started.
    pub(crate) fn new(status: StatusCode, code: &'static str, message: &str) -> Refusal {
        Refusal { status, code, message: message.into(), not_started: false }
    }

    /// Creates a refusal with status 503, which guarantees that nothing was started.
    pub(crate) fn not_started(code: &'static str, message: &str) -> Refusal {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Refusal { status, code, message: message.into(), not_started: true }
    }

    /// Creates a refusal of a malformed request, which guarantees that nothing was started.
    pub(crate) fn bad_request(message: &str) -> Refusal {
        let status = StatusCode::BAD_REQUEST;
        Refusal { status, code: "bad_request", message: message.into(), not_started: true }
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let Refusal { status, code, message, not_started } = self;
        let body = ErrorBody { error: ErrorDetail { code, message, kind: "standin" } };
        let mut response = (status, axum::Json(body)).into_response();
        if not_started {
            response.headers_mut().insert(NOT_STARTED, HeaderValue::from_static("1"));
        }
        response
    }
}

#[derive(serde::Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(serde::Serialize)]
struct ErrorDetail {
    code: &'static str,
    message: CompactString,
    #[serde(rename = "type")]
    kind: &'static str,
}
