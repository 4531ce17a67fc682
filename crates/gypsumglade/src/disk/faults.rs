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
    room: Option<usize>,
    /// Whether syncs fail.
    fail: bool,
    /// Whether syncs of folders fail.
    folders: bool,
    /// The one folder whose syncs fail.
    folder: Option<PathBuf>,
    /// Whether syncs wait.
    held: bool,
    /// Whether scans of files wait.
    scans_held: bool,
    /// What each sync takes beside the disk's own time.
    pause: Duration,
}

impl Faults {
    /// Makes the disk full after `room` more bytes.
    pub fn fill_after(&self, room: usize) {
        self.plan().room = Some(room);
    }

    /// Makes every sync fail from now on.
    pub fn fail_syncs(&self) {
        self.plan().fail = true;
    }

    /// Makes every sync of a folder of texts fail from now on.
    pub fn fail_folders(&self) {
        self.plan().folders = true;
    }

    /// Makes every sync of this folder fail from now on, where it is synced for texts.
    pub fn fail_folder(&self, folder: &Path) {
        self.plan().folder = Some(folder.to_path_buf());
    }

    /// Ends all failures.
    pub fn heal(&self) {
        let mut plan = self.plan();
        (plan.room, plan.fail, plan.folders, plan.folder) = (None, false, false, None);
    }

    /// Makes syncs wait until [`Faults::release_syncs`].
    pub fn hold_syncs(&self) {
        self.plan().held = true;
    }

    /// Lets syncs go on.
    pub fn release_syncs(&self) {
        self.plan().held = false;
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
    pub fn slow_syncs(&self, pause: Duration) {
        self.plan().pause = pause;
    }

    /// Returns how many of `wanted` bytes may be written.
    pub(crate) fn room(&self, wanted: usize) -> usize {
        let mut plan = self.plan();
        let Some(room) = &mut plan.room else {
            return wanted;
        };
        let taken = wanted.min(*room);
        *room -= taken;
        taken
    }

    pub(crate) fn check_sync(&self) -> io::Result<()> {
        let pause = self.plan().pause;
        if pause > Duration::ZERO {
            std::thread::sleep(pause);
        }
        let waiting = self.0.released.wait_while(self.plan(), |plan| plan.held);
        refuse(waiting.unwrap_or_else(PoisonError::into_inner).fail)
    }

    /// Waits while a test holds scans.
    pub(crate) fn wait_scan(&self) {
        drop(self.0.released.wait_while(self.plan(), |plan| plan.scans_held));
    }

    /// Makes new, renamed and removed names of a folder stable, unless a test has it fail.
    pub(crate) fn sync_folder(&self, path: &Path) -> io::Result<()> {
        let plan = self.plan();
        let fails = plan.folders || plan.folder.as_deref() == Some(path);
        drop(plan);
        refuse(fails)?;
        folder::sync_folder(path)
    }

    fn plan(&self) -> std::sync::MutexGuard<'_, Plan> {
        self.0.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refuse(fail: bool) -> io::Result<()> {
    match fail {
        true => Err(io::Error::other("a test failed this sync")),
        false => Ok(()),
    }
}
