//! Failure detection: one VM is probed per period, directly and then through other VMs.

use std::net::SocketAddr;

use rand::seq::SliceRandom;

use super::{Effect, MAX_HEALTH_PENALTY, Membership, Mutation};
use crate::prelude::*;
use crate::wire::membership as wire;
use crate::wire::membership::datagram::Body;

/// The probe in progress.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    target: VmId,
    sequence: u32,
    /// When the indirect probes are sent; `None` after that.
    indirect_at: Option<Time>,
    deadline: Time,
    /// Whether another VM answered that it couldn't reach the target either.
    nacked: bool,
}

impl Probe {
    /// Returns when the probe next needs a tick.
    pub fn next_tick(&self) -> Time {
        self.indirect_at.unwrap_or(self.deadline)
    }
}

/// A ping sent on behalf of another VM.
#[derive(Clone, Debug)]
pub(super) struct RelayedPing {
    sequence: u32,
    requester: SocketAddr,
    request_sequence: u32,
    /// When a nack is sent to the requester.
    pub deadline: Time,
}

impl Membership {
    /// Continues the probe in progress, or begins the next one when its period starts.
    pub(super) fn advance_probe(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if let Some(probe) = &mut self.probe
            && probe.indirect_at.is_some_and(|at| now >= at)
        {
            probe.indirect_at = None;
            let (target, sequence) = (probe.target, probe.sequence);
            self.probe_indirectly(target, sequence, effects);
        }
        if self.probe.as_ref().is_some_and(|probe| now >= probe.deadline) {
            self.fail_probe(now, effects);
        }
        if now >= self.due.probe && self.probe.is_none() {
            self.begin_probe(now, effects);
        }
    }

    /// Begins a probe of the next VM.
    ///
    /// Timeouts grow with the health penalty, as in Lifeguard. Otherwise a VM that is overloaded or
    /// partly disconnected would suspect all others.
    fn begin_probe(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let times = self.settings.times;
        let multiplier = 1 + self.health_penalty;
        let period = self.millis(times.period_ms * multiplier);
        self.due.probe = now + period;
        let Some(target) = self.next_target() else { return };
        let sequence = self.next_sequence();
        self.counts.probes += 1;
        self.probe = Some(Probe {
            target,
            sequence,
            indirect_at: Some(now + self.millis(times.direct_ms * multiplier)),
            deadline: now + period,
            nacked: false,
        });
        let ping = wire::Ping { sequence, target: Some(target.0) };
        self.send_to(target, Some(Body::Ping(ping)), effects);
    }

    /// Returns the next VM to probe, in a random order that changes after each round. Each VM is
    /// thereby probed by every other within a bounded time.
    fn next_target(&mut self) -> Option<VmId> {
        loop {
            if self.order.is_empty() {
                self.order = self.shuffled_targets();
            }
            let vm = self.order.pop()?;
            if self.member(vm).is_some_and(|member| member.is_up()) {
                return Some(vm);
            }
        }
    }

    fn probe_indirectly(&mut self, target: VmId, sequence: u32, effects: &mut Vec<Effect>) {
        if self.settings.mutation == Mutation::NoIndirect {
            return;
        }
        for relay in self.relays(target) {
            let request = wire::PingRequest { sequence, target: target.0 };
            self.send_to(relay, Some(Body::PingRequest(request)), effects);
        }
    }

    /// Chooses the VMs for indirect probes, preferably from different failure domains other than
    /// this VM's own, since VMs behind the same failing switch can't reach the target either.
    fn relays(&mut self, target: VmId) -> Vec<VmId> {
        let own = self.settings.domain;
        let up = self.records.values().map(|record| &record.member);
        let up = up.filter(|member| member.is_up() && member.vm != target);
        let mut candidates: Vec<(VmId, DomainId)> =
            up.map(|member| (member.vm, member.domain)).collect();
        candidates.shuffle(&mut self.random);
        if self.settings.mutation != Mutation::AnyDomain {
            rank_by_domain(&mut candidates, own);
        }
        candidates.truncate(self.settings.times.indirect);
        candidates.into_iter().map(|(vm, _)| vm).collect()
    }

    fn fail_probe(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let Some(probe) = self.probe.take() else { return };
        if !probe.nacked && self.settings.times.indirect > 0 {
            // Without any answer, the cause may be this VM itself.
            self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
        }
        self.suspect(probe.target, now, effects);
    }

    pub(super) fn handle_ping(
        &mut self,
        sender: VmId,
        from: SocketAddr,
        ping: wire::Ping,
        effects: &mut Vec<Effect>,
    ) {
        if ping.target.is_some_and(|target| target != self.settings.vm.0) {
            return;
        }
        let ack = Body::Ack(wire::Ack { sequence: ping.sequence });
        let bytes = self.datagram(Some(sender), Some(ack));
        effects.push(Effect::Send { to: from, bytes });
    }

    /// Completes the probe that an ack answers, or forwards the ack to the VM that requested it.
    pub(super) fn handle_ack(&mut self, ack: wire::Ack, effects: &mut Vec<Effect>) {
        if self.probe.as_ref().is_some_and(|probe| probe.sequence == ack.sequence) {
            self.probe = None;
            self.health_penalty = self.health_penalty.saturating_sub(1);
            return;
        }
        let index = self.relayed.iter().position(|relayed| relayed.sequence == ack.sequence);
        let Some(index) = index else { return };
        let relayed = self.relayed.swap_remove(index);
        let body = Body::Ack(wire::Ack { sequence: relayed.request_sequence });
        let bytes = self.datagram(None, Some(body));
        effects.push(Effect::Send { to: relayed.requester, bytes });
    }

    pub(super) fn handle_nack(&mut self, nack: wire::Nack) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == nack.sequence
        {
            probe.nacked = true;
        }
    }

    pub(super) fn handle_ping_request(
        &mut self,
        now: Time,
        requester: SocketAddr,
        request: wire::PingRequest,
        effects: &mut Vec<Effect>,
    ) {
        let sequence = self.next_sequence();
        let deadline = now + self.millis(self.settings.times.direct_ms);
        self.relayed.push(RelayedPing {
            sequence,
            requester,
            request_sequence: request.sequence,
            deadline,
        });
        let ping = wire::Ping { sequence, target: Some(request.target) };
        self.send_to(VmId(request.target), Some(Body::Ping(ping)), effects);
    }

    pub(super) fn expire_relayed(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let (expired, pending): (Vec<RelayedPing>, Vec<RelayedPing>) =
            self.relayed.drain(..).partition(|relayed| now >= relayed.deadline);
        self.relayed = pending;
        for relayed in expired {
            let nack = Body::Nack(wire::Nack { sequence: relayed.request_sequence });
            let bytes = self.datagram(None, Some(nack));
            effects.push(Effect::Send { to: relayed.requester, bytes });
        }
    }
}

/// Sorts one VM of each other domain first and the VMs of domain `own` last.
fn rank_by_domain(candidates: &mut [(VmId, DomainId)], own: DomainId) {
    let mut seen = Vec::new();
    let mut rank = |domain: DomainId| {
        if domain == own {
            return 2;
        }
        if seen.contains(&domain) {
            return 1;
        }
        seen.push(domain);
        0
    };
    let ranks: Vec<u8> = candidates.iter().map(|(_, domain)| rank(*domain)).collect();
    let mut ranked: Vec<(u8, (VmId, DomainId))> =
        ranks.into_iter().zip(candidates.iter().copied()).collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    for (slot, (_, candidate)) in candidates.iter_mut().zip(ranked) {
        *slot = candidate;
    }
}
