//! Bodies of requests to the registrar, read into accounted memory.

use axum::Router;
use axum::extract::{Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use http::StatusCode;

use crate::request_body::{self, BodyError};
use crate::request_memory::RequestMemory;

/// Largest body in bytes: above an operator's largest order.
const MAX_ORDER_BYTES: usize = 16 << 20;

/// Returns routes whose requests are read into `memory` before they are handled.
pub(super) fn buffered(routes: Router, memory: RequestMemory) -> Router {
    routes.layer(from_fn_with_state(memory, buffer_body))
}

async fn buffer_body(
    State(memory): State<RequestMemory>,
    request: Request,
    next: Next,
) -> Response {
    match request_body::buffer(&memory, request, MAX_ORDER_BYTES).await {
        Ok((request, _held)) => next.run(request).await,
        Err(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        Err(BodyError::Incomplete) => StatusCode::BAD_REQUEST.into_response(),
        Err(BodyError::TimedOut) => StatusCode::REQUEST_TIMEOUT.into_response(),
        Err(BodyError::OutOfMemory(_)) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
