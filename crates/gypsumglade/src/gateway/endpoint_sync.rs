//! Keeps the registry in sync with the control group's list of endpoints, and the table of suspected
//! requests with the group's.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use gypsumglade_core::policy::registry::{Announcement, CacheEvents, Renewal};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::{EndpointNews, EndpointQuery, EndpointRecord};

use super::placement::endpoint_kind;
use super::state::GatewayState;
use crate::entry::active_bundle::ActiveBundle;
use crate::leader_hint::LeaderHint;
use crate::rpc::{Method, RpcError};

/// How long the leader may hold a query until there is a change.
const LONG_POLL: Duration = Duration::from_millis(800);
/// The same while endpoints can't be announced for lack of a bundle. Short, so that they are announced
/// as soon as the bundle arrives.
const PENDING_LONG_POLL: Duration = Duration::from_millis(50);
/// Time limit of a query; how fast a failed leader is noticed. Must be shorter than the time that a
/// draining endpoint keeps serving.
const TIMEOUT: Duration = Duration::from_millis(1_300);
/// Delay after a failed query.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// How long endpoints stay usable without contact with the control group, so that callers are served
/// during a partition from it.
const ENDPOINT_LEASE: Duration = Duration::from_secs(60);

/// The latest known list of endpoints, and when it was last announced to the registry.
struct EndpointSync {
    state: Arc<GatewayState>,
    seen_change: u64,
    seen_suspects: u64,
    endpoints: HashMap<CompactString, EndpointRecord>,
    /// Number of the latest announcement; the registry ignores numbers that it has seen.
    sequence: u64,
    renewal: Renewal,
}

/// Queries the control group and updates the registry until shutdown.
pub(super) async fn run(state: Arc<GatewayState>, shutdown: tokio_util::sync::CancellationToken) {
    let mut sync = EndpointSync {
        seen_change: 0,
        seen_suspects: 0,
        endpoints: HashMap::new(),
        sequence: 0,
        renewal: Renewal::default(),
        state,
    };
    let mut leader = LeaderHint::starting_at(GroupId::CONTROL, rand::random_range(0..16));
    while !shutdown.is_cancelled() {
        let asked = sync.query(&mut leader).await;
        match asked {
            Some(news) => sync.apply(news),
            None => tokio::time::sleep(RETRY_INTERVAL).await,
        }
        sync.announce_if_due();
    }
}

impl EndpointSync {
    async fn query(&self, leader: &mut LeaderHint) -> Option<EndpointNews> {
        let (vm, address) = leader.target(&self.state.directory, Instant::now())?;
        let wait = match (self.seen_change, self.renewal.is_pending()) {
            (0, _) => Duration::ZERO,
            (_, true) => PENDING_LONG_POLL,
            (_, false) => LONG_POLL,
        };
        let query = EndpointQuery {
            seen: self.seen_change,
            wait_ms: wait.as_millis() as u64,
            seen_suspects: self.seen_suspects,
        };
        let asking = self.state.peers.fetch(address, Method::Endpoints, &query, TIMEOUT);
        let news: Result<EndpointNews, RpcError> = asking.await;
        match news {
            Ok(news) if !news.unavailable => {
                leader.confirm(vm);
                Some(news)
            }
            Ok(news) => {
                leader.redirect(Some(vm), Some(VmId(news.leader)));
                None
            }
            Err(_) => {
                leader.mark_unresponsive(vm, Instant::now());
                None
            }
        }
    }

    fn apply(&mut self, news: EndpointNews) {
        if news.suspect_change != self.seen_suspects {
            self.seen_suspects = news.suspect_change;
            self.state.suspects.apply(self.state.clock.now(), &news);
        }
        if news.change == self.seen_change {
            return;
        }
        self.seen_change = news.change;
        let mut next = if news.delta { self.endpoints.clone() } else { HashMap::new() };
        for name in &news.gone {
            next.remove(name.as_str());
        }
        let named = news.endpoints.into_iter().map(|found| (found.name.to_compact_string(), found));
        next.extend(named);
        self.mark_gone(&next);
        self.endpoints = next;
        self.renewal.make_due();
        slog::info!(self.state.log, "endpoint list updated"; "change" => self.seen_change,
            "endpoints" => self.endpoints.len(),
            "leaving" => self.endpoints.values().filter(|record| record.leaving).count());
    }

    /// Marks endpoints that are gone or have restarted as leaving. A restarted one may have a new
    /// address, which the registry refuses while the old incarnation is in use.
    fn mark_gone(&self, next: &HashMap<CompactString, EndpointRecord>) {
        let now = self.state.clock.now();
        let mut routing = self.state.routing();
        for (name, record) in &self.endpoints {
            let same = next.get(name).is_some_and(|new| new.incarnation == record.incarnation);
            if !same {
                routing.registry.leave(now, name, record.incarnation);
            }
        }
    }

    /// Announces all endpoints to the registry after a change of the list or of the bundle, and
    /// periodically to renew their leases.
    fn announce_if_due(&mut self) {
        let now = self.state.clock.now();
        let bundle = self.state.config.active(now).ok();
        let due = self.renewal.is_due(now, bundle.as_ref().map(|bundle| bundle.revision));
        if let Some(bundle) = bundle.filter(|_| due) {
            self.announce_all(now, &bundle);
            self.renewal.record(now, bundle.revision);
        }
    }

    fn announce_all(&mut self, now: Time, bundle: &ActiveBundle) {
        self.sequence += 1;
        let mut routing = self.state.routing();
        for record in self.endpoints.values() {
            let settings = &self.state.settings;
            let announcement = Announcement {
                name: record.name.to_compact_string(),
                incarnation: record.incarnation,
                sequence: self.sequence,
                kind: endpoint_kind(bundle, &record.pool, record.slots),
                address: record.address.to_compact_string(),
                domain: settings.domain_id(&record.domain).unwrap_or_default(),
                region: settings.region_of(&record.domain).unwrap_or_default(),
                fencing: false,
                lease: ENDPOINT_LEASE,
                leaving: record.leaving,
                load: None,
                cache_events: CacheEvents::default(),
            };
            routing.registry.announce(now, announcement);
        }
        routing.registry.expire(now);
    }
}
