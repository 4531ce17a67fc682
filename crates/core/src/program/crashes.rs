//! Who was in flight on an endpoint when it died, as far as this leader knows.

use std::collections::HashMap;

use bytes::Bytes;

use super::quarantine::{BLAME_PER_CRASH, Digest};
use super::sequencer::Sequencer;
use crate::prelude::*;
use crate::wire::program as wire;

/// Where dispatches run and which deaths were scored; a new leader starts with none.
#[derive(Debug, Default)]
pub(super) struct CrashTracker {
    /// Where dispatches run, as their holders told this leader.
    running: HashMap<CompactString, EndpointName>,
    /// Dispatches that an earlier report of the same death has blamed.
    blamed: HashMap<CompactString, EndpointName>,
    /// How many requests each dead endpoint took with it.
    request_counts: HashMap<EndpointName, u32>,
}

/// One request that an endpoint took with it.
#[derive(Clone, Copy, Debug)]
struct InFlightRequest {
    digest: Digest,
    isolate: bool,
    /// An earlier leader granted it, and was told where it runs.
    inherited: bool,
}

impl CrashTracker {
    /// Notes where a dispatch runs; an endpoint that takes work again lives again.
    pub(super) fn start(&mut self, dispatch: &str, endpoint: EndpointName) {
        self.request_counts.remove(&endpoint);
        self.running.insert(dispatch.into(), endpoint);
    }

    /// Forgets a dispatch that is closed.
    pub(super) fn close(&mut self, dispatch: &str) {
        self.running.remove(dispatch);
        self.blamed.remove(dispatch);
    }

    /// Forgets all, as a leader that ceases to lead does.
    pub(super) fn clear(&mut self) {
        *self = CrashTracker::default();
    }

    /// Takes the dispatches that ran on an endpoint, in a fixed order.
    fn take_from(&mut self, endpoint: &EndpointName) -> Vec<CompactString> {
        let on_it = self.running.iter().filter(|(_, at)| *at == endpoint);
        let mut taken: Vec<CompactString> = on_it.map(|(dispatch, _)| dispatch.clone()).collect();
        taken.sort();
        for dispatch in &taken {
            self.running.remove(dispatch);
            self.blamed.insert(dispatch.clone(), endpoint.clone());
        }
        taken
    }
}

impl Sequencer {
    /// Shares the blame for an endpoint's death among the requests it was running.
    ///
    /// Each of them will be reported as crashed by its own holder. Only the first report counts
    /// for those this leader knew to be there, else the last reporter would seem to have been
    /// alone. A dispatch that an earlier leader was told of takes a share of the same death.
    pub(super) fn crash_shares(&mut self, settle: &wire::Settle) -> Vec<wire::Share> {
        let dispatch = settle.dispatch.as_str();
        if !settle.crashed || self.crashes.blamed.contains_key(dispatch) {
            return vec![];
        }
        let endpoint = EndpointName::from(&settle.endpoint);
        let inherited = self.in_flight_request(dispatch).is_some_and(|request| request.inherited);
        if let Some(others) =
            self.crashes.request_counts.get(&endpoint).copied().filter(|_| inherited)
        {
            let share = BLAME_PER_CRASH / (others + 1);
            return self
                .in_flight_request(dispatch)
                .map(|request| request.share(share, false))
                .into_iter()
                .collect();
        }
        let mut dispatches = self.crashes.take_from(&endpoint);
        if !dispatches.iter().any(|other| other == dispatch) {
            dispatches.insert(0, dispatch.into());
            self.crashes.blamed.insert(dispatch.into(), endpoint.clone());
        }
        let requests: Vec<InFlightRequest> =
            dispatches.iter().filter_map(|d| self.in_flight_request(d)).collect();
        let count = requests.len().max(1) as u32;
        self.crashes.request_counts.insert(endpoint, count);
        let alone = requests.len() == 1;
        requests.iter().map(|request| request.share(BLAME_PER_CRASH / count, alone)).collect()
    }

    fn in_flight_request(&self, dispatch: &str) -> Option<InFlightRequest> {
        let (_, attempt) =
            self.state.running_attempts().find(|(call, _)| call.dispatch == dispatch)?;
        let inherited = self.leader_state.is_some_and(|lead| lead.term != attempt.term);
        Some(InFlightRequest { digest: attempt.digest?, isolate: attempt.isolate, inherited })
    }
}

impl InFlightRequest {
    fn share(&self, share: u32, alone: bool) -> wire::Share {
        let digest = Bytes::copy_from_slice(&self.digest);
        wire::Share { digest, share, alone: alone && self.isolate }
    }
}
