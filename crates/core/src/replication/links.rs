//! Liveness of other VMs, shared by all groups that two VMs have in common.
//!
//! Heartbeats for each idle group would dominate the load of a VM with hundreds of groups. Instead,
//! each pair of VMs exchanges one [`wire::Pulse`] for all of them. docs/design/replication.md
//! explains why this is as safe as heartbeats for each group.

use super::types::Term;
use crate::prelude::*;
use crate::wire::replication as wire;

/// Pulses that a VM has exchanged with other VMs.
///
/// The epoch identifies the term and the leader of every replica of the VM, and changes when any of
/// them does. A pulse counts only for groups whose last message was sent in the pulse's epoch.
#[derive(Clone, Debug, Default)]
pub struct Links {
    epoch: u64,
    peers: Vec<Link>,
}

/// How long the last pulse of an epoch is remembered, far longer than any election timeout.
const EPOCH_RETENTION: Duration = Duration::from_secs(120);

/// Term of a replica and the leader that it follows.
pub(super) type TermLeader = (Term, Option<VmId>);

#[derive(Clone, Debug)]
struct Link {
    vm: VmId,
    /// Arrival time of the last pulse of each recent epoch, in order of arrival.
    last_pulses: Vec<(u64, Time)>,
    /// The peer's epoch in the pulse to acknowledge next.
    epoch: u64,
    /// When that pulse was sent, on the peer's clock.
    sent: u64,
    /// When the latest acknowledged pulse was sent, and the peer's epoch in the acknowledgement.
    acked: Option<(Time, u64)>,
}

impl Links {
    /// Creates the links of a process that has just started.
    ///
    /// `epoch` must differ from all epochs of this VM's earlier processes, for example by being
    /// random.
    pub fn new(epoch: u64) -> Links {
        Links { epoch, peers: Vec::new() }
    }

    /// Returns the current epoch of this VM.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Starts a new epoch, as requested by [`super::Effect::NewEpoch`].
    pub fn next_epoch(&mut self) {
        self.epoch += 1;
    }

    /// Returns the pulse to send to `vm` now.
    pub fn pulse(&self, now: Time, vm: VmId) -> wire::Pulse {
        let link = self.link(vm);
        wire::Pulse {
            sent: now.0,
            epoch: self.epoch,
            echo_sent: link.map_or(0, |link| link.sent),
            echo_epoch: link.map_or(0, |link| link.epoch),
        }
    }

    /// Handles a pulse from `vm`.
    pub fn receive(&mut self, now: Time, vm: VmId, pulse: &wire::Pulse) {
        let index = match self.peers.iter().position(|link| link.vm == vm) {
            Some(index) => index,
            None => {
                self.peers.push(Link {
                    vm,
                    last_pulses: Vec::new(),
                    epoch: 0,
                    sent: 0,
                    acked: None,
                });
                self.peers.len() - 1
            }
        };
        let own = self.epoch;
        let link = &mut self.peers[index];
        link.record_pulse(now, pulse.epoch);
        if link.epoch != pulse.epoch || link.sent < pulse.sent {
            link.epoch = pulse.epoch;
            link.sent = pulse.sent;
        }
        // An acknowledgement addressed to an earlier process of this VM contains a time of another
        // clock, which may lie in the future and would extend the lease without the consent of a
        // quorum. The epoch tells them apart.
        let ack = (Time(pulse.echo_sent), pulse.epoch);
        if pulse.echo_epoch == own && link.acked.is_none_or(|(sent, _)| sent < ack.0) {
            link.acked = Some(ack);
        }
    }

    /// Returns when the last pulse of `vm` in `epoch` arrived.
    pub(super) fn last_pulse(&self, vm: VmId, epoch: u64) -> Option<Time> {
        let found = self.link(vm)?.last_pulses.iter().find(|(known, _)| *known == epoch);
        found.map(|(_, arrived)| *arrived)
    }

    /// Returns when the latest pulse was sent that `vm` acknowledged in epoch `theirs`, if this
    /// VM's epoch is still `own`.
    pub(super) fn acked(&self, vm: VmId, theirs: u64, own: u64) -> Option<Time> {
        let (sent, epoch) = self.link(vm).filter(|_| own == self.epoch)?.acked?;
        (epoch == theirs).then_some(sent)
    }

    /// Returns when the latest pulse was sent that `vm` acknowledged in any epoch. Used only if a
    /// test disables the epoch safeguard.
    pub(super) fn acked_any_epoch(&self, vm: VmId) -> Option<Time> {
        self.link(vm)?.acked.map(|(sent, _)| sent)
    }

    /// Returns whether `vm` has sent pulses before, but none within `timeout`.
    pub(super) fn is_silent(&self, now: Time, vm: VmId, timeout: Duration) -> bool {
        let last = self.link(vm).and_then(|link| link.last_pulses.last());
        last.is_some_and(|(_, arrived)| now >= *arrived + timeout)
    }

    fn link(&self, vm: VmId) -> Option<&Link> {
        self.peers.iter().find(|link| link.vm == vm)
    }
}

impl Link {
    /// Records a pulse and keeps those of other recent epochs.
    ///
    /// A delayed pulse of an earlier epoch must not erase a newer epoch: the peer's lease may rest
    /// on a reply to the newer one, and a replica here would vote before that lease ends.
    fn record_pulse(&mut self, now: Time, epoch: u64) {
        self.last_pulses
            .retain(|(known, arrived)| *known != epoch && now < *arrived + EPOCH_RETENTION);
        self.last_pulses.push((epoch, now));
    }
}
