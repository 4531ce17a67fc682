//! Order among programs, by what each has already had: the one that had most goes first.
//!
//! Only the latency of the whole program counts, and its prefix memory is held until it ends. So
//! finishing what was begun frees memory soonest, and the long programs that make up the tail wait
//! least. Least attained service first, the textbook choice for unknown lengths, was measured
//! against it and lost: see docs/design/admission.md.

use super::Class;
use crate::prelude::*;

/// Attained seconds at which a program rises to the next level; each is four times the last.
const LEVELS: [f64; 4] = [8.0, 32.0, 128.0, 512.0];

/// Wait that lifts a call by one level, which bounds how often it can be overtaken.
const AGING: Duration = Duration::from_secs(3);

/// What a program has had so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Attained {
    /// Engine seconds of its calls, sub-agents counted.
    pub service: f64,
    /// Turns that ran.
    pub turns: u32,
}

/// Order of a call: lower runs first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Priority(pub u8);

impl Priority {
    /// Ranks a call by its class and by what its program has had.
    pub fn of(class: Class, attained: Attained) -> Priority {
        if class == Class::Urgent {
            return Priority(0);
        }
        let level = LEVELS.iter().filter(|bound| attained.service >= **bound).count();
        Priority(1 + (LEVELS.len() - level) as u8)
    }

    /// Returns how far behind its arrival the call is queued.
    ///
    /// A bounded delay in place of strict levels: a call is overtaken only by those that arrive
    /// within the delay after it, so that no stream of long programs can starve a short one.
    pub fn delay(self) -> Duration {
        AGING * u32::from(self.0)
    }
}
