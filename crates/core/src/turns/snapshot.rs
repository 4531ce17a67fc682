//! A turn group's state as one message, for snapshots and restarts.

use bytes::Bytes;
use prost::Message;

use super::budget::{Budgets, Usage};
use super::runs::Runs;
use super::state::Turns;
use super::tree::{Turn, TurnTree};
use crate::prelude::*;
use crate::wire::turn as wire;

/// Format of the snapshot; a reader refuses a higher one.
const FORMAT: u32 = 1;

/// Why a snapshot can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The bytes aren't a snapshot.
    #[error("the turn snapshot is damaged: {0}")]
    Damaged(CompactString),
    /// A newer version wrote it.
    #[error("the turn snapshot has format {0}, this version reads up to {FORMAT}: upgrade")]
    Format(u32),
}

impl Turns {
    /// Returns the whole state, with the text that is here.
    pub fn snapshot(&self) -> Bytes {
        self.encoded(|id| self.tree.textless.contains(id))
    }

    /// Returns the state without any text, for a store that fetches it later.
    ///
    /// Text is nearly all of the state and takes seconds over a narrow link, and until a store that lost
    /// its disk has everything, no other may be lost.
    pub fn snapshot_textless(&self) -> Bytes {
        self.encoded(|_| true)
    }

    fn encoded(&self, textless: impl Fn(&str) -> bool) -> Bytes {
        let programs = self.budgets.programs.iter().map(|(name, usage)| program(name, usage));
        let turns = self.tree.turns.iter().map(|(id, turn)| record(id, turn, textless(id)));
        let snapshot = wire::Snapshot {
            format: FORMAT,
            programs: programs.collect(),
            turns: turns.collect(),
            clock_ms: self.clock,
        };
        snapshot.encode_to_vec().into()
    }

    /// Reads a state that [`Turns::snapshot`] wrote.
    ///
    /// # Errors
    /// Returns why the bytes can't be read; the replica must not answer then.
    pub fn restore(snapshot: &Bytes) -> Result<Turns, RestoreError> {
        let snapshot = wire::Snapshot::decode(snapshot.clone())
            .map_err(|error| RestoreError::Damaged(error.to_compact_string()))?;
        if snapshot.format > FORMAT {
            return Err(RestoreError::Format(snapshot.format));
        }
        let programs = snapshot.programs.into_iter().map(usage).collect();
        let textless = snapshot.turns.iter().filter(|record| record.textless);
        let textless = textless.map(|record| record.turn.to_compact_string()).collect();
        let turns = snapshot.turns.into_iter().map(|record| {
            let turn = Turn { kept: record.kept.unwrap_or_default(), until: record.until_ms };
            (record.turn.to_compact_string(), turn)
        });
        Ok(Turns {
            budgets: Budgets { programs },
            tree: TurnTree { turns: turns.collect(), textless },
            clock: snapshot.clock_ms,
        })
    }
}

fn record(id: &CompactString, turn: &Turn, textless: bool) -> wire::TurnRecord {
    let kept = match textless {
        true => wire::Kept {
            previous: turn.kept.previous.clone(),
            retention_ms: turn.kept.retention_ms,
            ..wire::Kept::default()
        },
        false => turn.kept.clone(),
    };
    wire::TurnRecord { turn: id.to_string(), kept: Some(kept), until_ms: turn.until, textless }
}

fn program(name: &CompactString, usage: &Usage) -> wire::ProgramRecord {
    let reserved = usage.reserved.iter();
    let reserved =
        reserved.map(|(turn, most)| wire::Reservation { turn: turn.to_string(), most: *most });
    wire::ProgramRecord {
        program: name.to_string(),
        spent: usage.spent,
        reserved: reserved.collect(),
        last_ms: usage.last_ms,
        runs: usage.runs.0.clone(),
    }
}

fn usage(record: wire::ProgramRecord) -> (CompactString, Usage) {
    let reserved = record.reserved.into_iter();
    let reserved = reserved.map(|set| (set.turn.to_compact_string(), set.most)).collect();
    let runs = Runs(record.runs);
    let usage = Usage { spent: record.spent, reserved, last_ms: record.last_ms, runs };
    (record.program.to_compact_string(), usage)
}
