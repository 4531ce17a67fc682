//! Texts of kept turns on this store's disk; see docs/design/texts.md.
//!
//! Texts are appended to segment files by one thread, with one sync for all that are at hand, and read by
//! another. Memory holds where each one is and no text.

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

/// Bytes after which a new segment file is begun.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// Segments at least that the disk's limit is divided into, so that space comes back in small parts.
const MIN_SEGMENTS: u64 = 8;
/// How long a text that an earlier process left is held before it is due. Its retention is not known: it
/// is the turn group that knows whether the turn is kept.
const RECOVERED_RETENTION: Duration = Duration::from_secs(30);
/// How long a due text that was returned is not returned again: a lookup at the turn group takes less.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);
/// How long a text is waited for that may be in a file not scanned yet. Its caller asks another holder
/// after that, and gives up on this one after a second.
const SCAN_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a disk that failed is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Limits of a [`TextStore`].
#[derive(Clone, Debug)]
pub struct TextLimits {
    /// Bytes of all files at most; a put that would pass it is refused.
    pub disk_bytes: u64,
}

/// Settings of a [`TextStore`]; only tests replace more than the log.
#[derive(Clone, Debug)]
pub struct TextOptions {
    /// Limits on what it takes.
    pub limits: TextLimits,
    /// Where damage and failures are told.
    pub log: slog::Logger,
    /// How long a text that an earlier process left is held before it is due.
    pub recovered_retention: Duration,
    /// How long a due text that was returned is not returned again.
    pub recheck_interval: Duration,
    /// Pause before a disk that failed is tried again.
    pub retry_delay: Duration,
    /// How long a text is waited for that may be in a file not scanned yet.
    pub scan_timeout: Duration,
    /// Failures of the disk to come.
    #[doc(hidden)]
    pub faults: Faults,
}

impl TextOptions {
    /// Returns the usual settings.
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

    /// Returns the bytes after which a new segment is begun.
    fn segment_bytes(&self) -> u64 {
        SEGMENT_BYTES.min(self.limits.disk_bytes / MIN_SEGMENTS)
    }
}

/// Why texts are not on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// There is no room, on the disk or in the queue before it.
    #[error("no room for further texts")]
    Full,
    /// The disk failed. Puts are refused until it takes writes again.
    #[error("the disk failed")]
    Failed,
}

/// What a [`TextStore`] holds and has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TextStatus {
    /// Texts that can be read.
    pub texts: usize,
    /// Bytes of these texts on the disk.
    pub live_bytes: u64,
    /// Bytes of all files.
    pub disk_bytes: u64,
    /// Bytes that wait for the disk.
    pub queued_bytes: u64,
    /// Records that were found damaged and dropped.
    pub damaged: u64,
    /// Syncs since the store was opened.
    pub syncs: u64,
    /// Whether what an earlier process left is still being looked for.
    pub scanning: bool,
    /// Whether puts are refused because the disk failed and has not taken a write since.
    pub failed: bool,
}

/// A handle to the texts on this store's disk; clones share them.
#[derive(Clone, Debug)]
pub struct TextStore {
    handle: Arc<Handle>,
}

/// The threads; the last handle waits for them, so that what was put is written.
#[derive(Debug)]
struct Handle {
    shared: Arc<Shared>,
    queries: Option<mpsc::Sender<Query>>,
    threads: Vec<JoinHandle<()>>,
}

impl TextStore {
    /// Opens the folder. What an earlier process left there is found from then on.
    ///
    /// # Errors
    /// Fails when the folder can't be used.
    pub fn open(folder: &Path, limits: TextLimits) -> anyhow::Result<TextStore> {
        let log = slog::Logger::root(slog::Discard, slog::o!());
        TextStore::open_with(folder, TextOptions::new(limits, log))
    }

    /// Opens the folder as [`TextStore::open`] does, with all settings.
    ///
    /// It doesn't wait until all files were read: that takes seconds, in which a store would neither vote
    /// nor be heard of, and be taken for lost. Until then a text may be put that is there already, and
    /// [`TextStore::get`] takes longer.
    ///
    /// # Errors
    /// Fails when the folder can't be used.
    pub fn open_with(folder: &Path, options: TextOptions) -> anyhow::Result<TextStore> {
        Ok(TextStore { handle: Arc::new(open::open(folder, options)?) })
    }

    /// Puts texts on the disk, and returns once they are synced. A text that is there is left as it is.
    ///
    /// `retention` is how long each is kept before it is due, see [`TextStore::expired`].
    ///
    /// # Errors
    /// Says why they are not on the disk.
    pub async fn put(&self, texts: Vec<Text>, retention: Duration) -> Result<(), PutError> {
        for synced in self.handle.shared.enqueue(texts, retention)? {
            synced.await.unwrap_or(Err(PutError::Failed))?;
        }
        Ok(())
    }

    /// Returns those of the turns' texts that are here; one that is not synced yet isn't.
    ///
    /// While the files of an earlier process are read, a text that is not known yet is waited for, for
    /// some time.
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

    /// Returns up to `limit` turns whose texts have been kept for their retention. One that is neither
    /// extended nor dropped is returned again after a pause.
    pub fn expired(&self, limit: usize) -> Vec<CompactString> {
        self.handle.shared.take_expired(limit)
    }

    /// Keeps a text for longer.
    pub fn extend(&self, turn: &str, retention: Duration) {
        self.handle.shared.extend(turn, retention);
    }

    /// Drops a text.
    ///
    /// Only memory knows of it until the file goes. After a restart the text may be back; it is then due
    /// like any other that was found, and dropped again once the turn group is asked.
    pub fn drop(&self, turn: &str) {
        self.handle.shared.remove(turn);
    }

    /// Returns what the store holds and has done.
    pub fn status(&self) -> TextStatus {
        self.handle.shared.status()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shared.close();
        self.queries = None;
        for thread in self.threads.drain(..) {
            // A thread that panicked has been seen on standard error.
            let _ = thread.join();
        }
    }
}
