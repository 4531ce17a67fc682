//! The tree of kept turns.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

use bytes::{BufMut, Bytes, BytesMut};

use crate::prelude::*;
use crate::wire::turn as wire;

/// More turns than any chain has; a longer one is a loop in damaged state.
const MAX_CHAIN: usize = 100_000;

/// One kept turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Turn {
    pub(super) kept: wire::Kept,
    /// Wall clock until which it is kept, in milliseconds.
    pub(super) until: u64,
}

/// What precedes a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum History {
    /// The input and output of each turn of the chain, oldest first.
    Whole(Bytes),
    /// The turn is kept, but this store does not have the text of all of its chain yet.
    Lacking,
    /// No such turn is kept.
    Unknown,
}

/// Turns by their id.
#[derive(Clone, Debug, Default)]
pub struct TurnTree {
    pub(super) turns: BTreeMap<CompactString, Turn>,
    /// Kept turns whose text this store does not have yet. It differs from store to store, so no
    /// command's effect may depend on it.
    pub(super) textless: BTreeSet<CompactString>,
}

impl TurnTree {
    /// Keeps a turn, and its whole chain for as long as itself.
    pub fn keep(&mut self, now: u64, id: &str, kept: wire::Kept) {
        if self.turns.contains_key(id) {
            return;
        }
        let until = now.saturating_add(kept.retention_ms);
        let mut next = kept.previous.to_compact_string();
        self.turns.insert(id.into(), Turn { kept, until });
        while let Some(turn) = self.turns.get_mut(&next) {
            if turn.until >= until {
                break;
            }
            turn.until = until;
            next = turn.kept.previous.to_compact_string();
        }
    }

    /// Returns everything that precedes a turn that continues `previous`.
    pub fn history(&self, now: u64, previous: &str) -> History {
        let mut chain = Vec::new();
        let mut next = previous;
        while !next.is_empty() && chain.len() < MAX_CHAIN {
            let Some(turn) = self.turns.get(next).filter(|turn| turn.until > now) else {
                return History::Unknown;
            };
            if self.textless.contains(next) {
                return History::Lacking;
            }
            chain.push(&turn.kept);
            next = &turn.kept.previous;
        }
        let length = chain.iter().map(|kept| kept.input.len() + kept.output.len()).sum();
        let mut history = BytesMut::with_capacity(length);
        for kept in chain.iter().rev() {
            history.put_slice(&kept.input);
            history.put_slice(&kept.output);
        }
        History::Whole(history.freeze())
    }

    /// Tells whether a turn is kept, as the start of every chain is. Its chain is kept at least as
    /// long.
    pub fn is_kept(&self, now: u64, id: &str) -> bool {
        id.is_empty() || self.turns.get(id).is_some_and(|turn| turn.until > now)
    }

    /// Returns up to `most` turns whose text is lacking, from the one after `after` on.
    pub fn lacking(&self, after: &str, most: usize) -> Vec<CompactString> {
        let later = self.textless.range::<str, _>((Excluded(after), Unbounded));
        later.take(most).cloned().collect()
    }

    /// Returns the text of a turn, if it is here.
    pub fn text(&self, id: &str) -> Option<&wire::Kept> {
        let turn = self.turns.get(id).filter(|_| !self.textless.contains(id))?;
        Some(&turn.kept)
    }

    /// Takes the text of a turn whose text is lacking.
    pub fn fill(&mut self, id: &str, text: wire::Kept) {
        if !self.textless.remove(id) {
            return;
        }
        if let Some(turn) = self.turns.get_mut(id) {
            turn.kept.input = text.input;
            turn.kept.output = text.output;
        }
    }

    /// Forgets turns whose time is over.
    pub fn expire(&mut self, now: u64) {
        self.turns.retain(|_, turn| turn.until > now);
        let turns = &self.turns;
        self.textless.retain(|id| turns.contains_key(id));
    }

    /// Returns how many turns are kept.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Tells whether no turn is kept.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
