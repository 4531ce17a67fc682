//! Reserves a turn's tokens before it runs, and settles the reservation afterwards.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::policy::group_health::WaitRequest;
use gypsumglade_core::policy::memory_budget::OutOfMemory;
use gypsumglade_core::policy::route::SharedPrefix;
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::{Assignment, Holding, QualifiedId};
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;
use gypsumglade_core::wire::turn::{Kept, PromptRun, Reserve, Settle, Text};
use tokio::time::Instant;

use super::call::Call;
use super::dialect::Refusal;
use super::ingress::MEMORY_RETRY_AFTER;
use super::placement::{offers, shared_prefixes};
use super::quota;
use super::state::GatewayState;

/// A history may take the caller's remaining time divided by this; the rest is left for a retry at
/// another VM.
const FETCH_DIVISOR: u32 = 4;
/// Copies of a history in memory while it is fetched: the answer of a store, its decoded text, and the
/// texts in order.
const FETCH_COPIES: usize = 4;
/// Time limit of one attempt at storing a text, after which stores are chosen anew.
const PUT_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial delay between attempts at storing a text; it doubles with each.
const PUT_BACKOFF: Duration = Duration::from_millis(50);
/// Retry delay for callers whose turn's history could not be fetched.
const NO_TEXT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A turn whose tokens are reserved.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    turn: QualifiedId,
    program: QualifiedId,
    /// The entire prompt, if the caller described its parts.
    prompt: Option<SharedPrefix>,
    /// Set if the turn is kept for turns that continue it.
    retained: Option<RetainedTurn>,
}

#[derive(Clone, Debug)]
struct RetainedTurn {
    previous: Option<QualifiedId>,
    input: Bytes,
    retention_ms: u64,
}

/// A turn that may run.
pub(super) struct ReservedTurn {
    /// Body for the endpoint: the history followed by the turn's own input.
    pub(super) body: Bytes,
    /// Whether the program has had an earlier turn.
    pub(super) under_way: bool,
    /// The endpoint that last read a prefix of the prompt.
    pub(super) last_run: Option<PromptRun>,
    /// The engine that the turn group's leader assigned the turn to.
    pub(super) assigned: Option<Assignment>,
    /// The reservation to settle; `None` for a turn that has no budget and is not kept.
    pub(super) guard: Option<ReservationGuard>,
}

/// Reserves the tokens of a turn with the turn group, and fetches the history that it continues.
///
/// # Errors
/// Fails when the budget is exhausted, the turn to continue is unknown, the turn group does not answer
/// or the history can't be fetched. The turn has not run.
pub(super) async fn reserve(
    state: &Arc<GatewayState>,
    call: &Call,
) -> Result<ReservedTurn, Refusal> {
    let retention_ms = call.stream().and_then(|stream| stream.keep_ms);
    let turn = call.head.turn.clone().unwrap_or_default();
    if retention_ms.is_none() && turn.budget.is_none() {
        quota::admit(state, call).await?;
        let body = call.body.clone();
        return Ok(ReservedTurn {
            body,
            under_way: true,
            last_run: None,
            assigned: None,
            guard: None,
        });
    }
    let previous = (!turn.previous.is_empty()).then(|| call.qualified(&turn.previous));
    let retained = retention_ms.map(|retention_ms| RetainedTurn {
        previous: previous.clone(),
        input: call.body.clone(),
        retention_ms,
    });
    let client = &state.turns;
    let known = previous.as_ref().and_then(|previous| state.histories.get(previous));
    let prefixes = shared_prefixes(call);
    let reservation = Reservation {
        turn: call.qualified(&call.head.id),
        program: call.qualified(&turn.program),
        prompt: prefixes.last().copied(),
        retained,
    };
    let request = Reserve {
        turn: reservation.turn.to_string(),
        program: reservation.program.to_string(),
        budget: turn.budget,
        most: call.head.max_tokens,
        previous: optional_id(previous.as_ref()),
        now_ms: 0,
        held: known.is_some(),
        lasts_ms: u64::try_from(call.time_left().as_millis()).unwrap_or(u64::MAX),
        prompts: prefixes.iter().map(|prefix| prefix.hash).collect(),
        offers: offers(state, call, &prefixes),
        draw: quota::draw(state, call),
        granted: Vec::new(),
    };
    let wait =
        WaitRequest { time_left: call.time_left(), bytes: call.body.len(), jitter: rand::random() };
    let permit = client.admit(wait).map_err(|refused| {
        state.metrics.shed(refused.reason);
        Refusal::Unavailable { retry_after: refused.retry_after }
    })?;
    let guard = ReservationGuard { state: Arc::clone(state), reservation: Some(reservation) };
    let began = Instant::now();
    let reply = client.ask_with(permit, CommandBody::Reserve(request)).await;
    record_wait(state, began, "reserve", outcome(reply.as_ref()));
    match reply {
        Some(ReplyBody::Reserved(reserved)) => {
            let chain: Vec<_> = reserved.chain.iter().map(Holding::from_wire).collect();
            let fetch_began = Instant::now();
            let history = match known {
                Some(history) => Some(history),
                None => fetch_history(state, call, &chain).await?,
            };
            if !chain.is_empty() {
                let outcome = if history.is_some() { "answered" } else { "silent" };
                record_wait(state, fetch_began, "fetch", outcome);
            }
            let Some(history) = history else {
                state.metrics.shed("texts_missing");
                return Err(Refusal::Unavailable { retry_after: NO_TEXT_RETRY_AFTER });
            };
            let assigned = (!reserved.endpoint.is_empty()).then(|| Assignment {
                endpoint: reserved.endpoint.into(),
                cached: reserved.cached,
            });
            if !history.is_empty() {
                call.memory.grow(history.len() + call.body.len()).map_err(full)?;
            }
            Ok(ReservedTurn {
                body: concat(&history, &call.body),
                under_way: reserved.under_way,
                last_run: reserved.ran,
                assigned,
                guard: Some(guard),
            })
        }
        Some(ReplyBody::Spent(_)) => {
            guard.take();
            Err(Refusal::BudgetSpent)
        }
        Some(ReplyBody::Limited(limited)) => {
            guard.take();
            Err(quota::refuse(state, call, &limited))
        }
        Some(ReplyBody::Unknown(_)) => {
            slog::info!(state.log, "turn to continue is unknown"; "request" => %call.head.id,
                "organisation" => call.organisation(), "previous" => %turn.previous);
            guard.take();
            Err(Refusal::UnknownTurn)
        }
        _ => {
            state.metrics.shed("group_silent");
            let time_left = call.time_left();
            Err(Refusal::Unavailable {
                retry_after: client.retry_after(WaitRequest { time_left, ..wait }),
            })
        }
    }
}

/// Fetches the history of a turn. Returns `None` if the stores don't have it in time.
///
/// # Errors
/// Fails if there is not enough memory for it. The turn has not run.
async fn fetch_history(
    state: &GatewayState,
    call: &Call,
    chain: &[Holding],
) -> Result<Option<Bytes>, Refusal> {
    let bytes: u64 = chain.iter().map(|holding| holding.bytes).sum();
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX).saturating_mul(FETCH_COPIES);
    call.memory.grow(bytes).map_err(full)?;
    let deadline = Instant::now() + call.time_left() / FETCH_DIVISOR;
    let history = state.texts.fetch(chain, deadline).await;
    call.memory.shrink(bytes);
    Ok(history)
}

fn full(_: OutOfMemory) -> Refusal {
    Refusal::Unavailable { retry_after: MEMORY_RETRY_AFTER }
}

/// A reservation that may have been made. Dropping the guard settles it with zero tokens unless it has
/// been taken, so that its tokens don't stay reserved.
pub(super) struct ReservationGuard {
    state: Arc<GatewayState>,
    reservation: Option<Reservation>,
}

impl ReservationGuard {
    /// Returns the reservation, so that dropping the guard no longer settles it.
    pub(super) fn take(mut self) -> Option<Reservation> {
        self.reservation.take()
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            settle_in_background(&self.state, &reservation, &TurnUsage::default());
        }
    }
}

fn outcome(reply: Option<&ReplyBody>) -> &'static str {
    match reply {
        Some(_) => "answered",
        None => "silent",
    }
}

fn record_wait(state: &GatewayState, began: Instant, step: &'static str, outcome: &'static str) {
    state.metrics.turn_wait(began.elapsed().as_secs_f64(), step, outcome);
}

/// Resources that a turn used.
#[derive(Clone, Debug, Default)]
pub(super) struct TurnUsage {
    /// Tokens sent to the caller.
    pub(super) tokens: u64,
    /// Endpoint that read the prompt; `None` if no event arrived.
    pub(super) endpoint: Option<EndpointName>,
}

/// Time that a finished stream waited for each step of its settlement.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SettleTimes {
    /// Storing the text.
    pub(super) put: Duration,
    /// Committing the settlement.
    pub(super) settle: Duration,
}

/// Settles a turn whose stream is complete. Returns true once the settlement is durable, and false if
/// that does not succeed before the caller's deadline.
///
/// A kept turn must be durable before its stream ends, since the caller may continue it at another VM.
/// A turn that is not kept is settled in the background.
pub(super) async fn settle_completed(
    state: &GatewayState,
    call: &Call,
    reservation: &Reservation,
    usage: &TurnUsage,
    completed: CompletedTurn<'_>,
    times: &mut SettleTimes,
) -> bool {
    let Some(retained) = &reservation.retained else {
        settle_in_background(state, reservation, usage);
        return true;
    };
    let CompletedTurn { sent, output } = completed;
    let began = Instant::now();
    let bytes = retained.input.len() + output.len();
    let turn = reservation.turn.to_string();
    let text = Text { turn, input: retained.input.clone(), output: output.clone() };
    let retention = Duration::from_millis(retained.retention_ms);
    let put = put_text(state, call, reservation.program.as_str(), text, retention).await;
    times.put = began.elapsed();
    record_wait(state, began, "put", if put.is_some() { "answered" } else { "silent" });
    let Some(holders) = put else { return false };
    let kept = Kept {
        previous: optional_id(retained.previous.as_ref()),
        retention_ms: kept_for_ms(call, retained),
        holders: holders.into_iter().map(|vm| vm.0).collect(),
        bytes: bytes as u64,
    };
    let settle = settle_command(reservation, usage, Some(kept));
    let began = Instant::now();
    let answer = state.turns.ask(CommandBody::Settle(settle), call.time_left()).await;
    times.settle = began.elapsed();
    record_wait(state, began, "settle", outcome(answer.as_ref()));
    let settled = matches!(answer, Some(ReplyBody::Settled(_)));
    if settled {
        let history = concat(sent, output);
        state.histories.put(reservation.turn.clone(), retained.previous.as_ref(), history);
    }
    settled
}

/// Returns how long a turn is kept from its settlement on, in milliseconds.
///
/// Retention counts from the end of the answer, which the settlement precedes. When the caller gets it
/// isn't known yet, but it doesn't wait past its deadline.
fn kept_for_ms(call: &Call, retained: &RetainedTurn) -> u64 {
    let left = u64::try_from(call.time_left().as_millis()).unwrap_or(u64::MAX);
    retained.retention_ms.saturating_add(left)
}

/// Texts of a turn that has run to its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct CompletedTurn<'a> {
    /// The history followed by the turn's own input.
    pub(super) sent: &'a Bytes,
    /// The turn's output.
    pub(super) output: &'a Bytes,
}

/// Stores a turn's text, retrying until the caller's deadline. Returns the stores that hold it.
async fn put_text(
    state: &GatewayState,
    call: &Call,
    program: &str,
    text: Text,
    retention: Duration,
) -> Option<Vec<VmId>> {
    let mut backoff = PUT_BACKOFF;
    while !call.time_left().is_zero() {
        let deadline = call.deadline.min(Instant::now() + PUT_TIMEOUT);
        let put = state.texts.put(program, text.clone(), retention, deadline).await;
        if put.is_some() {
            return put;
        }
        tokio::time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0)).min(call.time_left()))
            .await;
        backoff *= 2;
    }
    None
}

/// Settles a turn in the background; it is not kept.
pub(super) fn settle_in_background(
    state: &GatewayState,
    reservation: &Reservation,
    usage: &TurnUsage,
) {
    state.settlements.settle(settle_command(reservation, usage, None));
}

fn settle_command(reservation: &Reservation, usage: &TurnUsage, kept: Option<Kept>) -> Settle {
    let read = reservation.prompt.zip(usage.endpoint.as_ref());
    let ran = read.map(|(prompt, endpoint)| PromptRun {
        prompt: prompt.hash,
        endpoint: endpoint.to_string(),
        tokens: prompt.tokens,
    });
    Settle {
        turn: reservation.turn.to_string(),
        program: reservation.program.to_string(),
        tokens: usage.tokens,
        kept,
        now_ms: 0,
        ran,
    }
}

/// Returns the id as messages hold it: empty for no turn.
fn optional_id(id: Option<&QualifiedId>) -> String {
    id.map(ToString::to_string).unwrap_or_default()
}

fn concat(start: &Bytes, rest: &Bytes) -> Bytes {
    if start.is_empty() {
        return rest.clone();
    }
    [start.as_ref(), rest.as_ref()].concat().into()
}
