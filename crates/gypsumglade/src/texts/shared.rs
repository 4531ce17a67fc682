//! What callers, the writer and the reader share: the index, and the queue of what is to be written.

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

/// Bytes at most that wait for the disk, or are being written. One put may have more if it is alone: it could
/// never be taken else.
pub(super) const MAX_QUEUE_BYTES: u64 = 8 * 1024 * 1024;
/// Bytes of one put at most, for a place in a file has 32 bits.
const MAX_PUT_BYTES: u64 = 1024 * 1024 * 1024;
/// Bytes after which one sync takes no further texts: some 10 ms of a slow disk's time.
pub(super) const MAX_BATCH_BYTES: u64 = 1024 * 1024;
/// Live bytes that one sync moves out of a segment.
const MAX_MOVE_BYTES: u64 = 256 * 1024;

/// Texts that wait for the disk.
#[derive(Debug)]
pub(super) struct Put {
    number: PutId,
    pub(super) texts: Vec<Text>,
    bytes: u64,
    padding: u64,
    /// When they are due.
    pub(super) expiry: Time,
}

/// Names a put until it is answered.
type PutId = u64;

/// Answers one who waits for a put.
type Waiter = oneshot::Sender<Result<(), PutError>>;

/// A live text that is to be moved to the current segment.
pub(super) type Move = (CompactString, RecordLocation);

/// What the writer does next.
pub(super) enum Work {
    /// Deletes a segment's file.
    Delete(u32),
    /// Writes and syncs texts.
    Write { puts: Vec<Put>, moves: Vec<Move> },
}

/// What a sync made stable.
#[derive(Debug, Default)]
pub(super) struct SyncedBatch {
    pub(super) segment: u32,
    pub(super) bytes: u64,
    pub(super) texts: Vec<(CompactString, RecordLocation, Time)>,
    /// Texts with their old and new places.
    pub(super) moved: Vec<(CompactString, RecordLocation, RecordLocation)>,
}

impl SyncedBatch {
    /// Says where the records are, that were placed from zero on until now.
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
    /// Texts of the queue, and of what is being written, with the puts that they are in.
    pending: HashMap<CompactString, PutId>,
    /// Those who wait for each of these puts: its caller, and callers who put one of its texts again.
    waiters: HashMap<PutId, Vec<Waiter>>,
    next: PutId,
    /// Bytes of the queue, and of what is being written.
    queued: u64,
    /// What these count against the limit of the disk beyond their bytes.
    padding: u64,
    failed: bool,
    closed: bool,
    damaged: u64,
    syncs: u64,
}

/// The state behind all handles.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: TextOptions,
    clock: Clock,
    state: Mutex<State>,
    /// Wakes the writer.
    work: Condvar,
    /// Whether segments are still to be scanned; told anew whenever one was.
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

    /// Waits until all of the texts are found, the scan is over or it takes too long.
    pub(super) async fn wait_for_scan(&self, turns: &[String]) {
        let mut scanning = self.scanning.subscribe();
        let found = || turns.iter().all(|turn| self.location(turn).is_some());
        if *scanning.borrow_and_update() && !found() {
            let ended = scanning.wait_for(|scanning| !scanning || found());
            // What is not found in time counts as absent.
            let _ = tokio::time::timeout(self.options.scan_timeout, ended).await;
        }
    }

    /// Makes known what a scan found.
    pub(super) fn insert_scanned(&self, found: Vec<(CompactString, RecordLocation)>, expiry: Time) {
        let mut state = self.state();
        for (turn, location) in found {
            state.index.insert_scanned(turn, location, expiry);
        }
    }

    /// Notes that a segment was scanned, and what is in it is known.
    pub(super) fn finish_scan(&self, segment: u32, scanned: &Scanned) {
        let mut state = self.state();
        state.index.finish_scan(segment, scanned.valid_length);
        state.damaged += scanned.damaged;
        drop(state);
        self.work.notify_one();
        self.scanning.send_replace(true);
    }

    /// Notes that no segment will be scanned any more.
    pub(super) fn finish_scanning(&self) {
        self.scanning.send_replace(false);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.state().closed
    }

    /// Puts texts into the queue, and returns what is to be waited for until all of them are on the disk.
    ///
    /// One that is queued already, or being written, isn't queued again: a slow disk has callers ask
    /// again, and the queue would be full of what it holds.
    pub(super) fn enqueue(
        &self,
        mut texts: Vec<Text>,
        retention: Duration,
    ) -> Result<Vec<oneshot::Receiver<Result<(), PutError>>>, PutError> {
        let mut state = self.state();
        if state.failed || state.closed {
            return Err(PutError::Failed);
        }
        let mut others = HashSet::new();
        let mut seen: HashSet<CompactString> = HashSet::new();
        texts.retain(|text| {
            let pending = state.pending.get(text.turn.as_str());
            others.extend(pending);
            let known = pending.is_some() || state.index.location(&text.turn).is_some();
            !known && seen.insert(text.turn.as_str().into())
        });
        if texts.is_empty() {
            return Ok(others.into_iter().map(|number| state.wait_for(number)).collect());
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
        let number = state.next;
        state.next += 1;
        state.queued = queued;
        let padding = padding - std::mem::replace(&mut state.padding, padding);
        state.pending.extend(seen.into_iter().map(|turn| (turn, number)));
        let expiry = self.clock.now() + retention;
        state.queue.push_back(Put { number, texts, bytes, padding, expiry });
        self.work.notify_one();
        others.insert(number);
        Ok(others.into_iter().map(|number| state.wait_for(number)).collect())
    }

    /// Waits for what is to be done. Returns nothing once the store is closed and all is written.
    pub(super) fn next_work(&self, current: Option<u32>) -> Option<Work> {
        let batch = MAX_BATCH_BYTES.min(self.options.segment_bytes());
        let mut state = self.state();
        loop {
            let idle = state.queue.is_empty();
            let reclaim = state.index.reclaim(current, idle);
            // Deletes come first: a queue that is never empty would have the disk fill up.
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
            state = self.work.wait(state).expect("no panic while held");
        }
    }

    /// Takes what is on the disk already out of `puts`: a scan may have found it while they waited.
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

    /// Makes known what is stable, and then answers the puts.
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
        let waiters = puts.iter().filter_map(|put| state.waiters.remove(&put.number));
        let waiters: Vec<Waiter> = waiters.flatten().collect();
        drop(state);
        for waiter in waiters {
            // A caller that has gone needs no answer.
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

    /// Forgets a text whose record can't be read, and counts it, unless it was moved meanwhile.
    pub(super) fn drop_damaged(&self, turn: &str, location: RecordLocation) {
        let mut state = self.state();
        if state.index.location(turn) == Some(location) {
            state.damaged += 1;
            state.index.remove(turn);
            drop(state);
            self.work.notify_one();
            slog::error!(self.options.log, "a text on the disk is damaged and was dropped";
                "turn" => turn, "segment" => location.segment, "offset" => location.offset);
        }
    }

    /// Refuses all puts until [`Shared::recover`], also those that wait: dropping them answers their
    /// callers.
    pub(super) fn fail(&self) {
        let mut state = self.state();
        state.failed = true;
        state.queued = 0;
        state.padding = 0;
        state.queue.clear();
        state.pending.clear();
        state.waiters.clear();
    }

    /// Takes puts again.
    pub(super) fn recover(&self) {
        self.state().failed = false;
    }

    /// Waits until a disk that failed may be tried again. Returns false once the store is closed.
    pub(super) fn wait_for_retry(&self) -> bool {
        let pause = self.options.retry_delay;
        let waiting = self.work.wait_timeout_while(self.state(), pause, |state| !state.closed);
        let (state, _) = waiting.expect("no panic while held");
        !state.closed
    }

    /// Has the writer end once all is written.
    pub(super) fn close(&self) {
        self.state().closed = true;
        self.work.notify_one();
    }

    pub(super) fn status(&self) -> TextStatus {
        // Read first: who waits for it looks at the state meanwhile, see `wait_for_scan`.
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

    /// Returns the bytes that puts may fill. What is left of the limit is for the live texts of one
    /// segment, of `longest_segment` bytes at most, so that space can be had back on a full disk too.
    fn put_capacity(&self, longest: u64) -> u64 {
        let reserve = longest.max(self.options.segment_bytes()) / SPARSE_DIVISOR;
        self.options.limits.disk_bytes.saturating_sub(reserve)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while held")
    }
}

impl State {
    /// Has one more wait for a put that is queued or being written.
    fn wait_for(&mut self, number: PutId) -> oneshot::Receiver<Result<(), PutError>> {
        let (waiter, waiting) = oneshot::channel();
        self.waiters.entry(number).or_default().push(waiter);
        waiting
    }

    /// Takes puts of up to `limit` bytes together, and at least one.
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
