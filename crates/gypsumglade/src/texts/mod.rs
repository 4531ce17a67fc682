//! Stores the texts of kept turns on the disk of this VM; see docs/design/texts.md.
//!
//! One thread appends texts to segment files, with one sync for each batch, and another reads them. Only
//! their locations are kept in memory.

mod index;
mod open;
mod reader;
mod record;
mod scanner;
mod segment;
mod shared;
mod writer;

use std::path::Path;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::Text;
use tokio::sync::oneshot;

use self::reader::Query;
use self::shared::Shared;
use crate::disk::Faults;

/// Maximum length of a segment file, in bytes. A batch that is longer gets a file of its own.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// Minimum number of segments within the disk limit, so that space is reclaimed in small steps.
const MIN_SEGMENTS: u64 = 8;
/// Retention of a text that an earlier process wrote. The original one is not stored; only the turn
/// group knows whether the turn is still kept.
const RECOVERED_RETENTION: Duration = Duration::from_secs(30);
/// How long [`TextStore::expired`] doesn't return the same text again; longer than a lookup at the turn
/// group takes.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);
/// How long a read waits for a text that may be in a file not scanned yet. Shorter than the timeout of
/// the caller, which then asks another holder.
const SCAN_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next attempt to write to a failed disk.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Limits of a [`TextStore`].
#[derive(Clone, Debug)]
pub struct TextLimits {
    /// Maximum total length of the files, in bytes. A put that would exceed it is refused.
    pub disk_bytes: u64,
}

/// Settings of a [`TextStore`]. Production code sets only the limits and the log.
#[derive(Clone, Debug)]
pub struct TextOptions {
    /// Limits on disk usage.
    pub limits: TextLimits,
    /// Receives reports of damaged records and failed writes.
    pub log: slog::Logger,
    /// Retention of a text that an earlier process wrote.
    pub recovered_retention: Duration,
    /// How long [`TextStore::expired`] doesn't return the same text again.
    pub recheck_interval: Duration,
    /// Pause before the next attempt to write to a failed disk.
    pub retry_delay: Duration,
    /// How long a read waits for a text that may be in a file not scanned yet.
    pub scan_timeout: Duration,
    /// Disk failures that a test injects.
    #[doc(hidden)]
    pub faults: Faults,
}

impl TextOptions {
    /// Returns the default settings with these limits and this log.
    pub fn new(limits: TextLimits, log: slog::Logger) -> TextOptions {
        TextOptions {
            limits,
            log,
            recovered_retention: RECOVERED_RETENTION,
            recheck_interval: RECHECK_INTERVAL,
            retry_delay: RETRY_DELAY,
            scan_timeout: SCAN_TIMEOUT,
            faults: Faults::default(),
        }
    }

    /// Returns the maximum length of a segment under this disk limit, in bytes.
    fn segment_bytes(&self) -> u64 {
        SEGMENT_BYTES.min(self.limits.disk_bytes / MIN_SEGMENTS)
    }
}

/// Reason why a put failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The disk limit is reached, the write queue is full, or a turn's name or the put is too long.
    #[error("no room for further texts on the disk or in its write queue")]
    Full,
    /// A write failed, or the store is closed. After a failure puts are refused until the disk accepts
    /// writes again.
    #[error("texts can't be written: the disk failed or the store is closed")]
    Failed,
}

/// State and counters of a [`TextStore`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TextStatus {
    /// Texts that can be read.
    pub texts: usize,
    /// Bytes of the records of these texts on the disk.
    pub live_bytes: u64,
    /// Total length of all segment files, in bytes.
    pub disk_bytes: u64,
    /// Bytes that are queued or being written.
    pub queued_bytes: u64,
    /// Damaged records that were found and dropped.
    pub damaged: u64,
    /// Syncs since the store was opened.
    pub syncs: u64,
    /// Whether files of an earlier process are still being scanned.
    pub scanning: bool,
    /// Whether puts are refused because a write failed and none succeeded since.
    pub failed: bool,
}

/// Handle to the texts on the disk of this VM. Clones share the same store.
#[derive(Clone, Debug)]
pub struct TextStore {
    handle: Arc<Handle>,
}

/// Owns the threads. Dropping it waits until all queued texts are written.
#[derive(Debug)]
struct Handle {
    shared: Arc<Shared>,
    queries: Option<mpsc::Sender<Query>>,
    threads: Vec<JoinHandle<()>>,
}

impl TextStore {
    /// Opens the folder, and scans the files of an earlier process in the background.
    ///
    /// # Errors
    /// Fails when the folder can't be created, synced or listed, or a thread can't be started.
    pub fn open(folder: &Path, limits: TextLimits) -> anyhow::Result<TextStore> {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        TextStore::open_with(folder, TextOptions::new(limits, log))
    }

    /// Opens the folder as [`TextStore::open`] does, with explicit settings.
    ///
    /// Returns before the files are scanned, which may take seconds: a store that is silent for so long
    /// is considered lost. Until then a stored text may be put again, and [`TextStore::get`] may wait.
    ///
    /// # Errors
    /// Fails when the folder can't be created, synced or listed, or a thread can't be started.
    pub fn open_with(folder: &Path, options: TextOptions) -> anyhow::Result<TextStore> {
        Ok(TextStore { handle: Arc::new(open::open(folder, options)?) })
    }

    /// Writes texts to the disk, and returns once they are synced. Texts that are stored already are not
    /// written again and keep their expiry.
    ///
    /// After `retention` a text is returned by [`TextStore::expired`].
    ///
    /// # Errors
    /// Fails when there is no room or a write fails; some of the texts may be stored nevertheless.
    pub async fn put(&self, texts: Vec<Text>, retention: Duration) -> Result<(), PutError> {
        for synced in self.handle.shared.enqueue(texts, retention)? {
            synced.await.unwrap_or(Err(PutError::Failed))?;
        }
        Ok(())
    }

    /// Returns the stored texts of these turns. Texts that are not synced yet are left out.
    ///
    /// While files of an earlier process are being scanned, waits for missing texts up to
    /// [`TextOptions::scan_timeout`].
    pub async fn get(&self, turns: &[String]) -> Vec<Text> {
        self.handle.shared.wait_for_scan(turns).await;
        let indexed = turns.iter().filter(|turn| self.handle.shared.location(turn).is_some());
        let turns: Vec<_> = indexed.cloned().collect();
        let (reply, texts) = oneshot::channel();
        let query = Query { turns, reply };
        match &self.handle.queries {
            Some(queries) if !query.turns.is_empty() && queries.send(query).is_ok() => {
                texts.await.unwrap_or_default()
            }
            _ => Vec::new(),
        }
    }

    /// Returns up to `limit` turns whose texts have reached the end of their retention. A text that is
    /// neither extended nor dropped is returned again after [`TextOptions::recheck_interval`].
    pub fn expired(&self, limit: usize) -> Vec<CompactString> {
        self.handle.shared.take_expired(limit)
    }

    /// Sets the remaining retention of a text.
    pub fn extend(&self, turn: &str, retention: Duration) {
        self.handle.shared.extend(turn, retention);
    }

    /// Drops a text.
    ///
    /// The drop is not written to the disk. After a restart the text may be found again; it then expires,
    /// and is dropped again once the turn group is asked.
    pub fn drop(&self, turn: &str) {
        self.handle.shared.remove(turn);
    }

    /// Returns the current state and counters.
    pub fn status(&self) -> TextStatus {
        self.handle.shared.status()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shared.close();
        self.queries = None;
        for thread in self.threads.drain(..) {
            // The panic of a thread was already printed to standard error.

            let _ = thread.join();
        }
    }
}
