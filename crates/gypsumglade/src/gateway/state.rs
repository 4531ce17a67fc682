//! What all tasks of a gateway share.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use gypsumglade_core::policy::attempt_timeout::ResponseTime;
use gypsumglade_core::policy::batch::{BatchFit, PrefillFit};
use gypsumglade_core::policy::overload::PoolSlowdown;
use gypsumglade_core::policy::registry::Registry;
use gypsumglade_core::policy::route::{Place, Router};
use gypsumglade_core::policy::stall::StallDetector;
use gypsumglade_core::prelude::*;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::connections::ConnectionPool;
use super::dialect::Dialect;
use super::history_cache::HistoryCache;
use super::settlement_queue::SettlementQueue;
use super::text_client::TextClient;
use super::turn_client::TurnClient;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::entry::config::ConfigView;
use crate::metrics::Metrics;
use crate::rpc::PeerClients;
use crate::settings::Settings;

/// One gateway.
pub(super) struct GatewayState {
    pub(super) vm: VmId,
    pub(super) settings: Settings,
    pub(super) place: Place,
    pub(super) clock: Clock,
    pub(super) directory: Arc<Directory>,
    pub(super) peers: PeerClients,
    pub(super) config: ConfigView,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) connections: ConnectionPool,
    pub(super) turns: TurnClient,
    /// Settlements that nobody waits for.
    pub(super) settlements: SettlementQueue,
    pub(super) texts: TextClient,
    pub(super) histories: HistoryCache,
    pub(super) metrics: Metrics,
    pub(super) log: slog::Logger,
    /// Cancelled when a planned stop begins.
    pub(super) stop: CancellationToken,
    /// Connections and relays under way, which a planned stop waits for.
    pub(super) tasks: TaskTracker,
    pub(super) routing: Mutex<RoutingState>,
}

/// The routing decisions' state, behind one lock that is never held across a wait.
pub(super) struct RoutingState {
    pub(super) registry: Registry,
    pub(super) router: Router,
    /// How fast each pool's engines are.
    pub(super) speeds: HashMap<CompactString, PoolSpeed>,
    /// How long each route's answers take.
    pub(super) answer_times: HashMap<CompactString, ResponseTime>,
    pub(super) stall_watch: StallDetector,
}

/// How fast a pool's engines are, as this VM's streams show it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolSpeed {
    /// Generating now, against idle.
    pub(super) pace: PoolSlowdown,
    /// Generating, by what runs on one engine.
    pub(super) decode: BatchFit,
    /// Reading prompts.
    pub(super) prefill: PrefillFit,
}

impl GatewayState {
    pub(super) fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().expect("no panic while held")
    }

    /// Tells whether this VM should get callers: it knows its routes and some endpoint, and does
    /// not stop.
    pub(super) fn is_ready(&self) -> bool {
        let configured = self.config.active(self.clock.now()).is_ok();
        let served = self.routing().registry.iter().next().is_some();
        configured && served && !self.stop.is_cancelled()
    }
}
