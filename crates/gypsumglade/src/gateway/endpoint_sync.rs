//! Keeps the registry in sync with the control group's list of endpoints, and the table of suspected
//! requests with the group's.

use std::collections::BTreeMap;
use std::sync::Arc;

use gypsumglade_core::control::EndpointList;
use gypsumglade_core::policy::registry::{Announcement, CacheEvents, EndpointKind, Renewal};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::{EndpointNews, EndpointQuery, EndpointRecord};
use gypsumglade_core::wire::discovery::Role;

use super::placement::endpoint_kind;
use super::state::{GatewayState, RoutingState};
use crate::discovery::Discovery;
use crate::entry::active_bundle::ActiveBundle;
use crate::feed::{EndpointFeed, Sources};

/// Interval at which an announcement is tried while there is no bundle for it.
const PENDING_INTERVAL: Duration = Duration::from_millis(50);
/// How long endpoints stay usable without contact with the control group, so that callers are served
/// during a partition from it.
const ENDPOINT_LEASE: Duration = Duration::from_secs(60);

/// The latest known list of endpoints, and when it was last announced to the registry.
struct EndpointSync {
    state: Arc<GatewayState>,
    seen_suspects: u64,
    list: EndpointList,
    /// Number of the latest announcement; the registry ignores numbers that it has seen.
    sequence: u64,
    renewal: Renewal,
    /// Kind of each pool's endpoints, without their own capacity, as last announced.
    kinds: BTreeMap<CompactString, EndpointKind>,
}

/// Fetches the list and updates the registry until shutdown.
pub(super) async fn run(
    state: Arc<GatewayState>,
    discovery: Option<Arc<Discovery>>,
    shutdown: tokio_util::sync::CancellationToken,
) {
    let domain = state.settings.vm.domain.clone();
    let directory = Arc::clone(&state.directory);
    let sources = Sources::new(state.vm, Role::Entry, &domain, directory, discovery);
    let mut feed = EndpointFeed::new(sources, state.peers.clone(), state.clock);
    let mut sync = EndpointSync {
        seen_suspects: 0,
        list: EndpointList::default(),
        sequence: 0,
        renewal: Renewal::default(),
        kinds: BTreeMap::new(),
        state,
    };
    while !shutdown.is_cancelled() {
        let query = sync.query();
        let news = {
            let has_list = query.seen != 0 && sync.list.is_complete();
            let fetching = feed.next(query, has_list);
            tokio::pin!(fetching);
            loop {
                tokio::select! {
                    news = &mut fetching => break news,
                    () = tokio::time::sleep(PENDING_INTERVAL), if sync.renewal.is_pending() => {
                        sync.announce_if_due();
                    }
                }
            }
        };
        if let Some(news) = news {
            sync.apply(&news.page);
        }
        sync.announce_if_due();
    }
}

impl EndpointSync {
    fn query(&self) -> EndpointQuery {
        EndpointQuery {
            seen: self.list.change(),
            since: self.list.since(),
            seen_suspects: self.seen_suspects,
            wait_ms: 0,
        }
    }

    fn apply(&mut self, news: &EndpointNews) {
        if news.suspect_change != self.seen_suspects {
            self.seen_suspects = news.suspect_change;
            self.state.suspects.apply(self.state.clock.now(), news);
        }
        if news.delta && news.change == self.list.change() {
            return;
        }
        let changes = self.list.merge(news);
        if changes.changed.is_empty() && changes.ended.is_empty() {
            return;
        }
        let now = self.state.clock.now();
        self.withdraw(&changes.ended);
        self.announce_changed(now, &changes.changed);
        slog::info!(self.state.log, "endpoint list updated"; "change" => self.list.change(),
            "endpoints" => self.list.len(), "changed" => changes.changed.len(),
            "ended" => changes.ended.len());
    }

    /// Gives no new work to endpoints that are gone from the list or have restarted. A restarted one may
    /// have a new address, which the registry refuses while the old incarnation is in use.
    fn withdraw(&self, ended: &[EndpointRecord]) {
        let mut routing = self.state.routing();
        for record in ended {
            routing.registry.withdraw(&record.name, record.incarnation);
        }
    }

    /// Announces changed endpoints to the registry, or makes an announcement of all due if there is no
    /// bundle for it now. A renewal that is due doesn't include them.
    fn announce_changed(&mut self, now: Time, changed: &[CompactString]) {
        let Ok(bundle) = self.state.config.active(now) else { return self.renewal.make_due() };
        if self.renewal.is_pending() {
            return;
        }
        let records = changed.iter().filter_map(|name| self.list.get(name));
        let records: Vec<EndpointRecord> = records.cloned().collect();
        for record in &records {
            self.kinds
                .entry(record.pool.to_compact_string())
                .or_insert_with(|| endpoint_kind(&bundle, &record.pool, 0));
        }
        self.announce(now, &bundle, &records);
    }

    /// Announces all endpoints to the registry that a new revision changes, and periodically renews
    /// the leases of all.
    fn announce_if_due(&mut self) {
        let now = self.state.clock.now();
        let bundle = self.state.config.active(now).ok();
        let due = self.renewal.is_due(now, bundle.as_ref().map(|bundle| bundle.revision));
        let Some(bundle) = bundle.filter(|_| due) else { return };
        let all = self.renewal.is_pending();
        let kinds = self.kinds_under(&bundle);
        let is_changed = |pool: &str| self.kinds.get(pool) != kinds.get(pool);
        let records = self.list.iter().filter(|record| all || is_changed(&record.pool));
        let records: Vec<EndpointRecord> = records.cloned().collect();
        self.announce(now, &bundle, &records);
        self.kinds = kinds;
        let mut routing = self.state.routing();
        routing.registry.renew_all(now, ENDPOINT_LEASE);
        routing.registry.expire(now);
        drop(routing);
        self.renewal.record(now, bundle.revision);
    }

    /// Returns the kind of each pool's endpoints, without their own capacity.
    fn kinds_under(&self, bundle: &ActiveBundle) -> BTreeMap<CompactString, EndpointKind> {
        let mut kinds = BTreeMap::new();
        for record in self.list.iter() {
            if !kinds.contains_key(record.pool.as_str()) {
                let kind = endpoint_kind(bundle, &record.pool, 0);
                kinds.insert(record.pool.to_compact_string(), kind);
            }
        }
        kinds
    }

    fn announce(&mut self, now: Time, bundle: &ActiveBundle, records: &[EndpointRecord]) {
        self.sequence += 1;
        let mut routing = self.state.routing();
        for record in records {
            self.announce_one(now, bundle, &mut routing, record);
        }
    }

    fn announce_one(
        &self,
        now: Time,
        bundle: &ActiveBundle,
        routing: &mut RoutingState,
        record: &EndpointRecord,
    ) {
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
}
