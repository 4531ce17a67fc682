//! Moves a call to a newer bundle revision when its program group has it before this VM.

use gypsumglade_core::prelude::*;

use super::active_bundle::ActiveBundle;
use super::problem::{Problem, ProblemKind};
use super::state::EntryState;
use super::turn_call::TurnCall;

/// Longest wait for a newer revision to reach this VM, meant to outlast a roll.
const REVISION_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval between checks of this VM's active revision.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Retry-After when the revision did not arrive.
const RETRY_MS: u64 = 1_000;

/// Waits until a newer revision is active on this VM, and returns the call under that revision.
///
/// Groups learn of a revision before most VMs do, and then refuse grants under the previous one.
/// Without the wait, a roll would fail calls until their VM has caught up.
///
/// # Errors
/// Fails when no newer revision arrives in time, or when it no longer allows the call.
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
    let message = "a newer bundle revision is active but has not reached this VM yet";
    Err(Problem::not_run(ProblemKind::Unavailable, message).retry_after(RETRY_MS))
}

/// Returns the call with its agent program and model from another revision.
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
