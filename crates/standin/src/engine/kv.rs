//! Export and import of a program's KV cache, with fewer bytes per token than a real engine.

use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use compact_str::CompactString;
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

use super::cache::Part;
use super::state::{Shared, format_model};
use crate::announce::ModelVersion;
use crate::headers::{self, Refusal};

/// First line of an export. Padding follows, so that the size grows with the number of tokens.
#[derive(Serialize, Deserialize)]
struct ExportHeader {
    model: ModelVersion,
    parts: Vec<(u64, u64)>,
}

/// Terminates the header of an export.
const HEADER_END: u8 = b'\n';

pub(super) async fn export(
    State(shared): State<Arc<Shared>>,
    Path(program): Path<CompactString>,
) -> Response {
    let entry = shared.lock().cache.get(&program).cloned();
    let Some(entry) = entry else {
        return Refusal::new(
            StatusCode::NOT_FOUND,
            "no_memory",
            "the program has no KV cache here",
        )
        .into_response();
    };
    let parts = entry.parts.iter().map(|p| (p.hash, p.tokens)).collect();
    let header = ExportHeader { model: entry.model.clone(), parts };
    let mut body = serde_json::to_vec(&header).unwrap_or_default();
    body.push(HEADER_END);
    let size = entry.tokens() as usize * shared.settings.kv_bytes;
    body.resize(body.len().max(size), 0);
    let tokens = entry.tokens().to_string();
    let model = format_model(&entry.model).to_string();
    ([(headers::TOKENS, tokens), (headers::MODEL, model)], body).into_response()
}

pub(super) async fn import(
    State(shared): State<Arc<Shared>>,
    Path(program): Path<CompactString>,
    _headers: HeaderMap,
    body: Bytes,
) -> Response {
    let end = body.iter().position(|b| *b == HEADER_END).unwrap_or(body.len());
    let Ok(header) = serde_json::from_slice::<ExportHeader>(&body[..end]) else {
        return Refusal::new(
            StatusCode::BAD_REQUEST,
            "bad_export",
            "the body is not an exported KV cache",
        )
        .into_response();
    };
    let mut state = shared.lock();
    if !state.models.contains(&header.model) {
        let message = "the model of the export is not loaded here";
        return Refusal::new(StatusCode::CONFLICT, "model_not_loaded", message).into_response();
    }
    let parts = header.parts.into_iter().map(|(hash, tokens)| Part { hash, tokens }).collect();
    state.store(&program, header.model, parts);
    StatusCode::NO_CONTENT.into_response()
}
