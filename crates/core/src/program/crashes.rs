//! Attributes an endpoint's crash to the requests that it was running.

use std::collections::HashMap;

use bytes::Bytes;

use super::quarantine::{BLAME_PER_CRASH, Digest};
use super::sequencer::Sequencer;
use crate::prelude::*;
use crate::wire::program as wire;

/// Leader's record of where dispatches run and which crashes were scored; not replicated.
#[derive(Debug, Default)]
pub(super) struct CrashTracker {
    /// Endpoint of each running dispatch, as reported by its holder.
    running: HashMap<CompactString, EndpointName>,
    /// Dispatches that were blamed for a crash, with its endpoint.
    blamed: HashMap<CompactString, EndpointName>,
    /// Number of requests that share the blame for each endpoint's crash.
    request_counts: HashMap<EndpointName, u32>,
}

/// Request that was running on an endpoint when it crashed.
#[derive(Clone, Copy, Debug)]
struct InFlightRequest {
    digest: Digest,
    isolate: bool,
    /// Whether an earlier leader granted the dispatch, so that this one may not know its endpoint.
    inherited: bool,
}

impl CrashTracker {
    /// Records where a dispatch runs. The endpoint is alive, so an earlier crash is over.
    pub(super) fn start(&mut self, dispatch: &str, endpoint: EndpointName) {
        self.request_counts.remove(&endpoint);
        self.running.insert(dispatch.into(), endpoint);
    }

    /// Removes a closed dispatch.
    pub(super) fn close(&mut self, dispatch: &str) {
        self.running.remove(dispatch);
        self.blamed.remove(dispatch);
    }

    /// Removes everything, when the replica stops leading.
    pub(super) fn clear(&mut self) {
        *self = CrashTracker::default();
    }

    /// Moves the dispatches that ran on an endpoint to the blamed ones and returns them, sorted.
    fn take_from(&mut self, endpoint: &EndpointName) -> Vec<CompactString> {
        let on_endpoint = self.running.iter().filter(|(_, at)| *at == endpoint);
        let mut taken: Vec<CompactString> =
            on_endpoint.map(|(dispatch, _)| dispatch.clone()).collect();
        taken.sort();
        for dispatch in &taken {
            self.running.remove(dispatch);
            self.blamed.insert(dispatch.clone(), endpoint.clone());
        }
        taken
    }
}

impl Sequencer {
    /// Divides the blame for an endpoint's crash among the requests that it was running.
    ///
    /// Each holder reports the crash of its own dispatch. The first report blames all dispatches
    /// that this leader knows on the endpoint, and later reports of those count for nothing;
    /// otherwise the last one would seem to have run alone. A dispatch that an earlier leader
    /// granted gets a share of the same crash when it is reported.
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
