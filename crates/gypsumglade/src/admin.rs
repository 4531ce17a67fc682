//! The operators' listener: bundles, status, metrics and the dump of a process's state.
//!
//! It has a port and a token of its own; the callers' port serves none of this.

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
use jsonrpsee::core::params::ArrayParams;
use prost::Message as _;
use serde_json::{Value, json};

use crate::directory::Directory;
use crate::entry::state::EntryState;
use crate::rpc::{Method, PeerClients, decode, encode};
use crate::secret::Secret;
use crate::store::StoreState;

/// Longest wait for one store to answer an operator.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Rounds over all stores before an operator is told that none leads.
const CONTROL_ROUNDS: usize = 10;
/// Pause between two rounds: an election takes about this long.
const CONTROL_PAUSE: Duration = Duration::from_millis(300);

/// Returns the operators' routes of an entry VM.
pub fn entry_routes(state: Arc<EntryState>) -> Router {
    let control =
        ControlClient { directory: Arc::clone(&state.directory), peers: state.peers.clone() };
    let token = state.settings.tokens.admin.clone();
    let own = Router::new()
        .route("/metrics", get(entry_metrics))
        .route("/v1/dump", get(entry_dump))
        .with_state(state);
    guarded(own.merge(control_routes(control)), token)
}

/// Returns the operators' routes of a store.
pub fn store_routes(state: Arc<StoreState>) -> Router {
    let control = ControlClient {
        directory: Arc::clone(&state.context.directory),
        peers: state.context.peers.clone(),
    };
    let token = state.settings.tokens.admin.clone();
    let own = Router::new()
        .route("/metrics", get(store_metrics))
        .route("/v1/dump", get(store_dump))
        .with_state(state);
    guarded(own.merge(control_routes(control)), token)
}

/// Finds the control group's leader for an operator.
#[derive(Clone)]
pub struct ControlClient {
    /// Where the stores are.
    pub directory: Arc<Directory>,
    /// Calls to them.
    pub peers: PeerClients,
}

impl ControlClient {
    /// Asks the control group; `None` when no leader answered.
    ///
    /// A command is safe to ask again: its order id makes a repeat get the first answer.
    pub async fn ask(&self, request: &ControlRequest) -> Option<ControlReply> {
        let payload = encode(request);
        let mut leader: Option<VmId> = None;
        for _ in 0..CONTROL_ROUNDS {
            let stores = self.directory.stores();
            let first = leader.take().and_then(|vm| stores.get(&vm).copied());
            for address in first.into_iter().chain(stores.values().copied()) {
                let Some(reply) = self.ask_store(address, &payload).await else { continue };
                match reply.body {
                    Some(ReplyBody::NotLeader(hint)) => {
                        leader = (hint.leader != 0).then_some(VmId(hint.leader));
                    }
                    Some(ReplyBody::Uncertain(_)) | None => {}
                    Some(ReplyBody::Answer(_) | ReplyBody::Status(_)) => return Some(reply),
                }
            }
            tokio::time::sleep(CONTROL_PAUSE).await;
        }
        None
    }

    async fn ask_store(
        &self,
        address: std::net::SocketAddr,
        payload: &str,
    ) -> Option<ControlReply> {
        let mut parameters = ArrayParams::new();
        parameters.insert(payload).ok()?;
        let call = self.peers.call(address, Method::Control, parameters, CONTROL_TIMEOUT);
        decode(&call.await.ok()?).ok()
    }
}

fn control_routes(control: ControlClient) -> Router {
    Router::new()
        .route("/v1/status", get(status))
        .route("/v1/control", post(command))
        .with_state(control)
}

fn guarded(routes: Router, token: Secret) -> Router {
    routes.layer(from_fn_with_state(token, check_token))
}

async fn check_token(State(token): State<Secret>, request: Request, next: Next) -> Response {
    if !token.borne_by(request.headers()) {
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

/// Takes a command in its protobuf form, and answers in the same.
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
    let advice = "no store leads the control group: send the same order again, and look at the \
        stores if it lasts; see docs/OPERATING.md, \"Lost quorum\"";
    (StatusCode::SERVICE_UNAVAILABLE, advice).into_response()
}

async fn entry_metrics(State(state): State<Arc<EntryState>>) -> Response {
    page(state.metrics.page())
}

async fn store_metrics(State(state): State<Arc<StoreState>>) -> Response {
    page(state.context.metrics.page())
}

fn page(page: anyhow::Result<String>) -> Response {
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
        "replicas": state.context.host.status().await,
        "stores": state.context.directory.stores(),
        "entries": state.context.directory.entries(),
    }))
}
