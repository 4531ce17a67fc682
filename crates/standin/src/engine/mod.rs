//! Stand-in model engine with a running batch, a prefix cache, streamed answers, orders to load
//! models, and announcements.

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

/// A running engine, which stops when the handle is dropped.
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine, which listens on the configured address and announces itself.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
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

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the engine's record of dispatches, and the programs in its prefix cache.
    pub fn stats(&self) -> EngineStats {
        self.shared.stats()
    }

    /// Stops (`true`) or resumes (`false`) all progress, announcements included, like a process
    /// under SIGSTOP.
    pub fn freeze(&self, on: bool) {
        self.shared.process.freeze(on);
    }

    /// Stops the engine abruptly: all connections are dropped and announcements stop.
    pub fn crash(&self) {
        self.shared.process.shutdown.cancel();
    }

    /// Tells whether the engine has crashed or was stopped.
    pub fn is_dead(&self) -> bool {
        self.shared.process.shutdown.is_cancelled()
    }

    /// Announces that the engine is leaving, refuses new calls and waits for those in flight.
    ///
    /// Announcements continue until the engine is stopped.
    pub async fn leave(&self) {
        self.shared.lock().leaving = true;
        self.shared.announce_wake.notify_one();
        self.shared.process.wait_until_drained(|| self.shared.is_idle()).await;
    }

    /// Stops the engine at once, without announcing that it leaves.
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
