//! Stand-in model engine: batching in slots, prefix cache, streams, orders, announcements.

mod cache;
mod chat;
mod http;
mod kv;
mod orders;
mod reports;
mod run;
mod settings;
mod slots;
mod state;
mod stats;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

pub use self::chat::{Message, answer_text, answer_tokens, count_tokens};
pub use self::http::CRASH_MARKER;
pub use self::orders::{Action, Order};
pub use self::settings::{EngineSettings, ReportSettings};
pub use self::stats::{DispatchStats, EngineCounts, EngineStats, ProgramMemory, RunState};

use self::state::Shared;
use crate::announce::{Announcement, Kind};
use crate::announcer;
use crate::process::millis_now;

/// A running engine; it dies when the handle is dropped.
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine, which listens and announces itself.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn start(mut settings: EngineSettings) -> anyhow::Result<Engine> {
        if settings.incarnation == 0 {
            settings.incarnation = millis_now();
        }
        let listen = settings.listen;
        let announce = settings.announce.clone();
        let shared = Shared::new(settings);
        let address = shared.process.serve(listen, http::router(Arc::clone(&shared))).await?;
        let source = {
            let shared = Arc::clone(&shared);
            move |sequence| announcement(&shared, address, sequence)
        };
        let wake = Arc::clone(&shared.announce_wake);
        tokio::spawn(announcer::run(announce, shared.process.clone(), wake, source));
        Ok(Engine { address, shared })
    }

    /// Returns where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what really ran and who holds memory.
    pub fn stats(&self) -> EngineStats {
        self.shared.stats()
    }

    /// Stops all progress, announcements included, or lets it go on, as a paused process would.
    pub fn freeze(&self, on: bool) {
        self.shared.process.freeze(on);
    }

    /// Kills the engine: every connection drops and nothing more is announced.
    pub fn crash(&self) {
        self.shared.process.shutdown.cancel();
    }

    /// Tells whether the engine has died.
    pub fn is_dead(&self) -> bool {
        self.shared.process.shutdown.is_cancelled()
    }

    /// Announces that the engine leaves, refuses new calls and returns once none runs.
    ///
    /// It goes on announcing so until it is stopped.
    pub async fn leave(&self) {
        self.shared.lock().leaving = true;
        self.shared.announce_wake.notify_one();
        self.shared.process.wait_until_drained(|| self.shared.is_idle()).await;
    }

    /// Ends the engine at once, without a farewell.
    pub fn stop(self) {
        self.crash();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash();
    }
}

fn announcement(shared: &Shared, address: SocketAddr, sequence: u64) -> Announcement {
    let load = shared.load();
    let settings = &shared.settings;
    let mut state = shared.lock();
    Announcement {
        name: settings.name.clone(),
        incarnation: settings.incarnation,
        kind: Kind::Engine,
        address,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        models: state.models.clone(),
        service: compact_str::CompactString::default(),
        slots: settings.slots,
        prefill_rate: settings.prefill_rate,
        decode_rate: settings.decode_rate,
        cache_tokens: settings.cache_tokens,
        fencing: settings.fencing,
        lease_ms: settings.announce.lease_ms,
        leaving: state.leaving,
        sequence,
        load,
        cache_events: state.reports.take_due(Instant::now()),
    }
}
