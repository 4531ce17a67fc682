//! Runs of suspected requests, as granted by the control group's leader.
//!
//! Copies of one request that run at the same time would each crash an endpoint, and of two
//! suspects at one endpoint it is unknown which one crashed it. Trials are not replicated: a new
//! leader may grant a second one of a request while the first is in flight.

use std::collections::BTreeMap;

use super::suspects::{ISOLATION_CRASHES, RequestDigest};
use crate::prelude::*;

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

/// Trials in flight, by request.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    running: BTreeMap<RequestDigest, Trial>,
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
}
