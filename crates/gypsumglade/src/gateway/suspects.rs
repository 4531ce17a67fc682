//! Keeps requests that crash endpoints from being sent to one endpoint after another.
//!
//! The load pattern is a request that crashes each endpoint that runs it, and whose caller sends it
//! again at any entry VM. The control group counts the endpoints that ended under it. From the first
//! one on, one copy of the request runs at a time, and at last it is quarantined. See
//! docs/design/quarantine.md.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use gypsumglade_core::control::suspects::{ISOLATION_CRASHES, RequestDigest};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::{
    BeginTrial, ClearSuspect, Command, Crash, EndTrial, EndpointNews,
};
use gypsumglade_core::wire::operator::ControlRequest;
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::control_request::Body as RequestBody;

use super::call::Call;
use super::dialect::Refusal;
use super::state::GatewayState;
use super::suspect_table::{SuspectTable, Suspicion};
use crate::control_client::{ControlGroupClient, PROGRAM_LIMITS};
use crate::leader_client::RetryLimits;

/// Limits for a caller that waits for leave to run: the control group's leader answers from memory.
const TRIAL_LIMITS: RetryLimits = RetryLimits {
    per_call: Duration::from_millis(150),
    total: Duration::from_millis(300),
    pause: Duration::from_millis(30),
};
/// Attempts to report a crash, which together outlast an election.
const REPORT_ATTEMPTS: usize = 5;
/// Mean delay before a request that has to wait for another trial asks again: a fraction of a
/// request's usual time.
const TRIAL_PAUSE: Duration = Duration::from_millis(30);
/// Time that a request needs at least after its wait.
const TRIAL_MARGIN: Duration = Duration::from_millis(200);
/// Retry delay for callers whose request waited in vain for another trial or for a leader; about as
/// long as an election.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(900);

/// Suspected requests, and the client that reports on them.
pub(super) struct Suspects {
    table: Mutex<SuspectTable>,
    control: ControlGroupClient,
}

/// Leave to run a suspected request. Dropping it tells the control group that the run has ended.
pub(super) struct Trial {
    state: Arc<GatewayState>,
    digest: RequestDigest,
    id: u64,
}

/// Whether a request may be sent to an endpoint now.
pub(super) enum TrialDecision {
    /// It may; holds the trial of a suspected request.
    Proceed(Option<Trial>),
    /// Another trial has to end first.
    Wait,
}

impl Suspects {
    /// Creates an empty table.
    pub(super) fn new(control: ControlGroupClient) -> Suspects {
        Suspects { table: Mutex::default(), control }
    }

    /// Takes in the control group's changes.
    pub(super) fn apply(&self, now: Time, news: &EndpointNews) {
        self.table().apply(now, &news.suspects, news.suspect_delta);
    }

    fn table(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().expect("no panic while held")
    }

    async fn ask(&self, body: CommandBody, limits: RetryLimits) -> Option<AnswerBody> {
        let command = Command { body: Some(body) };
        let request = ControlRequest { body: Some(RequestBody::Command(command)) };
        let reply = self.control.with_limits(limits).ask(&request).await?;
        match reply.body {
            Some(ReplyBody::Answer(answer)) => answer.body,
            _ => None,
        }
    }
}

/// Returns what is known of a request, or `None` if it isn't suspected or operators have lifted its
/// quarantine.
fn suspicion(state: &GatewayState, call: &Call) -> Option<Suspicion> {
    if state.suspects.table().is_empty() {
        return None;
    }
    let digest = call.digest();
    let known = state.suspects.table().get(state.clock.now(), &digest)?;
    let lifted = &call.bundle.bundle.quarantine.lift;
    (!lifted.contains(&hex::encode(digest).into())).then_some(known)
}

/// Refuses a quarantined request.
///
/// # Errors
/// Fails when the request is quarantined. It has not run.
pub(super) fn check(state: &GatewayState, call: &Call) -> Result<(), Refusal> {
    let known = suspicion(state, call);
    match known.and_then(|known| known.quarantine(state.clock.now())) {
        Some(retry_after) => Err(Refusal::Quarantined { retry_after }),
        None => Ok(()),
    }
}

/// Asks leave to send a request to an endpoint; only suspected requests need it.
///
/// # Errors
/// Fails when the request is quarantined, or when there is no time left to wait for a trial. It has
/// not been sent.
pub(super) async fn begin_trial(
    state: &Arc<GatewayState>,
    call: &Call,
    endpoint: &EndpointName,
) -> Result<TrialDecision, Refusal> {
    check(state, call)?;
    let Some(known) = suspicion(state, call) else { return Ok(TrialDecision::Proceed(None)) };
    let trial = Trial { state: Arc::clone(state), digest: call.digest(), id: rand::random() };
    let begin = BeginTrial {
        digest: Bytes::copy_from_slice(&trial.digest),
        endpoint: endpoint.to_string(),
        lasts_ms: u64::try_from(call.time_left().as_millis()).unwrap_or(u64::MAX),
        trial: trial.id,
        crashes: known.crashes(),
    };
    let answer = state.suspects.ask(CommandBody::BeginTrial(begin), TRIAL_LIMITS).await;
    let decision = match answer {
        Some(AnswerBody::TrialGranted(_)) => TrialDecision::Proceed(Some(trial)),
        Some(AnswerBody::Suspect(suspect)) => {
            state.suspects.table().update(state.clock.now(), &suspect);
            check(state, call)?;
            TrialDecision::Wait
        }
        Some(AnswerBody::TrialPending(_)) => TrialDecision::Wait,
        // A request that ran beside one crash is probably harmless. Without a leader it may run.
        _ if known.crashes() < ISOLATION_CRASHES => TrialDecision::Proceed(None),
        _ => return Err(Refusal::Unavailable { retry_after: TRIAL_RETRY_AFTER }),
    };
    let outcome = match &decision {
        TrialDecision::Proceed(_) => "granted",
        TrialDecision::Wait => "pending",
    };
    state.metrics.trial(outcome);
    Ok(decision)
}

/// Waits until another trial may have ended.
///
/// # Errors
/// Fails when too little time is left.
pub(super) async fn await_trial(call: &Call) -> Result<(), Refusal> {
    if call.time_left() < TRIAL_MARGIN {
        return Err(Refusal::Unavailable { retry_after: TRIAL_RETRY_AFTER });
    }
    tokio::time::sleep(TRIAL_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
    Ok(())
}

/// Clears a request that an endpoint has answered, if it was suspected.
pub(super) fn clear(state: &Arc<GatewayState>, call: &Call) {
    if suspicion(state, call).is_none() {
        return;
    }
    let digest = Bytes::copy_from_slice(&call.digest());
    let (state, request) = (Arc::clone(state), call.head.id.clone());
    tokio::spawn(async move {
        let clear = ClearSuspect { digest, now_ms: 0 };
        let answer = state.suspects.ask(CommandBody::ClearSuspect(clear), PROGRAM_LIMITS).await;
        if answer.is_none() {
            slog::info!(state.log, "suspected request not cleared, no store leads";
                "request" => %request);
        }
    });
}

/// Reports that an endpoint ended while it ran a request. Returns once the control group has
/// recorded it, or after several attempts.
pub(super) async fn report_crash(
    state: &GatewayState,
    digest: RequestDigest,
    endpoint: EndpointName,
    incarnation: u64,
) {
    state.suspects.table().record_crash(state.clock.now(), digest);
    let digest = Bytes::copy_from_slice(&digest);
    let crash = Crash { endpoint: endpoint.to_string(), incarnation, digest, now_ms: 0 };
    for _ in 0..REPORT_ATTEMPTS {
        let body = CommandBody::Crash(crash.clone());
        if let Some(AnswerBody::Suspect(known)) = state.suspects.ask(body, PROGRAM_LIMITS).await {
            state.suspects.table().reported(state.clock.now(), &known);
            return;
        }
    }
    slog::warn!(state.log, "crash not reported, no store leads the control group";
        "endpoint" => %endpoint, "digest" => hex::encode(&crash.digest));
}

impl Drop for Trial {
    fn drop(&mut self) {
        let digest = Bytes::copy_from_slice(&self.digest);
        let (state, end) = (Arc::clone(&self.state), EndTrial { digest, trial: self.id });
        // A trial whose end is lost ends by itself.
        tokio::spawn(async move {
            state.suspects.ask(CommandBody::EndTrial(end), TRIAL_LIMITS).await;
        });
    }
}
