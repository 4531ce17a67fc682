//! Runs of suspected requests, as granted by the control group's leader.
//!
//! Copies of one request that run at the same time would each crash an endpoint, and of two
//! suspects at one endpoint it is unknown which one crashed it. Trials are not replicated: a new
//! leader may grant a second one of a request while the first is in flight.

use std::collections::{BTreeMap, HashMap};

use super::suspects::{ISOLATION_CRASHES, RequestDigest};
use crate::prelude::*;

/// How long after its last crash a request is kept from the last endpoint of a pool. Most endpoints
/// are replaced by then.
pub const SPARE_TIME: Duration = Duration::from_secs(5);
/// How long the end of an endpoint is remembered: until its announcements have expired.
const ENDED_TIME: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Trial {
    id: u64,
    endpoint: EndpointName,
    isolated: bool,
    until: Time,
}

/// A request that asks for a trial.
#[derive(Clone, Debug)]
pub struct TrialRequest {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Number of endpoints that it has crashed.
    pub crashes: u32,
    /// Endpoint that would run it.
    pub endpoint: EndpointName,
    /// Name of the trial, chosen by the asker. A repeated request has the same.
    pub id: u64,
    /// Time after which the trial is over, also if its end is never reported.
    pub lasts: Duration,
}

/// Whether a pool has an endpoint to spare for a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spare {
    /// Another endpoint of the pool runs no suspected request.
    Free,
    /// All the others run suspected requests.
    Busy,
    /// No other endpoint of the pool runs.
    Last,
}

/// Trials in flight, by request, and endpoints that have just ended.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    running: BTreeMap<RequestDigest, Trial>,
    /// Incarnations of endpoints whose end was reported, and when.
    ended: HashMap<EndpointName, (u64, Time)>,
}

impl Trials {
    /// Returns whether a request may run now.
    ///
    /// Only one copy of a request runs at a time. From [`ISOLATION_CRASHES`] on it is also the only
    /// one of its kind at its endpoint; other suspects share endpoints, since an endpoint that ends
    /// for any reason makes suspects of all that it ran.
    pub fn begin(&mut self, now: Time, request: TrialRequest) -> bool {
        self.running.retain(|_, trial| trial.until > now);
        if let Some(trial) = self.running.get(&request.digest) {
            return trial.id == request.id;
        }
        let isolated = request.crashes >= ISOLATION_CRASHES;
        let mut others = self.running.values();
        if isolated && others.any(|other| other.isolated && other.endpoint == request.endpoint) {
            return false;
        }
        let TrialRequest { digest, endpoint, id, lasts, .. } = request;
        self.running.insert(digest, Trial { id, endpoint, isolated, until: now + lasts });
        true
    }

    /// Ends a trial. Ending it twice has no effect.
    pub fn end(&mut self, digest: &RequestDigest, id: u64) {
        if self.running.get(digest).is_some_and(|trial| trial.id == id) {
            self.running.remove(digest);
        }
    }

    /// Records that an endpoint has ended.
    pub fn record_end(&mut self, now: Time, name: &str, incarnation: u64) {
        self.ended.retain(|_, (_, at)| now.since(*at) < ENDED_TIME);
        self.ended.insert(name.into(), (incarnation, now));
    }

    /// Returns whether a suspected request may run at an endpoint without putting all of its pool at
    /// risk.
    ///
    /// The load pattern is a service of few endpoints, which a crashing request ends one after the
    /// other within a second, so that nobody else is served until they are replaced. `pool` has the
    /// names and incarnations of the pool's endpoints.
    pub fn spare<'a>(&self, endpoint: &str, pool: impl Iterator<Item = (&'a str, u64)>) -> Spare {
        let has_ended =
            |name: &str, number| self.ended.get(name).is_some_and(|(ended, _)| *ended >= number);
        let others = pool.filter(|(name, number)| *name != endpoint && !has_ended(name, *number));
        let mut spare = Spare::Last;
        for (name, _) in others {
            if !self.running.values().any(|trial| trial.endpoint == name) {
                return Spare::Free;
            }
            spare = Spare::Busy;
        }
        spare
    }
}
