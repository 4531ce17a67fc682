//! Settings of VM membership, with the defaults in one place.

use std::net::SocketAddr;

use crate::prelude::*;

/// Most bytes of an encoded datagram; a tag of 32 bytes still fits below 1,200.
pub const MAX_DATAGRAM: usize = 1_160;

/// Most bytes of the opaque digest that a VM spreads with its state.
pub const MAX_DIGEST: usize = 32;

/// Who this VM is, whom it contacts first, and the protocol's times.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This VM.
    pub vm: VmId,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Addresses asked first, and again whenever no VM there is known to be alive.
    pub seeds: Vec<SocketAddr>,
    /// Where the incarnation starts. A process passes one higher than in its earlier life if it
    /// can; if not, it learns of its earlier life from others and steps past it.
    pub incarnation: u32,
    /// Seed of the random choices.
    pub seed: u64,
    /// Times of the protocol.
    pub times: Times,
    /// Safeguard switched off by a test.
    #[doc(hidden)]
    pub mutation: Mutation,
}

/// Times and counts of the protocol; every VM of a deployment should have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Times {
    /// Milliseconds between two probes.
    pub period_ms: u64,
    /// Milliseconds after which a probe goes on through other VMs.
    pub direct_ms: u64,
    /// VMs asked to probe in this one's name.
    pub indirect: usize,
    /// Periods that a suspicion lasts at least, for each power of ten of the members.
    pub suspicion: u64,
    /// How many times longer an unconfirmed suspicion lasts.
    pub patience: u64,
    /// Milliseconds between two rounds of gossip while there is news.
    pub gossip_ms: u64,
    /// VMs told in each round of gossip.
    pub gossip_fan_out: usize,
    /// Milliseconds between two pulls of a page of members.
    pub pull_ms: u64,
    /// Milliseconds between two contacts with a dead VM or a silent seed.
    pub contact_dead_ms: u64,
    /// Milliseconds after which a dead or departed VM is forgotten.
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

/// A safeguard switched off, so that a test can prove that it would notice. Never set outside
/// tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    #[default]
    None,
    /// A suspected VM doesn't object.
    NoRefute,
    /// A probe that fails directly isn't tried through others.
    NoIndirect,
    /// Indirect probes don't prefer other failure domains.
    AnyDomain,
    /// Dead VMs and silent seeds are never contacted again.
    NoContactDead,
    /// Older states of a VM overwrite newer ones.
    IgnoreIncarnation,
    /// Members are never pulled, only gossiped.
    NoPull,
}
