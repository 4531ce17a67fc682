//! Hints about the prefix cache of an engine, from its cache events. Events may be late or lost, so
//! each hint has a time.

use std::collections::HashMap;

use super::announce::{CacheEvent, CacheEvents};
use crate::prelude::*;

/// Maximum number of hints for one engine; the oldest are removed first.
const MAX_HINTS: usize = 1024;

/// Tokens that an engine was last known to hold of one prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheHint {
    /// Tokens held; zero after an eviction.
    pub tokens: u64,
    /// Time to which the hint applies.
    pub at: Time,
}

/// Hints about one engine, by the hash of the program or prefix.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    hints: HashMap<u64, CacheHint>,
    next_sequence: u64,
}

impl CacheHints {
    /// Applies a batch of cache events; those that were applied before are skipped.
    ///
    /// A gap in the sequence drops all hints. A lost eviction would send a program to an engine
    /// that no longer holds its prefix, while a dropped hint costs little, since the program's own
    /// record still counts.
    pub fn apply_events(&mut self, now: Time, batch: &CacheEvents) {
        if batch.events.is_empty() {
            return;
        }
        let end = batch.first.saturating_add(batch.events.len() as u64);
        if end <= self.next_sequence {
            return;
        }
        if batch.first > self.next_sequence {
            self.hints.clear();
        }
        let known = self.next_sequence.saturating_sub(batch.first) as usize;
        for event in batch.events.iter().skip(known) {
            self.apply(now - batch.age, *event);
        }
        self.next_sequence = end;
    }

    /// Records that the engine is expected to hold `tokens` tokens of a prefix from now on.
    pub fn record_expected(&mut self, now: Time, prefix: u64, tokens: u64) {
        self.evict_if_full(prefix);
        self.hints.insert(prefix, CacheHint { tokens, at: now });
    }

    /// Returns the hint for a program or prefix, if there is one.
    pub fn get(&self, program: u64) -> Option<CacheHint> {
        self.hints.get(&program).copied()
    }

    fn apply(&mut self, at: Time, event: CacheEvent) {
        let (program, tokens) = match event {
            CacheEvent::Filled { program, tokens } => (program, tokens),
            // Kept as a hint of zero tokens, which overrides the program's older record.
            CacheEvent::Evicted { program } => (program, 0),
        };
        self.evict_if_full(program);
        self.hints.insert(program, CacheHint { tokens, at });
    }

    fn evict_if_full(&mut self, program: u64) {
        if self.hints.len() < MAX_HINTS || self.hints.contains_key(&program) {
            return;
        }
        let oldest = self.hints.iter().min_by_key(|(program, hint)| (hint.at, **program));
        if let Some((&oldest, _)) = oldest {
            self.hints.remove(&oldest);
        }
    }
}
