//! State that callers and the threads share: the index and the write queue.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Text;
use tokio::sync::{oneshot, watch};

use super::index::{self, Index, Reclaim, RecordLocation, SPARSE_DIVISOR};
use super::record;
use super::segment::Scanned;
use super::{PutError, TextOptions, TextStatus};
use crate::clock::Clock;

/// Maximum bytes that are queued or being written. A longer put is accepted while the queue is empty.
pub(super) const MAX_QUEUE_BYTES: u64 = 8 * 1024 * 1024;
/// Maximum bytes of one put; keeps the offsets in a segment within 32 bits.
const MAX_PUT_BYTES: u64 = 1024 * 1024 * 1024;
/// Bytes of texts at which one sync takes no further puts; bounds its duration on a slow disk.
pub(super) const MAX_BATCH_BYTES: u64 = 1024 * 1024;
/// Maximum live bytes that one sync moves out of a sparse segment.
const MAX_MOVE_BYTES: u64 = 256 * 1024;

/// Texts of one call that are queued or being written.
#[derive(Debug)]
pub(super) struct Put {
    id: PutId,
    pub(super) texts: Vec<Text>,
    bytes: u64,
    padding: u64,
    /// When the retention of these texts ends.
    pub(super) expiry: Time,
}

/// Identifies a put until it is answered.
type PutId = u64;

/// Channel to a caller that waits for a put.
type Waiter = oneshot::Sender<Result<(), PutError>>;

/// A live text to be moved to the current segment, with its old location.
pub(super) type Move = (CompactString, RecordLocation);

/// Next task of the writer.
pub(super) enum Work {
    /// Delete the file of a segment.
    Delete(u32),
    /// Write and sync new texts and moved ones.
    Write { puts: Vec<Put>, moves: Vec<Move> },
}

/// Records that are written with one sync.
#[derive(Debug, Default)]
pub(super) struct SyncedBatch {
    pub(super) segment: u32,
    pub(super) bytes: u64,
    pub(super) texts: Vec<(CompactString, RecordLocation, Time)>,
    /// Moved texts with their old and new locations.
    pub(super) moved: Vec<(CompactString, RecordLocation, RecordLocation)>,
}

impl SyncedBatch {
    /// Turns locations within the batch into locations in a segment, where the batch begins at `start`.
    pub(super) fn assign_segment(&mut self, segment: u32, start: u64) {
        let texts = self.texts.iter_mut().map(|(_, location, _)| location);
        for location in texts.chain(self.moved.iter_mut().map(|(_, _, to)| to)) {
            *location =
                RecordLocation { segment, offset: location.offset + start as u32, ..*location };
        }
        self.segment = segment;
    }
}

#[derive(Debug, Default)]
struct State {
    index: Index,
    queue: VecDeque<Put>,
    /// Texts that are queued or being written, with the put that contains each of them.
    pending: HashMap<CompactString, PutId>,
    /// Callers that wait for each put: its own, and others that put one of its texts again.
    waiters: HashMap<PutId, Vec<Waiter>>,
    next_id: PutId,
    /// Bytes that are queued or being written.
    queued: u64,
    /// Bytes that these count against the disk limit in addition to their length.
    padding: u64,
    failed: bool,
    closed: bool,
    damaged: u64,
    syncs: u64,
}

/// State shared by all handles and threads of a store.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: TextOptions,
    clock: Clock,
    state: Mutex<State>,
    /// Wakes the writer.
    work: Condvar,
    /// Whether segments remain to be scanned. Sent again after each scanned segment.
    scanning: watch::Sender<bool>,
}

impl Shared {
    pub(super) fn new(options: TextOptions, clock: Clock, index: Index) -> Shared {
        let state = Mutex::new(State { index, ..State::default() });
        let scanning = watch::Sender::new(true);
        Shared { options, clock, state, work: Condvar::new(), scanning }
    }

    pub(super) fn now(&self) -> Time {
        self.clock.now()
    }

    /// Waits until all of the texts are indexed, the scan has ended or the timeout has passed.
    pub(super) async fn wait_for_scan(&self, turns: &[String]) {
        let mut scanning = self.scanning.subscribe();
        let found = || turns.iter().all(|turn| self.location(turn).is_some());
        if *scanning.borrow_and_update() && !found() {
            let ended = scanning.wait_for(|scanning| !scanning || found());
            // After the timeout a text that is not indexed yet counts as absent.
            let _ = tokio::time::timeout(self.options.scan_timeout, ended).await;
        }
    }

    /// Adds texts that a scan found to the index.
    pub(super) fn insert_scanned(&self, found: Vec<(CompactString, RecordLocation)>, expiry: Time) {
        let mut state = self.state();
        for (turn, location) in found {
            state.index.insert_scanned(turn, location, expiry);
        }
    }

    /// Marks a segment as scanned, after all its texts were added.
    pub(super) fn finish_scan(&self, segment: u32, scanned: &Scanned) {
        let mut state = self.state();
        state.index.finish_scan(segment, scanned.valid_length);
        state.damaged += scanned.damaged;
        drop(state);
        self.work.notify_one();
        self.scanning.send_replace(true);
    }

    /// Ends the scan, and releases all callers that wait for it.
    pub(super) fn finish_scanning(&self) {
        self.scanning.send_replace(false);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state().closed
    }

    /// Queues texts, and returns a receiver for each put that the caller must wait for.
    ///
    /// Texts that are already queued or being written are not queued again: callers repeat their puts
    /// when the disk is slow, and the duplicates would fill the queue.
    pub(super) fn enqueue(
        &self,
        mut texts: Vec<Text>,
        retention: Duration,
    ) -> Result<Vec<oneshot::Receiver<Result<(), PutError>>>, PutError> {
        let mut state = self.state();
        if state.failed || state.closed {
            return Err(PutError::Failed);
        }
        let mut waiting_for = HashSet::new();
        let mut seen: HashSet<CompactString> = HashSet::new();
        texts.retain(|text| {
            let pending = state.pending.get(text.turn.as_str());
            waiting_for.extend(pending);
            let known = pending.is_some() || state.index.location(&text.turn).is_some();
            !known && seen.insert(text.turn.as_str().into())
        });
        if texts.is_empty() {
            return Ok(waiting_for.into_iter().map(|id| state.wait_for(id)).collect());
        }
        let lengths = || texts.iter().map(|text| record::length(text) as u64);
        let bytes: u64 = lengths().sum();
        let padding: u64 = state.padding + lengths().map(index::padding).sum::<u64>();
        let queued = state.queued.saturating_add(bytes);
        let disk = state.index.charged_bytes().saturating_add(queued).saturating_add(padding);
        let capacity = self.put_capacity(state.index.longest_segment().max(bytes));
        let names_valid = texts.iter().all(record::has_valid_name);
        let queue_full = state.queued > 0 && queued > MAX_QUEUE_BYTES;
        if !names_valid || queue_full || bytes > MAX_PUT_BYTES || disk > capacity {
            return Err(PutError::Full);
        }
        let id = state.next_id;
        state.next_id += 1;
        state.queued = queued;
        let padding = padding - std::mem::replace(&mut state.padding, padding);
        state.pending.extend(seen.into_iter().map(|turn| (turn, id)));
        let expiry = self.clock.now() + retention;
        state.queue.push_back(Put { id, texts, bytes, padding, expiry });
        self.work.notify_one();
        waiting_for.insert(id);
        Ok(waiting_for.into_iter().map(|id| state.wait_for(id)).collect())
    }

    /// Waits for the next task. Returns `None` once the store is closed and the queue is empty.
    pub(super) fn next_work(&self, current: Option<u32>) -> Option<Work> {
        let batch = MAX_BATCH_BYTES.min(self.options.segment_bytes());
        let mut state = self.state();
        loop {
            let idle = state.queue.is_empty();
            let reclaim = state.index.reclaim(current, idle);
            // Deletes come first: under constant load the disk would fill up otherwise.
            if let Some(Reclaim::Delete(segment)) = reclaim {
                return Some(Work::Delete(segment));
            }
            let moves = match reclaim {
                Some(Reclaim::Compact(segment)) if !state.closed => {
                    state.index.live_texts(segment, MAX_MOVE_BYTES)
                }
                _ => Vec::new(),
            };
            if !state.queue.is_empty() || !moves.is_empty() {
                return Some(Work::Write { puts: state.take_puts(batch), moves });
            }
            if state.closed {
                return None;
            }
            state = self.work.wait(state).expect("the lock of the text store is poisoned");
        }
    }

    /// Removes texts that are already on the disk: a scan may have found them since they were queued.
    pub(super) fn retain_unsaved(&self, puts: &mut [Put]) {
        let mut state = self.state();
        for texts in puts.iter_mut().map(|put| &mut put.texts) {
            texts.retain(|text| {
                let new = state.index.location(&text.turn).is_none();
                if !new {
                    state.pending.remove(text.turn.as_str());
                }
                new
            });
        }
    }

    /// Adds synced texts to the index, and then answers the callers of the puts.
    pub(super) fn publish(&self, synced: SyncedBatch, puts: Vec<Put>) {
        let mut state = self.state();
        if synced.bytes > 0 {
            state.index.grow(synced.segment, synced.bytes);
            state.syncs += 1;
        }
        for (turn, location, expiry) in synced.texts {
            state.pending.remove(&turn);
            state.index.insert(turn, location, expiry);
        }
        for (turn, from, to) in synced.moved {
            state.index.relocate(&turn, from, to);
        }
        state.queued -= puts.iter().map(|put| put.bytes).sum::<u64>();
        state.padding -= puts.iter().map(|put| put.padding).sum::<u64>();
        let waiters = puts.iter().filter_map(|put| state.waiters.remove(&put.id));
        let waiters: Vec<Waiter> = waiters.flatten().collect();
        drop(state);
        for waiter in waiters {
            // The caller may have stopped waiting.
            let _ = waiter.send(Ok(()));
        }
    }

    pub(super) fn location(&self, turn: &str) -> Option<RecordLocation> {
        self.state().index.location(turn)
    }

    pub(super) fn take_expired(&self, limit: usize) -> Vec<CompactString> {
        let now = self.clock.now();
        self.state().index.take_expired(now, now + self.options.recheck_interval, limit)
    }

    pub(super) fn extend(&self, turn: &str, left: Duration) {
        let expiry = self.clock.now() + left;
        self.state().index.extend(turn, expiry);
    }

    pub(super) fn remove(&self, turn: &str) {
        if self.state().index.remove(turn) {
            self.work.notify_one();
        }
    }

    pub(super) fn remove_segment(&self, segment: u32) {
        self.state().index.remove_segment(segment);
    }

    /// Drops and counts a text whose record is damaged, unless it was moved in the meantime.
    pub(super) fn drop_damaged(&self, turn: &str, location: RecordLocation) {
        let mut state = self.state();
        if state.index.location(turn) == Some(location) {
            state.damaged += 1;
            state.index.remove(turn);
            drop(state);
            self.work.notify_one();
            slog::error!(self.options.log, "dropped a damaged text";
                "turn" => turn, "segment" => location.segment, "offset" => location.offset);
        }
    }

    /// Refuses puts until [`Shared::recover`]. Dropping the queued ones tells their callers that they
    /// failed.
    pub(super) fn fail(&self) {
        let mut state = self.state();
        state.failed = true;
        state.queued = 0;
        state.padding = 0;
        state.queue.clear();
        state.pending.clear();
        state.waiters.clear();
    }

    /// Accepts puts again.
    pub(super) fn recover(&self) {
        self.state().failed = false;
    }

    /// Waits until the failed disk may be retried. Returns `false` once the store is closed.
    pub(super) fn wait_for_retry(&self) -> bool {
        let pause = self.options.retry_delay;
        let waiting = self.work.wait_timeout_while(self.state(), pause, |state| !state.closed);
        let (state, _) = waiting.expect("the lock of the text store is poisoned");
        !state.closed
    }

    /// Closes the store; the writer ends once the queue is empty.
    pub(super) fn close(&self) {
        self.state().closed = true;
        self.work.notify_one();
    }

    pub(super) fn status(&self) -> TextStatus {
        // Read before locking the state: `wait_for_scan` locks the state while it borrows this value.
        let scanning = *self.scanning.borrow();
        let state = self.state();
        TextStatus {
            texts: state.index.len(),
            live_bytes: state.index.live_bytes(),
            disk_bytes: state.index.disk_bytes(),
            queued_bytes: state.queued,
            damaged: state.damaged,
            syncs: state.syncs,
            failed: state.failed,
            scanning,
        }
    }

    /// Returns the bytes available to puts. The rest of the limit is reserved for moving the live texts
    /// of one sparse segment of up to `longest` bytes, so that space can be reclaimed on a full disk.
    fn put_capacity(&self, longest: u64) -> u64 {
        let reserve = longest.max(self.options.segment_bytes()) / SPARSE_DIVISOR;
        self.options.limits.disk_bytes.saturating_sub(reserve)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock of the text store is poisoned")
    }
}

impl State {
    /// Registers a caller that waits for a put.
    fn wait_for(&mut self, id: PutId) -> oneshot::Receiver<Result<(), PutError>> {
        let (waiter, waiting) = oneshot::channel();
        self.waiters.entry(id).or_default().push(waiter);
        waiting
    }

    /// Takes puts from the queue, up to `limit` bytes in total but at least one.
    fn take_puts(&mut self, limit: u64) -> Vec<Put> {
        let mut taken = 0;
        let fitting = self.queue.iter().take_while(|put| {
            taken += put.bytes;
            taken <= limit
        });
        let count = fitting.count().max(1).min(self.queue.len());
        self.queue.drain(..count).collect()
    }
}
