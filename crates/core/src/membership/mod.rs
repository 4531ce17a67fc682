//! Decentralized VM membership and failure detection, based on SWIM and Lifeguard.
//!
//! Each VM probes one other VM per period, indirectly through VMs of other failure domains if the
//! direct probe fails, and piggybacks updates on its datagrams. A suspected VM can refute the
//! suspicion with a higher incarnation before it is declared dead. From Lifeguard come suspicion
//! timeouts that shorten with each accuser, and slower probes by a VM whose own probes fail. The
//! load on each VM doesn't depend on the number of VMs. See docs/design/membership.md.

mod gossip;
mod member;
mod probe;
mod settings;
mod suspicion;
mod sync;
mod updates;

pub use crate::wire::membership::Liveness;
pub use member::Member;
pub use settings::{MAX_DATAGRAM, MAX_DIGEST, Mutation, Settings, Times};

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use prost::Message;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;
use crate::wire::membership as wire;
use crate::wire::membership::datagram::Body;
use gossip::Gossip;
use member::Record;
use probe::{Probe, RelayedPing};
use suspicion::Suspicion;
use updates::{Origin, as_suspicion};

/// Maximum health penalty of this VM; each point makes its probe period one base period longer.
const MAX_HEALTH_PENALTY: u64 = 4;
/// Number of rounds in which a leaving VM announces that it leaves.
const LEAVE_ROUNDS: u32 = 3;
/// Number of VMs that each of these rounds sends to.
const LEAVE_FAN_OUT: usize = 8;
/// Number of gossip rounds in which a VM sends a refutation.
const REFUTATION_ROUNDS: u32 = 4;
/// Maximum size of a datagram that only gossips, in bytes. It limits the bandwidth, as these are
/// sent several times a second while there are updates.
const MAX_GOSSIP: usize = 400;
/// Interval between the pulls of a VM that hasn't joined yet, in milliseconds.
const JOIN_PULL_MS: u64 = 200;

/// Event that the caller passes to [`Membership::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// The time of [`Membership::next_tick`] has come.
    Tick,
    /// A datagram arrived. The caller has checked that it comes from within the deployment.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Encoded datagram.
        bytes: Bytes,
    },
    /// The digest that this VM gossips about itself is replaced.
    SetDigest(Bytes),
    /// This VM shuts down as planned.
    Leave,
}

/// Action that the caller must take, or change that it may react to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Encoded datagram of at most [`MAX_DATAGRAM`] bytes.
        bytes: Bytes,
    },
    /// The state of another VM changed.
    Changed(VmId),
    /// This VM has announced that it leaves; the process may exit.
    Departed,
}

/// Counters of this VM's activity, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Probes started.
    pub probes: u64,
    /// Suspicions raised after failed probes of this VM.
    pub suspicions: u64,
    /// Rumours about this VM that it refuted.
    pub refutations: u64,
    /// Datagrams that couldn't be decoded.
    pub malformed: u64,
}

/// One VM's view of the membership, and its protocol state.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    random: ChaCha8Rng,
    me: Record,
    records: BTreeMap<VmId, Record>,
    gossip: Gossip,
    /// VMs still to be probed in this round, the next one last.
    order: Vec<VmId>,
    probe: Option<Probe>,
    relayed: Vec<RelayedPing>,
    sequence: u32,
    /// Lifeguard's local health score, which grows when this VM itself may be the cause of failed
    /// probes.
    health_penalty: u64,
    due: Due,
    /// First VM of the next page to pull.
    pull_start: u32,
    /// Whether a whole round of pages contained no unknown VM.
    joined: bool,
    /// Whether the current round of pages contained an unknown VM.
    found_new: bool,
    /// Number of announcement rounds sent since this VM began to leave.
    leaving: Option<u32>,
    /// Number of gossip rounds in which this VM still sends its refutation.
    refutation_rounds: u32,
    counts: Counts,
}

/// Next time of each periodic task.
#[derive(Clone, Copy, Debug)]
struct Due {
    probe: Time,
    gossip: Time,
    pull: Time,
    reconnect: Time,
}

impl Membership {
    /// Creates a view that contains only this VM; others are found through the seeds.
    pub fn new(settings: Settings, now: Time) -> Membership {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        let member = Member {
            vm: settings.vm,
            address: settings.address,
            domain: settings.domain,
            region: settings.region,
            liveness: Liveness::Alive,
            incarnation: settings.incarnation,
            digest: Bytes::new(),
        };
        let profile = (settings.incarnation, 0);
        let me = Record { member, profile, suspicion: None, changed: now };
        // VMs that start at the same time must not probe at the same time.
        let jitter = Duration::from_millis(random.random_range(0..settings.times.period_ms.max(1)));
        let later = now + jitter;
        Membership {
            settings,
            random,
            me,
            records: BTreeMap::new(),
            gossip: Gossip::default(),
            order: Vec::new(),
            probe: None,
            relayed: Vec::new(),
            sequence: 0,
            health_penalty: 0,
            due: Due { probe: later, gossip: later, pull: later, reconnect: now },
            pull_start: 0,
            joined: false,
            found_new: false,
            leaving: None,
            refutation_rounds: 0,
            counts: Counts::default(),
        }
    }

    /// Returns the state that this VM announces of itself.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// Returns all other known VMs by id, including dead ones and ones that have left.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.records.values().map(|record| &record.member)
    }

    /// Returns the state of another VM, if it is known.
    pub fn member(&self, vm: VmId) -> Option<&Member> {
        self.records.get(&vm).map(|record| &record.member)
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick(&self) -> Time {
        let due = self.due;
        if self.leaving.is_some() {
            return due.gossip;
        }
        let probe = self.probe.as_ref().map_or(Time::MAX, Probe::next_tick);
        let relayed =
            self.relayed.iter().map(|relayed| relayed.deadline).min().unwrap_or(Time::MAX);
        let suspicions = self.records.values().filter_map(|record| record.suspicion.as_ref());
        let suspicion = suspicions.map(Suspicion::deadline).min().unwrap_or(Time::MAX);
        let regular = due.probe.min(due.gossip).min(due.pull).min(due.reconnect);
        regular.min(probe).min(relayed).min(suspicion)
    }

    /// Handles an input and returns the resulting effects.
    pub fn step(&mut self, now: Time, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut effects),
            Input::Datagram { from, bytes } => self.receive(now, from, &bytes, &mut effects),
            Input::SetDigest(digest) => self.set_digest(digest),
            Input::Leave => {
                self.me.member.liveness = Liveness::Left;
                self.leaving = Some(0);
                self.due.gossip = now;
            }
        }
        effects
    }

    fn tick(&mut self, now: Time, effects: &mut Vec<Effect>) {
        self.expire_suspicions(now, effects);
        self.expire_relayed(now, effects);
        if now >= self.due.gossip {
            self.due.gossip = now + self.millis(self.settings.times.gossip_ms);
            self.send_gossip(effects);
        }
        if self.leaving.is_some() {
            return;
        }
        self.advance_probe(now, effects);
        if now >= self.due.pull {
            let pull_ms = if self.joined { self.settings.times.pull_ms } else { JOIN_PULL_MS };
            self.due.pull = now + self.millis(pull_ms);
            self.pull(effects);
        }
        if now >= self.due.reconnect {
            self.reconnect(now, effects);
        }
    }

    fn millis(&self, millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    /// Returns the number of VMs that are up, including this one.
    fn size(&self) -> usize {
        1 + self.records.values().filter(|record| record.member.is_up()).count()
    }

    fn set_digest(&mut self, digest: Bytes) {
        if digest == self.me.member.digest {
            return;
        }
        self.me.member.digest = digest.slice(..digest.len().min(MAX_DIGEST));
        self.me.profile.1 += 1;
    }

    fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], effects: &mut Vec<Effect>) {
        let Ok(datagram) = wire::Datagram::decode(bytes) else {
            self.counts.malformed += 1;
            return;
        };
        let sender = VmId(datagram.from);
        if sender == self.settings.vm {
            return;
        }
        let pulled = matches!(datagram.body, Some(Body::PullReply(_)));
        let origin = Origin { sender, pulled };
        for rumour in &datagram.rumours {
            match pulled && rumour.liveness() == Liveness::Dead {
                true => self.apply_rumour(&as_suspicion(rumour, sender), origin, now, effects),
                false => self.apply_rumour(rumour, origin, now, effects),
            }
        }
        if self.leaving.is_some() {
            return;
        }
        match datagram.body {
            Some(Body::Ping(ping)) => self.handle_ping(sender, from, ping, effects),
            Some(Body::Ack(ack)) => self.handle_ack(ack, effects),
            Some(Body::PingRequest(request)) => {
                self.handle_ping_request(now, from, request, effects)
            }
            Some(Body::Nack(nack)) => self.handle_nack(nack),
            Some(Body::PullRequest(pull)) => self.handle_pull_request(sender, from, pull, effects),
            Some(Body::PullReply(reply)) => self.handle_pull_reply(reply),
            None => {}
        }
    }

    /// Sends gossip datagrams while urgent updates are queued, a refutation is due or this VM
    /// leaves.
    fn send_gossip(&mut self, effects: &mut Vec<Effect>) {
        let fan_out = match &mut self.leaving {
            Some(LEAVE_ROUNDS) => return,
            Some(round) => {
                *round += 1;
                if *round == LEAVE_ROUNDS {
                    effects.push(Effect::Departed);
                }
                LEAVE_FAN_OUT
            }
            None if self.refutation_rounds > 0 || self.gossip.has_urgent() => {
                self.settings.times.gossip_fan_out
            }
            None => return,
        };
        self.refutation_rounds = self.refutation_rounds.saturating_sub(1);
        let mut targets = self.sample(fan_out, |member| member.is_up());
        targets.extend(self.own_suspects());
        for vm in targets {
            self.send_to(vm, None, effects);
        }
    }

    /// Returns the VMs whose suspicion this VM raised first. They receive every round of gossip, so
    /// that they can refute the suspicion even if datagrams are lost.
    fn own_suspects(&self) -> Vec<VmId> {
        let mine = |record: &&Record| {
            let accuser = record.suspicion.as_ref().map(Suspicion::accuser);
            accuser == Some(self.settings.vm)
        };
        self.records.values().filter(mine).map(|record| record.member.vm).collect()
    }

    /// Returns up to `count` distinct random VMs that match `filter`.
    fn sample(&mut self, count: usize, filter: impl Fn(&Member) -> bool) -> Vec<VmId> {
        let members = self.records.values().map(|record| &record.member);
        let picked: Vec<VmId> =
            members.filter(|member| filter(member)).map(|member| member.vm).collect();
        picked.sample(&mut self.random, count).copied().collect()
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    fn send_to(&mut self, vm: VmId, body: Option<Body>, effects: &mut Vec<Effect>) {
        let Some(to) = self.member(vm).map(|member| member.address) else { return };
        let bytes = self.datagram(Some(vm), body);
        effects.push(Effect::Send { to, bytes });
    }

    /// Encodes a datagram with as many updates as fit.
    fn datagram(&mut self, to: Option<VmId>, body: Option<Body>) -> Bytes {
        let max_bytes = if body.is_some() { MAX_DATAGRAM } else { MAX_GOSSIP };
        let mut datagram = self.header(to, body);
        self.gossip.fill(&mut datagram, &self.records, max_bytes);
        datagram.encode_to_vec().into()
    }

    /// Creates a datagram with the state of this VM and its view of the receiver, so that a
    /// suspected or restarted VM can refute it at once.
    fn header(&self, to: Option<VmId>, body: Option<Body>) -> wire::Datagram {
        let mut rumours = vec![self.me.rumour(true)];
        let receiver = to.and_then(|vm| self.records.get(&vm));
        rumours.extend(receiver.map(|receiver| receiver.rumour(false)));
        wire::Datagram { from: self.settings.vm.0, body, rumours }
    }

    /// Returns the VMs that are up in random order.
    fn shuffled_targets(&mut self) -> Vec<VmId> {
        let up = self.records.values().filter(|record| record.member.is_up());
        let mut order: Vec<VmId> = up.map(|record| record.member.vm).collect();
        order.shuffle(&mut self.random);
        order
    }
}
