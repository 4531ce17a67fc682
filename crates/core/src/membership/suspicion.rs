//! Suspicion timeouts: how long a suspected VM has to refute the suspicion.
//!
//! As in Lifeguard, a suspicion starts with a long timeout that shortens with each further accuser.
//! A VM whose own links fail is the only accuser of many others, and its suspicions last long
//! enough to be refuted.

use super::Times;
use crate::prelude::*;

/// Number of further accusers that reduce a suspicion to its shortest timeout.
const CONFIRMATIONS: usize = 3;

/// A suspicion that is neither refuted nor expired.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    started: Time,
    accusers: Vec<VmId>,
    shortest: Duration,
    longest: Duration,
    /// Further accusers needed for the shortest timeout; zero in deployments too small for them.
    needed: usize,
}

impl Suspicion {
    /// Starts a suspicion in a deployment of `members` VMs.
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

    /// Returns the VM that raised the suspicion first.
    pub fn accuser(&self) -> VmId {
        self.accusers[0]
    }

    /// Adds an accuser. Returns `true` if it is a new one that shortens the timeout.
    pub fn confirm(&mut self, accuser: VmId) -> bool {
        if self.accusers.len() > self.needed || self.accusers.contains(&accuser) {
            return false;
        }
        self.accusers.push(accuser);
        true
    }

    /// Returns the time at which the suspected VM is declared dead.
    pub fn deadline(&self) -> Time {
        if self.needed == 0 {
            return self.started + self.shortest;
        }
        let confirmed = (self.accusers.len() as f64).ln() / (self.needed as f64 + 1.0).ln();
        let shortened = (self.longest - self.shortest).mul_f64(confirmed.min(1.0));
        self.started + self.longest - shortened
    }
}
