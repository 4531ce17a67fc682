//! How long a suspected VM has to object before it counts as dead.
//!
//! As in Lifeguard, a suspicion starts long and shortens with each other VM that raises the same
//! one. A VM whose own links fail suspects many others alone, and its suspicions then last long
//! enough to be refuted.

use super::Times;
use crate::prelude::*;

/// Independent accusers that bring a suspicion down to its shortest.
const CONFIRMATIONS: usize = 3;

/// A suspicion under way.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    started: Time,
    accusers: Vec<VmId>,
    shortest: Duration,
    longest: Duration,
    /// Accusers needed; none in a deployment too small to have them.
    needed: usize,
}

impl Suspicion {
    /// Starts a suspicion among `members` VMs.
    pub fn new(times: &Times, members: usize, accuser: VmId, now: Time) -> Suspicion {
        let scale = (members.max(10) as f64).log10();
        let shortest = times.period_ms as f64 * times.suspicion as f64 * scale;
        let shortest = Duration::from_millis(shortest as u64);
        let needed = if members < CONFIRMATIONS + 3 { 0 } else { CONFIRMATIONS };
        Suspicion {
            started: now,
            accusers: vec![accuser],
            shortest,
            longest: shortest * u32::try_from(times.patience).unwrap_or(1),
            needed,
        }
    }

    /// Returns who raised it first.
    pub fn accuser(&self) -> VmId {
        self.accusers[0]
    }

    /// Counts another accuser; returns true if it was a new one that mattered.
    pub fn confirm(&mut self, accuser: VmId) -> bool {
        if self.accusers.len() > self.needed || self.accusers.contains(&accuser) {
            return false;
        }
        self.accusers.push(accuser);
        true
    }

    /// Returns when the VM counts as dead.
    pub fn deadline(&self) -> Time {
        if self.needed == 0 {
            return self.started + self.shortest;
        }
        let confirmed = (self.accusers.len() as f64).ln() / (self.needed as f64 + 1.0).ln();
        let shortened = (self.longest - self.shortest).mul_f64(confirmed.min(1.0));
        self.started + self.longest - shortened
    }
}
