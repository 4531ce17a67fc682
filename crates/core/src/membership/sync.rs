//! Synchronization of views beside gossip: pulls of member pages, and contact with dead VMs.

use std::net::SocketAddr;

use prost::Message;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{Effect, Liveness, MAX_DATAGRAM, Membership, Mutation, gossip};
use crate::prelude::*;
use crate::wire::membership as wire;
use crate::wire::membership::datagram::Body;

impl Membership {
    /// Pings a random dead VM and a seed at whose address no VM is up, or all seeds if no other VM
    /// is up.
    ///
    /// After a partition in which each side declared the other dead, the two halves would otherwise
    /// never merge. Contact between any two VMs is enough, since the updates spread by gossip.
    pub(super) fn reconnect(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let alone = self.records.values().all(|record| !record.member.is_up());
        let times = self.settings.times;
        let pause = if alone { times.period_ms } else { times.contact_dead_ms };
        let jitter = self.random.random_range(0..=pause / 4);
        self.due.reconnect = now + Duration::from_millis(pause + jitter);
        if self.settings.mutation == Mutation::NoContactDead && self.joined {
            return;
        }
        for vm in self.sample(1, |member| member.liveness == Liveness::Dead) {
            let sequence = self.next_sequence();
            let ping = wire::Ping { sequence, target: Some(vm.0) };
            self.send_to(vm, Some(Body::Ping(ping)), effects);
        }
        let unreachable = self.unreachable_seeds();
        let count = if alone { unreachable.len() } else { 1 };
        let chosen: Vec<SocketAddr> =
            unreachable.sample(&mut self.random, count).copied().collect();
        for seed in chosen {
            let ping = wire::Ping { sequence: self.next_sequence(), target: None };
            let datagram = self.datagram(None, Some(Body::Ping(ping)));
            effects.push(Effect::Send { to: seed, bytes: datagram });
        }
    }

    fn unreachable_seeds(&self) -> Vec<SocketAddr> {
        let up = |seed: &SocketAddr| {
            let mut members = self.records.values().map(|record| &record.member);
            members.any(|member| member.is_up() && member.address == *seed)
        };
        let seeds = self.settings.seeds.iter();
        seeds.filter(|seed| **seed != self.settings.address && !up(seed)).copied().collect()
    }

    /// Pulls the next page of members from a random VM, to get updates that gossip missed.
    pub(super) fn pull(&mut self, effects: &mut Vec<Effect>) {
        if self.settings.mutation == Mutation::NoPull {
            return;
        }
        for vm in self.sample(1, |member| member.liveness == Liveness::Alive) {
            let pull = wire::PullRequest { start: self.pull_start };
            self.send_to(vm, Some(Body::PullRequest(pull)), effects);
        }
    }

    /// Sends the page of members that begins at the requested id, as many as fit in a datagram.
    pub(super) fn handle_pull_request(
        &mut self,
        sender: VmId,
        from: SocketAddr,
        pull: wire::PullRequest,
        effects: &mut Vec<Effect>,
    ) {
        let reply = Body::PullReply(wire::PullReply { next: u32::MAX });
        let mut page = self.header(Some(sender), Some(reply));
        let mut size = page.encoded_len();
        let mut next = 0;
        for (vm, record) in self.records.range(VmId(pull.start)..) {
            let rumour = record.rumour(true);
            size += gossip::rumour_bytes(&rumour);
            if size > MAX_DATAGRAM {
                next = vm.0;
                break;
            }
            page.rumours.push(rumour);
        }
        page.body = Some(Body::PullReply(wire::PullReply { next }));
        effects.push(Effect::Send { to: from, bytes: page.encode_to_vec().into() });
    }

    /// Moves on to the next page.
    ///
    /// A VM has joined once a round of all pages contained no unknown VM. When many VMs start at
    /// once, the first rounds come from VMs whose own view is incomplete.
    pub(super) fn handle_pull_reply(&mut self, reply: wire::PullReply) {
        self.pull_start = reply.next;
        if reply.next == 0 {
            self.joined |= !self.found_new;
            self.found_new = false;
        }
    }
}
