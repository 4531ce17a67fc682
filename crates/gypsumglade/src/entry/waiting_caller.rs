//! The caller's end of a call: where its stream goes, and whether it still waits.

use std::convert::Infallible;

use axum::response::sse::Event;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::sse::event;

/// Where a caller's stream is written to.
pub type EventSender = mpsc::Sender<Result<Event, Infallible>>;

/// The waiting side of a call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The stream, if the caller asked for one.
    pub events: Option<EventSender>,
    /// Cancelled when a caller that will not resend has gone away.
    pub disconnected: CancellationToken,
    /// Cancelled when the program ends with the call under way.
    pub program_ended: CancellationToken,
}

impl Caller {
    pub(super) fn with_program_end(&self, program_ended: CancellationToken) -> Caller {
        Caller { program_ended, ..self.clone() }
    }

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

    pub(super) async fn forward(&self, chunk: &Value) {
        if let Some(events) = &self.events {
            // A caller that went away is noticed by the loop that reads the engine.
            let _ = events.send(event(chunk)).await;
        }
    }
}
