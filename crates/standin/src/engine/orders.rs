//! Orders to load and unload models, optionally with fencing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use compact_str::CompactString;
use http::StatusCode;
use http_body_util::BodyExt as _;
use serde::{Deserialize, Serialize};

use super::state::Shared;
use crate::announce::ModelVersion;
use crate::client;
use crate::headers::Refusal;

/// Action of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Loads a model. The answer is sent once it is loaded.
    Load,
    /// Unloads a model. Running calls still finish.
    Unload,
}

/// Request to load or unload a model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the order lease under which the order is given.
    pub fence: u64,
    /// Whether to load or unload the model.
    pub action: Action,
    /// Name of the model.
    pub model: CompactString,
    /// Version of the model.
    pub version: CompactString,
}

pub(super) async fn order(State(shared): State<Arc<Shared>>, Json(order): Json<Order>) -> Response {
    if let Err(refusal) = check_fence(&shared, &order) {
        return refusal.into_response();
    }
    let model = ModelVersion::new(&order.model, &order.version);
    match order.action {
        Action::Load => load(&shared, model).await,
        Action::Unload => unload(&shared, &model),
    }
}

/// Refuses an order whose fencing number is lower than an earlier one, if fencing is enabled.
fn check_fence(shared: &Shared, order: &Order) -> Result<(), Refusal> {
    let mut state = shared.lock();
    if shared.settings.fencing && order.fence < state.highest_fence {
        state.counts.stale_orders += 1;
        let message =
            format!("fencing number {} is older than {}", order.fence, state.highest_fence);
        return Err(Refusal::new(StatusCode::CONFLICT, "stale_fence", &message));
    }
    state.highest_fence = state.highest_fence.max(order.fence);
    state.counts.orders += 1;
    Ok(())
}

async fn load(shared: &Shared, model: ModelVersion) -> Response {
    {
        let state = shared.lock();
        if state.models.contains(&model) {
            return StatusCode::NO_CONTENT.into_response();
        }
        if state.models.len() >= shared.settings.model_slots {
            let message = "no free model slot; unload another model first";
            return Refusal::new(StatusCode::CONFLICT, "no_model_slot", message).into_response();
        }
    }
    tokio::time::sleep(Duration::from_millis(shared.settings.load_ms)).await;
    if let Some(store) = &shared.settings.weights
        && let Err(error) = read_weights(store, &model).await
    {
        return Refusal::new(StatusCode::BAD_GATEWAY, "weights", &error.to_string())
            .into_response();
    }
    {
        let mut state = shared.lock();
        if !state.models.contains(&model) {
            state.models.push(model);
        }
    }
    shared.announce_wake.notify_one();
    StatusCode::NO_CONTENT.into_response()
}

async fn read_weights(store: &str, model: &ModelVersion) -> anyhow::Result<()> {
    let uri = format!("{store}/v1/weights/{}/{}", model.model, model.version);
    let mut response = client::new().get(uri.parse()?).await?;
    anyhow::ensure!(
        response.status().is_success(),
        "the weight store answered {}",
        response.status()
    );
    while let Some(frame) = response.body_mut().frame().await {
        frame?;
    }
    Ok(())
}

fn unload(shared: &Shared, model: &ModelVersion) -> Response {
    {
        let mut state = shared.lock();
        state.models.retain(|m| m != model);
        let changes = state.cache.remove_model(model);
        state.counts.evicted_tokens += changes.iter().map(|e| e.tokens).sum::<u64>();
        state.reports.add(Instant::now(), changes);
    }
    shared.announce_wake.notify_one();
    StatusCode::NO_CONTENT.into_response()
}
