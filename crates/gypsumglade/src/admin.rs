//! HTTP routes of the operators' listener: control commands, status, metrics and state dumps.
//!
//! The listener has its own port and token; the callers' port serves none of these routes.

use std::sync::Arc;

use axum::extract::{Query, Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::Command;
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::control_request::Body as RequestBody;
use gypsumglade_core::wire::operator::{ControlReply, ControlRequest, StatusQuery};
use http::StatusCode;
use prost::Message as _;
use serde_json::{Value, json};

use crate::control_client::{ControlGroupClient, OPERATOR_LIMITS};
use crate::directory::Directory;
use crate::entry::state::EntryState;
use crate::rpc::PeerClients;
use crate::secret::Secret;
use crate::store::{self, StoreState};

/// Returns the operators' routes of an entry VM.
pub fn entry_routes(state: Arc<EntryState>) -> Router {
    let control =
        ControlClient { directory: Arc::clone(&state.directory), peers: state.peers.clone() };
    let token = state.settings.tokens.admin.clone();
    let routes = Router::new()
        .route("/metrics", get(entry_metrics))
        .route("/v1/dump", get(entry_dump))
        .with_state(state);
    require_token(routes.merge(control_routes(control)), token)
}

/// Returns the operators' routes of a store.
pub fn store_routes(state: Arc<StoreState>) -> Router {
    let control = ControlClient {
        directory: Arc::clone(&state.context.directory),
        peers: state.context.peers.clone(),
    };
    let token = state.settings.tokens.admin.clone();
    let routes = Router::new()
        .route("/metrics", get(store_metrics))
        .route("/v1/dump", get(store_dump))
        .with_state(state);
    require_token(routes.merge(control_routes(control)), token)
}

/// Returns the route of a store's metrics page, which needs no token.
pub fn unauthenticated_metrics(state: Arc<StoreState>) -> Router {
    Router::new().route("/metrics", get(store_metrics)).with_state(state)
}

/// Client for requests from operators to the control group.
#[derive(Clone)]
pub struct ControlClient {
    /// Addresses of the stores.
    pub directory: Arc<Directory>,
    /// Connections to the stores.
    pub peers: PeerClients,
}

impl ControlClient {
    /// Sends a request to the control group's leader. Returns `None` if no leader answered.
    pub async fn ask(&self, request: &ControlRequest) -> Option<ControlReply> {
        let (directory, peers) = (Arc::clone(&self.directory), self.peers.clone());
        ControlGroupClient::new(directory, peers, OPERATOR_LIMITS).ask(request).await
    }
}

fn control_routes(control: ControlClient) -> Router {
    Router::new()
        .route("/v1/status", get(status))
        .route("/v1/control", post(command))
        .with_state(control)
}

fn require_token(routes: Router, token: Secret) -> Router {
    routes.layer(from_fn_with_state(token, check_token))
}

async fn check_token(State(token): State<Secret>, request: Request, next: Next) -> Response {
    if !token.matches_bearer(request.headers()) {
        let advice = "send `Authorization: Bearer <tokens.admin of the settings>`";
        return (StatusCode::UNAUTHORIZED, advice).into_response();
    }
    next.run(request).await
}

#[derive(Deserialize)]
struct StatusParameters {
    #[serde(default)]
    revision: u64,
}

async fn status(
    State(control): State<ControlClient>,
    Query(parameters): Query<StatusParameters>,
) -> Response {
    let query = StatusQuery { revision: parameters.revision };
    let request = ControlRequest { body: Some(RequestBody::Status(query)) };
    match control.ask(&request).await.and_then(|reply| reply.body) {
        Some(ReplyBody::Status(status)) => Json(status).into_response(),
        _ => no_leader(),
    }
}

/// Handles a command; request and answer are encoded as protobuf.
async fn command(State(control): State<ControlClient>, body: Bytes) -> Response {
    let Ok(command) = Command::decode(body) else {
        return (StatusCode::BAD_REQUEST, "the body is not a control command").into_response();
    };
    let request = ControlRequest { body: Some(RequestBody::Command(command)) };
    match control.ask(&request).await.and_then(|reply| reply.body) {
        Some(ReplyBody::Answer(answer)) => answer.encode_to_vec().into_response(),
        _ => no_leader(),
    }
}

fn no_leader() -> Response {
    let advice = "the control group has no leader: send the same order again, and check the \
        stores if this persists; see docs/OPERATING.md, \"Lost quorum\"";
    (StatusCode::SERVICE_UNAVAILABLE, advice).into_response()
}

async fn entry_metrics(State(state): State<Arc<EntryState>>) -> Response {
    metrics_response(state.metrics.page())
}

async fn store_metrics(State(state): State<Arc<StoreState>>) -> Response {
    let gauges = store::metrics_page(&state).await;
    metrics_response(state.context.metrics.page().and_then(|page| Ok(page + &gauges?)))
}

fn metrics_response(page: anyhow::Result<String>) -> Response {
    match page {
        Ok(text) => text.into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn entry_dump(State(state): State<Arc<EntryState>>) -> Json<Value> {
    Json(state.dump())
}

async fn store_dump(State(state): State<Arc<StoreState>>) -> Json<Value> {
    let mut groups = Vec::new();
    for number in 1..=state.settings.groups {
        if let Some(group) = state.context.group(GroupId(number)) {
            groups.push(group.dump().await);
        }
    }
    Json(json!({
        "role": "store",
        "vm": state.context.vm,
        "control": state.control.dump(),
        "programs": groups,
        "turns": state.turns.dump(),
        "texts": state.texts.status(),
        "replicas": state.context.host.status().await,
        "stores": state.context.directory.stores(),
        "entries": state.context.directory.entries(),
    }))
}
