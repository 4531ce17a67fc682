//! Server-sent events in the published chat shape: reading an engine's, writing a caller's.

use std::convert::Infallible;
use std::pin::Pin;

use axum::response::sse::Event;
use eventsource_stream::Eventsource as _;
use futures::{Stream, StreamExt as _};
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde_json::Value;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A chunk of the answer.
    Chunk(Value),
    /// The engine's word that the answer is whole.
    End,
}

/// The connection broke, or the engine wrote what is not a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamBroken;

/// Events of one engine stream.
pub type EngineEvents = Pin<Box<dyn Stream<Item = Result<EngineEvent, StreamBroken>> + Send>>;

/// Reads an engine's answer as events.
pub fn engine_events(response: Response<Incoming>) -> EngineEvents {
    let data = response.into_body().into_data_stream();
    let events = data.eventsource().map(|event| {
        let event = event.map_err(|_| StreamBroken)?;
        if event.data == DONE {
            return Ok(EngineEvent::End);
        }
        serde_json::from_str(&event.data).map(EngineEvent::Chunk).map_err(|_| StreamBroken)
    });
    Box::pin(events)
}

/// Returns the caller's event for a JSON value.
pub fn event(value: &Value) -> Result<Event, Infallible> {
    Ok(Event::default().data(value.to_string()))
}

/// Returns the event that ends a whole answer.
pub fn done() -> Result<Event, Infallible> {
    Ok(Event::default().data(DONE))
}
