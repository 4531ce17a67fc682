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
    /// Wait for an engine's slot above which the limit falls, in seconds.
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
            target: 1.0,
            backoff: 0.9,
            pause: Duration::from_secs(1),
        }
    }
}

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
    stepped: Time,
}

impl Limit {
    /// Starts at the configured value.
    pub fn new(settings: LimitSettings) -> Limit {
        Limit { value: settings.start, settings, stepped: Time::ZERO }
    }

    /// Returns how many calls may be in flight.
    pub fn get(&self) -> u32 {
        self.value as u32
    }

    /// Steps on a signal; `busy` tells that the limit is in use, or growing it would mean nothing.
    pub fn observe(&mut self, now: Time, signal: Signal, busy: bool) {
        let over = match signal {
            Signal::Waited(wait) => wait.as_secs_f64() > self.settings.target,
            Signal::Overloaded => true,
        };
        if !over {
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

    /// Follows a known change of capacity, such as engines that left.
    pub fn cap(&mut self, most: f64) {
        self.settings.most = most.max(self.settings.least);
        self.value = self.value.min(self.settings.most);
    }
}
