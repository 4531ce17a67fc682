//! Liveness between VMs, shared by all groups that they have in common.
//!
//! A group with nothing to send would still need heartbeats, and a VM with hundreds of groups
//! would spend its time on them. So each pair of VMs exchanges one [`wire::Pulse`] for all, and an
//! idle group rests on it. docs/design/replication.md shows why that is as safe as heartbeats of
//! its own.

use super::types::Term;
use crate::prelude::*;
use crate::wire::replication as wire;

/// What one VM knows of its links to others.
///
/// The epoch stands for all that the VM's replicas said last: whom each follows, in which term.
/// It changes when any of that does, and a pulse vouches only for what was said under its epoch.
#[derive(Clone, Debug, Default)]
pub struct Links {
    epoch: u64,
    peers: Vec<Link>,
}

/// How long an epoch's last pulse is remembered; far longer than any follower's patience.
const EPOCH_RETENTION: Duration = Duration::from_secs(120);

/// A replica's term and the leader it follows: what a pulse vouches for.
pub(super) type TermLeader = (Term, Option<VmId>);

#[derive(Clone, Debug)]
struct Link {
    vm: VmId,
    /// When the last pulse of each of its latest epochs arrived, the last one last.
    last_pulses: Vec<(u64, Time)>,
    /// Its epoch in the pulse that is answered next.
    epoch: u64,
    /// When it was sent, on its clock.
    sent: u64,
    /// The latest own pulse that it answered, and its epoch then.
    acked: Option<(Time, u64)>,
}

impl Links {
    /// Returns the links of a process that has just started. `epoch` must be one that no earlier
    /// process of this VM had, such as a random number.
    pub fn new(epoch: u64) -> Links {
        Links { epoch, peers: Vec::new() }
    }

    /// Returns the epoch under which this VM speaks now.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Ends the epoch; due at [`super::Effect::NewEpoch`].
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

    /// Takes a pulse that arrived from `vm`.
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
        // An answer to an earlier process of this VM names a time on another clock. Taken for
        // ours, it could lie ahead and keep up a lease that no voter grants; the epoch tells.
        let answer = (Time(pulse.echo_sent), pulse.epoch);
        if pulse.echo_epoch == own && link.acked.is_none_or(|(sent, _)| sent < answer.0) {
            link.acked = Some(answer);
        }
    }

    /// Returns when `vm` was last heard under `epoch`.
    pub(super) fn last_pulse(&self, vm: VmId, epoch: u64) -> Option<Time> {
        let found = self.link(vm)?.last_pulses.iter().find(|(known, _)| *known == epoch);
        found.map(|(_, heard)| *heard)
    }

    /// Returns the latest own pulse that `vm` answered under `theirs`, if this VM's epoch is
    /// still `own`.
    pub(super) fn acked(&self, vm: VmId, theirs: u64, own: u64) -> Option<Time> {
        let (sent, epoch) = self.link(vm).filter(|_| own == self.epoch)?.acked?;
        (epoch == theirs).then_some(sent)
    }

    /// Returns the latest own pulse that `vm` answered in any epoch: what a leader would count
    /// that doesn't care about epochs.
    pub(super) fn acked_any_epoch(&self, vm: VmId) -> Option<Time> {
        self.link(vm)?.acked.map(|(sent, _)| sent)
    }

    /// Tells whether `vm` sends pulses but hasn't for longer than `patience`.
    pub(super) fn is_silent(&self, now: Time, vm: VmId, timeout: Duration) -> bool {
        let last = self.link(vm).and_then(|link| link.last_pulses.last());
        last.is_some_and(|(_, heard)| now >= *heard + timeout)
    }

    fn link(&self, vm: VmId) -> Option<&Link> {
        self.peers.iter().find(|link| link.vm == vm)
    }
}

impl Link {
    /// Notes a pulse of an epoch, and keeps what is known of others.
    ///
    /// A late pulse of an earlier epoch must not wipe out a newer one's: the sender may count on
    /// the answer to that, and a group here would forget that it still owes patience.
    fn record_pulse(&mut self, now: Time, epoch: u64) {
        self.last_pulses.retain(|(known, heard)| *known != epoch && now < *heard + EPOCH_RETENTION);
        self.last_pulses.push((epoch, now));
    }
}
