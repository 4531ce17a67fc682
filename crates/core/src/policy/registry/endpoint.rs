//! State of one endpoint: its announcement, load, health and cached prefixes.

use super::{Announcement, CacheHint, CacheHints, EndpointKind, LoadTracker, LoadView};
use crate::policy::outlier::Health;
use crate::prelude::*;

/// An endpoint with a lease.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Instance name, unique among endpoints.
    pub name: EndpointName,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Models or service that the endpoint runs.
    pub kind: EndpointKind,
    /// Address for calls.
    pub address: CompactString,
    /// Failure domain that the endpoint runs in.
    pub domain: DomainId,
    /// Region that the endpoint runs in.
    pub region: RegionId,
    /// Whether the endpoint checks fencing numbers of orders.
    pub fencing: bool,
    /// Whether the endpoint has said that it takes no new work.
    pub leaving: bool,
    /// Whether nobody lists the endpoint any more, until it is announced again.
    pub withdrawn: bool,
    /// Time at which the lease expires.
    pub lease_end: Time,
    /// Ejection and slow start.
    pub health: Health,
    pub(super) load: LoadTracker,
    pub(super) hints: CacheHints,
    pub(super) isolated_calls: u32,
}

impl Endpoint {
    /// Creates an endpoint from its first announcement, with a lease of at most `max_lease`.
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
            withdrawn: false,
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

    /// Returns whether the endpoint gets no new work, whatever its lease.
    pub fn is_ending(&self) -> bool {
        self.leaving || self.withdrawn
    }

    /// Returns the estimated load at `now`.
    pub fn load(&self, now: Time) -> LoadView {
        self.load.view(now)
    }

    /// Returns what the engine is expected to hold of a program's prefix, or of a prefix by its
    /// hash.
    pub fn hint(&self, program: u64) -> Option<CacheHint> {
        self.hints.get(program)
    }

    /// Returns true while a call runs that must run alone.
    pub fn isolated(&self) -> bool {
        self.isolated_calls > 0
    }
}
