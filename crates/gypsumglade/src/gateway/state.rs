//! State shared by all tasks of a gateway.

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

use super::abandoned_attempts::AbandonedAttempts;
use super::connections::ConnectionPool;
use super::dialect::Dialect;
use super::history_cache::HistoryCache;
use super::settlement_queue::SettlementQueue;
use super::suspects::Suspects;
use super::text_client::TextClient;
use super::turn_client::TurnClient;
use crate::clock::Clock;
use crate::connection_guard::ConnectionLimiter;
use crate::directory::Directory;
use crate::entry::config::ConfigView;
use crate::limit_report::LimitReport;
use crate::metrics::Metrics;
use crate::request_memory::RequestMemory;
use crate::rpc::PeerClients;
use crate::settings::Settings;

/// Settings, clients and routing state of one gateway.
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
    /// Settlements that run in the background.
    pub(super) settlements: SettlementQueue,
    pub(super) texts: TextClient,
    pub(super) histories: HistoryCache,
    /// Requests under which endpoints have ended.
    pub(super) suspects: Suspects,
    /// Attempts that were given up a moment ago.
    pub(super) abandoned: AbandonedAttempts,
    /// Memory that callers' requests may hold.
    pub(super) memory: RequestMemory,
    pub(super) caller_connections: ConnectionLimiter,
    /// Counts limits that callers reach.
    pub(super) limits: LimitReport,
    pub(super) metrics: Metrics,
    pub(super) log: slog::Logger,
    /// Cancelled at the start of a planned stop.
    pub(super) stop: CancellationToken,
    /// Open connections and running relays; a planned stop waits for them.
    pub(super) tasks: TaskTracker,
    pub(super) routing: Mutex<RoutingState>,
}

/// State of the routing decisions, behind one lock that is never held across an await.
pub(super) struct RoutingState {
    pub(super) registry: Registry,
    pub(super) router: Router,
    /// Engine speed by pool.
    pub(super) speeds: HashMap<CompactString, PoolSpeed>,
    /// Answer time by route.
    pub(super) answer_times: HashMap<CompactString, ResponseTime>,
    pub(super) stall_detector: StallDetector,
}

/// Speed of a pool's engines, estimated from the streams of this VM.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PoolSpeed {
    /// Current time between events, relative to idle engines.
    pub(super) slowdown: PoolSlowdown,
    /// Time per generated token, by the number of requests on the engine.
    pub(super) decode: BatchFit,
    /// Time per prompt token.
    pub(super) prefill: PrefillFit,
}

impl GatewayState {
    pub(super) fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().expect("no panic while held")
    }

    /// Returns whether an endpoint has announced that it leaves, or has left.
    pub(super) fn is_leaving(&self, name: &str, incarnation: u64) -> bool {
        let routing = self.routing();
        let endpoint = routing.registry.key(name).and_then(|key| routing.registry.get(key));
        let same = endpoint.filter(|endpoint| endpoint.incarnation == incarnation);
        same.is_none_or(|endpoint| endpoint.is_ending())
    }

    /// Returns whether the balancer should send callers here: a bundle is in force, at least one
    /// endpoint is known and no stop has begun.
    pub(super) fn is_ready(&self) -> bool {
        let configured = self.config.active(self.clock.now()).is_ok();
        let served = self.routing().registry.iter().next().is_some();
        configured && served && !self.stop.is_cancelled()
    }
}
