//! Processes that received grants and have ended.

use super::sequencer::CallWaiter;
use crate::prelude::*;

/// An entry VM's process that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndedHolder {
    vm: VmId,
    /// Boot id of the process that the VM runs now; `None` if the VM is dead.
    runs: Option<u32>,
}

impl EndedHolder {
    /// Returns the processes of a dead VM.
    pub(super) fn dead(vm: VmId) -> EndedHolder {
        EndedHolder { vm, runs: None }
    }

    /// Returns the processes of a VM before the one that it runs now.
    pub(super) fn replaced(vm: VmId, boot_id: u32) -> EndedHolder {
        EndedHolder { vm, runs: Some(boot_id) }
    }

    /// Returns whether a process has ended.
    pub(super) fn matches(self, vm: VmId, boot_id: u32) -> bool {
        self.vm == vm && self.runs != Some(boot_id)
    }
}

impl CallWaiter {
    /// Returns whether an ended process sent the request.
    pub(super) fn is_from(&self, ended: EndedHolder) -> bool {
        ended.matches(self.from, self.request.boot_id)
    }
}
