//! Disk failures that tests inject.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use super::folder;

/// Failures to inject. Clones share them; the default injects none.
#[doc(hidden)]
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    plan: Mutex<Plan>,
    /// Wakes syncs and scans that are held.
    released: Condvar,
}

#[derive(Debug, Default)]
struct Plan {
    /// Bytes that can be written before the disk is full, if limited.
    free_bytes: Option<usize>,
    /// Whether syncs of files fail.
    fail_syncs: bool,
    /// Whether syncs of folders fail.
    fail_folders: bool,
    /// The one folder whose syncs fail.
    failing_folder: Option<PathBuf>,
    /// Whether syncs wait until they are released.
    syncs_held: bool,
    /// Whether scans of text files wait until they are released.
    scans_held: bool,
    /// Delay added to each sync.
    sync_delay: Duration,
    /// Changes of names in the folder of the log, if a test records them.
    name_changes: Option<Vec<NameChange>>,
}

/// A change of names in the folder of the log. A power loss may undo each removal that no sync of the
/// folder followed, independently of the others.
#[doc(hidden)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameChange {
    /// A file was removed.
    Removed(PathBuf),
    /// The folder was synced.
    Synced,
}

impl Faults {
    /// Makes the disk full after this many more bytes.
    pub fn fill_after(&self, bytes: usize) {
        self.plan().free_bytes = Some(bytes);
    }

    /// Makes every sync of a file fail from now on.
    pub fn fail_syncs(&self) {
        self.plan().fail_syncs = true;
    }

    /// Makes every sync of a folder in the text store fail from now on.
    pub fn fail_folders(&self) {
        self.plan().fail_folders = true;
    }

    /// Makes every sync of this folder in the text store fail from now on.
    pub fn fail_folder(&self, folder: &Path) {
        self.plan().failing_folder = Some(folder.to_path_buf());
    }

    /// Ends all failures. Held or delayed syncs and scans stay so.
    pub fn clear(&self) {
        let mut plan = self.plan();
        (plan.free_bytes, plan.fail_syncs, plan.fail_folders, plan.failing_folder) =
            (None, false, false, None);
    }

    /// Holds syncs of files until [`Faults::release_syncs`].
    pub fn hold_syncs(&self) {
        self.plan().syncs_held = true;
    }

    /// Releases held syncs.
    pub fn release_syncs(&self) {
        self.plan().syncs_held = false;
        self.0.released.notify_all();
    }

    /// Holds scans of text files until [`Faults::release_scans`].
    pub fn hold_scans(&self) {
        self.plan().scans_held = true;
    }

    /// Releases held scans.
    pub fn release_scans(&self) {
        self.plan().scans_held = false;
        self.0.released.notify_all();
    }

    /// Adds a delay to every sync of a file.
    pub fn slow_syncs(&self, delay: Duration) {
        self.plan().sync_delay = delay;
    }

    /// Records the removals and syncs of the log's folder from now on.
    pub fn record_name_changes(&self) {
        self.plan().name_changes = Some(Vec::new());
    }

    /// Returns the recorded removals and syncs of the log's folder.
    pub fn name_changes(&self) -> Vec<NameChange> {
        self.plan().name_changes.clone().unwrap_or_default()
    }

    /// Removes a file of the log's folder.
    pub(crate) fn remove_log_file(&self, path: &Path) -> io::Result<()> {
        self.record_name_change(NameChange::Removed(path.to_path_buf()));
        std::fs::remove_file(path)
    }

    /// Syncs the log's folder.
    pub(crate) fn sync_log_folder(&self, path: &Path) -> io::Result<()> {
        folder::sync_folder(path)?;
        self.record_name_change(NameChange::Synced);
        Ok(())
    }

    fn record_name_change(&self, change: NameChange) {
        if let Some(changes) = &mut self.plan().name_changes {
            changes.push(change);
        }
    }

    /// Returns how many of `wanted` bytes may be written, and counts them as used.
    pub(crate) fn allow_write(&self, wanted: usize) -> usize {
        let mut plan = self.plan();
        let Some(free_bytes) = &mut plan.free_bytes else {
            return wanted;
        };
        let taken = wanted.min(*free_bytes);
        *free_bytes -= taken;
        taken
    }

    pub(crate) fn check_sync(&self) -> io::Result<()> {
        let sync_delay = self.plan().sync_delay;
        if sync_delay > Duration::ZERO {
            std::thread::sleep(sync_delay);
        }
        let waiting = self.0.released.wait_while(self.plan(), |plan| plan.syncs_held);
        fail_if(waiting.unwrap_or_else(PoisonError::into_inner).fail_syncs)
    }

    /// Waits while scans are held.
    pub(crate) fn wait_scan(&self) {
        drop(self.0.released.wait_while(self.plan(), |plan| plan.scans_held));
    }

    /// Syncs a folder, unless its syncs are set to fail.
    pub(crate) fn sync_folder(&self, path: &Path) -> io::Result<()> {
        let plan = self.plan();
        let fails = plan.fail_folders || plan.failing_folder.as_deref() == Some(path);
        drop(plan);
        fail_if(fails)?;
        folder::sync_folder(path)
    }

    fn plan(&self) -> std::sync::MutexGuard<'_, Plan> {
        self.0.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn fail_if(fail: bool) -> io::Result<()> {
    match fail {
        true => Err(io::Error::other("injected sync failure")),
        false => Ok(()),
    }
}
