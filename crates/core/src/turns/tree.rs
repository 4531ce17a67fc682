//! The tree of kept turns.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::wire::turn as wire;

/// More turns than any chain has; a longer one is a loop in damaged state.
const MAX_CHAIN: usize = 100_000;

/// How long a turn is remembered past its time, and past the longest time of what continues it, in
/// milliseconds: longer than a settlement takes. A turn that continues it may have been reserved just
/// before, and keeps it once it is settled.
const SETTLE_GRACE_MS: u64 = 30_000;

/// Stores that are remembered as holders of one text: more than ever hold it at one time, and few enough
/// that losses one after another don't fill the state.
const MAX_HOLDERS: usize = 8;

/// One kept turn. Its text is on the disks of its holders, see docs/design/texts.md.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Turn {
    pub(super) previous: CompactString,
    /// Stores that have the turn's text, or had it: those noted last come first.
    pub(super) holders: Vec<VmId>,
    /// Length of the text, in bytes.
    pub(super) bytes: u64,
    pub(super) retention: u64,
    /// The group's time until which it is kept, in milliseconds.
    pub(super) kept_until: u64,
    /// Time until which a turn that continues it may be under way, in milliseconds; zero without one.
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

    /// Returns the time until which it is remembered.
    fn expires_at(&self) -> u64 {
        self.kept_until.max(self.held_until).saturating_add(SETTLE_GRACE_MS)
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

/// Returns each store once, the first [`MAX_HOLDERS`]. One that is named twice is still one disk.
fn distinct(stores: impl Iterator<Item = VmId>) -> Vec<VmId> {
    let mut found = Vec::new();
    for vm in stores {
        if found.len() < MAX_HOLDERS && !found.contains(&vm) {
            found.push(vm);
        }
    }
    found
}

/// Where the text of one turn is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The turn.
    pub turn: CompactString,
    /// Stores that have its text.
    pub holders: Vec<VmId>,
    /// Length of the text, in bytes.
    pub bytes: u64,
}

impl Holding {
    /// Returns the message for other processes.
    pub fn to_wire(&self) -> wire::Holding {
        let holders = self.holders.iter().map(|vm| vm.0).collect();
        wire::Holding { turn: self.turn.to_string(), holders, bytes: self.bytes }
    }

    /// Reads the message of another process.
    pub fn from_wire(holding: &wire::Holding) -> Holding {
        Holding {
            turn: holding.turn.to_compact_string(),
            holders: holding.holders.iter().copied().map(VmId).collect(),
            bytes: holding.bytes,
        }
    }
}

/// Turns by their id.
#[derive(Clone, Debug, Default)]
pub struct TurnTree {
    pub(super) turns: BTreeMap<CompactString, Turn>,
}

impl TurnTree {
    /// Keeps a turn, and its whole chain for as long as itself.
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

    /// Remembers a chain for as long as a turn that continues it may take.
    ///
    /// A stream may outlast the time of what it continues. Were that forgotten meanwhile, the turn would
    /// end whole and yet its own continuation be unknown. No other turn may continue it for longer.
    pub fn hold(&mut self, now: u64, previous: &str, duration: u64) {
        let held_until = now.saturating_add(duration);
        let mut next = CompactString::from(previous);
        while let Some(turn) = self.turns.get_mut(&next) {
            // What precedes a turn is held at least as long as the turn.
            if duration == 0 || turn.held_until >= held_until {
                break;
            }
            turn.held_until = held_until;
            next = turn.previous.clone();
        }
    }

    /// Returns where the texts of everything that precedes a turn that continues `previous` are,
    /// oldest first. Nothing if no such turn is kept.
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

    /// Tells whether a turn is kept, as the start of every chain is. Its chain is kept at least as
    /// long.
    pub fn is_kept(&self, now: u64, id: &str) -> bool {
        id.is_empty() || self.turns.get(id).is_some_and(|turn| turn.kept_until > now)
    }

    /// Returns how much longer a turn's text must be held, in milliseconds; nothing if it need not.
    pub fn remaining(&self, now: u64, id: &str) -> Option<u64> {
        let expires_at = self.turns.get(id)?.expires_at();
        expires_at.checked_sub(now).filter(|remaining| *remaining > 0)
    }

    /// Notes that other stores hold a turn's text now.
    ///
    /// Those that held it before are remembered after them: one that was only silent still has it on its
    /// disk, and a leader that was deposed for a while may not know of all.
    pub fn record_holders(&mut self, holding: &Holding) {
        if let Some(turn) = self.turns.get_mut(&holding.turn) {
            let before = std::mem::take(&mut turn.holders);
            turn.holders = distinct(holding.holders.iter().copied().chain(before));
        }
    }

    /// Forgets turns whose time is over, and which no turn under way can continue.
    pub fn expire(&mut self, now: u64) {
        self.turns.retain(|_, turn| turn.expires_at() > now);
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
