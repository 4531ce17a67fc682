//! Server-sent events of the OpenAI chat format, read from engines and written to callers.

use std::convert::Infallible;
use std::pin::Pin;

use axum::response::sse::Event;
use eventsource_stream::Eventsource as _;
use futures::{Stream, StreamExt as _};
use http::Response;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde_json::Value;

/// Data of the last event of a stream.
const DONE: &str = "[DONE]";

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A chunk of the answer.
    Chunk(Value),
    /// The `[DONE]` marker at the end of the stream.
    End,
}

/// Error of a stream whose connection broke or that had an event without valid JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamBroken;

/// Stream of an engine's events.
pub type EngineEvents = Pin<Box<dyn Stream<Item = Result<EngineEvent, StreamBroken>> + Send>>;

/// Parses an engine's response as a stream of events.
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

/// Returns an event with a JSON value as its data.
pub fn event(value: &Value) -> Result<Event, Infallible> {
    Ok(Event::default().data(value.to_string()))
}

/// Returns the event that marks an answer as complete.
pub fn done() -> Result<Event, Infallible> {
    Ok(Event::default().data(DONE))
}
