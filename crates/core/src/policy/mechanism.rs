//! The mechanisms of the data path that can be switched off, one by one, to see what each is worth.
//!
//! This is the one list of them: settings, the policy benchmark and docs/decisions.md name them as
//! they are named here.

use crate::prelude::*;

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// New programs are turned away while a pool can't serve them in time.
    Admission,
    /// The wait for a slot and for prompts that are to be read is priced.
    Queue,
    /// Prompt tokens that an engine lacks are priced.
    Prefix,
    /// Prefix memory of others that a call would push out is priced.
    Pressure,
    /// Links and paid bytes are priced.
    Network,
    /// What runs on an engine is priced, as streams show it.
    Batch,
    /// Old reports of load fade towards the mean of all.
    Fading,
    /// Engines that hold a prompt's start are priced besides those drawn.
    Holders,
    /// The turn group tells which engine read a program's prompt last.
    LastRun,
    /// A call that may be repeated is sent elsewhere when its answer takes unusually long.
    Patience,
    /// New and returned endpoints get a growing share of calls.
    SlowStart,
    /// Endpoints that keep failing get no calls for a while.
    Ejection,
}

impl Mechanism {
    /// All mechanisms, in the order of the enum.
    pub const ALL: [Mechanism; 12] = [
        Mechanism::Admission,
        Mechanism::Queue,
        Mechanism::Prefix,
        Mechanism::Pressure,
        Mechanism::Network,
        Mechanism::Batch,
        Mechanism::Fading,
        Mechanism::Holders,
        Mechanism::LastRun,
        Mechanism::Patience,
        Mechanism::SlowStart,
        Mechanism::Ejection,
    ];
}

/// Which mechanisms are on; all by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms {
    /// A bit for each that is off, by its place in the enum.
    off: u32,
}

impl Mechanisms {
    /// Returns all mechanisms but these.
    pub fn without(off: &[Mechanism]) -> Mechanisms {
        let bits = off.iter().map(|mechanism| bit(*mechanism));
        Mechanisms { off: bits.fold(0, |all, bit| all | bit) }
    }

    /// Tells whether a mechanism is on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }
}

fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}
