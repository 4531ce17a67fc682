//! Retries writes that a full disk refuses until there is room.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A write that waits for room on the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// The file that can't be written.
    pub file: PathBuf,
    /// Bytes to be written to it.
    pub bytes: usize,
    /// Time of the first refused attempt.
    pub since: Instant,
}

/// Retries writes that are refused because the disk is full.
///
/// A refused write has not been acknowledged and can be repeated, unlike one whose sync failed. The
/// replicas of the store stay in their groups and need no restart. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct RoomWait(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    closed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// Refused writes by file.
    shortages: BTreeMap<PathBuf, Shortage>,
    closed: bool,
}

impl RoomWait {
    /// Returns the oldest write that waits for room, if there is one.
    pub fn shortage(&self) -> Option<Shortage> {
        self.state().shortages.values().min_by_key(|shortage| shortage.since).cloned()
    }

    /// Ends all waits, so that the process can stop while the disk is full.
    pub fn close(&self) {
        self.state().closed = true;
        self.0.closed.notify_all();
    }

    /// Runs `write` until it succeeds, fails for another reason than a full disk, or the wait is
    /// closed.
    pub(super) fn retry<T>(
        &self,
        file: &Path,
        bytes: usize,
        mut write: impl FnMut() -> io::Result<T>,
    ) -> io::Result<T> {
        loop {
            let result = write();
            let full = matches!(&result, Err(error) if error.kind() == io::ErrorKind::StorageFull);
            if !full || !self.wait(file, bytes) {
                self.state().shortages.remove(file);
                return result;
            }
        }
    }

    /// Records a refused write and pauses. Returns `false` once the wait is closed.
    fn wait(&self, file: &Path, bytes: usize) -> bool {
        let mut state = self.state();
        let shortage = || Shortage { file: file.to_path_buf(), bytes, since: Instant::now() };
        state.shortages.entry(file.to_path_buf()).or_insert_with(shortage);
        let waited = self.0.closed.wait_timeout_while(state, RETRY_INTERVAL, |state| !state.closed);
        !waited.unwrap_or_else(PoisonError::into_inner).0.closed
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
