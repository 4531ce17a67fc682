//! Measures the distribution of bundles through the relay tree: time until a revision is in
//! force, requests and bytes at the leader and at the busiest VM, by number of VMs. Run it with
//! `--release`; the figures are on a virtual clock. See docs/measurements/lease.md.

use std::collections::BTreeMap;

use bytes::Bytes;
use gypsumglade_core::bundle::{Digest, KeyPair, OperatorKeys, SignedBundle};
use gypsumglade_core::control::Control;
use gypsumglade_core::lease::{
    ConfigGrants, InForce, LeaseSettings, Relay, Upstream, VmRegion, serve, upstreams,
};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::command::Body;
use gypsumglade_core::wire::control::{
    Accept, Command, ConfirmReply, ConfirmRequest, Content, content,
};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 4;
const REGIONS: u32 = 4;
const ROLLS: u32 = 5;
/// One step of the virtual clock, and the entry VM's pause between looks at its lease.
const STEP: Duration = Duration::from_millis(10);
const POLL_STEPS: u64 = 5;
/// One way between regions, and within one.
const FAR: Duration = Duration::from_millis(10);
const NEAR: Duration = Duration::from_millis(1);

/// Somebody's wire address: zero is the leader.
type Place = u32;

enum Packet {
    Request(ConfirmRequest),
    Reply(ConfirmReply),
}

struct World {
    now: Time,
    control: Control,
    grants: ConfigGrants,
    keys: OperatorKeys,
    pair: KeyPair,
    relays: BTreeMap<Place, Relay>,
    paths: BTreeMap<Place, Vec<Upstream>>,
    phases: BTreeMap<Place, u64>,
    wire: Vec<(Time, Place, Place, Packet)>,
    silent: Option<Place>,
    bytes: BTreeMap<Place, u64>,
    requests: u64,
    lapses: u64,
}

impl World {
    fn new(size: u32) -> World {
        let settings = LeaseSettings::default();
        let now = Time::from_millis(10_000);
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        let region = |vm: u32| VmRegion { vm: VmId(vm), region: RegionId((vm % REGIONS) as u16) };
        let members: Vec<VmRegion> = (1..=size).map(region).collect();
        let pair = KeyPair::from_seed([1; 32]);
        let relay = |vm: u32| (vm, Relay::new(settings, VmId(vm), vm.into(), now));
        World {
            now,
            control: Control::new(),
            grants: ConfigGrants::for_leader(settings, now),
            keys: OperatorKeys { keys: vec![pair.public()], threshold: 1 },
            pair,
            relays: (1..=size).map(relay).collect(),
            paths: (1..=size).map(|vm| (vm, upstreams(region(vm), &members))).collect(),
            phases: (1..=size).map(|vm| (vm, random.random_range(0..POLL_STEPS))).collect(),
            wire: Vec::new(),
            silent: None,
            bytes: BTreeMap::new(),
            requests: 0,
            lapses: 0,
        }
    }

    fn roll(&mut self) -> RevisionNumber {
        let base = self.control.history().number().0;
        let text: Bytes = format!("version: \"{}\"\n", base + 1).into();
        let mut signed = SignedBundle::new(text.clone()).expect("a sound bundle");
        signed.sign(&self.pair).expect("a sound bundle");
        let accept = Accept {
            order_id: base.to_string(),
            base_revision: base,
            version: (base + 1).to_string(),
            digest: Digest::of(&text).to_wire(),
            content: Some(Content { body: Some(content::Body::Whole(text)) }),
            signatures: signed.signatures.iter().map(|signature| signature.to_wire()).collect(),
        };
        self.control.apply(&Command { body: Some(Body::Accept(accept)) });
        self.control.history().number()
    }

    fn send(&mut self, from: Place, to: Place, packet: Packet) {
        let size = match &packet {
            Packet::Request(request) => request.encoded_len(),
            Packet::Reply(reply) => reply.encoded_len(),
        };
        for place in [from, to] {
            *self.bytes.entry(place).or_default() += size as u64;
        }
        if self.silent.is_some_and(|silent| silent == from || silent == to) {
            return;
        }
        let delay = if from % REGIONS == to % REGIONS { NEAR } else { FAR };
        self.wire.push((self.now + delay, from, to, packet));
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let step = self.now.as_millis() / STEP.as_millis() as u64;
        let vms: Vec<Place> = self.relays.keys().copied().collect();
        for vm in vms {
            if step % POLL_STEPS == self.phases[&vm] {
                self.ask(vm);
            }
        }
        while let Some(due) = self.wire.iter().position(|(at, ..)| *at <= self.now) {
            let (_, from, to, packet) = self.wire.swap_remove(due);
            self.deliver(from, to, packet);
        }
    }

    fn ask(&mut self, vm: Place) {
        let relay = self.relays.get_mut(&vm).expect("known");
        let working = relay.lease().working_revision(self.now).is_some();
        self.lapses += u64::from(!working && Some(vm) != self.silent);
        let path = &self.paths[&vm];
        let upstream = path[relay.lease().failures() % path.len()];
        if let Some(request) = relay.next_request(self.now) {
            let to = match upstream {
                Upstream::Control => 0,
                Upstream::Vm(vm) => vm.0,
            };
            self.requests += u64::from(to == 0);
            self.send(vm, to, Packet::Request(request));
        }
    }

    fn deliver(&mut self, from: Place, to: Place, packet: Packet) {
        match packet {
            Packet::Request(request) => {
                let reply = match self.relays.get_mut(&to) {
                    Some(relay) => relay.serve(&request, self.now),
                    None => {
                        let length = LeaseSettings::default().length();
                        let history = self.control.history();
                        serve(history, &mut self.grants, length, &request, self.now)
                    }
                };
                self.send(to, from, Packet::Reply(reply));
            }
            Packet::Reply(reply) => {
                let relay = self.relays.get_mut(&to).expect("known");
                relay.handle_reply(reply, &self.keys, self.now).expect("verifies");
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Rolls a revision; returns seconds until all that can be reached have applied it, and until
    /// it is in force.
    fn roll_time(&mut self) -> (f64, f64) {
        let start = self.now;
        let revision = self.roll();
        let (mut applied, mut in_force) = (None, None);
        while applied.is_none() || in_force.is_none() {
            self.step();
            let reached = |(vm, relay): (&Place, &Relay)| {
                Some(*vm) == self.silent || relay.lease().applied() == revision
            };
            if applied.is_none() && self.relays.iter().all(reached) {
                applied = Some(self.now.since(start).as_secs_f64());
            }
            if in_force.is_none() && self.grants.in_force(revision, self.now) == InForce::Yes {
                in_force = Some(self.now.since(start).as_secs_f64());
            }
        }
        (applied.unwrap_or_default(), in_force.unwrap_or_default())
    }
}

fn main() {
    println!(
        "| VMs | leader requests/s | leader B/s | busiest VM B/s | applied s | in force s | with a silent VM s | lapses |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for size in [9, 50, 200, 390] {
        measure(size);
    }
}

fn measure(size: u32) {
    const QUIET: Duration = Duration::from_secs(30);
    let mut world = World::new(size);
    world.roll();
    world.run(Duration::from_secs(20));
    (world.bytes, world.requests, world.lapses) = (BTreeMap::new(), 0, 0);
    world.run(QUIET);
    let rate = |bytes: u64| bytes as f64 / QUIET.as_secs_f64();
    let requests = rate(world.requests);
    let leader = rate(world.bytes.remove(&0).unwrap_or_default());
    let busiest = rate(world.bytes.values().copied().max().unwrap_or_default());
    let (mut applied, mut in_force) = (0.0_f64, 0.0_f64);
    for roll in 0..ROLLS {
        world.run(Duration::from_millis(5_000 + 170 * u64::from(roll)));
        let times = world.roll_time();
        (applied, in_force) = (applied.max(times.0), in_force.max(times.1));
    }
    let lapses = world.lapses;
    world.silent = Some(size);
    let silent = world.roll_time().1;
    println!(
        "| {size} | {requests:.1} | {leader:.0} | {busiest:.0} | {applied:.2} | {in_force:.2} | {silent:.2} | {lapses} |"
    );
}
