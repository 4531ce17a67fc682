//! Failures of the disk, for tests: the one edge of this module that a test replaces.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use super::folder;

/// Failures to come; without any, the disk works.
#[doc(hidden)]
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    plan: Mutex<Plan>,
    /// Wakes what waits in a sync or a scan that is held.
    released: Condvar,
}

#[derive(Debug, Default)]
struct Plan {
    /// Bytes that still fit.
    free_bytes: Option<usize>,
    /// Whether syncs fail.
    fail_syncs: bool,
    /// Whether syncs of folders fail.
    fail_folders: bool,
    /// The one folder whose syncs fail.
    failing_folder: Option<PathBuf>,
    /// Whether syncs wait.
    syncs_held: bool,
    /// Whether scans of files wait.
    scans_held: bool,
    /// What each sync takes beside the disk's own time.
    sync_delay: Duration,
}

impl Faults {
    /// Makes the disk full after `free_bytes` more bytes.
    pub fn fill_after(&self, bytes: usize) {
        self.plan().free_bytes = Some(bytes);
    }

    /// Makes every sync fail from now on.
    pub fn fail_syncs(&self) {
        self.plan().fail_syncs = true;
    }

    /// Makes every sync of a folder of texts fail from now on.
    pub fn fail_folders(&self) {
        self.plan().fail_folders = true;
    }

    /// Makes every sync of this folder fail from now on, where it is synced for texts.
    pub fn fail_folder(&self, folder: &Path) {
        self.plan().failing_folder = Some(folder.to_path_buf());
    }

    /// Ends all failures.
    pub fn clear(&self) {
        let mut plan = self.plan();
        (plan.free_bytes, plan.fail_syncs, plan.fail_folders, plan.failing_folder) =
            (None, false, false, None);
    }

    /// Makes syncs wait until [`Faults::release_syncs`].
    pub fn hold_syncs(&self) {
        self.plan().syncs_held = true;
    }

    /// Lets syncs go on.
    pub fn release_syncs(&self) {
        self.plan().syncs_held = false;
        self.0.released.notify_all();
    }

    /// Makes scans of files of texts wait until [`Faults::release_scans`].
    pub fn hold_scans(&self) {
        self.plan().scans_held = true;
    }

    /// Lets scans go on.
    pub fn release_scans(&self) {
        self.plan().scans_held = false;
        self.0.released.notify_all();
    }

    /// Makes every sync take longer.
    pub fn slow_syncs(&self, delay: Duration) {
        self.plan().sync_delay = delay;
    }

    /// Returns how many of `wanted` bytes may be written.
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

    /// Waits while a test holds scans.
    pub(crate) fn wait_scan(&self) {
        drop(self.0.released.wait_while(self.plan(), |plan| plan.scans_held));
    }

    /// Makes new, renamed and removed names of a folder stable, unless a test has it fail.
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
        true => Err(io::Error::other("a test failed this sync")),
        false => Ok(()),
    }
}
