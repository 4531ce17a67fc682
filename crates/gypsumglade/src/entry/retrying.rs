//! Whether a failed attempt is followed by another, and the wait before it.

use gypsumglade_core::policy::retry::{Failure, RetryDecision, RetryRequest};
use gypsumglade_core::prelude::*;

use super::state::EntryState;

/// One call's attempts, as its organisation's retry budget sees them.
#[derive(Clone, Debug)]
pub(super) struct Attempts {
    org: OrgName,
    repeatable: bool,
    deadline: Option<Time>,
    count: u32,
}

impl Attempts {
    /// Begins a call, which earns its organisation a part of a retry.
    pub(super) fn start(
        state: &EntryState,
        org: &OrgName,
        repeatable: bool,
        deadline: Option<Time>,
    ) -> Attempts {
        state.routing().retries.record_call(org);
        Attempts { org: org.clone(), repeatable, deadline, count: 0 }
    }

    /// Waits for the next attempt; false when there is none.
    ///
    /// Without a budget, every call of an organisation whose engines fail is sent several times
    /// just when there is least room for it, and the engines that are left fail too. The drawn
    /// wait keeps calls that failed together from coming back together.
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
                slog::debug!(state.log, "no further attempt"; "why" => %why, "reason" => reason);
                false
            }
        }
    }
}
