//! Mechanisms of the data path that can be disabled one by one, to measure their effect.
//!
//! Settings, the policy benchmark and docs/decisions.md use the names in this list.

use crate::prelude::*;

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// Turns new programs away while a pool can't serve them in time.
    Admission,
    /// Includes the wait for a slot and for pending prefills in the cost of an endpoint.
    Queue,
    /// Includes the prefill of uncached prompt tokens in the cost.
    Prefix,
    /// Includes the eviction of other programs' prefixes in the cost.
    Pressure,
    /// Includes latency and transfer over the network in the cost.
    Network,
    /// Includes the slowdown by concurrent requests in the cost, as estimated from streams.
    Batch,
    /// Lets old load reports decay towards the mean of all endpoints.
    Fading,
    /// Considers engines that hold a prefix of the prompt, besides the random sample.
    Holders,
    /// Looks up in the turn group which engine ran the program's last prompt.
    LastRun,
    /// Lets the leader of the turn group choose the engine of a turn, as it knows the load and the
    /// prompts of all entry VMs.
    Assignment,
    /// Drops an attempt of a repeatable call that takes unusually long, and sends the call to
    /// another endpoint.
    Patience,
    /// Limits the calls of new and returned endpoints, with a growing share.
    SlowStart,
    /// Takes endpoints that keep failing out of use for some time.
    Ejection,
}

impl Mechanism {
    /// All mechanisms, in the order of the enum.
    pub const ALL: [Mechanism; 13] = [
        Mechanism::Admission,
        Mechanism::Queue,
        Mechanism::Prefix,
        Mechanism::Pressure,
        Mechanism::Network,
        Mechanism::Batch,
        Mechanism::Fading,
        Mechanism::Holders,
        Mechanism::LastRun,
        Mechanism::Assignment,
        Mechanism::Patience,
        Mechanism::SlowStart,
        Mechanism::Ejection,
    ];
}

/// Set of enabled mechanisms; the default enables all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    /// Bit set of the disabled mechanisms, by their position in the enum.
    off: u32,
}

impl Mechanisms {
    /// Returns all mechanisms except `off`.
    pub fn without(off: &[Mechanism]) -> Mechanisms {
        let bits = off.iter().map(|mechanism| bit(*mechanism));
        Mechanisms { off: bits.fold(0, |all, bit| all | bit) }
    }

    /// Returns true if a mechanism is enabled.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}
