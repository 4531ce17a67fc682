//! The tree of turns that can be continued.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::wire::turn as wire;

/// Maximum length of a chain of turns, so that a loop in damaged state ends.
const MAX_CHAIN: usize = 100_000;

/// How long a turn is recorded after its retention and after the deadline of turns that continue
/// it, in milliseconds. It must exceed the time of a settlement, since a turn reserved shortly
/// before the end extends the retention when it is settled.
const SETTLE_GRACE_MS: u64 = 30_000;

/// Maximum number of recorded holders of one text, more than hold it at the same time, and few enough
/// that losses one after another don't fill the state.
const MAX_HOLDERS: usize = 8;

/// A recorded turn. Its text is on the disks of its holders, see docs/design/texts.md.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Turn {
    /// Id of the turn that it continues, empty for the first of a chain.
    pub(super) previous: CompactString,
    /// Stores that hold or held the turn's text, most recently recorded first.
    pub(super) holders: Vec<VmId>,
    /// Length of the text, in bytes.
    pub(super) bytes: u64,
    /// How long the turn is kept after it was settled, in milliseconds.
    pub(super) retention: u64,
    /// The group's time until which it can be continued, in milliseconds.
    pub(super) kept_until: u64,
    /// The group's time until which a turn that continues it may run, in milliseconds; zero without
    /// one.
    pub(super) held_until: u64,
}

impl Turn {
    pub(super) fn from_wire(kept: &wire::Kept, kept_until: u64) -> Turn {
        Turn {
            previous: kept.previous.to_compact_string(),
            holders: distinct(kept.holders.iter().copied().map(VmId)),
            bytes: kept.bytes,
            retention: kept.retention_ms,
            kept_until,
            held_until: 0,
        }
    }

    /// Returns the group's time until which a turn that continues it may begin or run, in
    /// milliseconds.
    pub(super) fn needed_until(&self) -> u64 {
        self.kept_until.max(self.held_until)
    }

    /// Returns the group's time at which the turn is removed, in milliseconds.
    fn expires_at(&self) -> u64 {
        self.needed_until().saturating_add(SETTLE_GRACE_MS)
    }

    pub(super) fn holding(&self, id: &str) -> Holding {
        Holding { turn: id.into(), holders: self.holders.clone(), bytes: self.bytes }
    }

    pub(super) fn to_wire(&self) -> wire::Kept {
        wire::Kept {
            previous: self.previous.to_string(),
            retention_ms: self.retention,
            holders: self.holders.iter().map(|vm| vm.0).collect(),
            bytes: self.bytes,
        }
    }
}

/// Returns the first [`MAX_HOLDERS`] distinct stores.
fn distinct(stores: impl Iterator<Item = VmId>) -> Vec<VmId> {
    let mut found = Vec::new();
    for vm in stores {
        if found.len() < MAX_HOLDERS && !found.contains(&vm) {
            found.push(vm);
        }
    }
    found
}

/// The stores that hold the text of one turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Id of the turn.
    pub turn: CompactString,
    /// Stores that hold its text.
    pub holders: Vec<VmId>,
    /// Length of the text, in bytes.
    pub bytes: u64,
}

impl Holding {
    /// Converts the holding to its wire message.
    pub fn to_wire(&self) -> wire::Holding {
        let holders = self.holders.iter().map(|vm| vm.0).collect();
        wire::Holding { turn: self.turn.to_string(), holders, bytes: self.bytes }
    }

    /// Converts a wire message.
    pub fn from_wire(holding: &wire::Holding) -> Holding {
        Holding {
            turn: holding.turn.to_compact_string(),
            holders: holding.holders.iter().copied().map(VmId).collect(),
            bytes: holding.bytes,
        }
    }
}

/// The recorded turns by id. Each names the turn that it continues.
#[derive(Clone, Debug, Default)]
pub struct TurnTree {
    pub(super) turns: BTreeMap<CompactString, Turn>,
}

impl TurnTree {
    /// Records a turn, and extends the retention of its whole chain to its own.
    ///
    /// A turn that is recorded already isn't changed.
    pub fn keep(&mut self, now: u64, id: &str, kept: &wire::Kept) {
        if self.turns.contains_key(id) {
            return;
        }
        let kept_until = now.saturating_add(kept.retention_ms);
        let turn = Turn::from_wire(kept, kept_until);
        let mut next = turn.previous.clone();
        self.turns.insert(id.into(), turn);
        while let Some(turn) = self.turns.get_mut(&next) {
            if turn.kept_until >= kept_until {
                break;
            }
            turn.kept_until = kept_until;
            next = turn.previous.clone();
        }
    }

    /// Holds a chain for `duration` milliseconds, in which a turn that continues it may run.
    ///
    /// A stream may outlast the retention of the turns that it continues. If these were removed
    /// meanwhile, the turn would complete, but couldn't be continued. Holding a chain doesn't allow
    /// other turns to continue it for longer.
    pub fn hold(&mut self, now: u64, previous: &str, duration: u64) {
        let held_until = now.saturating_add(duration);
        let mut next = CompactString::from(previous);
        while let Some(turn) = self.turns.get_mut(&next) {
            // The turns before this one are held at least as long.
            if duration == 0 || turn.held_until >= held_until {
                break;
            }
            turn.held_until = held_until;
            next = turn.previous.clone();
        }
    }

    /// Returns the holders of all texts up to and including the turn `previous`, oldest first, or
    /// `None` if that turn is no longer kept. An empty `previous` has an empty chain.
    pub fn chain(&self, now: u64, previous: &str) -> Option<Vec<Holding>> {
        let mut chain = Vec::new();
        let mut next = previous;
        while !next.is_empty() && chain.len() < MAX_CHAIN {
            let turn = self.turns.get(next).filter(|turn| turn.kept_until > now)?;
            chain.push(turn.holding(next));
            next = &turn.previous;
        }
        chain.reverse();
        Some(chain)
    }

    /// Returns `true` if a turn can be continued, or if `id` is empty, which begins a new chain.
    /// The turns before it are kept at least as long.
    pub fn is_kept(&self, now: u64, id: &str) -> bool {
        id.is_empty() || self.turns.get(id).is_some_and(|turn| turn.kept_until > now)
    }

    /// Returns how much longer a turn's text is needed, in milliseconds, or `None` if it isn't.
    pub fn remaining(&self, now: u64, id: &str) -> Option<u64> {
        let expires_at = self.turns.get(id)?.expires_at();
        expires_at.checked_sub(now).filter(|remaining| *remaining > 0)
    }

    /// Records the new holders of a turn's text.
    ///
    /// Earlier holders stay recorded after them: one that was only unreachable still has the text
    /// on its disk, and a leader that was deposed for a while may not know of all holders.
    pub fn record_holders(&mut self, holding: &Holding) {
        if let Some(turn) = self.turns.get_mut(&holding.turn) {
            let before = std::mem::take(&mut turn.holders);
            turn.holders = distinct(holding.holders.iter().copied().chain(before));
        }
    }

    /// Removes turns that have expired and that no running turn continues.
    pub fn expire(&mut self, now: u64) {
        self.turns.retain(|_, turn| turn.expires_at() > now);
    }

    /// Returns the number of recorded turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Returns `true` if no turn is recorded.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
