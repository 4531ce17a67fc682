//! Follows a dispatch that was sent to an engine until its outcome is recorded.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt as _;
use gypsumglade_core::policy::admission::Signal;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::Outcome;
use gypsumglade_core::wire::program::{Grant, Usage};
use http::{HeaderValue, Response};
use hyper::body::Incoming;
use serde_json::Value;

use super::answer::{AnswerBuilder, ChunkAction, usage_of};
use super::endpoint_client::{Dispatch, RESUME_HEADER, SendError, read_body};
use super::problem::{Problem, ProblemKind};
use super::sse::{EngineEvent, EngineEvents, engine_events};
use super::state::{DispatchEnd, EntryState, PlacedCall};
use super::turn_call::{BYTES_PER_TOKEN, TurnCall, time_left};
use super::turn_settlement::{
    outcome, partial_usage, settle_dispatch, settle_not_run, settle_or_log,
};
use super::waiting_caller::Caller;
use crate::clock::Clock;
use crate::metrics::CacheUse;

/// Result of one attempt under a grant.
pub(super) enum Attempt {
    /// The engine finished and the answer is recorded.
    Complete(Value),
    /// The engine was lost and the grant is settled; the call may be retried under a new grant.
    Retry(Problem),
    /// The call failed and is not retried.
    Failed(Problem),
}

/// A dispatch that was sent to an engine and may be running there.
pub(super) struct RunningDispatch<'a> {
    pub(super) state: &'a Arc<EntryState>,
    pub(super) call: &'a TurnCall,
    pub(super) grant: &'a Grant,
    pub(super) placed: &'a PlacedCall,
    pub(super) dispatch: &'a Dispatch,
}

impl RunningDispatch<'_> {
    /// Reads an unstreamed answer and records it.
    pub(super) async fn receive_answer(
        &self,
        response: Response<Incoming>,
        caller: &Caller,
    ) -> Attempt {
        let status = response.status();
        let no_output = AnswerBuilder::default();
        let read = tokio::select! {
            () = caller.abandoned() => return self.call_abandoned(&no_output).await,
            read = with_time_limit(self.state, self.call, read_body(response)) => read,
        };
        let body = match read {
            Ok(body) => body,
            Err(error) => return self.engine_lost(error, &no_output).await,
        };
        self.state.release_call(self.placed, DispatchEnd::Finished);
        let answer: Value = match serde_json::from_slice(&body) {
            Ok(answer) if status.is_success() => answer,
            _ => return self.refused(status.as_u16(), &body).await,
        };
        self.record(answer).await
    }

    /// Passes an engine's error response on to the caller, such as for a context that is too long.
    async fn refused(&self, status: u16, body: &[u8]) -> Attempt {
        let shown: String = String::from_utf8_lossy(body).chars().take(300).collect();
        let problem = Problem::not_run(
            ProblemKind::BadRequest,
            format!("the engine answered {status}: {shown}"),
        );
        settle_not_run(self.state, self.call, self.grant, problem).await
    }

    /// Forwards a streamed answer to the caller and records it. Resumes a broken stream once.
    pub(super) async fn receive_stream(
        &self,
        mut events: EngineEvents,
        caller: &Caller,
        builder: &mut AnswerBuilder,
    ) -> Attempt {
        let started = self.state.clock.now();
        let mut resumed = false;
        loop {
            let next = tokio::select! {
                () = caller.abandoned() => return self.call_abandoned(builder).await,
                next = with_time_limit(self.state, self.call, next_event(&mut events)) => next,
            };
            match next {
                Ok(EngineEvent::Chunk(chunk)) => {
                    let first = builder.tokens() == 0;
                    let passed = builder.push_chunk(chunk);
                    if first && builder.tokens() == 1 {
                        self.record_first_token(started);
                    }
                    match passed {
                        ChunkAction::Forward(chunk) => caller.forward(&chunk).await,
                        ChunkAction::Hold => {}
                        ChunkAction::Diverged => return self.diverged().await,
                    }
                }
                Ok(EngineEvent::End) => break,
                Err(SendError::Broken) if !resumed => {
                    resumed = true;
                    match self.resume(builder.tokens()).await {
                        Some(resumed_events) => events = resumed_events,
                        None => return self.engine_lost(SendError::Broken, builder).await,
                    }
                }
                Err(error) => return self.engine_lost(error, builder).await,
            }
        }
        self.state.release_call(self.placed, DispatchEnd::Finished);
        match builder.complete(&self.grant.dispatch, Clock::wall_millis() / 1_000) {
            Some(answer) => self.record(answer).await,
            None => {
                // A stream that ends without a finish reason is incomplete.
                self.settle_lost(SendError::Mismatched, builder).await
            }
        }
    }

    fn record_first_token(&self, started: Time) {
        let seconds = self.state.clock.now().since(started).as_secs_f64();
        self.state.metrics.first_token(seconds, &self.call.model.name);
        self.state.prefill_finished(self.placed);
    }

    /// Resumes a stream on the same engine after the last token received.
    async fn resume(&self, tokens: u64) -> Option<EngineEvents> {
        self.state.metrics.retry("resume");
        let mut dispatch = self.dispatch.clone();
        dispatch.headers.push((RESUME_HEADER, HeaderValue::from(tokens)));
        let response = self.state.endpoints.send(&dispatch).await.ok()?;
        response.status().is_success().then(|| engine_events(response))
    }

    /// Handles an engine that failed or timed out.
    pub(super) async fn engine_lost(&self, error: SendError, builder: &AnswerBuilder) -> Attempt {
        self.state.release_call(self.placed, DispatchEnd::Failed);
        if error == SendError::TimedOut {
            self.cancel().await;
        }
        self.settle_lost(error, builder).await
    }

    /// Settles a dispatch whose engine was lost, and retries unless the deadline has passed.
    ///
    /// The group counts a broken connection as a crash that the request may have caused. The next
    /// grant may then ask for an isolated engine or be refused, so that one request can't crash
    /// engine after engine.
    async fn settle_lost(&self, error: SendError, builder: &AnswerBuilder) -> Attempt {
        let RunningDispatch { state, call, grant, placed, .. } = self;
        slog::warn!(state.log, "engine lost with a call in flight";
            "program" => %call.program, "turn" => grant.turn, "dispatch" => &grant.dispatch,
            "endpoint" => %placed.name, "error" => ?error);
        let mut settle = outcome(call, grant, Outcome::Unknown, "the engine went away");
        settle.crashed = error == SendError::Broken;
        settle.endpoint = placed.name.to_string();
        settle.usage = Some(partial_usage(call, grant, builder));
        if let Err(problem) = settle_dispatch(state, call, settle).await {
            return Attempt::Failed(problem);
        }
        if time_left(state, call).is_some_and(|left| left.is_zero()) {
            let mut problem = Problem::unknown("the deadline passed while an engine ran the call");
            problem.kind = ProblemKind::Deadline;
            return Attempt::Failed(problem);
        }
        Attempt::Retry(Problem::unknown("every engine that ran the call was lost"))
    }

    /// Cancels a retry whose text differs from what the caller already has.
    async fn diverged(&self) -> Attempt {
        self.cancel().await;
        self.state.release_call(self.placed, DispatchEnd::Cancelled);
        let settle = outcome(self.call, self.grant, Outcome::Unknown, "answers diverged");
        settle_or_log(self.state, self.call, settle).await;
        Attempt::Failed(Problem::unknown(
            "the engine was lost and the retry generated a different text",
        ))
    }

    /// Handles a caller that disconnected or a program that ended: cancels the call at the engine
    /// and settles what was generated. A resend under the same key runs the call again.
    async fn call_abandoned(&self, builder: &AnswerBuilder) -> Attempt {
        self.cancel().await;
        self.state.release_call(self.placed, DispatchEnd::Cancelled);
        let mut settle = outcome(self.call, self.grant, Outcome::Unknown, "the caller went away");
        settle.usage = Some(partial_usage(self.call, self.grant, builder));
        settle.endpoint = self.placed.name.to_string();
        settle_or_log(self.state, self.call, settle).await;
        Attempt::Failed(Problem::unknown("the caller disconnected or the program ended"))
    }

    /// Cancels the dispatch at the engine.
    async fn cancel(&self) {
        let path = format!("/v1/dispatches/{}", self.dispatch.id);
        let timeout = self.state.settings.timeouts.peer();
        let cancel = self.state.endpoints.control(
            http::Method::DELETE,
            &self.placed.address,
            &path,
            Bytes::new(),
            timeout,
        );
        // Best effort: the engine also notices the closed connection.
        let _ = cancel.await;
    }

    /// Records the answer in the program group; the caller sees its end only after that.
    async fn record(&self, answer: Value) -> Attempt {
        let model = &self.call.model;
        let usage = usage_of(&answer, model.input_micros, model.output_micros);
        let mut settle = outcome(self.call, self.grant, Outcome::Done, "");
        settle.answer = Bytes::from(answer.to_string());
        settle.status = 200;
        settle.usage = Some(usage);
        settle.endpoint = self.placed.name.to_string();
        match settle_dispatch(self.state, self.call, settle).await {
            Ok(()) => {
                self.state.admission.observe(&model.name, Signal::Waited(Duration::ZERO));
                self.record_metrics(&usage);
                Attempt::Complete(answer)
            }
            Err(problem) => Attempt::Failed(problem),
        }
    }

    fn record_metrics(&self, usage: &Usage) {
        let metrics = &self.state.metrics;
        let prior = self.grant.prior / BYTES_PER_TOKEN;
        let filled = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        let fresh = usage.prompt_tokens.saturating_sub(prior);
        metrics.cache(filled, CacheUse::Filled);
        metrics.cache(usage.cached_tokens, CacheUse::Reused);
        metrics.cache(filled.saturating_sub(fresh), CacheUse::Refilled);
        let moved =
            self.grant.endpoints.first().is_some_and(|last| last.as_str() != self.placed.name);
        if moved {
            // The engine of the last turn still holds the prefix, which this call didn't reuse.
            metrics.cache(prior, CacheUse::Dropped);
        }
        if self.placed.region != self.state.place.region {
            metrics.region_link(self.dispatch.body.len() as u64, "prompt");
        }
        metrics.output(usage.output_tokens, &self.call.model.name);
        slog::debug!(self.state.log, "turn recorded";
            "program" => %self.call.program, "turn" => self.grant.turn,
            "dispatch" => &self.grant.dispatch, "endpoint" => %self.placed.name,
            "revision" => self.call.revision.0);
    }
}

async fn next_event(events: &mut EngineEvents) -> Result<EngineEvent, SendError> {
    match events.next().await {
        Some(Ok(event)) => Ok(event),
        Some(Err(_)) | None => Err(SendError::Broken),
    }
}

/// Runs a step with a timeout: the caller's deadline or the engine's silence limit, whichever is
/// earlier.
pub(super) async fn with_time_limit<T>(
    state: &EntryState,
    call: &TurnCall,
    step: impl Future<Output = Result<T, SendError>>,
) -> Result<T, SendError> {
    let silence = state.settings.timeouts.silence();
    let limit = time_left(state, call).map_or(silence, |left| left.min(silence));
    tokio::time::timeout(limit, step).await.unwrap_or(Err(SendError::TimedOut))
}
