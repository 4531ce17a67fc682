//! The caller's end of a call: where its stream goes, and whether it still waits.

use std::convert::Infallible;

use axum::response::sse::Event;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::sse::event;

/// Where a caller's stream is written to.
pub type Sink = mpsc::Sender<Result<Event, Infallible>>;

/// The waiting side of a call.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The stream, if the caller asked for one.
    pub events: Option<Sink>,
    /// Cancelled when a caller that will not resend has gone away.
    pub gone: CancellationToken,
    /// Cancelled when the program ends with the call under way.
    pub ended: CancellationToken,
}

impl Caller {
    pub(super) fn until(&self, ended: CancellationToken) -> Caller {
        Caller { ended, ..self.clone() }
    }

    pub(super) async fn left(&self) {
        let closed = async {
            match &self.events {
                Some(events) => events.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = closed => {}
            () = self.gone.cancelled() => {}
            () = self.ended.cancelled() => {}
        }
    }

    pub(super) async fn forward(&self, chunk: &Value) {
        if let Some(events) = &self.events {
            // A caller that went away is noticed by the loop that reads the engine.
            let _ = events.send(event(chunk)).await;
        }
    }
}
