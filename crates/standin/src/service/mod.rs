//! Stand-in plain service, which counts the runs of each idempotency key and simulates faults on
//! request.

mod fault;
mod http;
mod settings;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

pub use self::fault::Fault;
pub use self::settings::ServiceSettings;
pub use self::state::{KeyStats, ServiceStats};

use self::state::Shared;
use crate::announce::{Announcement, Kind, Load};
use crate::announcer;
use crate::process::millis_now;

/// A running service, which stops when the handle is dropped.
pub struct Service {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service, which listens on the configured address and announces itself.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(mut settings: ServiceSettings) -> anyhow::Result<Service> {
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
        Ok(Service { address, shared })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of runs of each key and the totals of the service.
    pub fn stats(&self) -> ServiceStats {
        self.shared.lock().stats()
    }

    /// Stops (`true`) or resumes (`false`) all progress, like a process under SIGSTOP.
    pub fn freeze(&self, on: bool) {
        self.shared.process.freeze(on);
    }

    /// Stops the service abruptly: all connections are dropped and announcements stop.
    pub fn crash(&self) {
        self.shared.process.shutdown.cancel();
    }

    /// Tells whether the service has crashed or was stopped.
    pub fn is_dead(&self) -> bool {
        self.shared.process.shutdown.is_cancelled()
    }

    /// Announces that the service is leaving, refuses new calls and waits for those in flight.
    pub async fn leave(&self) {
        self.shared.lock().leaving = true;
        self.shared.announce_wake.notify_one();
        self.shared.process.wait_until_drained(|| self.shared.lock().running == 0).await;
    }

    /// Stops the service at once, without announcing that it leaves.
    pub fn stop(self) {
        self.crash();
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.crash();
    }
}

fn announcement(shared: &Shared, address: SocketAddr, sequence: u64) -> Announcement {
    let settings = &shared.settings;
    let state = shared.lock();
    let waiting = state.running.saturating_sub(settings.slots);
    Announcement {
        name: settings.name.clone(),
        incarnation: settings.incarnation,
        kind: Kind::Service,
        address,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        models: Vec::new(),
        service: settings.service.clone(),
        slots: settings.slots,
        prefill_rate: 0,
        decode_rate: 0,
        cache_tokens: 0,
        fencing: false,
        lease_ms: settings.announce.lease_ms,
        leaving: state.leaving,
        sequence,
        load: Load { running: state.running - waiting, waiting, ..Load::default() },
        cache_events: Vec::new(),
    }
}
