//! Reports on requests that crash endpoints, and trials of such requests.

use gypsumglade_core::control::suspects::{RequestDigest, read_digest};
use gypsumglade_core::control::{Control, SPARE_TIME, Spare, TrialRequest, Trials};
use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::LeaderClock;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::{
    Answer, BeginTrial, ClearSuspect, Command, Crash, EndTrial, Registered, TrialGranted,
    TrialPending, TrialRefused,
};
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;

use super::{ControlGroup, ControlState, Role, not_leader};
use crate::clock::Clock;

/// Longest time for which a trial may last.
const MAX_TRIAL: Duration = Duration::from_secs(300);

/// A leader's trials and its clock for the times of suspected requests.
pub(super) struct TrialState {
    running: Trials,
    clock: LeaderClock,
}

impl TrialState {
    /// Starts without trials and with the group's time `group`.
    pub(super) fn start(group: Option<u64>, now: Time) -> TrialState {
        let clock = LeaderClock::start(group, Clock::wall_millis(), now);
        TrialState { running: Trials::default(), clock }
    }

    /// Returns the group's time, in milliseconds.
    pub(super) fn millis(&self, now: Time) -> u64 {
        self.clock.millis(now)
    }
}

impl ControlGroup {
    /// Records that an endpoint ended while it ran a request.
    ///
    /// The answer comes after the commit, so that what is known of the request survives this store.
    pub(super) async fn report_crash(&self, mut crash: Crash) -> ReplyBody {
        let Some(now_ms) = self.suspect_time() else { return self.redirect(None) };
        crash.now_ms = now_ms;
        let now = self.context.clock.now();
        self.state().trials.running.record_end(now, &crash.endpoint, crash.incarnation);
        slog::info!(self.context.log, "endpoint ended while it ran a request";
            "endpoint" => &crash.endpoint, "incarnation" => crash.incarnation,
            "digest" => hex::encode(&crash.digest));
        let reply = self.command(Command { body: Some(CommandBody::Crash(crash)) }).await;
        if let ReplyBody::Answer(Answer { body: Some(AnswerBody::Suspect(suspect)) }) = &reply
            && suspect.quarantine_ms > 0
        {
            slog::warn!(self.context.log, "request is quarantined";
                "digest" => hex::encode(&suspect.digest), "crashes" => suspect.crashes,
                "quarantine_ms" => suspect.quarantine_ms);
        }
        reply
    }

    /// Records that an endpoint answered a suspected request.
    pub(super) async fn clear_suspect(&self, mut clear: ClearSuspect) -> ReplyBody {
        let Some(now_ms) = self.suspect_time() else { return self.redirect(None) };
        clear.now_ms = now_ms;
        self.command(Command { body: Some(CommandBody::ClearSuspect(clear)) }).await
    }

    /// Decides whether a suspected request may run now.
    pub(super) async fn begin_trial(&self, begin: &BeginTrial) -> ReplyBody {
        let Some(digest) = read_digest(&begin.digest) else { return not_leader(None) };
        let (body, term) = {
            let mut state = self.state();
            let term = match &state.role {
                Role::Follower(leader) => return self.redirect(*leader),
                Role::Leader { term, .. } => *term,
            };
            (self.decide_trial(&mut state, digest, begin), term)
        };
        if self.context.host.lease_term(GroupId::CONTROL).await != Some(term) {
            return not_leader(None);
        }
        ReplyBody::Answer(Answer { body: Some(body) })
    }

    fn decide_trial(
        &self,
        state: &mut ControlState,
        digest: RequestDigest,
        begin: &BeginTrial,
    ) -> AnswerBody {
        let now = self.context.clock.now();
        let ControlState { control, trials, .. } = state;
        let millis = trials.millis(now);
        let status = control.suspects().status(millis, &digest);
        if status.quarantine_ms > 0 {
            return AnswerBody::Suspect(status);
        }
        let since = control.suspects().since_crash(millis, &digest);
        let spare = match since.is_none_or(|since| since < SPARE_TIME) {
            true => spare(control, &trials.running, &begin.endpoint),
            false => Spare::Free,
        };
        match spare {
            Spare::Free => {}
            Spare::Busy => return AnswerBody::TrialPending(TrialPending {}),
            Spare::Last => return AnswerBody::TrialRefused(TrialRefused {}),
        }
        let request = TrialRequest {
            digest,
            crashes: status.crashes.max(begin.crashes),
            endpoint: begin.endpoint.to_compact_string(),
            id: begin.trial,
            lasts: Duration::from_millis(begin.lasts_ms).min(MAX_TRIAL),
        };
        match trials.running.begin(now, request) {
            true => AnswerBody::TrialGranted(TrialGranted {}),
            false => AnswerBody::TrialPending(TrialPending {}),
        }
    }

    /// Ends a trial whose request neither crashed its endpoint nor was answered.
    pub(super) fn end_trial(&self, end: &EndTrial) -> ReplyBody {
        let mut state = self.state();
        if let Role::Follower(leader) = state.role {
            return self.redirect(leader);
        }
        if let Some(digest) = read_digest(&end.digest) {
            state.trials.running.end(&digest, end.trial);
        }
        ReplyBody::Answer(Answer { body: Some(AnswerBody::Registered(Registered {})) })
    }

    /// Returns the group's time for a report, or `None` on a store that doesn't lead.
    fn suspect_time(&self) -> Option<u64> {
        let now = self.context.clock.now();
        let state = self.state();
        matches!(state.role, Role::Leader { .. }).then(|| state.trials.millis(now))
    }
}

/// Returns whether the endpoint's pool has one to spare for a suspected request. An endpoint that is
/// not registered may be alone in its pool, which isn't known.
fn spare(control: &Control, trials: &Trials, endpoint: &str) -> Spare {
    let endpoints = control.endpoints();
    let Some(chosen) = endpoints.get(endpoint) else { return Spare::Free };
    let pool = endpoints.iter().filter(|record| record.pool == chosen.pool && !record.leaving);
    trials.spare(endpoint, pool.map(|record| (record.name.as_str(), record.incarnation)))
}
