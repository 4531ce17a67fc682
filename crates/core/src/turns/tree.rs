//! The tree of kept turns.

use std::collections::BTreeMap;

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

/// Turns by their id.
#[derive(Clone, Debug, Default)]
pub struct TurnTree {
    pub(super) turns: BTreeMap<CompactString, Turn>,
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

    /// Returns everything that precedes a turn that continues `previous`: the input and output of
    /// each turn of the chain, oldest first. `None` when no such turn is kept.
    pub fn history(&self, now: u64, previous: &str) -> Option<Bytes> {
        let mut chain = Vec::new();
        let mut next = previous;
        while !next.is_empty() && chain.len() < MAX_CHAIN {
            let turn = self.turns.get(next).filter(|turn| turn.until > now)?;
            chain.push(&turn.kept);
            next = &turn.kept.previous;
        }
        let length = chain.iter().map(|kept| kept.input.len() + kept.output.len()).sum();
        let mut history = BytesMut::with_capacity(length);
        for kept in chain.iter().rev() {
            history.put_slice(&kept.input);
            history.put_slice(&kept.output);
        }
        Some(history.freeze())
    }

    /// Tells whether a turn is kept. Its chain is kept at least as long.
    pub fn is_kept(&self, now: u64, id: &str) -> bool {
        self.turns.get(id).is_some_and(|turn| turn.until > now)
    }

    /// Forgets turns whose time is over.
    pub fn expire(&mut self, now: u64) {
        self.turns.retain(|_, turn| turn.until > now);
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
