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
use tokio::time::Instant;

use super::abandoned_attempts::Incarnation;
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

/// A run of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) digest: RequestDigest,
    resource: RequestDigest,
    began: Instant,
}

impl Run {
    /// Describes a run of a request that began at this time.
    pub(super) fn of(call: &Call, began: Instant) -> Run {
        Run { digest: call.digest(), resource: call.resource(), began }
    }
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

/// What is known of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Suspicions {
    /// Of its content.
    content: Option<Suspicion>,
    /// Of all the caller's requests for its resource.
    resource: Option<Suspicion>,
}

/// Returns what is known of a request, without what is not suspected and what operators have lifted the
/// quarantine of.
fn suspicions(state: &GatewayState, call: &Call) -> Suspicions {
    if state.suspects.table().is_empty() {
        return Suspicions::default();
    }
    let now = state.clock.now();
    let lifted = &call.bundle.bundle.quarantine.lift;
    let known = |digest: RequestDigest| {
        let known = state.suspects.table().get(now, &digest)?;
        (!lifted.contains(&hex::encode(digest).into())).then_some(known)
    };
    Suspicions { content: known(call.digest()), resource: known(call.resource()) }
}

/// Refuses a request that is quarantined, or whose resource is. Returns what is known of the content of
/// one that may run.
///
/// # Errors
/// Fails when the request is quarantined. It has not run.
pub(super) fn check(state: &GatewayState, call: &Call) -> Result<Option<Suspicion>, Refusal> {
    let Suspicions { content, resource } = suspicions(state, call);
    let now = state.clock.now();
    let known = [content, resource].into_iter().flatten();
    match known.filter_map(|known| known.quarantine(now)).max() {
        Some(retry_after) => Err(Refusal::Quarantined { retry_after }),
        None => Ok(content),
    }
}

/// Asks leave to send a request to an endpoint; only suspected requests need it.
///
/// # Errors
/// Fails when the request is quarantined, or when only one endpoint of its pool runs. It has not been
/// sent.
pub(super) async fn begin_trial(
    state: &Arc<GatewayState>,
    call: &Call,
    endpoint: &EndpointName,
) -> Result<TrialDecision, Refusal> {
    let Some(known) = check(state, call)? else { return Ok(TrialDecision::Proceed(None)) };
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
        Some(AnswerBody::TrialRefused(_)) => {
            state.metrics.trial("refused");
            return Err(Refusal::Unavailable { retry_after: TRIAL_RETRY_AFTER });
        }
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

/// Clears a request that an endpoint has answered, and its resource, if they were suspected.
pub(super) fn clear(state: &Arc<GatewayState>, call: &Call) {
    let Suspicions { content, resource } = suspicions(state, call);
    if content.is_some() {
        clear_digest(state, call, call.digest());
    }
    if resource.is_some() {
        clear_digest(state, call, call.resource());
    }
}

fn clear_digest(state: &Arc<GatewayState>, call: &Call, digest: RequestDigest) {
    // Others of many answers at a busy resource need not clear it again.
    if !state.suspects.table().begin_clear(&digest) {
        return;
    }
    let (state, request) = (Arc::clone(state), call.head.id.clone());
    tokio::spawn(async move {
        let clear = ClearSuspect { digest: Bytes::copy_from_slice(&digest), now_ms: 0 };
        let answer = state.suspects.ask(CommandBody::ClearSuspect(clear), PROGRAM_LIMITS).await;
        state.suspects.table().end_clear(&digest);
        if answer.is_none() {
            slog::info!(state.log, "suspected request not cleared, no store leads";
                "request" => %request);
        }
    });
}

/// Reports that an endpoint ended while it ran a request. Returns once the control group has
/// recorded it, or after several attempts.
pub(super) async fn report_crash(state: &GatewayState, run: Run, ended: &Incarnation) {
    state.suspects.table().record_crash(state.clock.now(), run.digest);
    for _ in 0..REPORT_ATTEMPTS {
        let crash = Crash {
            endpoint: ended.name.to_string(),
            incarnation: ended.number,
            digest: Bytes::copy_from_slice(&run.digest),
            resource: Bytes::copy_from_slice(&run.resource),
            ran_ms: run.began.elapsed().as_millis() as u64,
            now_ms: 0,
        };
        let body = CommandBody::Crash(crash);
        if let Some(AnswerBody::Suspect(known)) = state.suspects.ask(body, PROGRAM_LIMITS).await {
            state.suspects.table().reported(state.clock.now(), &known);
            return;
        }
    }
    slog::warn!(state.log, "crash not reported, no store leads the control group";
        "endpoint" => %ended.name, "digest" => hex::encode(run.digest));
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
