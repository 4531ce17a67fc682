//! Sends an endpoint's announcements at regular intervals.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::Full;
use tokio::sync::Notify;

use crate::announce::{ANNOUNCE_PATH, AnnounceSettings, Announcement};
use crate::client::{self, HttpClient};
use crate::process::Process;

/// Timeout of one announcement to one entry.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends an announcement every third of the lease, and at once when `wake` is notified.
///
/// `source` builds the announcement with the given sequence number.
pub(crate) async fn run(
    settings: AnnounceSettings,
    process: Process,
    wake: Arc<Notify>,
    source: impl Fn(u64) -> Announcement + Send + Sync,
) {
    if settings.entries.is_empty() {
        return;
    }
    let client = client::new();
    let interval = Duration::from_millis(settings.lease_ms / 3);
    for sequence in 1_u64.. {
        process.wait_while_frozen().await;
        let body = serde_json::to_vec(&source(sequence)).unwrap_or_default();
        let sending = send(&client, &settings, sequence as usize, Bytes::from(body));
        tokio::select! {
            () = sending => {}
            () = process.shutdown.cancelled() => return,
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = wake.notified() => {}
            () = process.shutdown.cancelled() => return,
        }
    }
}

/// Tries the entries in order from index `start` until one accepts the announcement.
async fn send(client: &HttpClient, settings: &AnnounceSettings, start: usize, body: Bytes) {
    let count = settings.entries.len();
    for offset in 0..count {
        let entry = &settings.entries[(start + offset) % count];
        let request = Request::post(format!("{entry}{ANNOUNCE_PATH}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {}", settings.token))
            .body(Full::new(body.clone()));
        let Ok(request) = request else {
            continue;
        };
        let answer = tokio::time::timeout(SEND_TIMEOUT, client.request(request)).await;
        if matches!(answer, Ok(Ok(response)) if response.status().is_success()) {
            return;
        }
    }
}
