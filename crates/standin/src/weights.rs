//! Stand-in weight store whose readers share a limited transfer rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::Bytes;
use compact_str::CompactString;
use futures::stream;
use tokio::time::Instant;

use crate::process::Process;

/// Largest chunk of a response, in bytes.
const CHUNK_BYTES: u64 = 64 << 10;

/// Settings of a weight store.
#[derive(Clone, Debug)]
pub struct WeightSettings {
    /// Address to listen on. Port zero selects a free port.
    pub listen: SocketAddr,
    /// Transfer rate in bytes per second, shared by all readers.
    pub rate: u64,
    /// Size of each model version in bytes.
    pub size: u64,
}

impl Default for WeightSettings {
    fn default() -> WeightSettings {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        WeightSettings { listen, rate: 64 << 20, size: 1 << 20 }
    }
}

/// A running weight store, which stops when the handle is dropped.
pub struct WeightStore {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    settings: WeightSettings,
    process: Process,
    state: Mutex<Throttle>,
}

/// Rate limiter of the store, with the number of reads so far.
struct Throttle {
    next_send: Instant,
    reads: u64,
}

impl WeightStore {
    /// Starts a store and listens on the configured address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(settings: WeightSettings) -> anyhow::Result<WeightStore> {
        let listen = settings.listen;
        let state = Mutex::new(Throttle { next_send: Instant::now(), reads: 0 });
        let shared = Arc::new(Shared { settings, process: Process::new(), state });
        let router = Router::new()
            .route("/v1/weights/{model}/{version}", get(read))
            .with_state(Arc::clone(&shared));
        let address = shared.process.serve(listen, router).await?;
        Ok(WeightStore { address, shared })
    }

    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of reads that were started.
    pub fn reads(&self) -> u64 {
        self.shared.lock().reads
    }
}

impl Drop for WeightStore {
    fn drop(&mut self) {
        self.shared.process.shutdown.cancel();
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, Throttle> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Reserves the transfer of `bytes` and returns the time at which they may be sent.
    fn reserve(&self, bytes: u64) -> Instant {
        let cost = Duration::from_secs_f64(bytes as f64 / self.settings.rate.max(1) as f64);
        let mut throttle = self.lock();
        throttle.next_send = throttle.next_send.max(Instant::now()) + cost;
        throttle.next_send
    }
}

async fn read(
    State(shared): State<Arc<Shared>>,
    Path((_model, _version)): Path<(CompactString, CompactString)>,
) -> Response {
    shared.lock().reads += 1;
    let remaining = shared.settings.size;
    let chunks = stream::unfold((shared, remaining), |(shared, remaining)| async move {
        if remaining == 0 {
            return None;
        }
        let bytes = remaining.min(CHUNK_BYTES);
        tokio::time::sleep_until(shared.reserve(bytes)).await;
        let chunk = Bytes::from(vec![0; bytes as usize]);
        Some((Ok::<_, std::convert::Infallible>(chunk), (shared, remaining - bytes)))
    });
    Body::from_stream(chunks).into_response()
}
