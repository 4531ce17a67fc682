//! Connection of a running call to its caller: the event stream and the disconnect signal.

use std::convert::Infallible;

use axum::response::sse::Event;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::sse::event;

/// Sender of a caller's event stream.
pub type EventSender = mpsc::Sender<Result<Event, Infallible>>;

/// Caller of a running call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Event stream, if the caller asked for one.
    pub events: Option<EventSender>,
    /// Cancelled when the caller of an unstreamed call without its own key has disconnected.
    pub disconnected: CancellationToken,
    /// Cancelled when the program ends while the call is running.
    pub program_ended: CancellationToken,
}

impl Caller {
    /// Returns the caller with another token for the end of its program.
    pub(super) fn with_program_end(&self, program_ended: CancellationToken) -> Caller {
        Caller { program_ended, ..self.clone() }
    }

    /// Waits until the caller has disconnected or the program has ended.
    pub(super) async fn abandoned(&self) {
        let closed = async {
            match &self.events {
                Some(events) => events.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = closed => {}
            () = self.disconnected.cancelled() => {}
            () = self.program_ended.cancelled() => {}
        }
    }

    /// Sends a chunk to the caller's stream, if it has one.
    pub(super) async fn forward(&self, chunk: &Value) {
        if let Some(events) = &self.events {
            // A disconnect is handled by the loop that reads the engine's stream.
            let _ = events.send(event(chunk)).await;
        }
    }
}
