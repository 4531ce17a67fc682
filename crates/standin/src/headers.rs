//! Headers between the system and its endpoints.

use axum::response::{IntoResponse, Response};
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, StatusCode};

/// Unique id of one dispatch, echoed in the answer.
pub const DISPATCH: &str = "x-dispatch-id";
/// Organisation and program as `org/program`, under which the engine files prefix memory.
pub const PROGRAM: &str = "x-program-id";
/// Place in the engine's queue; larger runs sooner, zero when absent.
pub const PRIORITY: &str = "x-priority";
/// Count of tokens of a broken stream that the reader already has.
pub const RESUME_FROM: &str = "x-resume-from";
/// Version of the model asked for, when several are loaded.
pub const MODEL_VERSION: &str = "x-model-version";
/// Set on a refusal that was given before anything started.
pub const NOT_STARTED: &str = "x-not-started";
/// Count of tokens in an exported KV cache.
pub const TOKENS: &str = "x-tokens";
/// Model and version of an exported KV cache, as `model@version`.
pub const MODEL: &str = "x-model";
/// Idempotency key of a call to a plain service.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Fault that a plain service shall show on this call.
pub const FAULT: &str = "x-fault";

/// Returns a header's text, if it is there and is text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's number, or the default where it is absent or not a number.
pub(crate) fn number<T: std::str::FromStr + Default>(headers: &HeaderMap, name: &str) -> T {
    text(headers, name).and_then(|t| t.parse().ok()).unwrap_or_default()
}

/// Adds the echo of a dispatch id.
pub(crate) fn echo_dispatch(response: &mut Response, dispatch: &str) {
    if let Ok(value) = HeaderValue::from_str(dispatch) {
        response.headers_mut().insert(DISPATCH, value);
    }
}

/// Why a stand-in doesn't serve a call.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: CompactString,
    /// Whether the answer proves that nothing started.
    not_started: bool,
}

impl Refusal {
    /// A refusal that leaves open what ran before.
    pub(crate) fn new(status: StatusCode, code: &'static str, message: &str) -> Refusal {
        Refusal { status, code, message: message.into(), not_started: false }
    }

    /// A refusal that proves that nothing started.
    pub(crate) fn not_started(code: &'static str, message: &str) -> Refusal {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Refusal { status, code, message: message.into(), not_started: true }
    }

    /// A refusal of a request that can't be read, which proves that nothing started.
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
