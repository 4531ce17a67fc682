//! Generation of one answer: prefill, then decoding, independent of its readers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::cache::Part;
use super::chat::{PromptDetails, Usage, answer_part};
use super::slots::Slot;
use super::state::Shared;
use super::stats::RunState;
use crate::announce::ModelVersion;

/// Resolution of the runtime's timer. Shorter waits are skipped, and a later one makes up for them.
const TIMER_STEP: Duration = Duration::from_millis(1);
/// Time from the start of a call with the crash marker to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(5);

/// A generation that runs, or has ended and can still be resumed by a reader.
pub(super) struct Run {
    pub(super) dispatch: CompactString,
    pub(super) program: CompactString,
    pub(super) model: ModelVersion,
    pub(super) parts: Vec<Part>,
    pub(super) tokens: Vec<CompactString>,
    pub(super) cached_tokens: u64,
    /// Whether the caller's token limit shortens the answer.
    pub(super) truncated: bool,
    pub(super) crash: bool,
    pub(super) cancel: CancellationToken,
    pub(super) progress: watch::Sender<Progress>,
    pub(super) readers: AtomicUsize,
}

/// Progress of a generation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    pub(super) emitted: usize,
    pub(super) state: RunState,
}

impl Run {
    pub(super) fn usage(&self, emitted: usize) -> Usage {
        let prompt_tokens = self.parts.iter().map(|p| p.tokens).sum();
        let completion_tokens = emitted as u64;
        Usage {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
            prompt_tokens_details: PromptDetails { cached_tokens: self.cached_tokens },
        }
    }

    pub(super) fn finish_reason(&self) -> &'static str {
        if self.truncated { "length" } else { "stop" }
    }
}

/// Counts as a reader of a run until it is dropped. A run without readers is cancelled after a
/// while.
pub(super) struct Reader {
    pub(super) run: Arc<Run>,
}

impl Reader {
    pub(super) fn new(run: Arc<Run>) -> Reader {
        run.readers.fetch_add(1, Ordering::Relaxed);
        Reader { run }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.run.readers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs a generation, frees its slot and forgets the run once it can't be resumed any more.
pub(super) async fn generate(shared: Arc<Shared>, run: Arc<Run>, slot: Slot) {
    let state = tokio::select! {
        state = produce(&shared, &run) => state,
        () = run.cancel.cancelled() => RunState::Cancelled,
        () = shared.process.shutdown.cancelled() => return,
    };
    finish(&shared, &run, state);
    drop(slot);
    tokio::time::sleep(Duration::from_millis(shared.settings.resume_ms)).await;
    let mut inner = shared.lock();
    let current = inner.runs.get(&run.dispatch);
    if current.is_some_and(|r| Arc::ptr_eq(r, &run)) {
        inner.runs.remove(&run.dispatch);
    }
}

async fn produce(shared: &Shared, run: &Run) -> RunState {
    if run.crash {
        tokio::time::sleep(CRASH_DELAY).await;
        shared.process.shutdown.cancel();
        // Never returns, so that the caller doesn't get an error answer either.
        std::future::pending().await
    }
    let prompt: u64 = run.parts.iter().map(|p| p.tokens).sum();
    let uncached = prompt.saturating_sub(run.cached_tokens);
    tokio::time::sleep(time_for(uncached, shared.settings.prefill_rate)).await;
    let mut start = Instant::now();
    let mut unread_since = None;
    for emitted in 1..=run.tokens.len() {
        let due = start + time_for(emitted as u64, shared.settings.decode_rate);
        if due.saturating_duration_since(Instant::now()) >= TIMER_STEP {
            tokio::time::sleep_until(due).await;
        }
        let paused = Instant::now();
        shared.process.wait_while_frozen().await;
        start += paused.elapsed();
        if abandoned(shared, run, &mut unread_since) {
            return RunState::Cancelled;
        }
        run.progress.send_modify(|p| p.emitted = emitted);
    }
    RunState::Finished
}

/// Tells whether the run has had no reader for longer than it can be resumed.
fn abandoned(shared: &Shared, run: &Run, unread_since: &mut Option<Instant>) -> bool {
    if run.readers.load(Ordering::Relaxed) > 0 {
        *unread_since = None;
        return false;
    }
    let since = unread_since.get_or_insert_with(Instant::now);
    since.elapsed() >= Duration::from_millis(shared.settings.resume_ms)
}

fn time_for(tokens: u64, rate: u64) -> Duration {
    Duration::from_secs_f64(tokens as f64 / rate.max(1) as f64)
}

/// Updates the prefix cache and the statistics, then notifies the readers.
///
/// In this order, statistics that are read after an answer include it.
fn finish(shared: &Shared, run: &Run, state: RunState) {
    let emitted = run.progress.borrow().emitted;
    {
        let mut inner = shared.lock();
        inner.history.end(&run.dispatch, state, emitted as u64);
        match state {
            RunState::Finished => inner.counts.finished += 1,
            RunState::Cancelled | RunState::Running => inner.counts.cancelled += 1,
        }
        if !run.program.is_empty() {
            let mut parts = run.parts.clone();
            if state == RunState::Finished {
                parts.push(answer_part(&run.tokens.join(" ")));
            }
            inner.store(&run.program, run.model.clone(), parts);
        }
    }
    run.progress.send_modify(|p| p.state = state);
}
