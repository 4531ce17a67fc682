//! Takes a call over to the next bundle revision, when its group has it before this VM does.

use gypsumglade_core::prelude::*;

use super::active_bundle::ActiveBundle;
use super::problem::{Problem, ProblemKind};
use super::state::EntryState;
use super::turn_call::TurnCall;

/// Longest wait for the revision that a group acts under; a roll is in force everywhere by then.
const REVISION_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between two looks at the revision of this VM.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// When to come back after the revision did not arrive.
const RETRY_MS: u64 = 1_000;

/// Waits until this VM works under a newer revision, and returns the call as that one has it.
///
/// Groups learn of a revision before most VMs do, and grant nothing under the one before. Without
/// the wait, each roll of a bundle would have every call refused until its VM has caught up.
///
/// # Errors
/// Refuses when no newer revision comes in time, or when it doesn't allow the call any more.
pub(super) async fn wait_for_newer(
    state: &EntryState,
    call: &TurnCall,
) -> Result<TurnCall, Problem> {
    let now = state.clock.now();
    let deadline = call.deadline.unwrap_or(Time::MAX).min(now + REVISION_TIMEOUT);
    state.config.hint(RevisionNumber(call.revision.0 + 1), now);
    while state.clock.now() < deadline {
        match state.config.active(state.clock.now()) {
            Ok(active) if active.revision > call.revision => return rebind_call(&active, call),
            Ok(_) | Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
    let message = "a newer bundle revision is in force and has not reached this VM";
    Err(Problem::not_run(ProblemKind::Unavailable, message).retry_after(RETRY_MS))
}

/// Looks the call's agent program and model up in another revision.
fn rebind_call(active: &ActiveBundle, call: &TurnCall) -> Result<TurnCall, Problem> {
    let bundle = &active.bundle;
    let org = bundle.organisations.iter().find(|org| org.name == call.org);
    let allowed = org.is_some_and(|org| org.agents.contains(&call.agent.name));
    let agent = bundle.agents.iter().find(|agent| allowed && agent.name == call.agent.name);
    let agent = agent.ok_or_else(|| {
        let message = format!("agent program {:?} is no longer allowed", call.agent.name);
        Problem::not_run(ProblemKind::NotFound, message)
    })?;
    let model = active.model(agent, &call.model.name)?.clone();
    Ok(TurnCall { agent: agent.clone(), model, revision: active.revision, ..call.clone() })
}
