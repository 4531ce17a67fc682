//! Counts calls towards the rate limits of their organisations.

use gypsumglade_core::bundle::Organisation;
use gypsumglade_core::policy::group_health::WaitRequest;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Draw;
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;

use super::problem::{Problem, ProblemKind};
use super::state::EntryState;

/// Time that a call without a deadline may wait for the count.
const DEFAULT_WAIT: Duration = Duration::from_secs(15);

/// Counts a call of an organisation, which may belong to a program under way.
///
/// # Errors
/// Fails when the limit is reached or the turn group does not answer. The call did not run.
pub(super) async fn admit(
    state: &EntryState,
    org: &Organisation,
    revision: RevisionNumber,
    under_way: bool,
    deadline: Option<Time>,
) -> Result<(), Problem> {
    let Some(rate) = org.limit else { return Ok(()) };
    let time_left = deadline.map_or(DEFAULT_WAIT, |at| at.since(state.clock.now()));
    let wait = WaitRequest { time_left, bytes: 0, jitter: rand::random() };
    let permit = state.turns.admit(wait).map_err(|refused| unavailable(refused.retry_after))?;
    let draw = Draw {
        organisation: org.name.to_string(),
        requests: 1,
        limit: Some(state.settings.quota.limit(rate, revision)),
        under_way,
    };
    match state.turns.ask_with(permit, CommandBody::Draw(draw)).await {
        Some(ReplyBody::Drawn(_)) => {
            state.metrics.quota("granted");
            Ok(())
        }
        Some(ReplyBody::Limited(limited)) => {
            state.metrics.quota("refused");
            slog::info!(state.log, "organisation over its limit"; "organisation" => %org.name,
                "used" => limited.used, "limit" => limited.limit,
                "window_s" => state.settings.quota.window_s, "retry_ms" => limited.retry_ms);
            let message = format!(
                "{} of {} requests in {} s",
                limited.used, limited.limit, state.settings.quota.window_s
            );
            Err(Problem::not_run(ProblemKind::OverLimit, message).retry_after(limited.retry_ms))
        }
        _ => Err(unavailable(state.turns.retry_after(wait))),
    }
}

fn unavailable(retry_after: Duration) -> Problem {
    let millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
    let message = "the organisation's limit can't be checked now";
    Problem::not_run(ProblemKind::Unavailable, message).retry_after(millis)
}
