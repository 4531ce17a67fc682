//! What engines say they hold in prefix memory: late, gapped, and so only a hint with an age.

use std::collections::HashMap;

use super::announce::{CacheEvent, CacheEvents};
use crate::prelude::*;

/// Programs remembered for one engine; the oldest hints go first.
const MAX_HINTS: usize = 1024;

/// What an engine was last heard to hold of one program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheHint {
    /// Tokens of the program's prefix; zero after an eviction.
    pub tokens: u64,
    /// When that was true.
    pub at: Time,
}

/// Cache events of one engine, folded.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    hints: HashMap<u64, CacheHint>,
    next_sequence: u64,
}

impl CacheHints {
    /// Folds a run of events in.
    ///
    /// After a gap every hint is dropped: a lost eviction would send a program to memory that is
    /// gone, while a lost fill only costs a hint, and the program's own record still stands.
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

    /// Notes what the engine is expected to hold of a prefix from now on.
    pub fn record_expected(&mut self, now: Time, prefix: u64, tokens: u64) {
        self.evict_if_full(prefix);
        self.hints.insert(prefix, CacheHint { tokens, at: now });
    }

    /// Returns what the engine was last heard to hold of `program`.
    pub fn get(&self, program: u64) -> Option<CacheHint> {
        self.hints.get(&program).copied()
    }

    fn apply(&mut self, at: Time, event: CacheEvent) {
        let (program, tokens) = match event {
            CacheEvent::Filled { program, tokens } => (program, tokens),
            // Kept as a hint of nothing: it has to outweigh the program's older record.
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
