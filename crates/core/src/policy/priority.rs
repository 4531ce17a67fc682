//! Order among programs by attained service: the program that has received most goes first.
//!
//! Only the latency of whole programs counts, and a program's cached prefix is held until it ends.
//! Finishing programs that have run longest frees memory soonest and shortens the tail.
//! docs/design/admission.md compares this with least attained service first.

use super::Class;
use crate::prelude::*;

/// Attained service in seconds at which a program rises to the next level.
const LEVELS: [f64; 4] = [8.0, 32.0, 128.0, 512.0];

/// Delay per level; it bounds how often a call can be overtaken.
const AGING: Duration = Duration::from_secs(3);

/// Service that a program has received.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Attained {
    /// Engine seconds of its calls, including sub-agents.
    pub service: f64,
    /// Turns that were run.
    pub turns: u32,
}

/// Priority of a call; lower values run first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Priority(pub u8);

impl Priority {
    /// Returns the priority of a call from its class and its program's attained service.
    pub fn of(class: Class, attained: Attained) -> Priority {
        if class == Class::Urgent {
            return Priority(0);
        }
        let level = LEVELS.iter().filter(|bound| attained.service >= **bound).count();
        Priority(1 + (LEVELS.len() - level) as u8)
    }

    /// Returns the delay that is added to the call's arrival time for queueing.
    ///
    /// A bounded delay, unlike strict levels, prevents starvation: a call is overtaken only by
    /// calls that arrive within the delay after it.
    pub fn delay(self) -> Duration {
        AGING * u32::from(self.0)
    }
}
