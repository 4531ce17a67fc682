//! The service's HTTP interface.

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
use super::state::{Answered, Receipt, ServiceStats, Shared};
use crate::headers::{self, Refusal};

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/tools/{operation}", post(call))
        .route("/v1/tools/status/{key}", get(status))
        .route("/v1/stats", get(stats))
        .with_state(shared)
}

/// Counts a call as running until it is answered or its connection is lost.
struct Running {
    shared: Arc<Shared>,
}

impl Drop for Running {
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
    let key = CompactString::from(headers::text(&head, headers::KEY).unwrap_or_default());
    let fault = Fault::of(&head, &String::from_utf8_lossy(&body));
    let mut response = match admit(&shared) {
        Some(running) => run(running, &operation, &key, &dispatch, fault).await,
        None => Refusal::not_started("full", "the service is full or leaving").into_response(),
    };
    if !response.headers().contains_key(headers::DISPATCH) {
        headers::echo(&mut response, &dispatch);
    }
    response
}

fn admit(shared: &Arc<Shared>) -> Option<Running> {
    let mut state = shared.lock();
    state.calls += 1;
    let room = shared.settings.slots as usize + shared.settings.queue;
    if state.leaving || state.running as usize >= room {
        state.refused += 1;
        return None;
    }
    state.running += 1;
    drop(state);
    Some(Running { shared: Arc::clone(shared) })
}

async fn run(
    running: Running,
    operation: &str,
    key: &str,
    dispatch: &str,
    fault: Fault,
) -> Response {
    let shared = &running.shared;
    match fault {
        Fault::Hang => std::future::pending().await,
        Fault::CrashBefore => die(shared).await,
        Fault::None | Fault::CrashAfter | Fault::Late(_) | Fault::Crossed => {}
    }
    let _slot = shared.slots.acquire().await;
    tokio::time::sleep(Duration::from_millis(shared.settings.work_ms)).await;
    shared.process.thawed().await;
    let receipt = shared.lock().apply(&shared.settings.service, operation, key, dispatch);
    let answered = Answered { dispatch: dispatch.into(), receipt };
    let before = shared.lock().latest.replace(answered.clone());
    match fault {
        Fault::CrashAfter => die(shared).await,
        Fault::Late(delay) => tokio::time::sleep(delay).await,
        Fault::None | Fault::Hang | Fault::CrashBefore | Fault::Crossed => {}
    }
    match (fault, before) {
        (Fault::Crossed, Some(before)) => respond(&before.dispatch, before.receipt),
        _ => respond(&answered.dispatch, answered.receipt),
    }
}

/// Kills the service, and never returns: not even a ready answer may follow.
async fn die(shared: &Shared) {
    shared.process.dead.cancel();
    std::future::pending().await
}

fn respond(dispatch: &str, receipt: Receipt) -> Response {
    let status = if receipt.granted { StatusCode::OK } else { StatusCode::CONFLICT };
    let mut response = (status, Json(receipt)).into_response();
    headers::echo(&mut response, dispatch);
    response
}

/// Tells whether a key ran, where the service can be asked.
async fn status(State(shared): State<Arc<Shared>>, Path(key): Path<CompactString>) -> Response {
    if !shared.settings.inquiry {
        let message = "this service can't be asked";
        return Refusal::new(StatusCode::NOT_IMPLEMENTED, "no_inquiry", message).into_response();
    }
    match shared.lock().receipt(&key) {
        Some(receipt) => Json(receipt).into_response(),
        None => {
            let message = "the key did not run here";
            Refusal::new(StatusCode::NOT_FOUND, "not_run", message).into_response()
        }
    }
}

async fn stats(State(shared): State<Arc<Shared>>) -> Json<ServiceStats> {
    Json(shared.lock().stats())
}
