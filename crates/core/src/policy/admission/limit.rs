//! Concurrency limit that follows what the endpoints can take.

use crate::prelude::*;

/// Bounds and steps of the limit.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Limit to start with.
    pub start: f64,
    /// Never below this.
    pub min: f64,
    /// Never above this.
    pub max: f64,
    /// Mean wait for an engine's slot above which the limit falls, in seconds.
    pub target_wait: f64,
    /// Factor of a step down.
    pub decrease_factor: f64,
    /// Least time between two steps down.
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

/// Weight of the newest wait in the mean.
const GAIN: f64 = 0.02;

/// Wait that a refusal counts as, in targets.
const OVERLOAD_FACTOR: f64 = 5.0;

/// What one finished call says about the endpoints behind the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// The call waited this long inside its endpoint before it ran.
    Waited(Duration),
    /// The endpoint refused it because it was full.
    Overloaded,
}

/// Additive increase, multiplicative decrease.
#[derive(Clone, Debug)]
pub struct Limit {
    settings: LimitSettings,
    value: f64,
    mean: f64,
    max_known: bool,
    last_decrease: Time,
}

impl Limit {
    /// Starts at the configured value.
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

    /// Steps on a signal; `busy` tells that the limit is in use, or growing it would mean nothing.
    ///
    /// The mean decides and not the single call: with affinity one engine may have a queue while
    /// the pool has room, and a limit that falls on each such call empties the pool.
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

    /// Follows a known change of capacity, such as engines that came or left.
    ///
    /// The limit keeps its share of the capacity. Grown only step by step, it would take minutes to
    /// use engines that came back, and callers would be shed while engines are idle.
    pub fn set_max(&mut self, max: f64) {
        let max = max.max(self.settings.min);
        let share = if self.max_known { self.value / self.settings.max } else { 1.0 };
        self.max_known = true;
        self.settings.max = max;
        self.value = (share * max).clamp(self.settings.min, max);
    }
}
