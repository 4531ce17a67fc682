//! Delayed and incomplete reports of load and cache events, like those of real engines.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::cache::Change;
use super::settings::ReportSettings;
use crate::announce::{CacheEvent, Load};

/// Maximum number of cache events that wait for an announcement. Older ones are dropped.
const MAX_PENDING_EVENTS: usize = 4_096;

/// Load samples and cache events that are not reported yet.
pub(super) struct Reports {
    settings: ReportSettings,
    loads: VecDeque<(Instant, Load)>,
    latest_load: (Option<Instant>, Load),
    pending_events: VecDeque<(Instant, CacheEvent)>,
    sequence: u64,
}

impl Reports {
    pub(super) fn new(settings: ReportSettings) -> Reports {
        Reports {
            settings,
            loads: VecDeque::new(),
            latest_load: (None, Load::default()),
            pending_events: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Records the current load and returns the latest sample that is as old as the configured lag.
    pub(super) fn load(&mut self, now: Instant, load: Load) -> Load {
        if self.settings.load_lag_ms == 0 {
            return load;
        }
        self.loads.push_back((now, load));
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        while let Some((at, old)) = self.loads.front()
            && now.duration_since(*at) >= lag
        {
            self.latest_load = (Some(*at), *old);
            self.loads.pop_front();
        }
        let (at, load) = self.latest_load;
        let age = at.map_or(lag, |at| now.duration_since(at));
        Load { age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX), ..load }
    }

    /// Numbers the changes and queues them as events, except those that are dropped on purpose.
    pub(super) fn add(&mut self, now: Instant, changes: Vec<Change>) {
        for Change { program, tokens, evicted } in changes {
            self.sequence += 1;
            let gap = self.settings.event_gap;
            if gap != 0 && self.sequence.is_multiple_of(gap) {
                continue;
            }
            if self.pending_events.len() >= MAX_PENDING_EVENTS {
                self.pending_events.pop_front();
            }
            let event = CacheEvent { program, tokens, evicted, sequence: self.sequence };
            self.pending_events.push_back((now, event));
        }
    }

    /// Removes and returns the events whose delay has passed.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<CacheEvent> {
        let delay = Duration::from_millis(self.settings.event_delay_ms);
        let held = self.pending_events.iter();
        let count = held.take_while(|(at, _)| now.duration_since(*at) >= delay).count();
        self.pending_events.drain(..count).map(|(_, event)| event).collect()
    }
}
