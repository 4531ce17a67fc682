//! Prefix cache with one prefix per program and least-recently-used eviction.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::announce::ModelVersion;

/// Hash and token count of one message of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Part {
    pub(super) hash: u64,
    pub(super) tokens: u64,
}

/// Cached prefix of a program.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) model: ModelVersion,
    pub(super) parts: Vec<Part>,
    last_used: u64,
}

impl Entry {
    pub(super) fn tokens(&self) -> u64 {
        self.parts.iter().map(|p| p.tokens).sum()
    }
}

/// A change of the cache, which becomes a [`CacheEvent`](crate::announce::CacheEvent).
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Change {
    pub(super) program: CompactString,
    pub(super) tokens: u64,
    pub(super) evicted: bool,
}

/// Cached prefixes by program, limited to `capacity` tokens in total.
pub(super) struct PrefixCache {
    capacity: u64,
    held_tokens: u64,
    clock: u64,
    entries: BTreeMap<CompactString, Entry>,
}

impl PrefixCache {
    pub(super) fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, held_tokens: 0, clock: 0, entries: BTreeMap::new() }
    }

    /// Returns how many leading tokens of `parts` are cached for the program, and marks its entry
    /// as used.
    pub(super) fn matched_tokens(
        &mut self,
        program: &str,
        model: &ModelVersion,
        parts: &[Part],
    ) -> u64 {
        self.clock += 1;
        let Some(entry) = self.entries.get_mut(program) else {
            return 0;
        };
        if entry.model != *model {
            return 0;
        }
        entry.last_used = self.clock;
        let equal = entry.parts.iter().zip(parts).take_while(|(a, b)| a == b);
        equal.map(|(part, _)| part.tokens).sum()
    }

    /// Replaces the program's prefix and returns the changes, including evictions of others.
    ///
    /// A prefix larger than the whole cache is not stored and counts as evicted.
    pub(super) fn store(
        &mut self,
        program: &str,
        model: ModelVersion,
        parts: Vec<Part>,
    ) -> Vec<Change> {
        self.clock += 1;
        self.remove(program);
        let entry = Entry { model, parts, last_used: self.clock };
        let tokens = entry.tokens();
        if tokens > self.capacity {
            return vec![change(program, tokens, true)];
        }
        let mut changes = Vec::new();
        while self.held_tokens + tokens > self.capacity {
            let Some(least_recent) = self.least_recent() else {
                break;
            };
            let freed = self.remove(&least_recent);
            changes.push(change(&least_recent, freed, true));
        }
        self.held_tokens += tokens;
        self.entries.insert(program.into(), entry);
        changes.push(change(program, tokens, false));
        changes
    }

    /// Removes a program and returns how many tokens it had.
    pub(super) fn remove(&mut self, program: &str) -> u64 {
        let Some(entry) = self.entries.remove(program) else {
            return 0;
        };
        let tokens = entry.tokens();
        self.held_tokens -= tokens;
        tokens
    }

    /// Removes all programs that use a model, and returns the changes.
    pub(super) fn remove_model(&mut self, model: &ModelVersion) -> Vec<Change> {
        let on_model = self.entries.iter().filter(|(_, e)| e.model == *model);
        let programs: Vec<CompactString> = on_model.map(|(p, _)| p.clone()).collect();
        programs.iter().map(|p| change(p, self.remove(p), true)).collect()
    }

    pub(super) fn get(&self, program: &str) -> Option<&Entry> {
        self.entries.get(program)
    }

    pub(super) fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&CompactString, &Entry)> {
        self.entries.iter()
    }

    fn least_recent(&self) -> Option<CompactString> {
        let entry = self.entries.iter().min_by_key(|(_, e)| e.last_used);
        entry.map(|(program, _)| program.clone())
    }
}

fn change(program: &str, tokens: u64, evicted: bool) -> Change {
    Change { program: program.into(), tokens, evicted }
}
