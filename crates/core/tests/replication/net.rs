//! Simulated replicas whose clocks, disks and links a test controls.
//!
//! The invariants are checked after each step; the first violation is kept in [`Net::violation`].

mod node;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{
    Effect, EntryMeta, Input, Links, LogIndex, MemberChange, Members, Replica, Restored, Role,
    Sequence, Settings, Term, Write,
};
use gypsumglade_core::wire::replication as wire;
use gypsumglade_core::wire::replication::message::Body;
use node::{Disk, Node};
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const GROUP: GroupId = GroupId(7);
/// Default size of a snapshot in bytes: several chunks, so that an install can be interrupted.
const SNAPSHOT_BYTES: usize = 50;

/// Message loss, duplication and delay.
#[derive(Clone, Copy, Default)]
pub struct NetworkConditions {
    /// Share of messages lost, from 0 to 1.
    pub loss: f64,
    /// Share of messages delivered twice, from 0 to 1.
    pub duplicated: f64,
    /// Longest delay in milliseconds.
    pub delay: u64,
}

/// A link between two regions with limited bandwidth, in order in each direction.
#[derive(Clone, Debug, Default)]
pub struct RegionLink {
    /// Nodes in the other region.
    pub far: BTreeSet<VmId>,
    /// Bandwidth in bytes per second.
    pub rate: u64,
    /// One-way delay in microseconds.
    pub delay: u64,
    /// True time at which each direction is free again; `true` is towards the far nodes.
    pub free: BTreeMap<bool, u64>,
}

impl RegionLink {
    /// Returns when a message of `bytes` arrives, or `None` if it doesn't use this link.
    fn arrival(&mut self, now: u64, from: VmId, to: VmId, bytes: u64) -> Option<u64> {
        let there = self.far.contains(&to);
        if there == self.far.contains(&from) {
            return None;
        }
        let free = self.free.entry(there).or_default();
        *free = (*free).max(now) + bytes * 1_000_000 / self.rate;
        Some(*free + self.delay)
    }
}

pub struct Net {
    pub nodes: Vec<Node>,
    pub conditions: NetworkConditions,
    pub cuts: BTreeSet<(VmId, VmId)>,
    /// Link shared by all traffic between two regions, if there are two.
    pub region_link: Option<RegionLink>,
    /// Bytes sent to each node, without lost and cut-off messages.
    pub sent_bytes: BTreeMap<VmId, u64>,
    pub violation: Option<String>,
    pub settings: Settings,
    /// Longest duration of a sync in milliseconds.
    pub sync_millis: u64,
    /// Nodes with a fixed sync duration in milliseconds.
    pub slow: BTreeMap<VmId, u64>,
    /// Size of a snapshot in bytes.
    pub snapshot_bytes: usize,
    /// True time in microseconds.
    pub now: u64,
    in_transit: BTreeMap<(u64, u64), (VmId, VmId, wire::Batch)>,
    /// Number of messages sent, without pulses.
    pub sent_messages: usize,
    pub pulses: bool,
    sent: u64,
    rng: ChaCha8Rng,
    leaders: BTreeMap<Term, VmId>,
    /// Entries committed on any node, starting at index 2.
    pub committed: Vec<(Term, Bytes)>,
    reads: BTreeMap<u64, u64>,
    pub reads_answered: usize,
}

impl Net {
    pub fn new(seed: u64, settings: Settings, voters: u32, spares: u32) -> Net {
        let members = Members::from_voters((1..=voters).map(VmId).collect());
        let mut net = Net {
            nodes: Vec::new(),
            conditions: NetworkConditions { loss: 0.0, duplicated: 0.0, delay: 5 },
            cuts: BTreeSet::new(),
            region_link: None,
            sent_bytes: BTreeMap::new(),
            violation: None,
            settings,
            sync_millis: 2,
            slow: BTreeMap::new(),
            snapshot_bytes: SNAPSHOT_BYTES,
            now: 0,
            in_transit: BTreeMap::new(),
            sent_messages: 0,
            pulses: true,
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            leaders: BTreeMap::new(),
            committed: Vec::new(),
            reads: BTreeMap::new(),
            reads_answered: 0,
        };
        for id in 1..=voters + spares {
            let mut disk = Disk::default();
            if id <= voters {
                disk.restored = Restored::new_group(members.clone());
            }
            let drift = net.settings.drift;
            let rate = net.rng.random_range(-drift..=drift);
            net.nodes.push(Node::new(VmId(id), rate, disk));
            net.restart(VmId(id));
        }
        net
    }

    pub fn node(&mut self, id: VmId) -> &mut Node {
        &mut self.nodes[id.0 as usize - 1]
    }

    /// Returns the leader of the latest term.
    pub fn leader(&self) -> Option<VmId> {
        let leads = self.nodes.iter().filter(|node| node.role() == Some(Role::Leader));
        leads.max_by_key(|node| node.replica.as_ref().map(|r| r.last().term)).map(|node| node.id)
    }

    pub fn restart(&mut self, id: VmId) {
        let (settings, now, seed) = (self.settings.clone(), self.now, self.rng.random());
        let node = self.node(id);
        if node.replica.is_some() {
            return;
        }
        node.cached = node.durable.clone();
        let mut restored = node.cached.restored.clone();
        let after = restored.snapshot.index.0;
        node.cached.entries.retain(|entry| entry.index > after);
        restored.entries = node.cached.entries.iter().map(EntryMeta::from_entry).collect();
        node.applied = restored.snapshot.index;
        let now = node.time(now);
        node.links = Links::new(seed >> 16);
        node.pulse = now;
        node.replica = Some(Replica::new(settings, id, GROUP, seed, restored, now));
        let _ = self.check_snapshot(id);
    }

    /// Ends a process. Its disk keeps all synced writes and a random prefix of the unsynced ones.
    pub fn crash(&mut self, id: VmId) {
        let kept = self.rng.random::<f64>();
        let node = self.node(id);
        let writes = std::mem::take(&mut node.unsynced);
        let count = (writes.len() as f64 * kept) as usize;
        for (_, write, state) in writes.into_iter().take(count) {
            node.durable.apply(&write, &state);
        }
        node.replica = None;
        node.sync_due = None;
    }

    pub fn cut(&mut self, from: VmId, to: VmId) {
        self.cuts.insert((from, to));
    }

    pub fn cut_off(&mut self, id: VmId) {
        for other in others(id, self.nodes.len()) {
            self.cut(id, other);
            self.cut(other, id);
        }
    }

    pub fn propose(&mut self, id: VmId) {
        let data = Bytes::from(self.rng.random::<[u8; 8]>().to_vec());
        self.step(id, Input::Propose { commands: vec![data] });
    }

    pub fn read(&mut self, id: VmId) {
        let token = self.reads.len() as u64;
        self.reads.insert(token, self.committed.len() as u64);
        self.step(id, Input::Read { token });
    }

    pub fn change(&mut self, change: MemberChange) {
        if let Some(leader) = self.leader() {
            self.step(leader, Input::ChangeMembers(change));
        }
    }

    /// Takes a snapshot of the node's applied state.
    pub fn snapshot(&mut self, id: VmId) {
        let node = self.node(id);
        let index = node.applied;
        let Some(replica) = &node.replica else { return };
        let Some((position, members)) = replica.snapshot_meta(index) else { return };
        let state = self.state_at(index);
        let node = self.node(id);
        for disk in [&mut node.cached, &mut node.durable] {
            disk.compact(position, members.clone(), &state);
        }
        self.step(id, Input::Snapshotted(index));
    }

    /// Runs for `millis` of true time, or until an invariant is violated.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        while self.violation.is_none() && self.advance(end) {}
        self.now = self.now.max(end);
    }

    /// Ends all failures and runs until all members agree; records a violation if they don't.
    pub fn converge(&mut self) {
        self.conditions = NetworkConditions { loss: 0.0, duplicated: 0.0, delay: 5 };
        self.cuts.clear();
        (1..=self.nodes.len() as u32).for_each(|id| self.restart(VmId(id)));
        for _ in 0..40 {
            self.run(500);
            if let Some(leader) = self.leader() {
                self.propose(leader);
            }
            self.run(300);
            if self.agree() {
                return;
            }
        }
        let states: Vec<_> = self.nodes.iter().filter_map(Node::status).collect();
        self.violation.get_or_insert(format!("replicas did not converge: {states:?}"));
    }

    fn agree(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let Some(status) = self.nodes[leader.0 as usize - 1].status() else { return false };
        let all = status.commit.0 == self.committed.len() as u64 + 1;
        let agrees = |vm: VmId| {
            let replica = self.nodes[vm.0 as usize - 1].replica.as_ref();
            replica.is_some_and(|replica| replica.last() == status.last)
        };
        all && status.members.all().all(agrees)
    }

    /// Processes the next event due by `end`; returns false if there is none.
    fn advance(&mut self, end: u64) -> bool {
        let message = self.in_transit.first_key_value().map(|(&(at, _), _)| at);
        let sync = self.nodes.iter().filter_map(|n| Some((n.sync_due?, n.id))).min();
        let tick = self.nodes.iter().filter_map(|n| Some((n.deadline()?, n.id))).min();
        let pulse = self.nodes.iter().filter_map(|n| Some((n.pulse_due()?, n.id))).min();
        let pulse = pulse.filter(|_| self.pulses);
        let due = [message, sync.map(|s| s.0), tick.map(|t| t.0), pulse.map(|p| p.0)];
        let next = due.into_iter().flatten().min();
        let Some(next) = next.filter(|&at| at <= end) else { return false };
        self.now = self.now.max(next);
        if message == Some(next) {
            self.deliver();
        } else if let Some((_, id)) = sync.filter(|s| s.0 == next) {
            self.sync(id);
        } else if let Some((_, id)) = tick.filter(|t| t.0 == next) {
            self.step(id, Input::Tick);
        } else if let Some((_, id)) = pulse {
            self.send_pulses(id);
        }
        true
    }

    fn deliver(&mut self) {
        let Some((_, (from, to, batch))) = self.in_transit.pop_first() else { return };
        let now = self.now;
        let node = self.node(to);
        if node.replica.is_none() || self.cuts.contains(&(from, to)) {
            return;
        }
        for message in batch.messages {
            self.step(to, Input::Message { from, message });
        }
        if let Some(pulse) = batch.pulse {
            let node = self.node(to);
            let now = node.time(now);
            node.links.receive(now, from, &pulse);
        }
    }

    fn send_pulses(&mut self, id: VmId) {
        let (now, heartbeat) = (self.now, self.settings.heartbeat);
        let node = self.node(id);
        let time = node.time(now);
        node.pulse = time + heartbeat;
        for to in others(id, self.nodes.len()) {
            let pulse = Some(self.node(id).links.pulse(time, to));
            self.send_batch(id, to, &wire::Batch { messages: Vec::new(), pulse });
        }
    }

    fn sync(&mut self, id: VmId) {
        let node = self.node(id);
        node.sync_due = None;
        let writes = std::mem::take(&mut node.unsynced);
        let Some(last) = writes.last().map(|(sequence, ..)| *sequence) else { return };
        for (_, write, state) in writes {
            node.durable.apply(&write, &state);
        }
        self.step(id, Input::Synced(last));
    }

    pub fn step(&mut self, id: VmId, input: Input) {
        let now = self.now;
        let node = self.node(id);
        let time = node.time(now);
        let Some(replica) = &mut node.replica else { return };
        let mut effects = Vec::new();
        replica.step(time, &node.links, input, &mut effects);
        for effect in effects {
            if let Err(rule) = self.apply_effect(id, effect) {
                self.violation.get_or_insert(rule);
            }
        }
        if let Err(rule) = self.check(id) {
            self.violation.get_or_insert(rule);
        }
    }

    fn apply_effect(&mut self, id: VmId, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Persist { sequence, write } => self.write(id, sequence, write),
            Effect::Send { to, message } => self.send(id, to, message),
            Effect::SendEntries { to, mut message, first, last } => {
                let entries = self.node(id).cached.range(first, last);
                if let Some(Body::Append(append)) = &mut message.body {
                    append.entries = entries;
                }
                self.send(id, to, message);
            }
            Effect::SendChunk { to, mut message } => {
                if let Some(Body::Chunk(chunk)) = &mut message.body {
                    let limit = self.settings.chunk_bytes;
                    let state = &self.node(id).cached.state;
                    let start = (chunk.offset as usize).min(state.len());
                    let end = (start + limit).min(state.len());
                    chunk.data = Bytes::copy_from_slice(&state[start..end]);
                    chunk.last = end == state.len();
                }
                self.send(id, to, message);
            }
            Effect::StoreChunk { offset, data, .. } => {
                let node = self.node(id);
                node.incoming.truncate(offset as usize);
                node.incoming.extend_from_slice(&data);
            }
            Effect::NewEpoch => self.node(id).links.next_epoch(),
            Effect::Commit { index } => return self.commit(id, index),
            Effect::Restore { .. } => return self.check_snapshot(id),
            Effect::ReadReady { token, index } => {
                self.reads_answered += 1;
                if index.0 < self.reads[&token] + 1 {
                    return Err(format!("{id} answered a read at {index}, which was stale"));
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn write(&mut self, id: VmId, sequence: Sequence, write: Write) {
        let usual = self.rng.random_range(0..=self.sync_millis * 1_000);
        let delay = self.slow.get(&id).map_or(usual, |millis| millis * 1_000);
        let due = self.now + delay;
        let node = self.node(id);
        let state = match &write {
            Write::Snapshot { .. } => std::mem::take(&mut node.incoming),
            _ => Vec::new(),
        };
        node.cached.apply(&write, &state);
        node.unsynced.push((sequence, write, state));
        node.sync_due.get_or_insert(due);
    }

    fn send(&mut self, from: VmId, to: VmId, message: wire::Message) {
        self.sent_messages += 1;
        self.send_batch(from, to, &wire::Batch { messages: vec![message], pulse: None });
    }

    fn send_batch(&mut self, from: VmId, to: VmId, batch: &wire::Batch) {
        let copies = 1 + usize::from(self.rng.random_bool(self.conditions.duplicated));
        for _ in 0..copies {
            let lost = self.rng.random_bool(self.conditions.loss);
            let delay = self.rng.random_range(500..=500 + self.conditions.delay * 1_000);
            if lost || self.cuts.contains(&(from, to)) {
                continue;
            }
            self.sent += 1;
            let (now, bytes) = (self.now, batch.encoded_len() as u64);
            *self.sent_bytes.entry(to).or_default() += bytes;
            let region_link =
                self.region_link.as_mut().and_then(|way| way.arrival(now, from, to, bytes));
            let at = region_link.unwrap_or(now + delay);
            self.in_transit.insert((at, self.sent), (from, to, batch.clone()));
        }
    }

    /// Checks that a committed entry is the same on all nodes and never changes.
    fn commit(&mut self, id: VmId, index: LogIndex) -> Result<(), String> {
        let applied = self.node(id).applied;
        for entry in self.node(id).cached.range(applied.next(), index) {
            let place = entry.index as usize - 2;
            let found = (Term(entry.term), entry.data);
            match self.committed.get(place) {
                Some(known) if *known != found => {
                    return Err(format!("{id} committed another entry at {}", entry.index));
                }
                Some(_) => {}
                None if place == self.committed.len() => self.committed.push(found),
                None => return Err(format!("{id} skipped to {}", entry.index)),
            }
        }
        self.node(id).applied = index;
        Ok(())
    }

    /// Checks that a snapshot holds exactly the entries committed up to its index.
    fn check_snapshot(&mut self, id: VmId) -> Result<(), String> {
        let node = self.node(id);
        let (index, state) = (node.cached.restored.snapshot.index, node.cached.state.clone());
        node.applied = index;
        match state.is_empty() || state == self.state_at(index) {
            true => Ok(()),
            false => Err(format!("{id} restored another state at {index}")),
        }
    }

    fn check(&mut self, id: VmId) -> Result<(), String> {
        let (now, end) = (self.now, self.committed.len() as u64 + 1);
        let node = self.node(id);
        let Some(replica) = &node.replica else { return Ok(()) };
        if replica.role() == Role::Leader {
            let term = node.status().expect("the replica runs").term;
            let leader = *self.leaders.entry(term).or_insert(id);
            if leader != id {
                return Err(format!("{leader} and {id} both led term {}", term.0));
            }
        }
        for node in &self.nodes {
            let Some(replica) = &node.replica else { continue };
            if replica.holds_lease(node.time(now), &node.links) && replica.commit().0 < end {
                let known = replica.commit();
                return Err(format!("{} held a lease at {known}, others at {end}", node.id));
            }
        }
        Ok(())
    }

    /// Returns the state at `index`: a digest of all commands, repeated to the snapshot size.
    fn state_at(&self, index: LogIndex) -> Vec<u8> {
        let mut digest = 0u64;
        for (term, data) in self.committed.iter().take(index.0.saturating_sub(1) as usize) {
            for byte in data.iter().chain(&term.0.to_le_bytes()) {
                digest = digest.wrapping_mul(31).wrapping_add(u64::from(*byte) + 1);
            }
        }
        digest.to_le_bytes().into_iter().cycle().take(self.snapshot_bytes).collect()
    }
}

/// Returns the ids from 1 to `count` except `id`.
fn others(id: VmId, count: usize) -> impl Iterator<Item = VmId> {
    (1..=count as u32).map(VmId).filter(move |&other| other != id)
}
