//! Retries of a call within its organisation's retry budget.

use gypsumglade_core::policy::retry::{Failure, RetryDecision, RetryRequest};
use gypsumglade_core::prelude::*;

use super::state::EntryState;

/// Attempts of one call.
#[derive(Clone, Debug)]
pub(super) struct Attempts {
    org: OrgName,
    repeatable: bool,
    deadline: Option<Time>,
    count: u32,
}

impl Attempts {
    /// Starts a call, which adds to its organisation's retry budget.
    pub(super) fn start(
        state: &EntryState,
        org: &OrgName,
        repeatable: bool,
        deadline: Option<Time>,
    ) -> Attempts {
        state.routing().retries.record_call(org);
        Attempts { org: org.clone(), repeatable, deadline, count: 0 }
    }

    /// Waits until the call may be retried. Returns false if it may not.
    ///
    /// The budget keeps retries from overloading the remaining engines after a failure, and the
    /// randomised delay keeps calls that failed together from retrying at the same time.
    pub(super) async fn wait_for_retry(
        &mut self,
        state: &EntryState,
        failure: Failure,
        reason: &'static str,
    ) -> bool {
        self.count += 1;
        let now = state.clock.now();
        let request = RetryRequest {
            org: self.org.clone(),
            attempts: self.count,
            repeatable: self.repeatable,
            failure,
            deadline: self.deadline,
            retry_after: None,
        };
        let decision = state.routing().retries.decide(now, &request);
        match decision {
            RetryDecision::At(at) => {
                state.metrics.retry(reason);
                tokio::time::sleep(at.since(now)).await;
                true
            }
            RetryDecision::Stop(why) => {
                slog::debug!(state.log, "call not retried"; "why" => %why, "reason" => reason);
                false
            }
        }
    }
}
