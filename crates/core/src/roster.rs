//! Service discovery: the list of stores that a process knows.
//!
//! Each process sends a hello to stores that it knows, initially those named in its settings, and
//! receives their list of stores. The list is soft state that expires.
//!
//! Only stores are listed. Nobody sends requests to entry VMs, and the traffic for a list of them
//! would grow with the square of their number.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;
use crate::wire::discovery::{Led, Node, Nodes, Role};

/// Time since a store was last seen after which it is removed.
///
/// Processes send hellos every half second, and a restart takes one to two seconds. A store that is
/// listed too long costs a caller one failed connection.
const EXPIRE_AFTER: Duration = Duration::from_secs(10);

/// Maximum time since a store was last seen for it to be sent to others, so that processes don't
/// keep a dead store listed by sending it to each other.
const MAX_SHARED_AGE: Duration = Duration::from_secs(5);

/// Rounds between two hellos to a seed once other stores are known. The seeds are the same for all
/// processes, so they would receive the most.
const SEED_ROUNDS: u32 = 10;

#[derive(Clone, Debug)]
struct KnownNode {
    node: Node,
    last_seen: Time,
}

/// Returns a digest of the identities and addresses of these stores. It is never zero, which stands
/// for no list.
pub fn digest<'a>(nodes: impl IntoIterator<Item = &'a Node>) -> u64 {
    let mut known: Vec<(u32, &str)> =
        nodes.into_iter().map(|node| (node.vm, node.peers.as_str())).collect();
    known.sort_unstable();
    let mut hasher = Xxh3::new();
    for (vm, peers) in known {
        hasher.update(&vm.to_le_bytes());
        hasher.update(peers.as_bytes());
    }
    hasher.digest().max(1)
}

/// Returns how many of the seeds receive a hello in a round.
///
/// A store that knows no other one tries all of them, so that all know it as soon as it has started:
/// otherwise its domain counts as empty for some rounds, texts are put without it, and a store can't be
/// retired. Entry VMs are many and nobody waits for them, so one seed is enough. After a long partition
/// in which all known stores have moved, the seeds can be the only ones to reach.
pub fn seed_hellos(role: Role, alone: bool, round: u32, seeds: usize) -> usize {
    match role {
        Role::Store if alone => seeds,
        _ if alone || round.is_multiple_of(SEED_ROUNDS) => seeds.min(1),
        _ => 0,
    }
}

/// A group as its leader reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupReport {
    /// The store that reports to lead the group.
    pub leader: VmId,
    /// All members of the group, including the leader.
    pub members: Vec<VmId>,
}

/// The stores that were seen recently.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    nodes: BTreeMap<VmId, KnownNode>,
}

impl Roster {
    /// Records a store that announced itself or was listed by another process. Processes that
    /// aren't stores are ignored.
    ///
    /// Only an announcement with a higher sequence number counts as a sign of life. The age can't
    /// be used, since it doesn't include the time in transit: a dead store would stay listed longer
    /// with each relay.
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
        // A store that restarted with an empty disk has a new identity at its old address, and
        // replaces the earlier one.
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

    /// Removes stores that haven't been seen for long.
    pub fn expire(&mut self, now: Time) {
        self.nodes.retain(|_, known| now.since(known.last_seen) < EXPIRE_AFTER);
    }

    /// Returns the list of stores for another process, with their ages.
    ///
    /// `known` is the digest of the list that it received last. If the list is the same, only that
    /// is reported, which keeps the answers to hellos small.
    pub fn nodes(&self, now: Time, known: u64) -> Nodes {
        let shared =
            || self.nodes.values().filter(|known| now.since(known.last_seen) < MAX_SHARED_AGE);
        let led = self.led_groups(now, MAX_SHARED_AGE);
        let retiring = led.into_iter().flat_map(|led| led.retiring).collect();
        if known != 0 && known == digest(shared().map(|known| &known.node)) {
            return Nodes { nodes: Vec::new(), same: true, retiring };
        }
        let aged = shared().map(|known| {
            let age = now.since(known.last_seen).as_millis();
            Node { age_ms: u64::try_from(age).unwrap_or(u64::MAX), ..known.node.clone() }
        });
        Nodes { nodes: aged.collect(), same: false, retiring }
    }

    /// Marks these stores as seen now, since another store has just reported that its list is
    /// unchanged.
    ///
    /// Without it, an entry VM that was disconnected for some seconds would have lost all stores.
    pub fn confirm(&mut self, now: Time, stores: &[VmId]) {
        for vm in stores {
            if let Some(known) = self.nodes.get_mut(vm) {
                known.last_seen = known.last_seen.max(now);
            }
        }
    }

    /// Returns `true` if all of these stores are still listed.
    ///
    /// Otherwise a process must request the whole list: after an unchanged digest it would never
    /// receive the missing stores again.
    pub fn contains_all(&self, stores: &[VmId]) -> bool {
        stores.iter().all(|vm| self.nodes.contains_key(vm))
    }

    /// Returns the listed stores, with the time at which each was last seen.
    pub fn stores(&self) -> impl Iterator<Item = (&Node, Time)> {
        let stores = self.nodes.values().filter(|known| known.node.role() == Role::Store);
        stores.map(|known| (&known.node, known.last_seen))
    }

    /// Returns the groups that stores seen within `age` report to lead.
    ///
    /// If two stores report to lead the same group, both reports are returned, since neither's
    /// members may be removed.
    pub fn led_groups(&self, now: Time, age: Duration) -> Vec<Led> {
        let fresh = self.nodes.values().filter(|known| now.since(known.last_seen) < age);
        fresh.flat_map(|known| known.node.led.iter().cloned()).collect()
    }

    /// Returns the leader and the members of a group, as reported by the leader that was seen last
    /// within `age`.
    pub fn group_report(&self, now: Time, age: Duration, group: GroupId) -> Option<GroupReport> {
        let fresh = self.nodes.values().filter(|known| now.since(known.last_seen) < age);
        let reports = fresh.flat_map(|known| known.node.led.iter().map(move |led| (known, led)));
        let (known, led) = reports
            .filter(|(_, led)| led.group == group.0)
            .max_by_key(|(known, _)| known.last_seen)?;
        let members = led.members.iter().copied().map(VmId).collect();
        Some(GroupReport { leader: VmId(known.node.vm), members })
    }

    /// Returns when a store was last seen.
    pub fn last_seen(&self, vm: VmId) -> Option<Time> {
        self.nodes.get(&vm).map(|known| known.last_seen)
    }

    /// Returns the store that listens at an address.
    pub fn at_address(&self, peers: &str) -> Option<VmId> {
        let found = self.nodes.values().find(|known| known.node.peers == peers);
        found.map(|known| VmId(known.node.vm))
    }

    /// Returns the store with this name, the one seen last if there are several.
    pub fn named(&self, name: &str) -> Option<&Node> {
        let found = self.nodes.values().filter(|known| known.node.name == name);
        found.max_by_key(|known| known.last_seen).map(|known| &known.node)
    }
}
