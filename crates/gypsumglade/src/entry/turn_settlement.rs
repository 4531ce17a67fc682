//! Settles dispatches: reports their outcome and usage to the program group.

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::Outcome;
use gypsumglade_core::wire::program::{Grant, Settle, Usage};

use super::answer::AnswerBuilder;
use super::problem::Problem;
use super::state::EntryState;
use super::turn_call::{BYTES_PER_TOKEN, TurnCall, program_ref};
use super::turn_dispatch::Attempt;

/// Timeout for recording an outcome, long enough for a change of leader.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the usage of a dispatch without a complete answer, from the tokens that arrived.
///
/// Prompt tokens are estimated, since engines report them only with a complete answer.
pub(super) fn partial_usage(call: &TurnCall, grant: &Grant, builder: &AnswerBuilder) -> Usage {
    let prompt_tokens = grant.history.len() as u64 / BYTES_PER_TOKEN + 1;
    let output_tokens = builder.tokens();
    let prompt = prompt_tokens.saturating_mul(call.model.input_micros);
    let output = output_tokens.saturating_mul(call.model.output_micros);
    let micros = prompt.saturating_add(output);
    Usage { prompt_tokens, output_tokens, micros, cached_tokens: 0 }
}

/// Settles a dispatch that was not run, and returns the failed attempt.
pub(super) async fn settle_not_run(
    state: &EntryState,
    call: &TurnCall,
    grant: &Grant,
    problem: Problem,
) -> Attempt {
    let settle = outcome(call, grant, Outcome::NotRun, &problem.message);
    match settle_dispatch(state, call, settle).await {
        Ok(()) => Attempt::Failed(problem),
        // The call did not run even if the group couldn't record that.
        Err(_) => Attempt::Failed(problem.retry_after(super::GROUP_RETRY_MS)),
    }
}

/// Settles a dispatch, and logs a failure to record the outcome.
pub(super) async fn settle_or_log(state: &EntryState, call: &TurnCall, settle: Settle) {
    if let Err(problem) = settle_dispatch(state, call, settle).await {
        slog::warn!(state.log, "failed to record the outcome of a dispatch";
            "program" => %call.program, "reason" => %problem.message);
    }
}

/// Settles a dispatch.
///
/// # Errors
/// Fails when the program group refuses the outcome or doesn't record it in time.
pub(super) async fn settle_dispatch(
    state: &EntryState,
    call: &TurnCall,
    settle: Settle,
) -> Result<(), Problem> {
    super::settle(state, &call.org, &call.program, settle, SETTLE_TIMEOUT).await
}

/// Returns a settlement with `outcome` and without usage or answer.
pub(super) fn outcome(call: &TurnCall, grant: &Grant, outcome: Outcome, reason: &str) -> Settle {
    Settle {
        program: Some(program_ref(call)),
        dispatch: grant.dispatch.clone(),
        outcome: outcome.into(),
        reason: reason.to_owned(),
        ..Settle::default()
    }
}
