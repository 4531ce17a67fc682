//! Simulation of many membership cores in one process, with a datagram queue and a virtual clock.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use bytes::Bytes;
use gypsumglade_core::membership::{
    Effect, Input, Liveness, Membership, Mutation, Settings, Times,
};
use gypsumglade_core::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes added to each datagram: the IP and UDP headers and the driver's tag.
pub const OVERHEAD: u64 = 28 + 32;
/// Spreads VMs evenly over eleven failure domains.
pub fn eleven_domains(vm: VmId) -> u16 {
    (vm.0 % 11) as u16
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at: Time,
    number: u64,
    to: VmId,
    /// A datagram with its sender, or `None` for a tick.
    datagram: Option<(VmId, Bytes)>,
}

/// Returns whether datagrams from the first VM to the second are dropped.
pub type Cut = fn(VmId, VmId) -> bool;

/// Simulated network of membership cores, with counters.
pub struct Net {
    pub now: Time,
    pub nodes: BTreeMap<VmId, Membership>,
    pub loss: f64,
    pub cut: Option<Cut>,
    pub bytes: u64,
    pub largest: usize,
    /// Number of times a VM recorded a running VM as dead while no link was cut.
    pub false_deaths: u64,
    queue: BinaryHeap<Reverse<Event>>,
    events: u64,
    rng: ChaCha8Rng,
    mutation: Mutation,
    domain: fn(VmId) -> u16,
}

pub fn address(vm: VmId) -> SocketAddr {
    SocketAddr::from(([10, 0, (vm.0 >> 8) as u8, vm.0 as u8], 7_000))
}

impl Net {
    pub fn new(size: u32, loss: f64, seed: u64, mutation: Mutation) -> Net {
        Net::with_domains(size, loss, seed, mutation, eleven_domains)
    }

    pub fn with_domains(
        size: u32,
        loss: f64,
        seed: u64,
        mutation: Mutation,
        domain: fn(VmId) -> u16,
    ) -> Net {
        let mut net = Net {
            now: Time::from_millis(1_000),
            nodes: BTreeMap::new(),
            loss,
            cut: None,
            bytes: 0,
            largest: 0,
            false_deaths: 0,
            queue: BinaryHeap::new(),
            events: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            mutation,
            domain,
        };
        for vm in 1..=size {
            net.start(VmId(vm), 1);
        }
        net
    }

    /// Starts a VM, or restarts it with empty state.
    pub fn start(&mut self, vm: VmId, incarnation: u32) {
        let domain = (self.domain)(vm);
        let settings = Settings {
            vm,
            address: address(vm),
            domain: DomainId(domain),
            region: RegionId(domain % 4),
            seeds: (1..=3).map(|seed| address(VmId(seed))).collect(),
            incarnation,
            seed: self.rng.random(),
            times: Times::default(),
            mutation: self.mutation,
        };
        let node = Membership::new(settings, self.now);
        self.push(node.next_tick(), vm, None);
        self.nodes.insert(vm, node);
    }

    pub fn kill(&mut self, vm: VmId) {
        self.nodes.remove(&vm);
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` holds or `end` is reached, checking every 100 ms; returns whether it held.
    pub fn run_until(&mut self, end: Time, done: impl Fn(&Net) -> bool) -> bool {
        while !done(self) {
            if self.now >= end {
                return false;
            }
            let next = (self.now + Duration::from_millis(100)).min(end);
            while self.queue.peek().is_some_and(|Reverse(event)| event.at <= next) {
                self.next_event();
            }
            self.now = next;
        }
        true
    }

    /// Passes an input to a VM directly, not through the queue.
    pub fn input(&mut self, vm: VmId, input: Input) {
        let Some(node) = self.nodes.get_mut(&vm) else { return };
        let effects = node.step(self.now, input);
        let next_tick = node.next_tick();
        self.push(next_tick, vm, None);
        for effect in effects {
            self.apply_effect(vm, effect);
        }
    }

    fn next_event(&mut self) {
        let Some(Reverse(event)) = self.queue.pop() else { return };
        self.now = self.now.max(event.at);
        match event.datagram {
            Some((from, bytes)) => {
                let from = address(from);
                self.input(event.to, Input::Datagram { from, bytes });
            }
            // Skips a tick that an earlier input has postponed.
            None if self.nodes.get(&event.to).is_some_and(|node| node.next_tick() <= self.now) => {
                self.input(event.to, Input::Tick);
            }
            None => {}
        }
    }

    fn apply_effect(&mut self, vm: VmId, effect: Effect) {
        match effect {
            Effect::Send { to, bytes } => self.send(vm, to, bytes),
            Effect::Changed(other) => {
                let dead = self.nodes[&vm].member(other).map(|member| member.liveness);
                let up = self.nodes.contains_key(&other) && self.cut.is_none();
                self.false_deaths += u64::from(up && dead == Some(Liveness::Dead));
            }
            Effect::Departed => self.kill(vm),
        }
    }

    fn send(&mut self, from: VmId, to: SocketAddr, bytes: Bytes) {
        self.bytes += bytes.len() as u64 + OVERHEAD;
        self.largest = self.largest.max(bytes.len());
        let SocketAddr::V4(v4) = to else { return };
        let [_, _, high, low] = v4.ip().octets();
        let to = VmId(u32::from(high) << 8 | u32::from(low));
        let cut = self.cut.is_some_and(|cut| cut(from, to));
        if cut || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(300..9_000));
        self.push(self.now + delay, to, Some((from, bytes)));
    }

    fn push(&mut self, at: Time, to: VmId, datagram: Option<(VmId, Bytes)>) {
        self.events += 1;
        self.queue.push(Reverse(Event { at, number: self.events, to, datagram }));
    }

    /// Returns whether every running VM considers exactly the running VMs up.
    pub fn agreed(&self) -> bool {
        let all = self.nodes.len() - 1;
        self.nodes.iter().all(|(vm, node)| {
            let up = node.members().filter(|member| member.is_up());
            let correct =
                up.filter(|member| member.vm != *vm && self.nodes.contains_key(&member.vm));
            correct.count() == all
                && node.members().all(|other| other.is_up() == self.nodes.contains_key(&other.vm))
        })
    }

    /// Returns the number of VMs that record this liveness for `vm`.
    pub fn holding(&self, vm: VmId, liveness: Liveness) -> usize {
        let nodes = self.nodes.values();
        nodes.filter(|node| node.member(vm).is_some_and(|known| known.liveness == liveness)).count()
    }

    pub fn suspicions(&self) -> u64 {
        self.nodes.values().map(|node| node.counts().suspicions).sum()
    }
}
