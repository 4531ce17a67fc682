//! VM membership after the published SWIM: who is up, without any VM in the middle.
//!
//! Each VM probes one other in each period, through VMs of other failure domains if the direct
//! way fails, and passes news on with its datagrams. A suspected VM can object by a higher
//! incarnation before it counts as dead. From Lifeguard come suspicions that shorten with each
//! accuser, and a VM that distrusts itself when its own probes fail. The cost of a VM doesn't
//! grow with their number. See docs/design/membership.md.

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

/// Worst health of this VM's own view; each point stretches its probes by a period.
const MAX_HEALTH_PENALTY: u64 = 4;
/// Rounds in which a leaving VM tells others.
const LEAVE_ROUNDS: u32 = 3;
/// VMs told in each of them.
const LEAVE_FAN_OUT: usize = 8;
/// Rounds of gossip in which a VM objects to being called suspect or dead.
const REFUTATION_ROUNDS: u32 = 4;
/// Most bytes of a datagram that only gossips. These are sent several times a second while there
/// is news, and with full ones a lossy network alone would use up the allowance for control.
const MAX_GOSSIP: usize = 400;
/// Milliseconds between a new VM's pulls, until it has seen every page.
const JOIN_PULL_MS: u64 = 200;

/// What happened to this VM.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed; [`Membership::wake`] tells when the next one is due.
    Tick,
    /// A datagram came, already checked to be from within the deployment.
    Datagram {
        /// Where it came from.
        from: SocketAddr,
        /// Its bytes.
        bytes: Bytes,
    },
    /// The digest that this VM spreads about itself changed.
    SetDigest(Bytes),
    /// This VM stops as planned.
    Leave,
}

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Its bytes, at most [`MAX_DATAGRAM`].
        bytes: Bytes,
    },
    /// What is known of this VM changed.
    Changed(VmId),
    /// The others were told that this VM leaves; the process may end.
    Departed,
}

/// Counts of what this VM did, for metrics and measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Probes begun.
    pub probes: u64,
    /// Suspicions raised by this VM itself.
    pub suspicions: u64,
    /// Suspicions of this VM that it objected to.
    pub refutations: u64,
    /// Datagrams that couldn't be read.
    pub malformed: u64,
}

/// One VM's view of all of them.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    random: ChaCha8Rng,
    me: Record,
    records: BTreeMap<VmId, Record>,
    gossip: Gossip,
    order: Vec<VmId>,
    probe: Option<Probe>,
    relayed: Vec<RelayedPing>,
    sequence: u32,
    /// How far this VM distrusts its own probes.
    health_penalty: u64,
    due: Due,
    pull_start: u32,
    joined: bool,
    /// A VM was heard of for the first time in this round of pages.
    found_new: bool,
    leaving: Option<u32>,
    /// Rounds of gossip in which this VM still objects to news of itself.
    refutation_rounds: u32,
    counts: Counts,
}

/// When each regular task is next done.
#[derive(Clone, Copy, Debug)]
struct Due {
    probe: Time,
    gossip: Time,
    pull: Time,
    reconnect: Time,
}

impl Membership {
    /// Starts knowing only itself and its seeds.
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
        // VMs that start together must not probe in step.
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

    /// Returns this VM as it tells others of itself.
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// Returns every other VM known, dead and departed ones too, by number.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.records.values().map(|record| &record.member)
    }

    /// Returns another VM, if it is known.
    pub fn member(&self, vm: VmId) -> Option<&Member> {
        self.records.get(&vm).map(|record| &record.member)
    }

    /// Returns what this VM did so far.
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

    /// Takes one input and returns what is to be done.
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

    /// Counts VMs that are up, this one included.
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

    /// Passes news on beyond the probes while there is any, and tells others when leaving.
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

    /// Returns the VMs that this one accuses. Each is told in every round, since with lost
    /// datagrams the news could reach everyone but the one who can object.
    fn own_suspects(&self) -> Vec<VmId> {
        let mine = |record: &&Record| {
            let accuser = record.suspicion.as_ref().map(Suspicion::accuser);
            accuser == Some(self.settings.vm)
        };
        self.records.values().filter(mine).map(|record| record.member.vm).collect()
    }

    /// Draws distinct VMs among those that `wanted` picks.
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

    /// Makes a datagram with as much news as fits.
    fn datagram(&mut self, to: Option<VmId>, body: Option<Body>) -> Bytes {
        let max_bytes = if body.is_some() { MAX_DATAGRAM } else { MAX_GOSSIP };
        let mut datagram = self.header(to, body);
        self.gossip.fill(&mut datagram, &self.records, max_bytes);
        datagram.encode_to_vec().into()
    }

    /// Starts a datagram with this VM's own state and with what it believes of the receiver, so
    /// that a suspected or restarted VM can object at once.
    fn header(&self, to: Option<VmId>, body: Option<Body>) -> wire::Datagram {
        let mut rumours = vec![self.me.rumour(true)];
        let receiver = to.and_then(|vm| self.records.get(&vm));
        rumours.extend(receiver.map(|receiver| receiver.rumour(false)));
        wire::Datagram { from: self.settings.vm.0, body, rumours }
    }

    /// Returns a fresh random order of the VMs that are up.
    fn shuffled_targets(&mut self) -> Vec<VmId> {
        let up = self.records.values().filter(|record| record.member.is_up());
        let mut order: Vec<VmId> = up.map(|record| record.member.vm).collect();
        order.shuffle(&mut self.random);
        order
    }
}
