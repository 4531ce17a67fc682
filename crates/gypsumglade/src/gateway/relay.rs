//! Passes an endpoint's events on to a caller as they come.

use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::stream::{Completed, EventScanner};
use http::StatusCode;
use http_body::Frame;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::call::{BrokenOff, Call};
use super::channels::Channel;
use super::dialect::AnswerHead;
use super::opening::{Attempts, Opened, open};
use super::placing::{Flight, learnt, note_first, note_speed};
use super::settlement::{Ended, Reservation, Used, Waits, settle_later, settle_whole};
use super::state::GatewayState;

/// A piece of a caller's answer.
pub(super) type RelayFrame = Result<Frame<Bytes>, BrokenOff>;

/// Where events come from.
pub(super) struct Source {
    body: Incoming,
    flight: Flight,
    channel: Channel,
    head: AnswerHead,
}

impl Source {
    /// Wraps an endpoint's answer whose head has been read.
    pub(super) fn new(
        body: Incoming,
        flight: Flight,
        channel: Channel,
        head: AnswerHead,
    ) -> Source {
        Source { body, flight, channel, head }
    }
}

/// How the endpoint's part of a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The endpoint sent all of it.
    Whole,
    /// It broke off.
    Broken,
    /// The caller went away, or its time is over.
    Abandoned,
}

/// How a stream's settlement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Settled {
    /// Nothing of it is left to wait for.
    Durable,
    /// The caller's time was over before.
    Late,
    /// The caller left before.
    Alone,
}

/// A stream on its way from an endpoint to a caller.
pub(super) struct Relay {
    state: Arc<GatewayState>,
    call: Arc<Call>,
    body: Bytes,
    source: Option<Source>,
    scanner: EventScanner,
    /// Read from the endpoint and not passed on yet.
    ready: Bytes,
    events: u64,
    attempts: Attempts,
    pub(super) reservation: Option<Reservation>,
    pub(super) timeline: Timeline,
}

/// When a stream reached its steps, counted from its arrival.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timeline {
    /// Leave to run was given.
    pub(super) reserved: Duration,
    /// The first event came.
    pub(super) first: Duration,
}

impl Relay {
    /// Starts with an endpoint's answer.
    pub(super) fn new(
        state: Arc<GatewayState>,
        call: Arc<Call>,
        body: Bytes,
        source: Source,
    ) -> Relay {
        let attempts = Attempts { tried: vec![source.flight.name.clone()], runs: 1 };
        Relay {
            state,
            call,
            body,
            source: Some(source),
            scanner: EventScanner::default(),
            ready: Bytes::new(),
            events: 0,
            attempts,
            reservation: None,
            timeline: Timeline::default(),
        }
    }

    /// Reads up to the end of the first event; false if the endpoint broke off before it.
    pub(super) async fn read_first(&mut self) -> bool {
        while self.ready.is_empty() {
            match self.next_piece().await {
                Some(Ok(completed)) => {
                    self.ready = completed.bytes;
                    self.events += completed.events;
                }
                // A stream without an event is whole too.
                None => return true,
                Some(Err(BrokenOff)) => return false,
            }
        }
        true
    }

    /// Passes the stream on until it ends, then settles.
    pub(super) async fn run(mut self, caller: mpsc::Sender<RelayFrame>) {
        let mut end = self.pump(&caller).await;
        while end == End::Broken && self.resume().await {
            end = self.pump(&caller).await;
        }
        self.finish(end, &caller).await;
    }

    async fn pump(&mut self, caller: &mpsc::Sender<RelayFrame>) -> End {
        loop {
            let ready = std::mem::take(&mut self.ready);
            if !ready.is_empty() && !self.pass(ready, caller).await {
                return End::Abandoned;
            }
            let left = self.call.left();
            let piece = tokio::select! {
                piece = self.next_piece() => piece,
                // A caller that left must not keep an engine at work.
                () = caller.closed() => return End::Abandoned,
                () = tokio::time::sleep(left) => return End::Abandoned,
            };
            match piece {
                Some(Ok(completed)) => {
                    self.ready = completed.bytes;
                    self.events += completed.events;
                }
                Some(Err(BrokenOff)) => return End::Broken,
                None if self.scanner.has_partial() => return End::Broken,
                None => return End::Whole,
            }
        }
    }

    async fn pass(&self, bytes: Bytes, caller: &mpsc::Sender<RelayFrame>) -> bool {
        let left = self.call.left();
        let sending = caller.send(Ok(Frame::data(bytes)));
        matches!(tokio::time::timeout(left, sending).await, Ok(Ok(())))
    }

    /// Reads the next piece; nothing at the end of the endpoint's answer.
    async fn next_piece(&mut self) -> Option<Result<Completed, BrokenOff>> {
        let source = self.source.as_mut()?;
        let frame = match source.body.frame().await? {
            Ok(frame) => frame,
            Err(_) => return Some(Err(BrokenOff)),
        };
        let Ok(data) = frame.into_data() else { return Some(Ok(Completed::default())) };
        let before = self.scanner.last_id();
        let completed = self.scanner.feed(&data);
        if before.is_none() && completed.events > 0 {
            source.flight.filled();
            note_first(&self.state, &self.call, &source.flight);
        }
        Some(Ok(completed))
    }

    /// Goes on at another endpoint after the last event that the caller has.
    async fn resume(&mut self) -> bool {
        let resumable = self.call.stream().is_some_and(|stream| stream.resumable);
        if let Some(source) = self.source.take() {
            source.flight.failed();
        }
        if !resumable || !self.attempts.may_repeat(&self.call) {
            return false;
        }
        self.scanner.drop_partial();
        let after = self.scanner.last_id().or(self.call.head.last_event);
        let (state, call) = (Arc::clone(&self.state), Arc::clone(&self.call));
        let opened = open(&state, &call, &self.body, after, &mut self.attempts).await;
        let Ok(Opened { response, head, channel, flight }) = opened else { return false };
        self.attempts.runs += 1;
        if response.status() != StatusCode::OK {
            return false;
        }
        self.source = Some(Source::new(response.into_body(), flight, channel, head));
        true
    }

    /// Learns from a stream how fast its engine generates.
    fn learn(&self, source: &Source, last: Duration) {
        let Some(events) = u32::try_from(self.events).ok().filter(|events| *events > 1) else {
            return;
        };
        let gap = last.saturating_sub(self.timeline.first) / (events - 1);
        let load = source.head.load.unwrap_or_default();
        note_speed(&self.state, &self.call, &source.flight, gap, load);
    }

    async fn finish(mut self, end: End, caller: &mpsc::Sender<RelayFrame>) {
        let tokens = self.events * self.call.event_tokens();
        let last = self.call.arrived.elapsed();
        if let Some(source) = &self.source {
            self.learn(source, last);
        }
        let endpoint = self.attempts.tried.last().cloned();
        let used = Used { tokens, endpoint: endpoint.clone().filter(|_| self.events > 0) };
        let unread = self.source.as_ref().map(|source| source.flight.unread);
        if let Some(source) = self.source.take() {
            release(&self.state, source, end);
        }
        let output = self.scanner.into_data();
        let mut waits = Waits::default();
        let settled = match (self.reservation.take(), end) {
            (None, _) => Settled::Durable,
            (Some(reservation), End::Whole) => {
                let ended = Ended { sent: &self.body, output: &output };
                let settling =
                    settle_whole(&self.state, &self.call, &reservation, &used, ended, &mut waits);
                let settled = tokio::select! {
                    durable = settling => if durable { Settled::Durable } else { Settled::Late },
                    () = caller.closed() => Settled::Alone,
                };
                if settled != Settled::Durable {
                    settle_later(&self.state, &reservation, &used);
                }
                settled
            }
            (Some(reservation), End::Broken | End::Abandoned) => {
                settle_later(&self.state, &reservation, &used);
                Settled::Durable
            }
        };
        let learnt = learnt(&self.state, &self.call);
        slog::info!(self.state.log, "stream ended"; "request" => %self.call.head.id,
            "program" => self.call.program(), "session" => self.call.session(),
            "route" => %self.call.route.name, "end" => ?end, "events" => self.events,
            "finish_ms" => self.call.finish().map(|finish| finish.as_millis() as u64),
            "prompt" => self.call.head.prompt_tokens, "unread" => unread,
            "token_us" => micros(learnt.cost.map(|cost| cost.base)),
            "slope_us" => micros(learnt.cost.map(|cost| cost.slope)),
            "fill_us" => micros(learnt.fill),
            "settled" => settled == Settled::Durable, "settlement" => ?settled,
            "put_ms" => waits.put.as_millis() as u64,
            "settle_ms" => waits.settle.as_millis() as u64, "runs" => self.attempts.runs, "endpoint" => endpoint.as_deref(),
            "reserved_ms" => self.timeline.reserved.as_millis() as u64,
            "first_ms" => self.timeline.first.as_millis() as u64,
            "last_ms" => last.as_millis() as u64,
            "ms" => self.call.arrived.elapsed().as_millis() as u64);
        if end != End::Whole || settled != Settled::Durable {
            break_off(caller).await;
        }
    }
}

/// Ends a caller's answer in a way that can't be taken for its end.
///
/// What was passed on before is flushed first: the connection is cut at the break, and a caller that
/// may take its stream up again would lose the events that it had not been sent.
async fn break_off(caller: &mpsc::Sender<RelayFrame>) {
    let flushed = async {
        while caller.capacity() < caller.max_capacity() {
            tokio::time::sleep(FLUSH_PAUSE).await;
        }
        tokio::time::sleep(FLUSH_PAUSE).await;
    };
    // A caller that reads too slowly, or has gone, is cut all the same.
    let _ = tokio::time::timeout(FLUSH_WAIT, flushed).await;
    let _ = caller.send(Err(BrokenOff)).await;
}

/// Pause between two looks whether a caller's connection has taken all events.
const FLUSH_PAUSE: Duration = Duration::from_millis(2);
/// Longest wait for that: a caller that reads at all takes them in less than a round trip.
const FLUSH_WAIT: Duration = Duration::from_millis(60);

/// Returns seconds as microseconds, for logs.
fn micros(seconds: Option<f64>) -> Option<f64> {
    seconds.map(|seconds| seconds * 1e6)
}

/// Ends the attempt at an endpoint, and keeps its connection if the answer was whole.
fn release(state: &GatewayState, source: Source, end: End) {
    let Source { flight, channel, head, .. } = source;
    match end {
        End::Whole => {
            flight.finished();
            state.channels.keep(channel, &head);
        }
        End::Broken => flight.failed(),
        // Dropped: counted out without a verdict, and the connection is closed, which stops the
        // endpoint's work.
        End::Abandoned => {}
    }
}
