//! Processes that introduced themselves, where nobody hands out a list of them.
//!
//! Each process says hello to stores it knows of, at first to those that its settings name, and is
//! told of all stores. What is known is soft state with an age; nothing durable depends on it.
//!
//! Only stores are listed: nobody asks an entry VM for anything, and lists of entries would grow with
//! the square of their number.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;
use crate::wire::discovery::{Led, Node, Nodes, Role};

/// Silence after which a process is no longer listed.
///
/// Processes say hello every half second, and a restart takes one to two seconds; a store that is
/// listed too long costs a caller one failed connection.
const EXPIRE_AFTER: Duration = Duration::from_secs(10);

/// Longest age that is passed on, so that two processes can't keep a third one's memory alive by
/// telling each other.
const MAX_SHARED_AGE: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct KnownNode {
    node: Node,
    last_seen: Time,
}

/// Returns what tells one list of stores from another: their identities and addresses. Never zero,
/// which stands for an asker without a list.
pub fn digest(nodes: &[Node]) -> u64 {
    let mut known: Vec<(u32, &str)> =
        nodes.iter().map(|node| (node.vm, node.peers.as_str())).collect();
    known.sort_unstable();
    let mut hasher = Xxh3::new();
    for (vm, peers) in known {
        hasher.update(&vm.to_le_bytes());
        hasher.update(peers.as_bytes());
    }
    hasher.digest().max(1)
}

/// Stores heard of lately.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    nodes: BTreeMap<VmId, KnownNode>,
}

impl Roster {
    /// Takes in a store, heard from itself or through another; other processes are passed over.
    ///
    /// Only a later introduction counts as a sign of life. Were the age alone compared, each relay
    /// would add the time under way to the moment of the last one, and a dead process would seem to
    /// live on for seconds.
    pub fn observe(&mut self, now: Time, node: Node) {
        if node.role() != Role::Store {
            return;
        }
        let last_seen = now - Duration::from_millis(node.age_ms);
        let vm = VmId(node.vm);
        let known = self.nodes.get(&vm);
        if known.is_some_and(|known| known.node.sequence >= node.sequence) {
            return;
        }
        // A process that restarted with an empty disk has a new identity at its old address. The
        // earlier one is gone for good, and nothing should be sent to it there.
        let newer = |other: &Node| other.sequence > node.sequence;
        let taken = self.nodes.values().any(|other| {
            other.node.peers == node.peers && VmId(other.node.vm) != vm && newer(&other.node)
        });
        if taken {
            return;
        }
        self.nodes.retain(|_, other| other.node.peers != node.peers);
        self.nodes.insert(vm, KnownNode { node, last_seen });
    }

    /// Forgets processes that have been silent for long.
    pub fn expire(&mut self, now: Time) {
        self.nodes.retain(|_, known| now.since(known.last_seen) < EXPIRE_AFTER);
    }

    /// Returns the stores to tell a process of, with their ages.
    ///
    /// `known` is the digest of those that it was told of last. An entry VM only needs to know which
    /// stores there are, and where; told that they are the same, it costs a store a few bytes.
    pub fn nodes(&self, now: Time, known: u64) -> Nodes {
        let nodes = self.nodes.values().filter(|known| now.since(known.last_seen) < MAX_SHARED_AGE);
        let aged = nodes.map(|known| {
            let age = now.since(known.last_seen).as_millis();
            Node { age_ms: u64::try_from(age).unwrap_or(u64::MAX), ..known.node.clone() }
        });
        let nodes: Vec<Node> = aged.collect();
        let led = self.led_groups(now, MAX_SHARED_AGE);
        let retiring = led.into_iter().flat_map(|led| led.retiring).collect();
        match known != 0 && known == digest(&nodes) {
            true => Nodes { nodes: Vec::new(), same: true, retiring },
            false => Nodes { nodes, same: false, retiring },
        }
    }

    /// Notes that a store has just told that these are there.
    ///
    /// Counted from the oldest sign of life that it may have had, they would be forgotten after half
    /// the time, and an entry VM that was cut off for some seconds would know no store any more.
    pub fn confirm(&mut self, now: Time, stores: &[VmId]) {
        for vm in stores {
            if let Some(known) = self.nodes.get_mut(vm) {
                known.last_seen = known.last_seen.max(now);
            }
        }
    }

    /// Tells whether all of these are still remembered. A process that has forgotten some must ask for
    /// the whole list: told that it is the same as before, it would never learn of them again, and go on
    /// under the bundle that it had.
    pub fn contains_all(&self, stores: &[VmId]) -> bool {
        stores.iter().all(|vm| self.nodes.contains_key(vm))
    }

    /// Returns the stores heard of, with the time each was last heard.
    pub fn stores(&self) -> impl Iterator<Item = (&Node, Time)> {
        let stores = self.nodes.values().filter(|known| known.node.role() == Role::Store);
        stores.map(|known| (&known.node, known.last_seen))
    }

    /// Returns the members of each group, as told by its leader within `age`. Where two stores
    /// think that they lead, both are told: what either still counts on must not be taken away.
    pub fn led_groups(&self, now: Time, age: Duration) -> Vec<Led> {
        let fresh = self.nodes.values().filter(|known| now.since(known.last_seen) < age);
        fresh.flat_map(|known| known.node.led.iter().cloned()).collect()
    }

    /// Returns when a process was last heard.
    pub fn last_seen(&self, vm: VmId) -> Option<Time> {
        self.nodes.get(&vm).map(|known| known.last_seen)
    }

    /// Returns the process that listens at an address now.
    pub fn at_address(&self, peers: &str) -> Option<VmId> {
        let found = self.nodes.values().find(|known| known.node.peers == peers);
        found.map(|known| VmId(known.node.vm))
    }

    /// Returns the process with this name.
    pub fn named(&self, name: &str) -> Option<&Node> {
        let found = self.nodes.values().filter(|known| known.node.name == name);
        found.max_by_key(|known| known.last_seen).map(|known| &known.node)
    }
}
