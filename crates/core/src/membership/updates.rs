//! Taking news in: merging it, objecting to it, and the suspicions it starts.

use super::member::{Merged, Record};
use super::suspicion::Suspicion;
use super::{Effect, Liveness, MAX_HEALTH_PENALTY, Membership, Mutation, REFUTATION_ROUNDS};
use crate::prelude::*;
use crate::wire::membership as wire;

/// How a piece of news came here.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    pub sender: VmId,
    /// It stood on a page of members, and so isn't news to others.
    pub pulled: bool,
}

impl Origin {
    /// Returns true for what must be passed on: news of liveness, a VM that joins, and the
    /// profile that a VM tells of itself. Other profiles, and VMs that a page told of, reach all
    /// by pages; passing them on would fill the datagrams of a cold start with what is known.
    fn should_gossip(self, vm: VmId, merged: Merged) -> bool {
        match merged {
            Merged::Stale => false,
            Merged::Liveness => true,
            Merged::New => !self.pulled,
            Merged::Profile => self.sender == vm,
        }
    }
}

/// Turns a pulled death into a suspicion. After a partition each side holds the other for dead;
/// taking that over page by page would make VMs that are up count as dead on their own side
/// until they object, while a suspicion gives them the time to.
pub(super) fn as_suspicion(rumour: &wire::Rumour, sender: VmId) -> wire::Rumour {
    let liveness = Liveness::Suspect.into();
    wire::Rumour { liveness, accuser: sender.0, ..rumour.clone() }
}

impl Membership {
    /// Takes one piece of news.
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

    /// Starts or confirms the suspicion that a rumour tells of.
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

    /// Objects to news that this VM is anything but alive, or that it lives on in an earlier
    /// incarnation of a higher number.
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
        // A restarted VM's profile must pass the one of its earlier life.
        me.profile.0 = me.member.incarnation;
        self.counts.refutations += 1;
        if rumour.liveness() == Liveness::Suspect {
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
        }
        self.refutation_rounds = REFUTATION_ROUNDS;
    }

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
