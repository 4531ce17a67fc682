//! Counts requests towards the rate limits of their organisations.

use gypsumglade_core::policy::group_health::WaitRequest;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;
use gypsumglade_core::wire::turn::{Draw, Limited};

use super::call::Call;
use super::dialect::{Identity, Refusal};
use super::state::GatewayState;

/// Range of the random part of the retry delay, so that callers don't return at the same time.
const RETRY_JITTER: Duration = Duration::from_millis(200);

/// Returns what a request draws from its organisation's limit, or `None` without a limit.
pub(super) fn draw(state: &GatewayState, call: &Call) -> Option<Draw> {
    let limit = call.sender.limit?;
    let Identity::Organisation(organisation) = &call.sender.identity else { return None };
    let turn = call.head.turn.as_ref();
    let continues = turn.is_some_and(|turn| !turn.previous.is_empty());
    Some(Draw {
        organisation: organisation.to_string(),
        requests: 1,
        limit: Some(state.settings.quota.limit(limit, call.bundle.revision)),
        // Only turns begin programs.
        under_way: continues || (turn.is_some() && call.stream().is_none()),
    })
}

/// Counts a request that isn't reserved as a turn.
///
/// # Errors
/// Fails when the limit is reached or the turn group does not answer. The request has not run.
pub(super) async fn admit(state: &GatewayState, call: &Call) -> Result<(), Refusal> {
    let Some(draw) = draw(state, call) else { return Ok(()) };
    let wait =
        WaitRequest { time_left: call.time_left(), bytes: call.body.len(), jitter: rand::random() };
    let permit = state.turns.admit(wait).map_err(|refused| {
        state.metrics.shed(refused.reason);
        Refusal::Unavailable { retry_after: refused.retry_after }
    })?;
    match state.turns.ask_with(permit, CommandBody::Draw(draw)).await {
        Some(ReplyBody::Drawn(_)) => {
            state.metrics.quota("granted");
            Ok(())
        }
        Some(ReplyBody::Limited(limited)) => Err(refuse(state, call, &limited)),
        _ => {
            state.metrics.shed("group_silent");
            let time_left = call.time_left();
            let retry_after = state.turns.retry_after(WaitRequest { time_left, ..wait });
            Err(Refusal::Unavailable { retry_after })
        }
    }
}

/// Returns the refusal of a request that its organisation's limit doesn't allow.
pub(super) fn refuse(state: &GatewayState, call: &Call, limited: &Limited) -> Refusal {
    state.metrics.quota("refused");
    slog::info!(state.log, "organisation over its limit"; "request" => %call.head.id,
        "organisation" => call.organisation(), "route" => %call.route.name, "used" => limited.used,
        "limit" => limited.limit, "window_s" => state.settings.quota.window_s,
        "retry_ms" => limited.retry_ms);
    let retry_after = Duration::from_millis(limited.retry_ms);
    Refusal::OverLimit { retry_after: retry_after + RETRY_JITTER.mul_f64(rand::random()) }
}
