//! Settings of VM membership and their defaults.

use std::net::SocketAddr;

use crate::prelude::*;

/// Maximum size of an encoded datagram, in bytes. With an authentication tag of 32 bytes it stays
/// below 1,200 bytes.
pub const MAX_DATAGRAM: usize = 1_160;

/// Maximum size of the opaque digest that a VM gossips with its state, in bytes.
pub const MAX_DIGEST: usize = 32;

/// Identity of this VM, its seeds, and the parameters of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity of this VM.
    pub vm: VmId,
    /// Address under which other VMs reach it.
    pub address: SocketAddr,
    /// Failure domain, which other VMs use to choose indirect probes.
    pub domain: DomainId,
    /// Region, which is passed on to the other VMs.
    pub region: RegionId,
    /// Addresses to join through, contacted again while no VM at the address is up.
    pub seeds: Vec<SocketAddr>,
    /// Initial incarnation, if possible higher than the last one of an earlier run. Otherwise the
    /// VM raises it once it receives a rumour about the earlier run.
    pub incarnation: u32,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Intervals and other parameters of the protocol.
    pub times: Times,
    /// Safeguard that a test disables.
    #[doc(hidden)]
    pub mutation: Mutation,
}

/// Parameters of the protocol, which should be the same on all VMs of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Interval between two probes, in milliseconds.
    pub period_ms: u64,
    /// Time without an answer after which indirect probes are sent, in milliseconds.
    pub direct_ms: u64,
    /// Number of VMs that are asked for an indirect probe.
    pub indirect: usize,
    /// Minimum suspicion timeout, in probe periods, multiplied by the decimal logarithm of the
    /// number of members.
    pub suspicion: u64,
    /// Factor between the minimum suspicion timeout and that of an unconfirmed suspicion.
    pub patience: u64,
    /// Interval between two rounds of gossip while there are urgent updates, in milliseconds.
    pub gossip_ms: u64,
    /// Number of random VMs that each round of gossip sends to.
    pub gossip_fan_out: usize,
    /// Interval between two pulls of a page of members, in milliseconds.
    pub pull_ms: u64,
    /// Interval between two attempts to reach a dead VM or an unreachable seed, in milliseconds.
    pub contact_dead_ms: u64,
    /// Time after which a VM that is dead or has left is removed, in milliseconds.
    pub forget_ms: u64,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            period_ms: 1_000,
            direct_ms: 300,
            indirect: 3,
            suspicion: 2,
            patience: 3,
            gossip_ms: 250,
            gossip_fan_out: 2,
            pull_ms: 2_000,
            contact_dead_ms: 5_000,
            forget_ms: 24 * 3_600 * 1_000,
        }
    }
}

/// Disables one safeguard, so that tests can verify that they detect its absence.
///
/// Only set in tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    #[default]
    None,
    /// Never refutes a suspicion.
    NoRefute,
    /// Sends no indirect probes.
    NoIndirect,
    /// Chooses VMs for indirect probes without regard to failure domains.
    AnyDomain,
    /// Never contacts dead VMs and, once joined, unreachable seeds.
    NoContactDead,
    /// Lets older states of a VM overwrite newer ones.
    IgnoreIncarnation,
    /// Never pulls members.
    NoPull,
}
