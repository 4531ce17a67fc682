//! HTTP interface of the service.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use compact_str::CompactString;
use http::{HeaderMap, StatusCode};

use super::fault::Fault;
use super::state::{Receipt, RecordedAnswer, ServiceStats, Shared};
use crate::headers::{self, Refusal};

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/tools/{operation}", post(call))
        .route("/v1/tools/status/{key}", get(status))
        .route("/v1/stats", get(stats))
        .with_state(shared)
}

/// Counts a call as running until it is answered or its connection is lost.
struct CallGuard {
    shared: Arc<Shared>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
    }
}

async fn call(
    State(shared): State<Arc<Shared>>,
    Path(operation): Path<CompactString>,
    head: HeaderMap,
    body: Bytes,
) -> Response {
    let dispatch = CompactString::from(headers::text(&head, headers::DISPATCH).unwrap_or_default());
    let key =
        CompactString::from(headers::text(&head, headers::IDEMPOTENCY_KEY).unwrap_or_default());
    let fault = Fault::from_call(&head, &String::from_utf8_lossy(&body));
    let mut response = match admit(&shared) {
        Some(running) => run(running, &operation, &key, &dispatch, fault).await,
        None => Refusal::not_started("full", "the service is full or leaving").into_response(),
    };
    if !response.headers().contains_key(headers::DISPATCH) {
        headers::echo_dispatch(&mut response, &dispatch);
    }
    response
}

fn admit(shared: &Arc<Shared>) -> Option<CallGuard> {
    let mut state = shared.lock();
    state.calls += 1;
    let capacity = shared.settings.slots as usize + shared.settings.queue;
    if state.leaving || state.running as usize >= capacity {
        state.refused += 1;
        return None;
    }
    state.running += 1;
    drop(state);
    Some(CallGuard { shared: Arc::clone(shared) })
}

async fn run(
    running: CallGuard,
    operation: &str,
    key: &str,
    dispatch: &str,
    fault: Fault,
) -> Response {
    let shared = &running.shared;
    match fault {
        Fault::Hang => std::future::pending().await,
        Fault::CrashBefore => crash(shared).await,
        Fault::None | Fault::CrashAfter | Fault::Late(_) | Fault::Crossed => {}
    }
    let _slot = shared.slots.acquire().await;
    tokio::time::sleep(Duration::from_millis(shared.settings.work_ms)).await;
    shared.process.wait_while_frozen().await;
    let receipt = shared.lock().apply(&shared.settings.service, operation, key, dispatch);
    let answer = RecordedAnswer { dispatch: dispatch.into(), receipt };
    let previous = shared.lock().last_answer.replace(answer.clone());
    match fault {
        Fault::CrashAfter => crash(shared).await,
        Fault::Late(delay) => tokio::time::sleep(delay).await,
        Fault::None | Fault::Hang | Fault::CrashBefore | Fault::Crossed => {}
    }
    match (fault, previous) {
        (Fault::Crossed, Some(previous)) => respond(&previous.dispatch, previous.receipt),
        _ => respond(&answer.dispatch, answer.receipt),
    }
}

/// Crashes the service. Never returns, so that the call gets no answer.
async fn crash(shared: &Shared) {
    shared.process.shutdown.cancel();
    std::future::pending().await
}

fn respond(dispatch: &str, receipt: Receipt) -> Response {
    let status = if receipt.granted { StatusCode::OK } else { StatusCode::CONFLICT };
    let mut response = (status, Json(receipt)).into_response();
    headers::echo_dispatch(&mut response, dispatch);
    response
}

/// Returns the latest receipt of a key, if the service supports status queries.
async fn status(State(shared): State<Arc<Shared>>, Path(key): Path<CompactString>) -> Response {
    if !shared.settings.inquiry {
        let message = "this service does not support status queries";
        return Refusal::new(StatusCode::NOT_IMPLEMENTED, "no_inquiry", message).into_response();
    }
    match shared.lock().receipt(&key) {
        Some(receipt) => Json(receipt).into_response(),
        None => {
            let message = "no call with this key has run on this instance";
            Refusal::new(StatusCode::NOT_FOUND, "not_run", message).into_response()
        }
    }
}

async fn stats(State(shared): State<Arc<Shared>>) -> Json<ServiceStats> {
    Json(shared.lock().stats())
}
