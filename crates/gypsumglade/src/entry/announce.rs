//! Announcements of endpoints: over HTTP at any VM, and from there to the others.

use std::sync::Arc;

use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use gypsumglade_core::policy::registry::{
    Announced, Announcement, CacheEvent, CacheEvents, EndpointKind, LoadReport, ModelId,
};
use gypsumglade_core::prelude::*;
use http::{HeaderMap, StatusCode};
use jsonrpsee::core::params::ArrayParams;

use super::state::EntryState;
use crate::rpc::Method;

/// Longest wait for another VM to take an announcement; the next one comes soon anyway.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);

/// An endpoint's word about itself, as it sends it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnnouncementBody {
    /// Instance name, unique among endpoints.
    pub name: EndpointName,
    /// Grows with each start of the instance.
    pub incarnation: u64,
    /// Grows with each announcement.
    #[serde(default)]
    pub sequence: u64,
    /// What it is.
    pub kind: KindName,
    /// `ip:port` that calls go to.
    pub address: CompactString,
    /// Failure domain.
    pub domain: CompactString,
    /// Region.
    pub region: CompactString,
    /// Models loaded, of an engine.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Name in the bundle, of a plain service.
    #[serde(default)]
    pub service: Option<CompactString>,
    /// Calls it runs at one time.
    pub slots: u32,
    /// Prompt tokens filled a second.
    #[serde(default)]
    pub prefill_rate: f64,
    /// Tokens generated a second for one call.
    #[serde(default)]
    pub decode_rate: f64,
    /// Prefix tokens its memory holds.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// How long this holds, in milliseconds.
    pub lease_ms: u64,
    /// True when it takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Load as it saw it.
    #[serde(default)]
    pub load: Option<LoadBody>,
    /// Changes of its prefix memory.
    #[serde(default)]
    pub cache_events: Vec<CacheEventBody>,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KindName {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Load of an endpoint.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LoadBody {
    /// Calls running.
    pub running: u32,
    /// Calls waiting inside.
    pub waiting: u32,
    /// Prefix tokens held.
    #[serde(default)]
    pub cached_tokens: u64,
    /// How old the figures are, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// One change of an engine's prefix memory.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEventBody {
    /// `organisation/program`, as calls named it.
    pub program: CompactString,
    /// Tokens held now.
    #[serde(default)]
    pub tokens: u64,
    /// True when the prefix was thrown away.
    #[serde(default)]
    pub evicted: bool,
    /// Number of the event, so that gaps show.
    #[serde(default)]
    pub sequence: u64,
}

/// Returns the routes that endpoints may use.
pub fn routes(state: Arc<EntryState>) -> Router {
    Router::new().route("/v1/endpoints/announce", post(announce)).with_state(state)
}

async fn announce(
    State(state): State<Arc<EntryState>>,
    headers: HeaderMap,
    body: Result<Json<AnnouncementBody>, axum::extract::rejection::JsonRejection>,
) -> Response {
    if !state.settings.tokens.endpoints.matches_bearer(&headers) {
        return (StatusCode::UNAUTHORIZED, "send the endpoints' token").into_response();
    }
    let Json(body) = match body {
        Ok(body) => body,
        Err(rejection) => return (StatusCode::BAD_REQUEST, rejection.body_text()).into_response(),
    };
    match take(&state, &body) {
        Ok(true) => {
            forward(&state, body);
            StatusCode::NO_CONTENT.into_response()
        }
        Ok(false) => StatusCode::NO_CONTENT.into_response(),
        Err(message) => (StatusCode::BAD_REQUEST, message).into_response(),
    }
}

/// Takes an announcement, from the endpoint or another VM; tells whether it was news.
///
/// # Errors
/// Says which member is wrong.
pub fn take(state: &EntryState, body: &AnnouncementBody) -> Result<bool, String> {
    let announcement = announcement(state, body)?;
    let now = state.clock.now();
    let mut desk = state.desk();
    let announced = desk.registry.announce(now, announcement);
    drop(desk);
    match announced {
        Announced::Ignored(_) => return Ok(false),
        Announced::New(_) | Announced::Replaced { .. } => {
            slog::info!(state.log, "endpoint announced"; "endpoint" => %body.name);
            state.resize_pools();
        }
        Announced::Leaving(_) => {
            slog::info!(state.log, "endpoint leaves"; "endpoint" => %body.name);
            state.resize_pools();
        }
        Announced::Renewed(_) => {}
    }
    Ok(true)
}

/// Passes an announcement on to every other entry VM.
fn forward(state: &Arc<EntryState>, body: AnnouncementBody) {
    let Ok(text) = serde_json::to_string(&body) else { return };
    for entry in state.directory.entries() {
        if entry.vm == state.vm {
            continue;
        }
        if entry.region != state.place.region {
            state.metrics.region_link(text.len() as u64, "announcement");
        }
        let (peers, text) = (state.peers.clone(), text.clone());
        tokio::spawn(async move {
            let mut parameters = ArrayParams::new();
            if parameters.insert(text).is_ok() {
                // Lost news is bounded by the lease, and the next announcement follows soon.
                let _ =
                    peers.call(entry.peers, Method::Announce, parameters, FORWARD_TIMEOUT).await;
            }
        });
    }
}

fn announcement(state: &EntryState, body: &AnnouncementBody) -> Result<Announcement, String> {
    let settings = &state.settings;
    let unknown = |what: &str, name: &str| format!("`{what}`: {name:?} is not in the settings");
    let domain = settings.domain_id(&body.domain);
    let region = settings.region_id(&body.region);
    Ok(Announcement {
        name: body.name.clone(),
        incarnation: body.incarnation,
        sequence: body.sequence,
        kind: kind(body)?,
        address: body.address.clone(),
        domain: domain.ok_or_else(|| unknown("domain", &body.domain))?,
        region: region.ok_or_else(|| unknown("region", &body.region))?,
        fencing: body.fencing,
        lease: Duration::from_millis(body.lease_ms),
        leaving: body.leaving,
        load: body.load.map(|load| LoadReport {
            running: load.running,
            waiting: load.waiting,
            cached_tokens: load.cached_tokens,
            age: Duration::from_millis(load.age_ms),
        }),
        cache_events: cache_events(&body.cache_events),
    })
}

fn kind(body: &AnnouncementBody) -> Result<EndpointKind, String> {
    match body.kind {
        KindName::Engine => Ok(EndpointKind::Engine {
            models: body.models.clone(),
            slots: body.slots,
            prefill_rate: body.prefill_rate,
            decode_rate: body.decode_rate,
            cache_tokens: body.cache_tokens,
        }),
        KindName::Service => {
            let name = body.service.clone().ok_or("`service` is required of a service")?;
            Ok(EndpointKind::Service { name, slots: body.slots })
        }
    }
}

/// Reads events from the last gap on: the registry then sees how many it missed.
fn cache_events(bodies: &[CacheEventBody]) -> CacheEvents {
    let follows =
        |pair: &[CacheEventBody]| pair[0].sequence.checked_add(1) == Some(pair[1].sequence);
    let start = bodies.windows(2).rposition(|pair| !follows(pair)).map_or(0, |gap| gap + 1);
    let bodies = &bodies[start..];
    CacheEvents {
        first: bodies.first().map_or(0, |body| body.sequence),
        events: bodies.iter().map(cache_event).collect(),
        age: Duration::ZERO,
    }
}

fn cache_event(body: &CacheEventBody) -> CacheEvent {
    let (org, program) = body.program.split_once('/').unwrap_or(("", &body.program));
    let program = super::program_hash(org, program);
    match body.evicted {
        true => CacheEvent::Evicted { program },
        false => CacheEvent::Filled { program, tokens: body.tokens },
    }
}
