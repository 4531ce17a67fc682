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
    pub until: Time,
    /// Failures and slow start.
    pub health: Health,
    pub(super) load: LoadTracker,
    pub(super) hints: CacheHints,
    pub(super) alone: u32,
}

impl Endpoint {
    /// Makes an endpoint from its first announcement; the lease is cut to `longest`.
    pub(super) fn announced(now: Time, news: &Announcement, longest: Duration) -> Endpoint {
        let mut endpoint = Endpoint {
            name: news.name.clone(),
            incarnation: news.incarnation,
            kind: news.kind.clone(),
            address: news.address.clone(),
            domain: news.domain,
            region: news.region,
            fencing: news.fencing,
            leaving: news.leaving,
            until: now + news.lease.min(longest),
            health: Health::joined(now),
            load: LoadTracker::default(),
            hints: CacheHints::default(),
            alone: 0,
        };
        if let Some(load) = news.load {
            endpoint.load.reported(now, load);
        }
        endpoint.hints.fold(now, &news.cache_events);
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
        self.alone > 0
    }
}
