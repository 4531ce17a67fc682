//! Handling of received updates: merging them into records, refuting them, and tracking suspicions.

use super::member::{Merged, Record};
use super::suspicion::Suspicion;
use super::{Effect, Liveness, MAX_HEALTH_PENALTY, Membership, Mutation, REFUTATION_ROUNDS};
use crate::prelude::*;
use crate::wire::membership as wire;

/// Where an update came from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    pub sender: VmId,
    /// Whether it was pulled with a page of members.
    pub pulled: bool,
}

impl Origin {
    /// Returns `true` if an update must be gossiped: a change of liveness, a VM that joins, or a
    /// profile received from its own VM.
    ///
    /// Other profiles, and VMs found by a pull, reach everyone by pulls. Gossiping them would fill
    /// the datagrams of a cold start with known data.
    fn should_gossip(self, vm: VmId, merged: Merged) -> bool {
        match merged {
            Merged::Stale => false,
            Merged::Liveness => true,
            Merged::New => !self.pulled,
            Merged::Profile => self.sender == vm,
        }
    }
}

/// Turns a pulled report of a death into a suspicion by the sender.
///
/// After a partition, each side considers the other dead. A suspicion gives a VM that is up the
/// time to refute the report.
pub(super) fn as_suspicion(rumour: &wire::Rumour, sender: VmId) -> wire::Rumour {
    let liveness = Liveness::Suspect.into();
    wire::Rumour { liveness, accuser: sender.0, ..rumour.clone() }
}

impl Membership {
    /// Applies an update of one VM: merges it, and gossips it if others need it.
    pub(super) fn apply_rumour(
        &mut self,
        rumour: &wire::Rumour,
        origin: Origin,
        now: Time,
        effects: &mut Vec<Effect>,
    ) {
        let vm = VmId(rumour.vm);
        if vm == self.settings.vm {
            self.refute(rumour);
            return;
        }
        let ignore_order = self.settings.mutation == Mutation::IgnoreIncarnation;
        let merged = match self.records.get_mut(&vm) {
            Some(record) => record.merge(rumour, now, ignore_order),
            None => {
                let Some(record) = Record::first(rumour, now) else { return };
                self.records.insert(vm, record);
                self.found_new = true;
                Merged::New
            }
        };
        if origin.should_gossip(vm, merged) {
            self.gossip.add(vm, merged);
        }
        if merged != Merged::Stale {
            effects.push(Effect::Changed(vm));
        }
        if rumour.liveness() == Liveness::Suspect {
            self.record_accuser(vm, rumour, now);
        }
    }

    /// Starts or confirms a suspicion with the accuser that a rumour names.
    fn record_accuser(&mut self, vm: VmId, rumour: &wire::Rumour, now: Time) {
        let size = self.size();
        let Some(record) = self.records.get_mut(&vm) else { return };
        let current = record.member.liveness == Liveness::Suspect
            && record.member.incarnation == rumour.incarnation;
        if !current {
            return;
        }
        let accuser = VmId(rumour.accuser);
        match &mut record.suspicion {
            Some(suspicion) => {
                if suspicion.confirm(accuser) {
                    self.gossip.add(vm, Merged::Liveness);
                }
            }
            None => {
                let suspicion = Suspicion::new(&self.settings.times, size, accuser, now);
                record.suspicion = Some(suspicion);
            }
        }
    }

    /// Refutes a rumour about this VM that contradicts its state, with a higher incarnation.
    ///
    /// This includes rumours about an earlier run of this VM with a higher incarnation.
    fn refute(&mut self, rumour: &wire::Rumour) {
        let me = &mut self.me;
        let older = rumour.incarnation < me.member.incarnation;
        let same = rumour.incarnation == me.member.incarnation;
        let matches = same && rumour.liveness() == me.member.liveness;
        let disabled = self.settings.mutation == Mutation::NoRefute;
        if older || matches || disabled || self.leaving.is_some() {
            return;
        }
        me.member.incarnation = rumour.incarnation.saturating_add(1);
        // The profile must be newer than that of an earlier run of this VM.
        me.profile.0 = me.member.incarnation;
        self.counts.refutations += 1;
        if rumour.liveness() == Liveness::Suspect {
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
        }
        self.refutation_rounds = REFUTATION_ROUNDS;
    }

    /// Suspects a VM that is up, and gossips the suspicion.
    pub(super) fn suspect(&mut self, vm: VmId, now: Time, effects: &mut Vec<Effect>) {
        let Some(record) = self.records.get(&vm) else { return };
        if !record.member.is_up() {
            return;
        }
        self.counts.suspicions += u64::from(record.member.liveness == Liveness::Alive);
        let rumour = wire::Rumour {
            vm: vm.0,
            incarnation: record.member.incarnation,
            liveness: Liveness::Suspect.into(),
            accuser: self.settings.vm.0,
            profile: None,
        };
        let origin = Origin { sender: self.settings.vm, pulled: false };
        self.apply_rumour(&rumour, origin, now, effects);
    }

    /// Declares VMs dead whose suspicion has expired, and removes VMs that have been gone for long.
    pub(super) fn expire_suspicions(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let forget = self.millis(self.settings.times.forget_ms);
        self.records
            .retain(|_, record| record.member.is_up() || now.since(record.changed) < forget);
        for (vm, record) in &mut self.records {
            let expired = record.suspicion.as_ref().is_some_and(|held| now >= held.deadline());
            if !expired {
                continue;
            }
            record.suspicion = None;
            record.member.liveness = Liveness::Dead;
            record.changed = now;
            self.gossip.add(*vm, Merged::Liveness);
            effects.push(Effect::Changed(*vm));
        }
    }
}
