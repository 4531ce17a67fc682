//! Sets a turn's tokens aside before it runs, and settles them after.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::policy::group_health::WaitRequest;
use gypsumglade_core::policy::route::SharedPrefix;
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::Holding;
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;
use gypsumglade_core::wire::turn::{Kept, PromptRun, Reserve, Settle, Text};
use tokio::time::Instant;

use super::call::Call;
use super::dialect::Refusal;
use super::placing::shared_prefixes;
use super::state::GatewayState;

/// Longest wait for the histories of turns before a caller is better off at another VM, as a part of its
/// time.
const FETCH_PART: u32 = 4;
/// Longest wait for one try at putting a text, before stores are chosen anew.
const PUT_TRY: Duration = Duration::from_secs(1);
/// Pause before the next try; it doubles with each, since texts are large and a link may be full.
const PUT_PAUSE: Duration = Duration::from_millis(50);
/// When to come back while histories can't be had: a store's copy is fetched from others.
const NO_TEXT_PAUSE: Duration = Duration::from_millis(400);

/// A turn whose tokens are set aside.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    turn: CompactString,
    program: CompactString,
    /// The whole prompt, where the caller told its parts.
    prompt: Option<SharedPrefix>,
    /// Present where the turn is kept for those that continue it.
    keeps: Option<Keeping>,
}

#[derive(Clone, Debug)]
struct Keeping {
    previous: CompactString,
    input: Bytes,
    retention: u64,
}

/// Leave to run a turn.
pub(super) struct Leave {
    /// What to send: everything that precedes, then the turn's own input.
    pub(super) body: Bytes,
    /// Whether the program had a turn before this one.
    pub(super) under_way: bool,
    /// Where the prompt's start was read last.
    pub(super) ran: Option<PromptRun>,
    /// What to settle later; nothing for a request without budget whose turns are not kept.
    pub(super) held: Option<Held>,
}

/// Asks for leave to run a turn.
pub(super) async fn reserve(state: &Arc<GatewayState>, call: &Call) -> Result<Leave, Refusal> {
    let keep = call.stream().and_then(|stream| stream.keep_ms);
    let turn = call.head.turn.clone().unwrap_or_default();
    if keep.is_none() && turn.budget.is_none() {
        let body = call.body.clone();
        return Ok(Leave { body, under_way: true, ran: None, held: None });
    }
    let keeps = keep.map(|retention| Keeping {
        previous: turn.previous.clone(),
        input: call.body.clone(),
        retention,
    });
    let client = &state.turns;
    let known = state.histories.get(&turn.previous);
    let starts = shared_prefixes(call);
    let reservation = Reservation {
        turn: call.head.id.clone(),
        program: turn.program.clone(),
        prompt: starts.last().copied(),
        keeps,
    };
    let ask = Reserve {
        turn: call.head.id.to_string(),
        program: turn.program.to_string(),
        budget: turn.budget,
        most: call.head.most_tokens,
        previous: turn.previous.to_string(),
        now_ms: 0,
        held: known.is_some(),
        lasts_ms: u64::try_from(call.left().as_millis()).unwrap_or(u64::MAX),
        prompts: starts.iter().map(|start| start.hash).collect(),
    };
    let need =
        WaitRequest { time_left: call.left(), bytes: call.body.len(), jitter: rand::random() };
    let ticket = client.admit(need).map_err(|refused| {
        state.metrics.shed(refused.reason);
        Refusal::Unavailable { after: refused.after }
    })?;
    let held = Held { state: Arc::clone(state), reservation: Some(reservation) };
    let asked = Instant::now();
    let reply = client.ask_with(ticket, CommandBody::Reserve(ask)).await;
    note_wait(state, asked, "reserve", outcome(reply.as_ref()));
    match reply {
        Some(ReplyBody::Reserved(reserved)) => {
            let chain: Vec<_> = reserved.chain.iter().map(Holding::from_wire).collect();
            let fetched = Instant::now();
            let history = match known {
                Some(history) => Some(history),
                None => state.texts.fetch(&chain, fetched + call.left() / FETCH_PART).await,
            };
            if !chain.is_empty() {
                let outcome = if history.is_some() { "answered" } else { "silent" };
                note_wait(state, fetched, "fetch", outcome);
            }
            let Some(history) = history else {
                state.metrics.shed("texts_missing");
                return Err(Refusal::Unavailable { after: NO_TEXT_PAUSE });
            };
            Ok(Leave {
                body: joined(&history, &call.body),
                under_way: reserved.under_way,
                ran: reserved.ran,
                held: Some(held),
            })
        }
        Some(ReplyBody::Spent(_)) => {
            held.take();
            Err(Refusal::BudgetSpent)
        }
        Some(ReplyBody::Unknown(_)) => {
            held.take();
            Err(Refusal::UnknownTurn)
        }
        _ => {
            state.metrics.shed("group_silent");
            let left = call.left();
            Err(Refusal::Unavailable {
                after: client.pause(WaitRequest { time_left: left, ..need }),
            })
        }
    }
}

/// A reservation that was made, or may have been. Dropped before its turn runs to a caller, it is settled
/// to nothing: its tokens would count as used for good.
pub(super) struct Held {
    state: Arc<GatewayState>,
    reservation: Option<Reservation>,
}

impl Held {
    /// Returns the reservation, to be settled by whoever takes it.
    pub(super) fn take(mut self) -> Option<Reservation> {
        self.reservation.take()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            settle_later(&self.state, &reservation, &Used::default());
        }
    }
}

fn outcome(reply: Option<&ReplyBody>) -> &'static str {
    match reply {
        Some(_) => "answered",
        None => "silent",
    }
}

fn note_wait(state: &GatewayState, began: Instant, step: &'static str, outcome: &'static str) {
    state.metrics.turn_wait(began.elapsed().as_secs_f64(), step, outcome);
}

/// What a turn used.
#[derive(Clone, Debug, Default)]
pub(super) struct Used {
    /// Tokens that were handed to the caller.
    pub(super) tokens: u64,
    /// The engine that read its prompt.
    pub(super) endpoint: Option<EndpointName>,
}

/// What a stream waited for after its engine had ended it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Waits {
    /// Its text was put on disks.
    pub(super) put: Duration,
    /// The group took its settlement.
    pub(super) settle: Duration,
}

/// Settles a turn that ended whole, and returns once it is durable, or when the caller's time is over.
/// A turn that may be continued must be: its caller would go on from it at another VM.
///
/// The answer is ready, so nothing is worth more to its caller than the rest of its time.
pub(super) async fn settle_whole(
    state: &GatewayState,
    call: &Call,
    reservation: &Reservation,
    used: &Used,
    ended: Ended<'_>,
    waits: &mut Waits,
) -> bool {
    let Some(keeping) = &reservation.keeps else {
        settle_later(state, reservation, used);
        return true;
    };
    let Ended { sent, output } = ended;
    let began = Instant::now();
    let bytes = keeping.input.len() + output.len();
    let turn = reservation.turn.to_string();
    let text = Text { turn, input: keeping.input.clone(), output: output.clone() };
    let retention = Duration::from_millis(keeping.retention);
    let put = put_text(state, call, &reservation.program, text, retention).await;
    waits.put = began.elapsed();
    note_wait(state, began, "put", if put.is_some() { "answered" } else { "silent" });
    let Some(holders) = put else { return false };
    let kept = Kept {
        previous: keeping.previous.to_string(),
        retention_ms: keeping.retention,
        holders: holders.into_iter().map(|vm| vm.0).collect(),
        bytes: bytes as u64,
    };
    let settle = settle(reservation, used, Some(kept));
    let began = Instant::now();
    let answer = state.turns.ask(CommandBody::Settle(settle), call.left()).await;
    waits.settle = began.elapsed();
    note_wait(state, began, "settle", outcome(answer.as_ref()));
    let settled = matches!(answer, Some(ReplyBody::Settled(_)));
    if settled {
        let history = joined(sent, output);
        state.histories.put(reservation.turn.clone(), &keeping.previous, history);
    }
    settled
}

/// What a turn was sent with and what it gave.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ended<'a> {
    /// Everything before it, and its own input.
    pub(super) sent: &'a Bytes,
    /// Its output.
    pub(super) output: &'a Bytes,
}

/// Puts a turn's text on stores, and on others while those can't take it, as long as its caller waits.
async fn put_text(
    state: &GatewayState,
    call: &Call,
    program: &str,
    text: Text,
    retention: Duration,
) -> Option<Vec<VmId>> {
    let mut pause = PUT_PAUSE;
    while !call.left().is_zero() {
        let until = call.until.min(Instant::now() + PUT_TRY);
        let put = state.texts.put(program, text.clone(), retention, until).await;
        if put.is_some() {
            return put;
        }
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0)).min(call.left())).await;
        pause *= 2;
    }
    None
}

/// Settles a turn that is not kept, without a wait.
pub(super) fn settle_later(state: &GatewayState, reservation: &Reservation, used: &Used) {
    state.settling.settle(settle(reservation, used, None));
}

fn settle(reservation: &Reservation, used: &Used, kept: Option<Kept>) -> Settle {
    let read = reservation.prompt.zip(used.endpoint.as_ref());
    let ran = read.map(|(prompt, endpoint)| PromptRun {
        prompt: prompt.hash,
        endpoint: endpoint.to_string(),
        tokens: prompt.tokens,
    });
    Settle {
        turn: reservation.turn.to_string(),
        program: reservation.program.to_string(),
        tokens: used.tokens,
        kept,
        now_ms: 0,
        ran,
    }
}

fn joined(start: &Bytes, rest: &Bytes) -> Bytes {
    if start.is_empty() {
        return rest.clone();
    }
    [start.as_ref(), rest.as_ref()].concat().into()
}
