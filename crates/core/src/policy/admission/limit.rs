//! Concurrency limit that adapts to the capacity of the endpoints.

use crate::prelude::*;

/// Bounds and steps of the concurrency limit.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Initial limit.
    pub start: f64,
    /// Lowest limit.
    pub min: f64,
    /// Highest limit, until [`Limit::set_max`] replaces it.
    pub max: f64,
    /// Mean wait for a slot, in seconds, above which the limit decreases.
    pub target_wait: f64,
    /// Factor by which the limit decreases.
    pub decrease_factor: f64,
    /// Shortest time between two decreases.
    pub decrease_interval: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            start: 64.0,
            min: 4.0,
            max: 100_000.0,
            target_wait: 2.0,
            decrease_factor: 0.95,
            decrease_interval: Duration::from_secs(5),
        }
    }
}

/// Weight of the newest wait in the moving average.
const GAIN: f64 = 0.02;

/// Wait that [`Signal::Overloaded`] counts as, in multiples of the target wait.
const OVERLOAD_FACTOR: f64 = 5.0;

/// Feedback from one call about the load of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// The call waited this long inside the endpoint before it ran.
    Waited(Duration),
    /// The endpoint refused the call because it was full.
    Overloaded,
}

/// Concurrency limit with additive increase and multiplicative decrease (AIMD).
#[derive(Clone, Debug)]
pub struct Limit {
    settings: LimitSettings,
    value: f64,
    mean: f64,
    max_known: bool,
    last_decrease: Time,
}

impl Limit {
    /// Creates a limit with the initial value of `settings`.
    pub fn new(settings: LimitSettings) -> Limit {
        Limit {
            value: settings.start,
            mean: 0.0,
            max_known: false,
            settings,
            last_decrease: Time::ZERO,
        }
    }

    /// Returns how many calls may be in flight.
    pub fn get(&self) -> u32 {
        self.value as u32
    }

    /// Adjusts the limit to a signal. An increase needs `busy`, which tells that the limit is fully
    /// used.
    ///
    /// The moving average decides rather than the single call: with prefix affinity one engine may
    /// have a queue while the pool has room, and a limit that decreased on each such call would
    /// leave engines idle.
    pub fn observe(&mut self, now: Time, signal: Signal, busy: bool) {
        let sample = match signal {
            Signal::Waited(wait) => wait.as_secs_f64(),
            Signal::Overloaded => self.settings.target_wait * OVERLOAD_FACTOR,
        };
        self.mean += GAIN * (sample - self.mean);
        if self.mean <= self.settings.target_wait {
            if busy {
                self.value = (self.value + 1.0 / self.value).min(self.settings.max);
            }
            return;
        }
        if now.since(self.last_decrease) < self.settings.decrease_interval {
            return;
        }
        self.last_decrease = now;
        self.value = (self.value * self.settings.decrease_factor).max(self.settings.min);
    }

    /// Sets the upper bound after a change of capacity, such as engines that were added or removed.
    ///
    /// The limit keeps its ratio to the bound, and the first bound becomes the limit. Growing step
    /// by step, the limit would take minutes to use engines that came back, and calls would be shed
    /// while engines are idle.
    pub fn set_max(&mut self, max: f64) {
        let max = max.max(self.settings.min);
        let share = if self.max_known { self.value / self.settings.max } else { 1.0 };
        self.max_known = true;
        self.settings.max = max;
        self.value = (share * max).clamp(self.settings.min, max);
    }
}
