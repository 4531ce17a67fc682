//! Failures of the disk, for tests: the one edge of this module that a test replaces.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};

/// Failures to come; without any, the disk works.
#[doc(hidden)]
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Mutex<Plan>>);

#[derive(Debug, Default)]
struct Plan {
    /// Bytes that still fit.
    room: Option<usize>,
    /// Whether syncs fail.
    fail: bool,
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

    /// Returns how many of `wanted` bytes may be written.
    pub(super) fn room(&self, wanted: usize) -> usize {
        let mut plan = self.plan();
        let Some(room) = &mut plan.room else {
            return wanted;
        };
        let taken = wanted.min(*room);
        *room -= taken;
        taken
    }

    pub(super) fn check_sync(&self) -> io::Result<()> {
        match self.plan().fail {
            true => Err(io::Error::other("a test failed this sync")),
            false => Ok(()),
        }
    }

    fn plan(&self) -> std::sync::MutexGuard<'_, Plan> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
