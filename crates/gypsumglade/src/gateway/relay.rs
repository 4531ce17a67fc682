//! Relays an endpoint's event stream to a caller.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::stream::{Completed, EventScanner};
use http::StatusCode;
use http_body::Frame;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::attempt::{Attempts, EndpointAnswer, send_until_answered};
use super::broken_attempt::{self, CrashReport};
use super::call::{Call, IncompleteBody};
use super::connections::Connection;
use super::dialect::AnswerHead;
use super::placement::{ActiveDispatch, record_first_event, record_speed, speed_estimate};
use super::settlement::{
    CompletedTurn, Reservation, SettleTimes, TurnUsage, settle_completed, settle_in_background,
};
use super::state::GatewayState;
use super::suspects;

/// A frame of the answer's body, or the error that cuts it off.
pub(super) type RelayFrame = Result<Frame<Bytes>, IncompleteBody>;

/// The endpoint's answer from which events are read.
pub(super) struct Source {
    body: Incoming,
    dispatch: ActiveDispatch,
    connection: Connection,
    head: AnswerHead,
}

impl Source {
    /// Wraps an answer whose head has been read.
    pub(super) fn new(
        body: Incoming,
        dispatch: ActiveDispatch,
        connection: Connection,
        head: AnswerHead,
    ) -> Source {
        Source { body, dispatch, connection, head }
    }
}

/// How forwarding a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The endpoint sent the complete stream.
    Whole,
    /// The endpoint's answer ended early.
    Broken,
    /// The caller disconnected, or its deadline passed.
    Abandoned,
}

/// How waiting for a stream's settlement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SettlementEnd {
    /// Nothing to wait for: the settlement is durable, not needed, or continues in the background.
    Durable,
    /// The settlement was not durable by the caller's deadline.
    Late,
    /// The caller disconnected first.
    Alone,
}

/// A stream in progress from an endpoint to a caller.
pub(super) struct Relay {
    state: Arc<GatewayState>,
    call: Arc<Call>,
    body: Bytes,
    source: Option<Source>,
    scanner: EventScanner,
    /// Complete events that have been read but not forwarded.
    pending: Bytes,
    events: u64,
    pub(super) attempts: Attempts,
    pub(super) reservation: Option<Reservation>,
    /// Engine that the turn group's leader assigned, for logs.
    pub(super) assigned: Option<EndpointName>,
    pub(super) timeline: Timeline,
}

/// Time from the arrival of a request to each step, for logs and speed estimates.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timeline {
    /// The turn's tokens were reserved.
    pub(super) reserved: Duration,
    /// The first event arrived.
    pub(super) first: Duration,
}

impl Relay {
    /// Creates a relay that starts with `source`; `body` is sent again if the stream resumes elsewhere.
    /// `attempts` are all that were made for the request, that of `source` included.
    pub(super) fn new(
        state: Arc<GatewayState>,
        call: Arc<Call>,
        body: Bytes,
        source: Source,
        attempts: Attempts,
    ) -> Relay {
        Relay {
            state,
            call,
            body,
            source: Some(source),
            scanner: EventScanner::default(),
            pending: Bytes::new(),
            events: 0,
            attempts,
            reservation: None,
            assigned: None,
            timeline: Timeline::default(),
        }
    }

    /// Reads up to the end of the first event. Returns false if the endpoint's answer ends early.
    pub(super) async fn read_first_event(&mut self) -> bool {
        while self.pending.is_empty() {
            match self.next_chunk().await {
                Some(Ok(completed)) => {
                    self.pending = completed.bytes;
                    self.events += completed.events;
                }
                // A complete stream may have no events.
                None => return true,
                Some(Err(IncompleteBody)) => return false,
            }
        }
        true
    }

    /// Forwards the stream until it ends, resuming it at other endpoints if needed, then settles it.
    pub(super) async fn run(mut self, caller: mpsc::Sender<RelayFrame>) {
        let mut end = self.forward_events(&caller).await;
        while end == StreamEnd::Broken && self.resume().await {
            end = self.forward_events(&caller).await;
        }
        self.finish(end, &caller).await;
    }

    async fn forward_events(&mut self, caller: &mpsc::Sender<RelayFrame>) -> StreamEnd {
        loop {
            let pending = std::mem::take(&mut self.pending);
            if !pending.is_empty() && !self.send_to_caller(pending, caller).await {
                return StreamEnd::Abandoned;
            }
            let left = self.call.time_left();
            if left.is_zero() {
                return StreamEnd::Abandoned;
            }
            let chunk = tokio::select! {
                chunk = self.next_chunk() => chunk,
                // Stops the engine's work when the caller has disconnected.
                () = caller.closed() => return StreamEnd::Abandoned,
                () = tokio::time::sleep(left) => return StreamEnd::Abandoned,
            };
            match chunk {
                Some(Ok(completed)) => {
                    self.pending = completed.bytes;
                    self.events += completed.events;
                }
                Some(Err(IncompleteBody)) => return StreamEnd::Broken,
                None if self.scanner.has_partial() => return StreamEnd::Broken,
                None => return StreamEnd::Whole,
            }
        }
    }

    async fn send_to_caller(&self, bytes: Bytes, caller: &mpsc::Sender<RelayFrame>) -> bool {
        let left = self.call.time_left();
        let sending = caller.send(Ok(Frame::data(bytes)));
        matches!(tokio::time::timeout(left, sending).await, Ok(Ok(())))
    }

    /// Reads the next chunk and returns the events that it completes, or `None` at the end of the answer.
    async fn next_chunk(&mut self) -> Option<Result<Completed, IncompleteBody>> {
        let source = self.source.as_mut()?;
        if self.scanner.is_too_large() {
            slog::warn!(self.state.log, "stream or event too large, the endpoint is given up";
                "request" => %self.call.head.id, "route" => %self.call.route.name,
                "endpoint" => %source.dispatch.name);
            return Some(Err(IncompleteBody));
        }
        let frame = match source.body.frame().await? {
            Ok(frame) => frame,
            Err(_) => return Some(Err(IncompleteBody)),
        };
        let Ok(data) = frame.into_data() else { return Some(Ok(Completed::default())) };
        let before = self.scanner.last_id();
        let completed = self.scanner.feed(&data);
        if before.is_none() && completed.events > 0 {
            source.dispatch.prefilled();
            record_first_event(&self.state, &self.call, &source.dispatch);
        }
        Some(Ok(completed))
    }

    /// Resumes the stream at another endpoint, after the last event that the caller has. Returns false
    /// if that is not possible.
    async fn resume(&mut self) -> bool {
        let resumable = self.call.stream().is_some_and(|stream| stream.resumable);
        let broken = self.record_break();
        if !resumable || !self.attempts.may_retry(&self.call) {
            return false;
        }
        if let Some(report) = broken {
            report.finish().await;
        }
        self.scanner.drop_partial();
        let after = self.scanner.last_id().or(self.call.head.last_event);
        let (state, call) = (Arc::clone(&self.state), Arc::clone(&self.call));
        let answer =
            send_until_answered(&state, &call, &self.body, after, &mut self.attempts).await;
        let Ok(EndpointAnswer { response, head, connection, dispatch }) = answer else {
            return false;
        };
        self.attempts.runs += 1;
        if response.status() != StatusCode::OK {
            return false;
        }
        self.source = Some(Source::new(response.into_body(), dispatch, connection, head));
        true
    }

    /// Ends the current attempt, which the endpoint broke off.
    pub(super) fn record_break(&mut self) -> Option<CrashReport> {
        let source = self.source.take()?;
        Some(broken_attempt::record(&self.state, &self.call, source.dispatch))
    }

    /// Updates the pool's decode speed from the stream.
    fn observe_speed(&self, source: &Source, last: Duration) {
        let Some(events) = u32::try_from(self.events).ok().filter(|events| *events > 1) else {
            return;
        };
        let gap = last.saturating_sub(self.timeline.first) / (events - 1);
        let load = source.head.load.unwrap_or_default();
        record_speed(&self.state, &self.call, &source.dispatch, gap, load);
    }

    async fn finish(mut self, end: StreamEnd, caller: &mpsc::Sender<RelayFrame>) {
        let tokens = self.events * self.call.event_tokens();
        let last = self.call.arrived.elapsed();
        if let Some(source) = &self.source {
            self.observe_speed(source, last);
        }
        let endpoint = self.attempts.tried.last().cloned();
        let usage = TurnUsage { tokens, endpoint: endpoint.clone().filter(|_| self.events > 0) };
        let uncached = self.source.as_ref().map(|source| source.dispatch.uncached);
        if let Some(source) = self.source.take() {
            release(&self.state, &self.call, source, end);
        }
        let output = self.scanner.into_data();
        let mut times = SettleTimes::default();
        let settled = match (self.reservation.take(), end) {
            (None, _) => SettlementEnd::Durable,
            (Some(reservation), StreamEnd::Whole) => {
                let completed = CompletedTurn { sent: &self.body, output: &output };
                let settling = settle_completed(
                    &self.state,
                    &self.call,
                    &reservation,
                    &usage,
                    completed,
                    &mut times,
                );
                let settled = tokio::select! {
                    durable = settling => if durable { SettlementEnd::Durable } else { SettlementEnd::Late },
                    () = caller.closed() => SettlementEnd::Alone,
                };
                if settled != SettlementEnd::Durable {
                    settle_in_background(&self.state, &reservation, &usage);
                }
                settled
            }
            (Some(reservation), StreamEnd::Broken | StreamEnd::Abandoned) => {
                settle_in_background(&self.state, &reservation, &usage);
                SettlementEnd::Durable
            }
        };
        let estimate = speed_estimate(&self.state, &self.call);
        slog::info!(self.state.log, "stream ended"; "request" => %self.call.head.id,
            "organisation" => self.call.organisation(), "program" => self.call.program(), "session" => self.call.session(),
            "route" => %self.call.route.name, "end" => ?end, "events" => self.events,
            "finish_ms" => self.call.finish_within().map(|finish| finish.as_millis() as u64),
            "prompt" => self.call.head.prompt_tokens, "unread" => uncached,
            "token_us" => micros(estimate.decode.map(|cost| cost.base)),
            "slope_us" => micros(estimate.decode.map(|cost| cost.slope)),
            "fill_us" => micros(estimate.prefill),
            "settled" => settled == SettlementEnd::Durable, "settlement" => ?settled,
            "put_ms" => times.put.as_millis() as u64,
            "settle_ms" => times.settle.as_millis() as u64, "runs" => self.attempts.runs, "endpoint" => endpoint.as_deref(),
            "assigned" => self.assigned.as_deref(),
            "reserved_ms" => self.timeline.reserved.as_millis() as u64,
            "first_ms" => self.timeline.first.as_millis() as u64,
            "last_ms" => last.as_millis() as u64,
            "ms" => self.call.arrived.elapsed().as_millis() as u64);
        if end != StreamEnd::Whole || settled != SettlementEnd::Durable {
            abort_answer(caller).await;
        }
    }
}

/// Closes the caller's connection in the middle of the answer, so that the answer can't be taken for a
/// complete one.
///
/// Waits first until earlier events are flushed, since a caller may resume after the last event that
/// it received.
async fn abort_answer(caller: &mpsc::Sender<RelayFrame>) {
    let flushed = async {
        while caller.capacity() < caller.max_capacity() {
            tokio::time::sleep(FLUSH_INTERVAL).await;
        }
        tokio::time::sleep(FLUSH_INTERVAL).await;
    };
    // A caller that reads too slowly or has disconnected is not waited for.
    let _ = tokio::time::timeout(FLUSH_TIMEOUT, flushed).await;
    let _ = caller.send(Err(IncompleteBody)).await;
}

/// How often to check whether the caller's connection has taken all events.
const FLUSH_INTERVAL: Duration = Duration::from_millis(2);
/// Time limit for flushing events before the connection is closed. A caller that reads at all takes
/// them in less than a round trip.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(60);

/// Converts seconds to microseconds.
fn micros(seconds: Option<f64>) -> Option<f64> {
    seconds.map(|seconds| seconds * 1e6)
}

/// Ends the dispatch and returns its connection to the pool if the answer was complete.
fn release(state: &Arc<GatewayState>, call: &Call, source: Source, end: StreamEnd) {
    let Source { dispatch, connection, head, .. } = source;
    match end {
        StreamEnd::Whole => {
            dispatch.finished();
            suspects::clear(state, call);
            state.connections.put_back(connection, &head);
        }
        StreamEnd::Broken => dispatch.failed(),
        // Dropping the dispatch cancels it, and closing the connection stops the endpoint's work.
        StreamEnd::Abandoned => {}
    }
}
