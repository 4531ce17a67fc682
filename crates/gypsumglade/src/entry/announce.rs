//! Endpoint announcements: received over HTTP by any entry VM and forwarded to the others.

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

/// Timeout for forwarding an announcement; the endpoint repeats it soon.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);

/// JSON body of an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnnouncementBody {
    /// Name of the instance, unique among endpoints.
    pub name: EndpointName,
    /// Incarnation, which grows with each start of the instance.
    pub incarnation: u64,
    /// Sequence number, which grows with each announcement.
    #[serde(default)]
    pub sequence: u64,
    /// Kind of the endpoint.
    pub kind: KindName,
    /// Address for calls, `ip:port`.
    pub address: CompactString,
    /// Name of the failure domain.
    pub domain: CompactString,
    /// Name of the region.
    pub region: CompactString,
    /// Model versions loaded; engines only.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// Name of the service in the bundle; plain services only.
    #[serde(default)]
    pub service: Option<CompactString>,
    /// Most concurrent calls.
    pub slots: u32,
    /// Prompt tokens prefilled per second.
    #[serde(default)]
    pub prefill_rate: f64,
    /// Tokens generated per second for one call.
    #[serde(default)]
    pub decode_rate: f64,
    /// Capacity of the prefix cache, in tokens.
    #[serde(default)]
    pub cache_tokens: u64,
    /// True when the engine refuses orders with an old fencing token.
    #[serde(default)]
    pub fencing: bool,
    /// Lease of the announcement, in milliseconds.
    pub lease_ms: u64,
    /// True when the endpoint takes no new calls.
    #[serde(default)]
    pub leaving: bool,
    /// Load that the endpoint reports.
    #[serde(default)]
    pub load: Option<LoadBody>,
    /// Changes of the prefix cache.
    #[serde(default)]
    pub cache_events: Vec<CacheEventBody>,
}

/// Kind of an endpoint, as named in announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KindName {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LoadBody {
    /// Number of running calls.
    pub running: u32,
    /// Number of calls queued inside the endpoint.
    pub waiting: u32,
    /// Tokens in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEventBody {
    /// Program as `organisation/program`, taken from the calls' headers.
    pub program: CompactString,
    /// Tokens now cached for the program.
    #[serde(default)]
    pub tokens: u64,
    /// True when the prefix was evicted.
    #[serde(default)]
    pub evicted: bool,
    /// Sequence number of the event, which reveals gaps.
    #[serde(default)]
    pub sequence: u64,
}

/// Returns the HTTP routes for endpoints.
pub fn routes(state: Arc<EntryState>) -> Router {
    Router::new().route("/v1/endpoints/announce", post(announce)).with_state(state)
}

async fn announce(
    State(state): State<Arc<EntryState>>,
    headers: HeaderMap,
    body: Result<Json<AnnouncementBody>, axum::extract::rejection::JsonRejection>,
) -> Response {
    if !state.settings.tokens.endpoints.matches_bearer(&headers) {
        return (StatusCode::UNAUTHORIZED, "missing or wrong endpoints token").into_response();
    }
    let Json(body) = match body {
        Ok(body) => body,
        Err(rejection) => return (StatusCode::BAD_REQUEST, rejection.body_text()).into_response(),
    };
    match apply(&state, &body) {
        Ok(true) => {
            forward(&state, body);
            StatusCode::NO_CONTENT.into_response()
        }
        Ok(false) => StatusCode::NO_CONTENT.into_response(),
        Err(message) => (StatusCode::BAD_REQUEST, message).into_response(),
    }
}

/// Applies an announcement from an endpoint or another VM. Returns false if it was ignored.
///
/// # Errors
/// Fails when a member is invalid, and names it.
pub fn apply(state: &EntryState, body: &AnnouncementBody) -> Result<bool, String> {
    let announcement = announcement(state, body)?;
    let now = state.clock.now();
    let mut routing = state.routing();
    let announced = routing.registry.announce(now, announcement);
    drop(routing);
    match announced {
        Announced::Ignored(_) => return Ok(false),
        Announced::New(_) | Announced::Replaced { .. } => {
            slog::info!(state.log, "endpoint announced"; "endpoint" => %body.name);
            state.resize_pools();
        }
        Announced::Leaving(_) => {
            slog::info!(state.log, "endpoint leaving"; "endpoint" => %body.name);
            state.resize_pools();
        }
        Announced::Renewed(_) => {}
    }
    Ok(true)
}

/// Forwards an announcement to every other entry VM.
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
                // Best effort: the next announcement follows soon, and stale ones expire.
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

/// Returns the events after the last gap, so that the registry sees how many it missed.
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
