//! Concurrency limit that follows what the endpoints can take.

use crate::prelude::*;

/// Bounds and steps of the limit.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Limit to start with.
    pub start: f64,
    /// Never below this.
    pub least: f64,
    /// Never above this.
    pub most: f64,
    /// Mean wait for an engine's slot above which the limit falls, in seconds.
    pub target: f64,
    /// Factor of a step down.
    pub backoff: f64,
    /// Least time between two steps down.
    pub pause: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            start: 64.0,
            least: 4.0,
            most: 100_000.0,
            target: 2.0,
            backoff: 0.95,
            pause: Duration::from_secs(5),
        }
    }
}

/// Weight of the newest wait in the mean.
const GAIN: f64 = 0.02;

/// Wait that a refusal counts as, in targets.
const REFUSED: f64 = 5.0;

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
    capped: bool,
    stepped: Time,
}

impl Limit {
    /// Starts at the configured value.
    pub fn new(settings: LimitSettings) -> Limit {
        Limit { value: settings.start, mean: 0.0, capped: false, settings, stepped: Time::ZERO }
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
            Signal::Overloaded => self.settings.target * REFUSED,
        };
        self.mean += GAIN * (sample - self.mean);
        if self.mean <= self.settings.target {
            if busy {
                self.value = (self.value + 1.0 / self.value).min(self.settings.most);
            }
            return;
        }
        if now.since(self.stepped) < self.settings.pause {
            return;
        }
        self.stepped = now;
        self.value = (self.value * self.settings.backoff).max(self.settings.least);
    }

    /// Follows a known change of capacity, such as engines that came or left.
    ///
    /// The limit keeps its share of the capacity. Grown only step by step, it would take minutes to
    /// use engines that came back, and callers would be shed while engines are idle.
    pub fn cap(&mut self, most: f64) {
        let most = most.max(self.settings.least);
        let share = if self.capped { self.value / self.settings.most } else { 1.0 };
        self.capped = true;
        self.settings.most = most;
        self.value = (share * most).clamp(self.settings.least, most);
    }
}
