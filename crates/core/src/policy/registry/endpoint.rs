//! One endpoint, as it announced itself and as it has behaved since.

use super::{Announcement, CacheHint, CacheHints, EndpointKind, LoadTracker, LoadView};
use crate::policy::outlier::Health;
use crate::prelude::*;

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Instance name.
    pub name: EndpointName,
    /// Incarnation announced.
    pub incarnation: u64,
    /// What it runs.
    pub kind: EndpointKind,
    /// Where calls go.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Whether it checks fencing numbers.
    pub fencing: bool,
    /// True once it takes no new work.
    pub leaving: bool,
    /// End of its lease.
    pub lease_end: Time,
    /// Failures and slow start.
    pub health: Health,
    pub(super) load: LoadTracker,
    pub(super) hints: CacheHints,
    pub(super) isolated_calls: u32,
}

impl Endpoint {
    /// Makes an endpoint from its first announcement; the lease is cut to `max_lease`.
    pub(super) fn new(now: Time, announcement: &Announcement, max_lease: Duration) -> Endpoint {
        let mut endpoint = Endpoint {
            name: announcement.name.clone(),
            incarnation: announcement.incarnation,
            kind: announcement.kind.clone(),
            address: announcement.address.clone(),
            domain: announcement.domain,
            region: announcement.region,
            fencing: announcement.fencing,
            leaving: announcement.leaving,
            lease_end: now + announcement.lease.min(max_lease),
            health: Health::new(now),
            load: LoadTracker::default(),
            hints: CacheHints::default(),
            isolated_calls: 0,
        };
        if let Some(load) = announcement.load {
            endpoint.load.record_report(now, load);
        }
        endpoint.hints.apply_events(now, &announcement.cache_events);
        endpoint
    }

    /// Returns the load as known at `now`.
    pub fn load(&self, now: Time) -> LoadView {
        self.load.view(now)
    }

    /// Returns what the engine was last heard to hold of `program`.
    pub fn hint(&self, program: u64) -> Option<CacheHint> {
        self.hints.get(program)
    }

    /// Returns true while a crash suspect runs here and nothing else may.
    pub fn isolated(&self) -> bool {
        self.isolated_calls > 0
    }
}
